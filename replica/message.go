package replica

// Message is a message between replicas.
//
//sumtype:decl
type Message interface{ message() }

// VoteRequest asks for a vote. With Pre it is a pre-vote: it asks whether a vote
// would be granted, without raising the term of the receiver.
type VoteRequest struct {
	Term      uint64 `json:"term"`
	Pre       bool   `json:"pre,omitempty"`
	LastIndex uint64 `json:"last_index"`
	LastTerm  uint64 `json:"last_term"`
	// LeadershipTransfer is true when the leader itself requested the election.
	// Voters then grant the vote regardless of the leader lease.
	LeadershipTransfer bool `json:"handed_over,omitempty"`
}

// VoteReply is the reply to a VoteRequest.
type VoteReply struct {
	Term    uint64 `json:"term"`
	Pre     bool   `json:"pre,omitempty"`
	Granted bool   `json:"granted"`
}

// AppendRequest replicates entries from the leader. Without entries it is a
// heartbeat.
type AppendRequest struct {
	Term        uint64  `json:"term"`
	PrevIndex   uint64  `json:"prev_index"`
	PrevTerm    uint64  `json:"prev_term"`
	Entries     []Entry `json:"entries,omitempty"`
	CommitIndex uint64  `json:"commit"`
	// SentNS is the send time in nanoseconds since the leader's Replica was
	// created, on the leader's own clock. The reply echoes it, and the leader
	// computes its lease from it.
	SentNS int64 `json:"sent_ns"`
}

// AppendReply is the reply to an AppendRequest or a SnapshotRequest.
type AppendReply struct {
	Term    uint64 `json:"term"`
	Success bool   `json:"success"`
	// MatchIndex is, on success, the highest index at which the follower's log
	// is known to match the leader's. On failure it is the index after which the
	// leader should send entries next.
	MatchIndex uint64 `json:"match"`
	// SentNS is the SentNS of the request. It is zero if the request was of an
	// older term.
	SentNS int64 `json:"sent_ns"`
}

// SnapshotRequest sends a snapshot to a peer whose next entries are no longer in
// the leader's log. It replaces the peer's log.
type SnapshotRequest struct {
	Term     uint64   `json:"term"`
	Snapshot Snapshot `json:"snapshot"`
	SentNS   int64    `json:"sent_ns"`
}

// ElectionRequest asks a voter to start an election immediately. The leader sends
// it to transfer its leadership, like Raft's TimeoutNow.
type ElectionRequest struct {
	Term uint64 `json:"term"`
}

func (VoteRequest) message()     {}
func (VoteReply) message()       {}
func (AppendRequest) message()   {}
func (AppendReply) message()     {}
func (SnapshotRequest) message() {}
func (ElectionRequest) message() {}

func messageTerm(m Message) uint64 {
	switch m := m.(type) {
	case VoteRequest:
		return m.Term
	case VoteReply:
		return m.Term
	case AppendRequest:
		return m.Term
	case AppendReply:
		return m.Term
	case SnapshotRequest:
		return m.Term
	case ElectionRequest:
		return m.Term
	}
	return 0
}
