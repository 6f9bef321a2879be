// Package replica is the replicated log: elections, replication, commitment,
// snapshots and changes of the voters, in the manner of Raft.
//
// The package is part of the core. [Replica.Step] takes the time and one
// event, changes the state and returns effects. The shell performs the effects
// of a batch in this order: it saves, it syncs, and only then it sends and
// applies. A replica that can't save must stop, since its peers may already
// count on what it promised.
//
// Beyond plain Raft, a leader has a lease: voters grant no vote within
// [Config.ElectionTimeout] of hearing from a leader, so a leader that a quorum
// has answered knows for how long no other leader can exist. Slots are granted
// and reads are served only under that lease. A restarted voter grants no vote
// for the same time, since it can't know whom it heard before.
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

// Config holds the constants of one replica.
type Config struct {
	// ID is the replica's own identity. It names the instance and the data
	// folder, so an emptied folder gives another identity.
	ID string
	// HeartbeatEvery is the longest pause between two messages of a leader.
	HeartbeatEvery time.Duration
	// ElectionTimeout is the shortest silence after which a voter stands for
	// election. The longest is twice that.
	ElectionTimeout time.Duration
	// MaxDrift is subtracted from the leader's lease. It bounds by how much
	// the clocks of two instances may diverge within an election timeout.
	MaxDrift time.Duration
	// VoteAtStart lets a restarted voter grant votes and stand for election at
	// once. It is for users that rely on no lease of a leader: without it such
	// a voter waits for an election timeout, since it can't know whom it heard.
	VoteAtStart bool
	// MaxAppendEntries caps the entries of one message.
	MaxAppendEntries int
}

// Role is what a replica currently does.
type Role string

// The roles.
const (
	RoleFollower  Role = "follower"
	RoleCandidate Role = "candidate"
	RoleLeader    Role = "leader"
)

// Members lists who takes part in the log.
type Members struct {
	// Voters vote and count towards the quorum.
	Voters []string `json:"voters"`
	// Learners receive the log but neither vote nor count.
	Learners []string `json:"learners,omitempty"`
}

// HardState is what a replica must not forget.
type HardState struct {
	Term uint64 `json:"term"`
	// Vote is the candidate that got this replica's vote in Term.
	Vote string `json:"vote,omitempty"`
}

// Entry is one entry of the log.
type Entry struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	// Data is a command in its encoded form; the replica does not read it.
	Data []byte `json:"data,omitempty"`
	// Members is set on entries that change the voters or learners.
	Members *Members `json:"members,omitempty"`
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index   uint64  `json:"index"`
	Term    uint64  `json:"term"`
	Members Members `json:"members"`
	Data    []byte  `json:"data"`
}

// Saved is what a replica finds in its data folder when it starts.
type Saved struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// progress is what a leader knows of one peer.
type progress struct {
	match uint64
	next  uint64
	// ackedSend is when the newest message that the peer has answered was sent.
	ackedSend time.Time
	// snapshotSent is when the last snapshot was sent.
	snapshotSent time.Time
}

// Replica is the state of one replica. One task owns it.
type Replica struct {
	Config Config
	HardState
	Role   Role
	Leader string
	// Commit is the highest index known to be committed.
	Commit uint64
	// Members is the newest membership in the log, committed or not.
	Members Members

	log      log
	random   *rand.Rand
	applied  uint64
	progress map[string]*progress
	votes    map[string]bool
	preVote  bool

	electionAt  time.Time
	heartbeatAt time.Time
	leaderHeard time.Time
	origin      time.Time
	// leadingSince is when this replica became the leader.
	leadingSince time.Time
	handingOver  bool
	// unsent is true when entries were appended since the last broadcast.
	unsent  bool
	effects []Effect
}

// startShare is the part of an election timeout within which restarted voters
// stand for election, so that two seldom do so at the same time.
const startShare = 2

// New returns a follower with the saved state. The first event should be a
// Tick.
func New(cfg Config, saved Saved, random *rand.Rand, now time.Time) *Replica {
	r := &Replica{
		Config: cfg, HardState: saved.HardState, Role: RoleFollower, random: random,
		log:         log{snapshot: saved.Snapshot, entries: saved.Entries},
		Commit:      saved.Snapshot.Index,
		applied:     saved.Snapshot.Index,
		leaderHeard: now, origin: now,
	}
	r.Members = r.log.members()
	r.resetElection(now)
	if cfg.VoteAtStart {
		r.leaderHeard = time.Time{}
		r.electionAt = now.Add(time.Duration(random.Int64N(int64(cfg.ElectionTimeout) / startShare)))
	}
	return r
}

// Step handles one event. The effects of several steps may be performed
// together, in the order that the package comment states. A Tick at the end of
// such a batch sends what the batch appended.
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
	case HandOver:
		r.handOver(now, e.To)
	}
	r.applyCommitted()
	return r.effects
}

// LastIndex is the index of the newest entry, committed or not.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// FirstKept is the index of the oldest entry that is still in the log.
func (r *Replica) FirstKept() uint64 { return r.log.snapshot.Index + 1 }

// NextWake is when the replica needs a Tick at the latest.
func (r *Replica) NextWake() time.Time {
	if r.Role == RoleLeader {
		return r.heartbeatAt
	}
	return r.electionAt
}

// LeaseEnd is until when no other replica can be the leader. It is the zero
// time for a replica that does not lead, or that has not yet committed an
// entry of its own term.
func (r *Replica) LeaseEnd(now time.Time) time.Time {
	if r.Role != RoleLeader || r.handingOver {
		return time.Time{}
	}
	if t, _ := r.log.term(r.Commit); t != r.Term {
		return time.Time{}
	}
	end := r.quorumAcked(now).Add(r.Config.ElectionTimeout - r.Config.MaxDrift)
	if !end.After(now) {
		return time.Time{}
	}
	return end
}

// LeadingSince is when this replica became the leader.
func (r *Replica) LeadingSince() time.Time { return r.leadingSince }

// Silent lists the voters that have not answered for a time.
func (r *Replica) Silent(now time.Time, after time.Duration) []string {
	if r.Role != RoleLeader {
		return nil
	}
	var silent []string
	for _, id := range r.Members.Voters {
		p := r.progress[id]
		if id != r.Config.ID && p != nil && now.Sub(later(p.ackedSend, r.leadingSince)) > after {
			silent = append(silent, id)
		}
	}
	return silent
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// CaughtUp reports whether a peer has every committed entry.
func (r *Replica) CaughtUp(id string) bool {
	p := r.progress[id]
	return r.Role == RoleLeader && p != nil && p.match >= r.Commit
}

func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Replica) send(to string, m Message) { r.emit(Send{To: to, Message: m}) }

func (r *Replica) saveHardState() { r.emit(SaveHardState{HardState: r.HardState}) }

// applyCommitted hands the newly committed entries to the state machine.
func (r *Replica) applyCommitted() {
	for r.applied < r.Commit {
		r.applied++
		e, ok := r.log.entry(r.applied)
		if !ok {
			return
		}
		r.emit(Apply{Entry: e})
	}
}
