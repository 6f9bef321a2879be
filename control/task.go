package control

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/quorum"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/state"
	"github.com/oriolepost/oriolepost/timer"
)

const (
	// mailboxSize bounds the messages that wait for the task.
	mailboxSize = 4096
	// maxBatch bounds the messages that share one sync.
	maxBatch = 256
	// compactAfter is how many entries the log holds before a snapshot, with one
	// more for each upstream: a snapshot costs as much as it is long.
	compactAfter = 128
	// compactBytes is how many bytes of commands it holds at most: what a
	// restarted instance reads within a few tens of milliseconds.
	compactBytes = 256 << 10
	// heartbeatEvery and electionTimeout are the pace of the replicated log:
	// five heartbeats in an election timeout, and a new leader within about a
	// second, so that entries hear of it within the 2 s of a change in force.
	heartbeatEvery  = 90 * time.Millisecond
	electionTimeout = 450 * time.Millisecond
	maxDrift        = 25 * time.Millisecond
	// maxAppendEntries bounds the entries of one message between replicas.
	maxAppendEntries = 128
)

// task owns the replicated log, its data folder, the state machine, the fleet
// and the watches of one control instance.
type task struct {
	settings settings.Deployment
	folder   *disk.Folder
	replica  *replica.Replica
	state    *state.State
	fleet    *fleet.Table
	mailbox  chan mail
	pool     *peer.Pool
	leader   *peer.Leader
	seeds    []peer.Address
	metrics  *metrics.Set
	log      log.Interface
	ctx      context.Context
	random   *rand.Rand

	proposals *quorum.Proposals[proposal]
	role      replica.RoleChanged

	watchers map[string]*watcher
	// held are watches that wait for a leader, until heldUntil.
	held      []watchMail
	heldUntil time.Time
	// wholeViews are the newest encoded views of everything, with and without
	// the configuration: the key says whether it is known already.
	wholeViews map[bool]encodedView
	// tellAt is when news may be told to the entries again.
	tellAt time.Time
	// recordAt is when upstreams are looked for that the log lacks, and enrolling
	// is true while a command that records some is under way.
	recordAt  time.Time
	enrolling bool
	// gathered are announcements for the leader, and heard the upstreams whose
	// announcements brought nothing new; both are sent at gatherUntil.
	gathered    []peer.AnnounceRequest
	heard       []string
	gatherUntil time.Time
	// logBytes is the size of the commands applied since the last snapshot.
	logBytes int
	// committed counts the changes of the state that entries follow.
	committed uint64

	plan     replica.Plan
	standbys map[string]replica.Identity
	joinAt   time.Time
	houseAt  time.Time
	forming  bool
}

// proposal is a command on its way through the log.
type proposal struct {
	answer chan<- answer
	// read is true when the answer is the configuration.
	read bool
	// enrolls is true for a command that records upstreams.
	enrolls bool
}

func newTask(ctx context.Context, d settings.Deployment, o Options, f *disk.Folder, pool *peer.Pool, leader *peer.Leader, seeds []peer.Address) (*task, error) {
	t := &task{
		settings: d, folder: f, pool: pool, leader: leader, seeds: seeds, ctx: ctx,
		metrics: o.Metrics, log: o.Log, fleet: fleet.New(),
		mailbox:    make(chan mail, mailboxSize),
		random:     rand.New(rand.NewPCG(rand.Uint64(), identityHash(d.IP))),
		proposals:  quorum.NewProposals[proposal](),
		wholeViews: map[bool]encodedView{}, watchers: map[string]*watcher{}, standbys: map[string]replica.Identity{},
	}
	t.plan = replica.Plan{Target: d.Voters(), After: replaceAfter, Domains: map[string]string{}}
	if err := t.restore(f.Saved.Snapshot); err != nil {
		return nil, err
	}
	t.replica = replica.New(replicaConfig(t.id()), f.Saved, t.random, time.Now())
	return t, nil
}

// identityHash tells instances apart whose machines draw the same random numbers:
// started together after a loss of power, they would stand for election together
// and split the votes.
func identityHash(ip string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(ip))
	return h.Sum64()
}

func replicaConfig(id string) replica.Config {
	return replica.Config{
		ID: id, HeartbeatEvery: heartbeatEvery, ElectionTimeout: electionTimeout,
		VoteAtStart: true, MaxDrift: maxDrift, MaxAppendEntries: maxAppendEntries,
	}
}

func (t *task) id() string { return replica.ID(t.settings.IP, t.folder.Identity.ReplicaID) }

func encode(c record.Command) ([]byte, error) { return jsonform.EncodeCommand(c) }

// restore replaces the state machine by a snapshot.
func (t *task) restore(s replica.Snapshot) error {
	fresh := state.New()
	if len(s.Data) > 0 {
		data, err := jsonform.Decompress(s.Data)
		if err == nil {
			err = json.Unmarshal(data, fresh)
		}
		if err != nil {
			return fmt.Errorf("restore snapshot %d: %w", s.Index, err)
		}
	}
	t.state = fresh
	for _, r := range fresh.Catalog.Retired {
		t.fleet.Retire(r.Upstream, r.BornMS)
	}
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(fresh.Catalog.Upstreams)) {
		t.fleet.Restore(now, fresh.Catalog.Upstreams[id])
	}
	t.committed++
	return nil
}

// run owns the state until the context ends or the disk fails. After a failed
// write nothing more may be promised, so the error ends the instance.
func (t *task) run() error {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		var effects []replica.Effect
		select {
		case <-t.ctx.Done():
			return nil
		case <-wake.C:
		case m := <-t.mailbox:
			effects = t.drain(m)
		}
		now := time.Now()
		effects = append(effects, t.replica.Step(now, replica.Tick{})...)
		if err := t.perform(effects); err != nil {
			return err
		}
		if err := t.keepHouse(now); err != nil {
			return err
		}
		if err := t.recordMissing(now); err != nil {
			return err
		}
		t.forward(now)
		t.releaseHeld(now)
		t.answerWatches(time.Now())
		wake.Reset(max(time.Millisecond, time.Until(t.nextWake())))
	}
}

// nextWake is when time alone brings something to do.
func (t *task) nextWake() time.Time {
	next := t.houseAt
	if due := t.replica.NextWake(); due.Before(next) {
		next = due
	}
	if len(t.held) > 0 && t.heldUntil.Before(next) {
		next = t.heldUntil
	}
	if t.leads() && !t.enrolling && t.recordAt.Before(next) {
		next = t.recordAt
	}
	for _, due := range []time.Time{t.nextWatchDue(time.Now()), t.gatherUntil} {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	return next
}

// drain steps through the messages that wait, so that they share one sync.
func (t *task) drain(first mail) []replica.Effect {
	now := time.Now()
	effects := t.step(now, first)
	for range maxBatch {
		select {
		case m := <-t.mailbox:
			effects = append(effects, t.step(now, m)...)
		default:
			return effects
		}
	}
	return effects
}

func (t *task) step(now time.Time, m mail) []replica.Effect {
	switch m := m.(type) {
	case replicaMail:
		return t.replica.Step(now, m.event)
	case proposeMail:
		return t.propose(now, m.data, proposal{answer: m.answer})
	case readMail:
		return t.propose(now, nil, proposal{answer: m.answer, read: true})
	case announceMail:
		return t.announce(now, m)
	case renewMail:
		t.renew(now, m)
	case watchMail:
		t.watch(now, m)
	case joinMail:
		t.join(now, m)
	case identifyMail:
		m.answer <- answer{response: t.identify()}
	case formMail:
		return t.form(m.voters)
	case handOverMail:
		m.done <- t.replica.Role != replica.RoleLeader
		return t.replica.Step(now, replica.HandOver{})
	}
	return nil
}

// propose appends a command. No data is an entry that changes nothing: once it
// is committed, everything that was acknowledged before it is applied, and no
// clock is needed to know that.
func (t *task) propose(now time.Time, data []byte, p proposal) []replica.Effect {
	return t.replica.Step(now, replica.Propose{Token: t.proposals.Add(p), Data: data})
}

// perform saves, syncs, then sends and applies.
func (t *task) perform(effects []replica.Effect) error {
	if err := t.save(effects); err != nil {
		return err
	}
	for _, e := range effects {
		if err := t.performOne(e); err != nil {
			return err
		}
	}
	return nil
}

// fullPause is the pause between two tries to write to a full disk.
const fullPause = 200 * time.Millisecond

// save waits for room on a full disk as if it were a slow one: nothing was
// promised yet, and others can lead meanwhile.
func (t *task) save(effects []replica.Effect) error {
	logged := false
	return quorum.Save(t.folder, effects, t.metrics, func(err error) bool {
		t.metrics.GetOrCreateCounter("oriolepost_disk_full_total").Inc()
		if !logged {
			logged = true
			t.log.WithError(err).WithField("change", "disk").Error("disk is full")
		}
		return timer.Pause(t.ctx, fullPause)
	})
}

func (t *task) performOne(effect replica.Effect) error {
	switch e := effect.(type) {
	case replica.SaveHardState, replica.SaveEntries, replica.SaveSnapshot:
	case replica.Send:
		t.pool.Notify(PeerAddress(replica.InstanceOf(e.To), t.settings.PeerPort),
			peer.ReplicaMessage{From: t.id(), To: e.To, Message: e.Message})
	case replica.Apply:
		return t.apply(e.Entry)
	case replica.Restore:
		return t.restore(e.Snapshot)
	case replica.Appended:
		t.proposals.Appended(e)
	case replica.Refused:
		if p, ok := t.proposals.Refused(e); ok {
			t.conclude(p, t.notLeader(), nil)
		}
	case replica.RoleChanged:
		t.roleChanged(e)
	}
	return nil
}

func (t *task) lost() error {
	return &peer.RefusedError{
		Code: peer.CodeLost, Reason: "the leader changed while the proposal was under way",
		Leader: replica.InstanceOf(t.replica.Leader),
	}
}

func (t *task) notLeader() error {
	return &peer.RefusedError{
		Code: peer.CodeNotLeader, Reason: "not the leader", Leader: replica.InstanceOf(t.replica.Leader),
	}
}

func (t *task) leads() bool { return t.replica.Role == replica.RoleLeader }

func (t *task) roleChanged(e replica.RoleChanged) {
	if e == t.role {
		return
	}
	t.log.WithFields(log.Fields{
		"change": "role", "from": string(t.role.Role), "to": string(e.Role),
		"term": e.Term, "leader": replica.InstanceOf(e.Leader),
	}).Info("role changed")
	t.role = e
	clear(t.wholeViews)
	if e.Role == replica.RoleLeader {
		t.fleet.Refresh(time.Now())
		return
	}
	for _, p := range t.proposals.Abandon() {
		t.conclude(p, t.lost(), nil)
	}
	t.refuseWatches()
}
