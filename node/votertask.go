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
	"github.com/oriolepost/oriolepost/proposal"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/slot"
	"github.com/oriolepost/oriolepost/state"
)

const (
	// voterMailboxSize limits the messages that wait for the voter task.
	voterMailboxSize = 8192
	// maxMessagesPerSync limits the waiting messages that are handled after the
	// first one and share its disk sync.
	maxMessagesPerSync = 512
	// voterTickInterval is the longest interval between two checks of the
	// replica's timers and of the periodic work. Both are also checked after each
	// batch of messages.
	voterTickInterval = 20 * time.Millisecond
	// joinInterval is the interval between two join requests to the leader. The
	// leader checks four times as often for voters to replace.
	joinInterval = time.Second
	// standbyLifetime is how long a join request is valid.
	standbyLifetime = 5 * time.Second
	// snapshotAfterEntries is the number of log entries at which a snapshot
	// replaces them.
	snapshotAfterEntries = 8192
	// identifyTimeout limits one attempt to identify all initial voters.
	identifyTimeout = 500 * time.Millisecond
)

// replicaConfig returns the timing and the message size of the replicated log.
func replicaConfig(id string) replica.Config {
	return replica.Config{
		ID:                id,
		HeartbeatInterval: 75 * time.Millisecond,
		ElectionTimeout:   500 * time.Millisecond,
		MaxDrift:          25 * time.Millisecond,
		MaxAppendEntries:  512,
		LargeBytes:        peer.LargeBytes,
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
	plan     replica.MembershipPlan
	mailbox  chan voterMessage
	pool     *peer.Pool
	leader   *peer.LeaderClient
	metrics  *metrics.Set
	log      log.Interface
	ctx      context.Context
	random   *rand.Rand

	// controlAddresses maps each control instance to its peer address.
	controlAddresses map[string]string
	proposals        *proposal.Proposals[chan<- proposeAnswer]
	// reportAnswers holds, by entry, the answer channel of the report that is
	// being handled.
	reportAnswers map[string]chan<- slot.Reply
	// standbys holds the valid join requests by replica identity.
	standbys map[string]replica.Identity
	// entryAddresses maps each entry to its peer address.
	entryAddresses map[string]string
	// joinAt is the earliest time of the next join request.
	joinAt time.Time
	// replaceVotersAt is the earliest time of the next check for lost voters.
	replaceVotersAt time.Time
	// bootstrapping is true while the initial voters are being identified.
	bootstrapping bool
	role          replica.RoleChanged
}

type proposeAnswer struct {
	result record.Result
	err    error
}

func newVoterTask(ctx context.Context, instanceSettings settings.Settings, folder *disk.Folder, pool *peer.Pool, leader *peer.LeaderClient) (*voterTask, error) {
	t := &voterTask{
		settings: instanceSettings, folder: folder, pool: pool, leader: leader, ctx: ctx,
		owner:            slot.NewOwner(),
		mailbox:          make(chan voterMessage, voterMailboxSize),
		random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		controlAddresses: map[string]string{},
		proposals:        proposal.NewProposals[chan<- proposeAnswer](),
		reportAnswers:    map[string]chan<- slot.Reply{},
		standbys:         map[string]replica.Identity{},
		entryAddresses:   map[string]string{},
	}
	t.plan = replica.MembershipPlan{
		Target:       len(instanceSettings.Voters()),
		ReplaceAfter: settings.Milliseconds(instanceSettings.ReplaceVoterAfterMS),
		Domains:      map[string]string{},
	}
	for _, c := range instanceSettings.Control {
		t.controlAddresses[c.Instance] = c.Address
		t.plan.Domains[c.Instance] = c.Domain
	}
	if err := t.restore(folder.Saved.Snapshot); err != nil {
		return nil, err
	}
	t.replica = replica.New(replicaConfig(t.id()), folder.Saved, t.random, time.Now())
	return t, nil
}

func (t *voterTask) id() string { return replica.ID(t.settings.Instance, t.folder.Identity.ReplicaID) }

// restore replaces the state machine by that of a snapshot, or by a new one if
// the snapshot is empty.
func (t *voterTask) restore(snapshot replica.Snapshot) error {
	fresh := state.New()
	if len(snapshot.Data) > 0 {
		if err := json.Unmarshal(snapshot.Data, fresh); err != nil {
			return fmt.Errorf("restore snapshot at index %d: %w", snapshot.Index, err)
		}
	}
	t.state = fresh
	t.stepOwner(slot.CatalogChanged{Catalog: fresh.Catalog})
	return nil
}

// run handles messages and timers until the context ends or the disk fails. After
// a failed write the replica must acknowledge nothing more, so the error ends the
// instance.
func (t *voterTask) run() error {
	ticker := time.NewTicker(voterTickInterval)
	defer ticker.Stop()
	for {
		var effects []replica.Effect
		select {
		case <-t.ctx.Done():
			return nil
		case m := <-t.mailbox:
			effects = append(t.step(m), t.stepWaiting()...)
		case <-ticker.C:
			// Messages that came while this task was not run, such as the leader's
			// heartbeats, count before the timers.
			effects = t.stepWaiting()
		}
		effects = append(effects, t.replica.Step(time.Now(), replica.Tick{})...)
		if err := t.perform(effects); err != nil {
			return fmt.Errorf("voter task failed: %w", err)
		}
		if err := t.runHousekeeping(time.Now()); err != nil {
			return fmt.Errorf("voter task failed: %w", err)
		}
	}
}

// stepWaiting handles the messages that wait, so that they share one disk sync.
func (t *voterTask) stepWaiting() []replica.Effect {
	var effects []replica.Effect
	for range maxMessagesPerSync {
		select {
		case m := <-t.mailbox:
			effects = append(effects, t.step(m)...)
		default:
			return effects
		}
	}
	return effects
}

func (t *voterTask) step(message voterMessage) []replica.Effect {
	now := time.Now()
	switch message := message.(type) {
	case replicaMessage:
		return t.replica.Step(now, message.event)
	case proposeMessage:
		return t.propose(now, message)
	case reportMessage:
		t.report(now, message)
	case joinMessage:
		t.join(now, message)
	case statusMessage:
		t.status(now, message)
	case confirmMessage:
		t.confirm(now, message)
	case identifyMessage:
		message.answer <- t.identify()
	case bootstrapMessage:
		return t.bootstrap(message.voters)
	case transferMessage:
		leads := t.replica.Role == replica.RoleLeader
		message.done <- !leads
		return t.replica.Step(now, replica.TransferLeadership{})
	}
	return nil
}

// propose appends a command to the log. A claim of an idempotency key that is
// already known is answered without a log entry while the leader holds its lease:
// the answer changes nothing, and the lease guarantees that the applied state is
// current.
func (t *voterTask) propose(now time.Time, m proposeMessage) []replica.Effect {
	if c, ok := m.command.(record.Claim); ok && t.holdsLease(now) {
		bounds := t.state.Catalog.Documents[c.Service].Idempotency
		if result, known := t.state.Ledger.Known(c, bounds); known {
			m.answer <- proposeAnswer{result: result}
			return nil
		}
	}
	return t.replica.Step(now, replica.Propose{Token: t.proposals.Add(m.answer), Data: m.data})
}

// perform saves and syncs the effects, and only then sends messages and applies
// entries.
func (t *voterTask) perform(effects []replica.Effect) error {
	if err := proposal.SaveEffects(t.folder, effects, t.metrics, nil); err != nil {
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
	switch effect := effect.(type) {
	case replica.SaveHardState, replica.SaveEntries, replica.SaveSnapshot:
	case replica.Send:
		t.send(effect)
	case replica.Apply:
		return t.apply(effect.Entry)
	case replica.Restore:
		return t.restore(effect.Snapshot)
	case replica.Appended:
		t.proposals.Appended(effect)
	case replica.ProposalRefused:
		t.proposalRefused(effect)
	case replica.RoleChanged:
		t.roleChanged(effect)
	}
	return nil
}

func (t *voterTask) send(e replica.Send) {
	address, ok := t.controlAddresses[replica.InstanceOf(e.To)]
	if !ok {
		return
	}
	t.pool.Notify(address, peer.ReplicaMessage{From: t.id(), To: e.To, Message: e.Message, Large: e.Large})
}

// apply applies a committed log entry and answers its proposer.
func (t *voterTask) apply(entry replica.Entry) error {
	var result record.Result = record.Done{Index: entry.Index}
	if entry.Members == nil {
		c, err := jsonform.DecodeCommand(entry.Data)
		if err != nil {
			return fmt.Errorf("apply log entry %d: %w", entry.Index, err)
		}
		result = t.state.Apply(entry.Index, c)
		t.stepOwner(slot.CatalogChanged{Catalog: t.state.Catalog})
	}
	if answer, lost, ok := t.proposals.Applied(entry); ok {
		if lost {
			answer <- proposeAnswer{err: t.lostError()}
		} else {
			answer <- proposeAnswer{result: result}
		}
	}
	return t.compact(entry.Index)
}

// compact replaces the log by a snapshot once it holds enough entries.
func (t *voterTask) compact(index uint64) error {
	if index < t.replica.FirstIndex()+snapshotAfterEntries {
		return nil
	}
	data, err := json.Marshal(t.state)
	if err != nil {
		return fmt.Errorf("encode state for a snapshot: %w", err)
	}
	t.metrics.GetOrCreateCounter("oriolepost_snapshots_total").Inc()
	return t.perform(t.replica.Step(time.Now(), replica.Compact{Index: index, Data: data}))
}

func (t *voterTask) lostError() error {
	return &peer.RefusedError{
		Code: peer.CodeLost, Reason: "the leader changed while the proposal was under way",
		Leader: replica.InstanceOf(t.replica.Leader),
	}
}

func (t *voterTask) notLeaderError() error {
	return &peer.RefusedError{
		Code: peer.CodeNotLeader, Reason: "not the leader",
		Leader: replica.InstanceOf(t.replica.Leader),
	}
}

func (t *voterTask) proposalRefused(e replica.ProposalRefused) {
	if answer, ok := t.proposals.Refused(e); ok {
		answer <- proposeAnswer{err: t.notLeaderError()}
	}
}

func (t *voterTask) roleChanged(change replica.RoleChanged) {
	if change == t.role {
		return
	}
	t.log.WithFields(log.Fields{
		"change": "role", "from": string(t.role.Role), "to": string(change.Role),
		"term": change.Term, "leader": replica.InstanceOf(change.Leader),
	}).Info("replica role changed")
	t.role = change
	if change.Role == replica.RoleLeader {
		return
	}
	for _, answer := range t.proposals.Abandon() {
		answer <- proposeAnswer{err: t.lostError()}
	}
	t.stepOwner(slot.LostLeadership{})
}

// post sends the task a message, or returns an error when the mailbox is full.
func (t *voterTask) post(m voterMessage) error {
	select {
	case t.mailbox <- m:
		return nil
	default:
		t.metrics.GetOrCreateCounter("oriolepost_voter_mailbox_full_total").Inc()
		return &peer.RefusedError{Code: peer.CodeBusy, Reason: "too many messages wait"}
	}
}
