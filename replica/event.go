package replica

// Event is what a replica reacts to.
//
//sumtype:decl
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Receive delivers a peer's message.
type Receive struct {
	From    string
	Message Message
}

// Propose asks the leader to append a command.
type Propose struct {
	// Token comes back in the effect that answers the proposal.
	Token uint64
	Data  []byte
}

// ChangeMembers asks the leader to change the members. Old and new voters may
// differ by one voter, so that any two quorums overlap.
type ChangeMembers struct {
	Token   uint64
	Members Members
}

// Compact replaces the log up to Index by the state machine's snapshot.
type Compact struct {
	Index uint64
	Data  []byte
}

// HandOver asks the leader to let another voter lead before it stops. An
// empty To picks the voter that is furthest ahead.
type HandOver struct{ To string }

func (Tick) event()          {}
func (Receive) event()       {}
func (Propose) event()       {}
func (ChangeMembers) event() {}
func (Compact) event()       {}
func (HandOver) event()      {}

// Effect is what the shell must do after a step.
//
//sumtype:decl
type Effect interface{ effect() }

// SaveHardState saves the term and the vote.
type SaveHardState struct{ HardState HardState }

// SaveEntries saves entries, and drops saved entries from the first index on.
type SaveEntries struct{ Entries []Entry }

// SaveSnapshot saves a snapshot, which replaces the entries up to its index.
// Reset is true when the later entries are void as well.
type SaveSnapshot struct {
	Snapshot Snapshot
	Reset    bool
}

// Send sends a message to a peer. It may be lost.
type Send struct {
	To      string
	Message Message
}

// Apply hands a committed entry to the state machine.
type Apply struct{ Entry Entry }

// Restore replaces the state machine by a snapshot.
type Restore struct{ Snapshot Snapshot }

// Appended says at which place of the log a proposal stands. It is committed
// when an entry with this index and term is applied, and lost when another
// entry is applied at this index.
type Appended struct {
	Token uint64
	Index uint64
	Term  uint64
}

// Refused says that a proposal was not appended.
type Refused struct {
	Token uint64
	// Leader is the leader as far as known.
	Leader string
	Reason string
}

// RoleChanged says that the role, the term or the leader changed.
type RoleChanged struct {
	Role   Role
	Term   uint64
	Leader string
}

func (SaveHardState) effect() {}
func (SaveEntries) effect()   {}
func (SaveSnapshot) effect()  {}
func (Send) effect()          {}
func (Apply) effect()         {}
func (Restore) effect()       {}
func (Appended) effect()      {}
func (Refused) effect()       {}
func (RoleChanged) effect()   {}
