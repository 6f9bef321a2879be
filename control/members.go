package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
)

const (
	// houseEvery is the pause between two looks at members and upstreams.
	houseEvery = 300 * time.Millisecond
	// joinEvery is the pause between two offers to the leader.
	joinEvery = 600 * time.Millisecond
	// standbyLifetime is how long an offer counts: several offers.
	standbyLifetime = 3 * time.Second
	// replaceAfter is how long a voter may be silent before a standby that has
	// caught up takes its place. It is below the time for which a returned
	// instance counts as lost, so that two losses in a row are borne.
	replaceAfter = 2500 * time.Millisecond
	// formTimeout bounds one look at the other initial voters.
	formTimeout = 400 * time.Millisecond
)

// keepHouse does what time brings. An error means that the disk failed.
func (t *task) keepHouse(now time.Time) error {
	if now.Before(t.houseAt) {
		return nil
	}
	t.houseAt = now.Add(houseEvery)
	if err := t.withdraw(now); err != nil {
		return err
	}
	t.metrics.GetOrCreateCounter("oriolepost_replica_commit_index").Set(t.replica.Commit)
	t.offer(now)
	return t.replaceVoters(now)
}

// withdraw removes the upstreams that were not heard of for too long. Only the
// leader hears all of them.
func (t *task) withdraw(now time.Time) error {
	if !t.leads() {
		return nil
	}
	gone := t.fleet.Expired(now)
	if len(gone) == 0 {
		return nil
	}
	t.fleet.Remove(gone)
	t.log.WithFields(log.Fields{"change": "upstream", "what": "expired", "upstreams": gone, "revision": t.fleet.Revision}).Info("upstreams expired")
	data, err := encode(record.Withdraw{Upstreams: gone})
	if err != nil {
		return err
	}
	return t.perform(t.propose(now, data, proposal{}))
}

// recordTime is how long upstreams that are new are gathered before they are
// recorded: some syncs of a disk, so that many share one.
const recordTime = 20 * time.Millisecond

// maxEnrolled bounds the incarnations that one command records. Commands that
// long keep a sync and a message between replicas within a few milliseconds.
const maxEnrolled = 256

// recordMissing records the upstreams that this leader heard of. One command is
// under way at a time: until it is applied, what it records would still count as
// missing.
func (t *task) recordMissing(now time.Time) error {
	if !t.leads() || t.enrolling || now.Before(t.recordAt) {
		return nil
	}
	t.recordAt = now.Add(houseEvery)
	var missing []fleet.Upstream
	for id, m := range t.fleet.Members {
		if known, ok := t.state.Catalog.Upstreams[id]; !ok || known.BornMS < m.BornMS {
			missing = append(missing, m.Upstream)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	slices.SortFunc(missing, func(a, b fleet.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return t.perform(t.enroll(now, missing[:min(maxEnrolled, len(missing))]))
}

// replaceVoters takes the next step towards the voters that should be.
func (t *task) replaceVoters(now time.Time) error {
	if !t.leads() {
		return nil
	}
	maps.DeleteFunc(t.standbys, func(_ string, s replica.Identity) bool {
		return now.Sub(s.Heard) > standbyLifetime
	})
	var standbys []replica.Identity
	for _, id := range slices.Sorted(maps.Keys(t.standbys)) {
		s := t.standbys[id]
		t.plan.Domains[s.Instance] = s.Domain
		standbys = append(standbys, s)
	}
	m, due := t.plan.Next(t.replica, standbys, now)
	if !due {
		return nil
	}
	t.log.WithFields(log.Fields{"change": "members", "from": t.replica.Members, "to": m}).Info("members change")
	return t.perform(t.replica.Step(now, replica.ChangeMembers{Members: m}))
}

// join takes an offer of an instance with a disk.
func (t *task) join(now time.Time, m joinMail) {
	if !t.leads() {
		m.answer <- answer{err: t.notLeader()}
		return
	}
	m.identity.Heard = now
	t.standbys[m.identity.ReplicaID] = m.identity
	t.plan.Domains[m.identity.Instance] = m.identity.Domain
	m.answer <- answer{response: peer.Nothing{}}
}

// offer tells the leader of this instance, and forms a new system out of the
// initial voters at the very first start.
func (t *task) offer(now time.Time) {
	voter := slices.Contains(t.replica.Members.Voters, t.id())
	if now.Before(t.joinAt) || (voter && t.replica.Leader != "") {
		return
	}
	t.joinAt = now.Add(joinEvery)
	join := peer.JoinRequest{Instance: t.settings.IP, ReplicaID: t.id(), Domain: t.settings.Domain}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, joinEvery)
		defer cancel()
		if _, err := t.leader.Call(ctx, join); err != nil {
			t.metrics.GetOrCreateCounter("oriolepost_join_errors_total").Inc()
		}
	}()
	if t.unformed() && t.initialVoter() && !t.forming {
		t.forming = true
		t.joinAt = now.Add(houseEvery)
		go t.lookAround()
	}
}

func (t *task) unformed() bool { return len(t.replica.Members.Voters) == 0 }

// initialVoter reports whether this instance is one of the seeds at the very
// first start, when all instances have the same seeds.
func (t *task) initialVoter() bool {
	return t.settings.FirstStart && t.folder.Empty &&
		slices.ContainsFunc(t.seeds, func(a peer.Address) bool { return a.Instance == t.settings.IP })
}

// lookAround asks the initial voters who they are.
func (t *task) lookAround() {
	ctx, cancel := context.WithTimeout(t.ctx, formTimeout)
	defer cancel()
	answers := make(chan *replica.Identity, len(t.seeds))
	for _, s := range t.seeds {
		go func() { answers <- t.askIdentity(ctx, s) }()
	}
	var voters []replica.Identity
	for range t.seeds {
		if i := <-answers; i != nil {
			voters = append(voters, *i)
		}
	}
	select {
	case t.mailbox <- formMail{voters: voters}:
	case <-t.ctx.Done():
	}
}

// askIdentity asks one instance; nil means that it did not answer.
func (t *task) askIdentity(ctx context.Context, s peer.Address) *replica.Identity {
	response, err := t.pool.Call(ctx, s.Address, peer.IdentifyRequest{})
	r, ok := response.(peer.IdentifyResponse)
	if err != nil || !ok {
		return nil
	}
	return &replica.Identity{ReplicaID: r.ReplicaID, Instance: r.Instance, Members: r.Members}
}

func (t *task) identify() peer.IdentifyResponse {
	r := peer.IdentifyResponse{Instance: t.settings.IP, ReplicaID: t.id()}
	if !t.unformed() {
		m := t.replica.Members
		r.Members = &m
	}
	return r
}

// form begins a new system if all initial voters answered.
func (t *task) form(voters []replica.Identity) []replica.Effect {
	t.forming = false
	if !t.unformed() {
		return nil
	}
	m, ok := replica.Form(t.id(), voters, len(t.seeds))
	if !ok {
		return nil
	}
	first := replica.Snapshot{Index: 1, Term: 1, Members: m}
	t.replica = replica.New(replicaConfig(t.id()), replica.Saved{
		HardState: replica.HardState{Term: max(1, t.replica.Term), Vote: t.replica.Vote}, Snapshot: first,
	}, t.random, time.Now())
	t.log.WithFields(log.Fields{"change": "formed", "to": m.Voters}).Info("system formed")
	return []replica.Effect{
		replica.SaveHardState{HardState: t.replica.HardState},
		replica.SaveSnapshot{Snapshot: first, Reset: true},
	}
}
