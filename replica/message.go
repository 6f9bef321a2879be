package replica

// Message is what replicas send to each other.
//
//sumtype:decl
type Message interface{ message() }

// VoteRequest asks for a vote, or with Pre whether a vote would be granted.
type VoteRequest struct {
	Term      uint64 `json:"term"`
	Pre       bool   `json:"pre,omitempty"`
	LastIndex uint64 `json:"last_index"`
	LastTerm  uint64 `json:"last_term"`
	// HandedOver is true when the leader itself asked for the election; its
	// lease does not stand in the way then.
	HandedOver bool `json:"handed_over,omitempty"`
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Term    uint64 `json:"term"`
	Pre     bool   `json:"pre,omitempty"`
	Granted bool   `json:"granted"`
}

// AppendRequest replicates entries; without entries it is a heartbeat.
type AppendRequest struct {
	Term      uint64  `json:"term"`
	PrevIndex uint64  `json:"prev_index"`
	PrevTerm  uint64  `json:"prev_term"`
	Entries   []Entry `json:"entries,omitempty"`
	Commit    uint64  `json:"commit"`
	// SentNS is the leader's clock at sending; the reply echoes it.
	SentNS int64 `json:"sent_ns"`
}

// AppendReply answers an AppendRequest or a SnapshotRequest.
type AppendReply struct {
	Term    uint64 `json:"term"`
	Success bool   `json:"success"`
	// Match is the highest index known to agree with the leader's log, or
	// after a refusal where the leader should try next.
	Match  uint64 `json:"match"`
	SentNS int64  `json:"sent_ns"`
}

// SnapshotRequest replaces a log that is too far behind.
type SnapshotRequest struct {
	Term     uint64   `json:"term"`
	Snapshot Snapshot `json:"snapshot"`
	SentNS   int64    `json:"sent_ns"`
}

// ElectionRequest asks a voter to stand for election at once.
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
