package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/quorum"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/slot"
	"github.com/oriolepost/oriolepost/state"
)

const (
	// voterMailbox bounds the messages that wait for the voter task.
	voterMailbox = 8192
	// maxBatch bounds the messages that share one sync.
	maxBatch = 512
	// voterTick is the pause between two looks at the clock.
	voterTick = 20 * time.Millisecond
	// joinEvery is the pause between two offers to the leader.
	joinEvery = time.Second
	// standbyLifetime is how long an offer counts.
	standbyLifetime = 5 * time.Second
	// compactAfter is how many entries the log holds before a snapshot.
	compactAfter = 8192
	// formTimeout bounds one look at the other initial voters.
	formTimeout = 500 * time.Millisecond
)

// replicaConfig holds the timing of the replicated log.
func replicaConfig(id string) replica.Config {
	return replica.Config{
		ID:               id,
		HeartbeatEvery:   75 * time.Millisecond,
		ElectionTimeout:  500 * time.Millisecond,
		MaxDrift:         25 * time.Millisecond,
		MaxAppendEntries: 512,
	}
}

// voterTask owns the replicated log, its data folder, the state machine and
// the slot owner of an instance with a disk.
type voterTask struct {
	settings settings.Settings
	folder   *disk.Folder
	replica  *replica.Replica
	state    *state.State
	owner    *slot.Owner
	plan     replica.Plan
	mailbox  chan voterMail
	pool     *peer.Pool
	leader   *peer.Leader
	metrics  *metrics.Set
	log      log.Interface
	ctx      context.Context
	random   *rand.Rand

	addresses map[string]string
	proposals *quorum.Proposals[chan<- proposeAnswer]
	reports   map[string]chan<- slot.Reply
	standbys  map[string]replica.Identity
	entries   map[string]string
	joinAt    time.Time
	planAt    time.Time
	forming   bool
	role      replica.RoleChanged
}

type proposeAnswer struct {
	result record.Result
	err    error
}

func newVoterTask(ctx context.Context, s settings.Settings, f *disk.Folder, pool *peer.Pool, leader *peer.Leader) (*voterTask, error) {
	t := &voterTask{
		settings: s, folder: f, pool: pool, leader: leader, ctx: ctx,
		owner:     slot.NewOwner(),
		mailbox:   make(chan voterMail, voterMailbox),
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		addresses: map[string]string{},
		proposals: quorum.NewProposals[chan<- proposeAnswer](),
		reports:   map[string]chan<- slot.Reply{},
		standbys:  map[string]replica.Identity{},
		entries:   map[string]string{},
	}
	t.plan = replica.Plan{
		Target:  len(s.Voters()),
		After:   settings.Milliseconds(s.ReplaceVoterAfterMS),
		Domains: map[string]string{},
	}
	for _, c := range s.Control {
		t.addresses[c.Instance] = c.Address
		t.plan.Domains[c.Instance] = c.Domain
	}
	if err := t.restore(f.Saved.Snapshot); err != nil {
		return nil, err
	}
	t.replica = replica.New(replicaConfig(t.id()), f.Saved, t.random, time.Now())
	return t, nil
}

func (t *voterTask) id() string { return replica.ID(t.settings.Instance, t.folder.Identity.ReplicaID) }

// restore replaces the state machine by a snapshot.
func (t *voterTask) restore(s replica.Snapshot) error {
	fresh := state.New()
	if len(s.Data) > 0 {
		if err := json.Unmarshal(s.Data, fresh); err != nil {
			return fmt.Errorf("restore snapshot %d: %w", s.Index, err)
		}
	}
	t.state = fresh
	t.stepOwner(slot.Configured{Catalog: fresh.Catalog})
	return nil
}

// run owns the state until the context ends or the disk fails. After a failed
// write nothing more may be promised, so the error ends the instance.
func (t *voterTask) run() error {
	ticker := time.NewTicker(voterTick)
	defer ticker.Stop()
	for {
		var effects []replica.Effect
		select {
		case <-t.ctx.Done():
			return nil
		case m := <-t.mailbox:
			effects = t.batch(m)
		case <-ticker.C:
		}
		effects = append(effects, t.replica.Step(time.Now(), replica.Tick{})...)
		if err := t.perform(effects); err != nil {
			return fmt.Errorf("voter stopped: %w", err)
		}
		if err := t.lead(time.Now()); err != nil {
			return fmt.Errorf("voter stopped: %w", err)
		}
	}
}

// batch handles a message and those that wait behind it.
func (t *voterTask) batch(m voterMail) []replica.Effect {
	effects := t.mail(m)
	for range maxBatch {
		select {
		case m := <-t.mailbox:
			effects = append(effects, t.mail(m)...)
		default:
			return effects
		}
	}
	return effects
}

func (t *voterTask) mail(m voterMail) []replica.Effect {
	now := time.Now()
	switch m := m.(type) {
	case replicaMail:
		return t.replica.Step(now, m.event)
	case proposeMail:
		return t.propose(now, m)
	case reportMail:
		t.report(now, m)
	case joinMail:
		t.join(now, m)
	case statusMail:
		t.status(now, m)
	case confirmMail:
		t.confirm(now, m)
	case identifyMail:
		m.answer <- t.identify()
	case formMail:
		return t.form(m.voters)
	case handOverMail:
		leads := t.replica.Role == replica.RoleLeader
		m.done <- !leads
		return t.replica.Step(now, replica.HandOver{})
	}
	return nil
}

// propose appends a command, unless it is a claim of a key that is known: such
// an answer changes nothing, and the lease makes the applied state current.
func (t *voterTask) propose(now time.Time, m proposeMail) []replica.Effect {
	if c, ok := m.command.(record.Claim); ok && t.leased(now) {
		bounds := t.state.Catalog.Documents[c.Service].Idempotency
		if result, known := t.state.Ledger.Known(c, bounds); known {
			m.answer <- proposeAnswer{result: result}
			return nil
		}
	}
	return t.replica.Step(now, replica.Propose{Token: t.proposals.Add(m.answer), Data: m.data})
}

// perform saves, syncs, then sends and applies.
func (t *voterTask) perform(effects []replica.Effect) error {
	if err := quorum.Save(t.folder, effects, t.metrics, nil); err != nil {
		return err
	}
	for _, e := range effects {
		if err := t.performOne(e); err != nil {
			return err
		}
	}
	return nil
}

func (t *voterTask) performOne(effect replica.Effect) error {
	switch e := effect.(type) {
	case replica.SaveHardState, replica.SaveEntries, replica.SaveSnapshot:
	case replica.Send:
		t.send(e)
	case replica.Apply:
		return t.apply(e.Entry)
	case replica.Restore:
		return t.restore(e.Snapshot)
	case replica.Appended:
		t.proposals.Appended(e)
	case replica.Refused:
		t.refuse(e)
	case replica.RoleChanged:
		t.roleChanged(e)
	}
	return nil
}

func (t *voterTask) send(e replica.Send) {
	address, ok := t.addresses[replica.InstanceOf(e.To)]
	if !ok {
		return
	}
	t.pool.Notify(address, peer.ReplicaMessage{From: t.id(), To: e.To, Message: e.Message})
}

// apply applies a committed entry and answers its proposer.
func (t *voterTask) apply(e replica.Entry) error {
	var result record.Result = record.Done{Index: e.Index}
	if e.Members == nil {
		c, err := jsonform.DecodeCommand(e.Data)
		if err != nil {
			return fmt.Errorf("apply entry %d: %w", e.Index, err)
		}
		result = t.state.Apply(e.Index, c)
		t.stepOwner(slot.Configured{Catalog: t.state.Catalog})
	}
	if answer, lost, ok := t.proposals.Applied(e); ok {
		if lost {
			answer <- proposeAnswer{err: t.lost()}
		} else {
			answer <- proposeAnswer{result: result}
		}
	}
	return t.compact(e.Index)
}

// compact replaces the log by a snapshot when it has grown long.
func (t *voterTask) compact(index uint64) error {
	if index < t.replica.FirstKept()+compactAfter {
		return nil
	}
	data, err := json.Marshal(t.state)
	if err != nil {
		return fmt.Errorf("encode state: %w", err)
	}
	t.metrics.GetOrCreateCounter("oriolepost_snapshots_total").Inc()
	return t.perform(t.replica.Step(time.Now(), replica.Compact{Index: index, Data: data}))
}

func (t *voterTask) lost() error {
	return &peer.RefusedError{
		Code: peer.CodeLost, Reason: "the leader changed while the proposal was under way",
		Leader: replica.InstanceOf(t.replica.Leader),
	}
}

func (t *voterTask) notLeader() error {
	return &peer.RefusedError{
		Code: peer.CodeNotLeader, Reason: "not the leader",
		Leader: replica.InstanceOf(t.replica.Leader),
	}
}

func (t *voterTask) refuse(e replica.Refused) {
	if answer, ok := t.proposals.Refused(e); ok {
		answer <- proposeAnswer{err: t.notLeader()}
	}
}

func (t *voterTask) roleChanged(e replica.RoleChanged) {
	if e == t.role {
		return
	}
	t.log.WithFields(log.Fields{
		"change": "role", "from": string(t.role.Role), "to": string(e.Role),
		"term": e.Term, "leader": replica.InstanceOf(e.Leader),
	}).Info("role changed")
	t.role = e
	if e.Role == replica.RoleLeader {
		return
	}
	for _, answer := range t.proposals.Abandon() {
		answer <- proposeAnswer{err: t.lost()}
	}
	t.stepOwner(slot.Deposed{})
}

// post gives the task a message, or refuses it when the mailbox is full.
func (t *voterTask) post(m voterMail) error {
	select {
	case t.mailbox <- m:
		return nil
	default:
		t.metrics.GetOrCreateCounter("oriolepost_voter_mailbox_full_total").Inc()
		return &peer.RefusedError{Code: peer.CodeBusy, Reason: "too many messages wait"}
	}
}
