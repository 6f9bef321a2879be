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
	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/search"
)

const (
	// housekeepingInterval is the interval between two checks of the members
	// and the upstreams.
	housekeepingInterval = 300 * time.Millisecond
	// learnerCheckInterval is the interval between two checks of the members while there is
	// a learner, which may have caught up.
	learnerCheckInterval = 20 * time.Millisecond
	// joinInterval is the interval between two join requests to the leader.
	joinInterval = 600 * time.Millisecond
	// standbyLifetime is how long a join request is valid: several join
	// intervals.
	standbyLifetime = 3 * time.Second
	// replaceVoterAfter is how long a voter may leave messages unanswered before
	// a standby that has caught up replaces it. After its return, an instance
	// still counts as lost for a time. replaceVoterAfter is shorter than that
	// time, so that the voters tolerate two losses in a row.
	replaceVoterAfter = 2500 * time.Millisecond
	// identifyTimeout limits one attempt to get the identities of all seeds.
	identifyTimeout = 400 * time.Millisecond
)

// runHousekeeping does the periodic work: it removes expired upstreams and sends join
// requests. An error, such as a failed disk, ends the instance.
func (t *task) runHousekeeping(now time.Time) error {
	if now.Before(t.housekeepingAt) {
		return nil
	}
	t.housekeepingAt = now.Add(housekeepingInterval)
	if err := t.withdrawExpired(now); err != nil {
		return err
	}
	t.metrics.GetOrCreateCounter("oriolepost_replica_commit_index").Set(t.replica.CommitIndex)
	t.logMembership()
	t.pruneFollowers(now)
	if t.leads() {
		t.stepQuarantine(now, quarantine.Pruned{})
	}
	t.notifySeeds(now)
	t.joinOrBootstrap(now)
	return nil
}

// withdrawExpired removes the upstreams whose announcements have expired. Among the
// members only the leader does so, because only it receives the announcements of all
// upstreams. A standby forgets those that no longer announce themselves to it.
func (t *task) withdrawExpired(now time.Time) error {
	if !t.leads() {
		if !t.isListed() {
			t.fleet.Remove(t.fleet.Expired(now))
		}
		return nil
	}
	expired := t.fleet.Expired(now)
	if len(expired) == 0 {
		return nil
	}
	t.fleet.Remove(expired)
	t.log.WithFields(log.Fields{"change": "upstream", "event": "expired", "upstreams": expired, "revision": t.fleet.Revision}).Info("upstreams expired")
	data, err := encode(record.Withdraw{Upstreams: expired})
	if err != nil {
		return err
	}
	return t.perform(t.propose(now, data, pendingProposal{}))
}

// recordDelay is how long new upstreams are collected before they are recorded.
// It spans several disk syncs, so that many upstreams share one sync.
const recordDelay = 20 * time.Millisecond

// maxEnrolledPerCommand limits the incarnations that one command records. Syncing
// a command of this size to disk, and sending it to a replica, takes only a few
// milliseconds.
const maxEnrolledPerCommand = 256

// recordMissing records the incarnations that this leader knows and the log lacks.
// Only one such command is in flight at a time: until it is applied, the
// upstreams in it would still count as missing.
func (t *task) recordMissing(now time.Time) error {
	if !t.leads() || t.enrolling || now.Before(t.recordAt) {
		return nil
	}
	t.recordAt = now.Add(housekeepingInterval)
	var missing []fleet.Upstream
	for id, member := range t.fleet.Members {
		if known, ok := t.state.Catalog.Upstreams[id]; !ok || t.fleet.Services.Outranks(member.Upstream, known) || known.SameIncarnation(member.Upstream) && known.Version != member.Version {
			missing = append(missing, member.Upstream)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	slices.SortFunc(missing, func(a, b fleet.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return t.perform(t.enroll(now, missing[:min(maxEnrolledPerCommand, len(missing))]))
}

// currentStandbys forgets expired join requests and returns the standbys, ordered by replica ID.
func (t *task) currentStandbys(now time.Time) []replica.Identity {
	maps.DeleteFunc(t.standbys, func(_ string, standby replica.Identity) bool {
		return now.Sub(standby.LastContact) > standbyLifetime
	})
	var standbys []replica.Identity
	for _, id := range slices.Sorted(maps.Keys(t.standbys)) {
		standbys = append(standbys, t.standbys[id])
	}
	return standbys
}

// replaceVoters takes the next step towards the planned set of voters. While a replacement is under way, the steps follow one another
// without a pause.
func (t *task) replaceVoters(now time.Time) error {
	if !t.leads() || now.Before(t.replaceVotersAt) {
		return nil
	}
	t.replaceVotersAt = now.Add(housekeepingInterval)
	if t.replica.ChangingMembers() {
		t.replaceVotersAt = time.Time{}
		return nil
	}
	t.plan.Leaving = t.departures.Leaving(now)
	members, due := t.plan.Next(t.replica, t.currentStandbys(now), now)
	if !due {
		if len(t.replica.Members.Learners) > 0 {
			t.replaceVotersAt = now.Add(learnerCheckInterval)
		}
		return nil
	}
	t.replaceVotersAt = time.Time{}
	t.log.WithFields(log.Fields{"change": "members", "from": t.replica.Members, "to": members}).Info("changing the replicas of the log")
	return t.perform(t.replica.Step(now, replica.ChangeMembers{Members: members}))
}

// join registers an instance with a disk as a standby.
func (t *task) join(now time.Time, m joinMessage) {
	if !t.leads() {
		m.answer <- answer{err: t.notLeaderError()}
		return
	}
	m.identity.LastContact = now
	t.standbys[m.identity.ReplicaID] = m.identity
	t.plan.Domains[m.identity.Instance] = m.identity.Domain
	m.answer <- answer{response: peer.JoinResponse{Group: t.currentGroup()}}
}

// joinOrBootstrap sends the leader a join request, unless this instance is a
// voter that knows the leader, or stops. At the very first start, an initial voter also
// begins to bootstrap the voter group.
func (t *task) joinOrBootstrap(now time.Time) {
	voter := slices.Contains(t.replica.Members.Voters, t.id())
	if now.Before(t.joinAt) || t.stopping || (voter && t.replica.Leader != "") {
		return
	}
	t.joinAt = now.Add(joinInterval)
	t.leaderClient.Refer(t.knownInstances())
	join := peer.JoinRequest{Instance: t.settings.IP, ReplicaID: t.id(), Domain: t.settings.Domain}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, joinInterval)
		defer cancel()
		response, err := t.leaderClient.Call(ctx, join)
		if err != nil {
			t.metrics.GetOrCreateCounter("oriolepost_join_errors_total").Inc()
		}
		accepted, _ := response.(peer.JoinResponse)
		select {
		case t.mailbox <- postedMessage{joinEndedMessage{accepted: err == nil, group: accepted.Group}, time.Now()}:
		case <-t.ctx.Done():
		}
	}()
	if t.notBootstrapped() && t.initialVoter() && !t.bootstrapping {
		t.bootstrapping = true
		t.joinAt = now.Add(housekeepingInterval)
		go t.discoverPeers()
	}
}

// logMembership logs a change of this instance's place in the voter group.
func (t *task) logMembership() {
	place := "outside"
	switch {
	case t.leads() || t.isMember() && t.replica.Leader != "":
		place = "member"
	case t.isMember():
		place = "member without a leader"
	case t.joined:
		place = "standby"
	}
	if place == t.place {
		return
	}
	t.log.WithFields(log.Fields{
		"change": "membership", "from": t.place, "to": place, "members": t.replica.Members, "term": t.replica.Term, "asked": t.leaderClient.Address(),
	}).Info("place in the voter group changed")
	t.place = place
}

func (t *task) notBootstrapped() bool { return len(t.replica.Members.Voters) == 0 }

// initialVoter reports whether this instance is one of the seeds at the very
// first start, when all instances have the same seeds. Its data folder must be
// empty.
func (t *task) initialVoter() bool {
	return t.settings.FirstStart && t.folder.Empty &&
		slices.Contains(t.formation.Seeds, t.settings.IP)
}

// discoverPeers asks all seeds who they are, and sends the task the answers.
func (t *task) discoverPeers() {
	ctx, cancel := context.WithTimeout(t.ctx, identifyTimeout)
	defer cancel()
	received := make(chan *replica.SeedAnswer, len(t.initialSeeds))
	for _, s := range t.initialSeeds {
		go func() { received <- t.requestIdentity(ctx, s) }()
	}
	var answers []replica.SeedAnswer
	for range t.initialSeeds {
		if a := <-received; a != nil {
			answers = append(answers, *a)
		}
	}
	select {
	case t.mailbox <- postedMessage{bootstrapMessage{answers: answers}, time.Now()}:
	case <-t.ctx.Done():
	}
}

// requestIdentity asks one seed who it is. It returns nil when the seed does not answer.
func (t *task) requestIdentity(ctx context.Context, s search.Instance) *replica.SeedAnswer {
	response, err := t.pool.Call(ctx, s.Address, peer.IdentifyRequest{})
	r, ok := response.(peer.IdentifyResponse)
	if err != nil || !ok {
		return nil
	}
	return &replica.SeedAnswer{ReplicaID: r.ReplicaID, Instance: r.Instance, Seeds: r.InitialSeeds, InitialVoter: r.InitialVoter, Members: r.Members}
}

func (t *task) identify() peer.IdentifyResponse {
	r := peer.IdentifyResponse{
		Instance: t.settings.IP, ReplicaID: t.id(), Known: t.knownInstances(),
		InitialSeeds: t.formation.Seeds, InitialVoter: t.notBootstrapped() && t.initialVoter(),
	}
	if !t.notBootstrapped() {
		m := t.replica.Members
		r.Members = &m
	}
	return r
}

// bootstrap creates the voter group if the answers of the seeds allow it.
func (t *task) bootstrap(answers []replica.SeedAnswer) []replica.Effect {
	t.bootstrapping = false
	if !t.notBootstrapped() {
		return nil
	}
	var members replica.Members
	switch outcome := t.formation.Decide(time.Now(), answers).(type) {
	case replica.Undecided:
		return nil
	case replica.Outside:
		t.logOutside(outcome)
		return nil
	case replica.Formed:
		members = outcome.Members
	}
	first := replica.Snapshot{Index: 1, Term: 1, Members: members}
	t.replica = replica.New(replicaConfig(t.id()), replica.PersistentState{
		HardState: replica.HardState{Term: max(1, t.replica.Term), Vote: t.replica.Vote}, Snapshot: first,
	}, t.random, time.Now())
	t.log.WithFields(log.Fields{"change": "formed", "voters": members.Voters}).Info("voter group bootstrapped")
	return []replica.Effect{
		replica.SaveHardState{HardState: t.replica.HardState},
		replica.SaveSnapshot{Snapshot: first, DropLaterEntries: true},
	}
}

// logOutside logs, once for each membership, that a group exists which has no place for
// this seed.
func (t *task) logOutside(outside replica.Outside) {
	if outside.Expected || slices.Equal(outside.Members.Voters, t.outsideOf) {
		return
	}
	t.outsideOf = outside.Members.Voters
	t.log.WithFields(log.Fields{"change": "membership", "members": outside.Members, "replica": t.id()}).Error("a voter group exists that does not list this initial seed")
}
