package replica

// Event is an input to [Replica.Step].
//
//sumtype:decl
type Event interface{ event() }

// Tick checks the timers. It starts elections, sends heartbeats and sends the
// entries that were appended since the last one.
type Tick struct{}

// Receive delivers a peer's message.
type Receive struct {
	From    string
	Message Message
}

// Propose asks the leader to append a command to the log. The outcome is
// [Appended] or [ProposalRefused].
type Propose struct {
	// Token identifies the proposal in the resulting effect.
	Token uint64
	// Data is the encoded command.
	Data []byte
}

// ChangeMembers asks the leader to change the membership. The old and the new
// voters may differ by one voter at most, so that any two quorums overlap.
type ChangeMembers struct {
	Token   uint64
	Members Members
}

// Compact replaces the log up to Index with a snapshot of the state machine.
// Index must be an applied index after the previous snapshot; otherwise the event
// is ignored.
type Compact struct {
	Index uint64
	Data  []byte
}

// TransferLeadership asks the leader to transfer its leadership to another
// voter before it stops. If To is empty, the voter with the highest match index
// is chosen.
type TransferLeadership struct{ To string }

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (ChangeMembers) event()      {}
func (Compact) event()            {}
func (TransferLeadership) event() {}

// Effect is an action that the caller of [Replica.Step] must perform. Effects
// that save must be durable before any other effect is performed.
//
//sumtype:decl
type Effect interface{ effect() }

// SaveHardState saves the term and the vote to disk.
type SaveHardState struct{ HardState HardState }

// SaveEntries saves entries to disk. Saved entries from the first new index on
// are dropped.
type SaveEntries struct{ Entries []Entry }

// SaveSnapshot saves a snapshot to disk. It replaces the saved entries up to its
// index. If DropLaterEntries is true, the later entries are dropped as well.
type SaveSnapshot struct {
	Snapshot         Snapshot
	DropLaterEntries bool
}

// Send sends a message to a peer. The message may be lost.
type Send struct {
	To      string
	Message Message
	// Large is true when the message takes long to send and to decode. Messages that are
	// sent later must not wait for it: heartbeats behind it could be late by more than an
	// election timeout.
	Large bool
}

// Apply applies a committed entry to the state machine. Entries are applied in
// the order of their index.
type Apply struct{ Entry Entry }

// Restore replaces the state of the state machine with a snapshot.
type Restore struct{ Snapshot Snapshot }

// Appended reports the log position of a proposal. The proposal is committed when
// an entry with this index and term is applied. It is lost when an entry with
// another term is applied at this index.
type Appended struct {
	Token uint64
	Index uint64
	Term  uint64
}

// ProposalRefused reports that a proposal or membership change was not appended.
type ProposalRefused struct {
	Token uint64
	// Leader is the ID of the current leader, or empty if it is not known.
	Leader string
	Reason string
}

// RoleChanged reports the role, term and leader after a change of the role or the
// leader, and at the start of each election.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader string
}

func (SaveHardState) effect()   {}
func (SaveEntries) effect()     {}
func (SaveSnapshot) effect()    {}
func (Send) effect()            {}
func (Apply) effect()           {}
func (Restore) effect()         {}
func (Appended) effect()        {}
func (ProposalRefused) effect() {}
func (RoleChanged) effect()     {}
