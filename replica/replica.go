// Package replica implements a replicated log in the manner of Raft: leader
// election with pre-vote, log replication, snapshots and membership changes.
//
// The package is part of the core and does no input or output. [Replica.Step]
// takes the current time and one event, changes the state and returns effects.
// The caller performs the effects of a batch in this order: first it saves
// state and syncs the disk, then it sends messages and applies entries. A
// replica that cannot save its state must stop, because its peers may already
// rely on what it has acknowledged.
//
// In addition to plain Raft, a leader holds a lease. Voters grant no vote
// within [Config.ElectionTimeout] of receiving a message from a leader, except in
// an election that the leader itself requested. A leader that has replies from a
// quorum therefore knows how long no other leader can exist. The slot owner
// grants slots only under that lease. A restarted voter also grants no vote for
// one election timeout, because it cannot know when it last received a message
// from a leader. [Config.VoteAtStart] turns this off, and with it the guarantee
// that only one leader at a time holds a lease.
//
// A leader brings in a new voter as a learner first. A learner receives the log
// but does not vote; it becomes a voter once it has caught up, see
// [MembershipPlan].
//
// # Usage
//
//	r := replica.New(config, saved, random, now)
//	for event := range mailbox {
//		effects := r.Step(time.Now(), event)
//		perform(effects)
//	}
package replica

import (
	"math/rand/v2"
	"time"
)

// Config holds the settings of one replica. They do not change while it runs.
type Config struct {
	// ID is the replica's own identity. It is made of the instance and the
	// identity of its data folder, so an emptied folder results in a new ID.
	ID string
	// HeartbeatInterval is the maximum interval between two messages from a
	// leader to a peer.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without contact from a leader after
	// which a voter starts an election. The actual timeout is random, between
	// this value and twice this value.
	ElectionTimeout time.Duration
	// MaxDrift is the maximum by which the clocks of two instances may diverge
	// within one election timeout. The leader's lease is shortened by it.
	MaxDrift time.Duration
	// VoteAtStart lets a restarted voter grant votes immediately and start an
	// election soon after its start. Without it, a restarted voter waits for an
	// election timeout, because it cannot know when it last received a message
	// from a leader. With it, a new leader can be elected before the lease of
	// the old one ends, so that both hold a lease for less than an election
	// timeout. [Replica.LeaseEnd] then only says that a quorum answered this
	// leader recently. VoteAtStart is safe only where nothing relies on the
	// lease to exclude another leader.
	VoteAtStart bool
	// MaxAppendEntries is the maximum number of entries in one AppendRequest.
	MaxAppendEntries int
	// LargeBytes is the number of bytes of data beyond which a message is sent as large,
	// see [Send]. Zero means that none is.
	LargeBytes int
}

// Role is the Raft role of a replica: follower, candidate or leader.
type Role string

// The values of [Role].
const (
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
)

// Members is the membership of the replicated log, as replica IDs.
type Members struct {
	// Voters vote in elections and count towards the quorum.
	Voters []string `json:"voters"`
	// Learners receive the log, but they neither vote nor count towards the
	// quorum.
	Learners []string `json:"learners,omitempty"`
}

// HardState is the state that must be on disk before a replica sends messages
// that depend on it.
type HardState struct {
	Term uint64 `json:"term"`
	// Vote is the candidate that received this replica's vote in Term, or empty.
	Vote string `json:"vote,omitempty"`
}

// Entry is one entry of the log.
type Entry struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	// Data is an encoded command. The replica does not interpret it.
	Data []byte `json:"data,omitempty"`
	// Members is the new membership, set only on entries that change it.
	Members *Members `json:"members,omitempty"`
}

// Snapshot is the state after the entry at Index. It replaces the log up to and
// including that entry.
type Snapshot struct {
	Index   uint64  `json:"index"`
	Term    uint64  `json:"term"`
	Members Members `json:"members"`
	Data    []byte  `json:"data"`
}

// PersistentState is the durable state of a replica, which it reads from its data
// folder when it starts.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// progress is the leader's view of one peer's log.
type progress struct {
	// matchIndex is the highest index known to be replicated on the peer.
	matchIndex uint64
	// nextIndex is the index of the next entry to send to the peer.
	nextIndex uint64
	// ackedSendTime is the send time of the newest message that the peer has
	// answered. The leader lease is computed from it.
	ackedSendTime time.Time
	// addedAt is when this leader added the peer, or zero if it was elected with it.
	addedAt time.Time
	// repliedAt is the time of the peer's last reply.
	repliedAt time.Time
	// pending is the snapshot or the large append that the peer has not answered yet; nil
	// if there is none.
	pending *pendingData
}

// Replica is the state of one replica. It is owned by one task and is not safe
// for concurrent use.
type Replica struct {
	Config Config
	HardState
	Role Role
	// Leader is the ID of the current leader, or empty if it is not known.
	Leader string
	// CommitIndex is the highest index known to be committed.
	CommitIndex uint64
	// Members is the newest membership in the log, committed or not.
	Members Members

	log          log
	random       *rand.Rand
	appliedIndex uint64
	progress     map[string]*progress
	// votes holds the voters that answered this candidate, and whether they granted their
	// vote or pre-vote.
	votes map[string]bool
	// voteRequest is the request of the present election. It is sent again at voteRetryAt to
	// the voters that have not answered it.
	voteRequest VoteRequest
	voteRetryAt time.Time
	// inPreVote is true while a candidate collects pre-votes, before it raises
	// its term.
	inPreVote bool

	// electionAt is the time at which a follower or candidate starts an
	// election. During a leadership transfer it is the transfer's deadline.
	electionAt        time.Time
	heartbeatAt       time.Time
	lastLeaderContact time.Time
	// createdAt is the time from which the SentNS of messages is counted.
	createdAt time.Time
	// leaderSince is the time at which this replica last became leader.
	leaderSince time.Time
	// transferring is true during a leadership transfer.
	transferring bool
	// hasUnsentEntries is true when entries were appended since the last
	// broadcast.
	hasUnsentEntries bool
	effects          []Effect
}

// startElectionDivisor sets the range of the first election delay of a voter
// with VoteAtStart: a random time below ElectionTimeout / startElectionDivisor.
// The delay is random so that two restarted voters seldom start an election at
// the same time.
const startElectionDivisor = 2

// New returns a follower with the given persistent state. The first event
// should be a Tick.
func New(cfg Config, saved PersistentState, random *rand.Rand, now time.Time) *Replica {
	r := &Replica{
		Config: cfg, HardState: saved.HardState, Role: RoleFollower, random: random,
		log:               log{snapshot: saved.Snapshot, entries: saved.Entries},
		CommitIndex:       saved.Snapshot.Index,
		appliedIndex:      saved.Snapshot.Index,
		lastLeaderContact: now, createdAt: now,
	}
	r.Members = r.log.members()
	r.resetElectionTimeout(now)
	if cfg.VoteAtStart {
		r.lastLeaderContact = time.Time{}
		r.electionAt = now.Add(time.Duration(random.Int64N(int64(cfg.ElectionTimeout) / startElectionDivisor)))
	}
	return r
}

// Step handles one event and returns its effects. The effects of several steps
// may be performed as one batch, in the order that the package comment states. A
// Tick at the end of the batch sends the entries that the batch appended.
func (r *Replica) Step(now time.Time, event Event) []Effect {
	r.effects = nil
	switch e := event.(type) {
	case Tick:
		r.tick(now)
	case Receive:
		r.receive(now, e.From, e.Message)
	case Propose:
		r.propose(e)
	case ChangeMembers:
		r.changeMembers(e)
	case Compact:
		r.compact(e)
	case TransferLeadership:
		r.transferLeadership(now, e.To)
	}
	r.applyCommitted()
	return r.effects
}

// LastIndex returns the index of the newest entry, committed or not.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// FirstIndex returns the index of the oldest entry that is still in the log. It
// is LastIndex()+1 if the log has no entries after the snapshot.
func (r *Replica) FirstIndex() uint64 { return r.log.snapshot.Index + 1 }

// NextWake returns the time by which the replica needs its next Tick.
func (r *Replica) NextWake() time.Time {
	if r.Role == RoleLeader {
		return r.heartbeatAt
	}
	if r.Role == RoleCandidate && r.voteRetryAt.Before(r.electionAt) {
		return r.voteRetryAt
	}
	return r.electionAt
}

// LeaseEnd returns the end of the leader lease: the time until which no other
// replica can become leader, provided that no voter uses [Config.VoteAtStart]. It
// returns the zero time if the replica is not the leader, is transferring
// leadership, has not yet committed an entry of its own term, or if the lease has
// expired.
func (r *Replica) LeaseEnd(now time.Time) time.Time {
	if r.Role != RoleLeader || r.transferring {
		return time.Time{}
	}
	if t, _ := r.log.term(r.CommitIndex); t != r.Term {
		return time.Time{}
	}
	end := r.quorumAckedAt(now).Add(r.Config.ElectionTimeout - r.Config.MaxDrift)
	if !end.After(now) {
		return time.Time{}
	}
	return end
}

// CommittedMembers returns the newest committed membership, and the index as of which it
// is known.
func (r *Replica) CommittedMembers() (Members, uint64) { return r.log.membersAt(r.CommitIndex) }

// MembersIndex returns the index as of which this replica knows Members.
func (r *Replica) MembersIndex() uint64 {
	_, index := r.log.membersAt(r.log.lastIndex())
	return index
}

// KnowsCommitted reports whether this replica has applied every entry that was committed
// before the present leader was elected. A restarted replica does not know which of the
// entries after its snapshot are committed until the leader has committed one of its own
// term.
func (r *Replica) KnowsCommitted() bool {
	term, _ := r.log.term(r.CommitIndex)
	return r.Leader != "" && term == r.Term
}

// LeadingSince returns the time at which this replica last became leader. It is
// the zero time if it never was.
func (r *Replica) LeadingSince() time.Time { return r.leaderSince }

// LeaderContactAge returns the time since the last message of a leader; of a leader, the
// time since a quorum has confirmed it. It is zero if there was none since the start.
func (r *Replica) LeaderContactAge(now time.Time) time.Duration {
	contact := r.lastLeaderContact
	if r.Role == RoleLeader {
		contact = laterOf(r.quorumAckedAt(now), r.leaderSince)
	}
	if contact.IsZero() {
		return 0
	}
	return now.Sub(contact)
}

// ChangingMembers reports whether this leader refuses a change of the members for now: it
// transfers its leadership, or the previous change or the first entry of its term is not
// committed yet.
func (r *Replica) ChangingMembers() bool {
	term, _ := r.log.term(r.CommitIndex)
	return r.transferring || r.MembersIndex() > r.CommitIndex || term != r.Term
}

// UnresponsiveVoters returns the voters that have not answered this leader for
// longer than after. It returns nil if this replica is not the leader.
func (r *Replica) UnresponsiveVoters(now time.Time, after time.Duration) []string {
	if r.Role != RoleLeader {
		return nil
	}
	var silent []string
	for _, id := range r.Members.Voters {
		if r.Unresponsive(now, id, after) {
			silent = append(silent, id)
		}
	}
	return silent
}

// Unresponsive reports whether another replica has not answered this leader for longer
// than after, counted from the election or from when it was added.
func (r *Replica) Unresponsive(now time.Time, id string, after time.Duration) bool {
	p := r.progress[id]
	return r.Role == RoleLeader && id != r.Config.ID && p != nil && now.Sub(laterOf(laterOf(p.ackedSendTime, p.addedAt), r.leaderSince)) > after
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// CaughtUp reports whether a peer is known to have every committed entry. Only
// the leader knows this; other replicas return false.
func (r *Replica) CaughtUp(id string) bool {
	p := r.progress[id]
	return r.Role == RoleLeader && p != nil && p.matchIndex >= r.CommitIndex
}

func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Replica) send(to string, m Message) { r.emit(Send{To: to, Message: m}) }

func (r *Replica) saveHardState() { r.emit(SaveHardState{HardState: r.HardState}) }

// applyCommitted emits an Apply effect for each newly committed entry.
func (r *Replica) applyCommitted() {
	for r.appliedIndex < r.CommitIndex {
		r.appliedIndex++
		e, ok := r.log.entry(r.appliedIndex)
		if !ok {
			return
		}
		r.emit(Apply{Entry: e})
	}
}
