package control

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/allowance"
	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/proposal"
	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/quota"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/search"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/state"
	"github.com/oriolepost/oriolepost/timer"
	"github.com/oriolepost/oriolepost/watcher"
)

const (
	// mailboxSize limits the messages that wait for the task.
	mailboxSize = 4096
	// maxMessagesPerSync limits the waiting messages that are handled after the
	// first one and share its disk sync.
	maxMessagesPerSync = 256
	// snapshotAfterEntries is the number of entries in the log after which a
	// snapshot is taken. One more is allowed for each upstream, since the cost
	// of a snapshot grows with the number of upstreams.
	snapshotAfterEntries = 128
	// snapshotAfterBytes is the size of the commands applied since the last
	// snapshot after which another one is taken, however few entries they are.
	// A restarted instance with 0.24 of a core took 0.46 s to apply 250 KB of
	// configurations, during which a new leader answers nobody.
	snapshotAfterBytes = 128 << 10
	// heartbeatInterval and electionTimeout set the timing of the replicated
	// log. Five heartbeats fit into an election timeout, and a new leader is
	// elected within about a second. Entries then learn of it within the 2 s in
	// which a change must be in force.
	heartbeatInterval = 90 * time.Millisecond
	electionTimeout   = 450 * time.Millisecond
	// maxClockDrift is the maximum by which the clocks of two instances may
	// diverge within one election timeout.
	maxClockDrift = 25 * time.Millisecond
	// maxAppendEntries limits the entries in one message between replicas.
	maxAppendEntries = 128
)

// task owns the replicated log, its data folder, the state machine, the fleet
// and the watches of one control instance.
type task struct {
	settings     settings.Deployment
	folder       *disk.Folder
	replica      *replica.Replica
	state        *state.State
	fleet        *fleet.Table
	mailbox      chan postedMessage
	backlog      backlog
	pool         *peer.Pool
	leaderClient *peer.LeaderClient
	// seeds are the instances that the settings name now, and initialSeeds those that
	// they named at the start.
	seeds        []search.Instance
	initialSeeds []search.Instance
	metrics      *metrics.Set
	log          log.Interface
	ctx          context.Context
	random       *rand.Rand

	proposals *proposal.Proposals[pendingProposal]
	orders    *proposal.Orders[chan<- answer]
	role      replica.RoleChanged

	// watchers decides when the watches of entries are answered. watches holds the
	// unanswered ones by entry.
	watchers *watcher.Table
	watches  map[string]watchMessage
	// roster numbers the entries that follow this leader or its relays, and relaysSeen
	// holds the relays by instance.
	roster     *watcher.Roster
	relaysSeen map[string]relaySeen
	// relay is what this instance passes on to entries while it does not lead, and
	// relayPool has its connections to the leader. relaying is whether it did when that
	// was last logged.
	relay     *relay
	relayPool *peer.Pool
	relaying  bool
	// quarantine is what this leader knows of contents that crash upstreams. suspects
	// holds the reports that wait while this instance passes others on to the leader,
	// which is so if passingOn.
	quarantine *quarantine.Owner
	suspects   []suspectMessage
	passingOn  bool
	// owner grants the entries their parts of limits on sums, while this instance leads in
	// ownerTerm. startedAt is the start of this task.
	owner     *allowance.Owner
	ownerTerm uint64
	startedAt time.Time
	// watched is the state as of which the watchers last learned of a change.
	watched watchedVersion
	// suspensions tells whether the machine was suspended, and so what the leader may prove.
	suspensions timer.Suspensions
	// heldWatches are the watches that wait for a leader, until heldUntil.
	heldWatches []watchMessage
	heldUntil   time.Time
	// heldCopies are the requests for a copy that wait for a leader, in the order in
	// which they came.
	heldCopies []heldCopy
	// fullViews caches the newest encoded full views.
	fullViews map[fullViewKey]encodedView
	// comparisons caches the newest encoded answers to watches with a digest.
	comparisons map[comparison]encodedView
	// differences caches the newest encoded answers to watches that lack some changes.
	differences map[peer.WatchRequest]encodedView
	// recordAt is the next time at which upstreams missing from the log are
	// recorded. enrolling is true while a command that records some is in
	// flight.
	recordAt  time.Time
	enrolling bool
	// pendingAnnouncements are announcements for the leader. pendingRenewals
	// are the ids of upstreams whose announcements changed nothing. Both are
	// sent at forwardAt.
	pendingAnnouncements []peer.AnnounceRequest
	pendingRenewals      []string
	forwardAt            time.Time
	// unnamedLogAt is the earliest time of the next log line about an announcement for a
	// service that the configuration does not name.
	unnamedLogAt time.Time
	// bytesSinceSnapshot is the size of the commands applied since the last
	// snapshot.
	bytesSinceSnapshot int
	// decodings are the large commands that are being decoded, by the index of their entry.
	decodings map[uint64]decoding
	// committedChanges counts the applied commands and restored snapshots.
	committedChanges uint64

	rollouts rollouts
	quotas   quotas

	plan replica.MembershipPlan
	// standbys holds, by replica ID, the instances that sent this leader a join
	// request.
	standbys map[string]replica.Identity
	// departures decides when replicas may stop, while this instance leads. stopping is true
	// once this instance is about to stop itself.
	departures replica.Departures
	stopping   bool
	// joinAt is the earliest time of the next join request.
	joinAt time.Time
	// joined is true while the leader accepts this instance's join requests.
	joined bool
	// group is what the leader last said of the voter group.
	group peer.Group
	// noticeAt is the time of the leader's next notice to the seeds.
	noticeAt time.Time
	// place is this instance's place in the voter group, as last logged.
	place          string
	housekeepingAt time.Time
	// replaceVotersAt is the earliest time of the next step of the plan; the zero time means
	// that the next step is due as soon as the previous one is committed.
	replaceVotersAt time.Time
	// formation decides how this instance takes part in the formation of the voter group.
	formation replica.Formation
	// bootstrapping is true while all seeds are asked for their identities.
	bootstrapping bool
	// outsideOf are the voters of the group that last had no place for this seed.
	outsideOf []string
}

func newTask(ctx context.Context, deployment settings.Deployment, options Options, folder *disk.Folder, pool *peer.Pool, leader *peer.LeaderClient, seeds []search.Instance) (*task, error) {
	t := &task{
		settings: deployment, folder: folder, pool: pool, leaderClient: leader, seeds: seeds, initialSeeds: seeds, ctx: ctx,
		metrics: options.Metrics, log: options.Log, fleet: fleet.New(), quarantine: quarantine.NewOwner(), startedAt: time.Now(),
		mailbox:   make(chan postedMessage, mailboxSize),
		backlog:   backlog{handled: map[string]int{}},
		random:    rand.New(rand.NewPCG(rand.Uint64(), ipHash(deployment.IP))),
		proposals: proposal.NewProposals[pendingProposal](),
		orders:    proposal.NewOrders[chan<- answer](), decodings: map[uint64]decoding{},
		fullViews: map[fullViewKey]encodedView{}, comparisons: map[comparison]encodedView{}, watchers: watcher.New(), roster: watcher.NewRoster(), relaysSeen: map[string]relaySeen{}, watches: map[string]watchMessage{}, differences: map[peer.WatchRequest]encodedView{}, standbys: map[string]replica.Identity{},
		departures: replica.Departures{Lifetime: leaveLifetime, StandbysKnownAfter: standbysKnownAfter},
	}
	t.rollouts = newRollouts(deployment.Bounds)
	t.quotas = quotas{window: deployment.Bounds.QuotaWindow, collected: map[string]quota.Usage{}}
	t.plan = replica.MembershipPlan{Target: deployment.Voters(), ReplaceAfter: replaceVoterAfter, Domains: map[string]string{}}
	if err := t.restore(folder.Saved.Snapshot); err != nil {
		return nil, err
	}
	t.replica = replica.New(replicaConfig(t.id()), folder.Saved, t.random, time.Now())
	t.formation = replica.Formation{Self: t.id(), Seeds: namesOf(seeds), StartedAt: time.Now()}
	t.relay = newRelay(deployment.IP, t.id()+"/"+randomID())
	t.relayPool = peer.NewPool(ctx, peer.Options{Metrics: options.Metrics, Dial: options.Dial})
	return t, nil
}

// ipHash makes the random seeds of instances differ even if their machines draw
// the same random numbers, as after a power loss that restarts them together.
// With the same seed they would start elections at the same time and split the
// votes.
func ipHash(ip string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(ip))
	return h.Sum64()
}

func replicaConfig(id string) replica.Config {
	return replica.Config{
		ID: id, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout,
		VoteAtStart: true, MaxDrift: maxClockDrift, MaxAppendEntries: maxAppendEntries, LargeBytes: peer.LargeBytes,
	}
}

// id returns this instance's replica ID. Control instances name each other by
// their IP addresses, not by the names in their settings.
func (t *task) id() string { return replica.ID(t.settings.IP, t.folder.Identity.ReplicaID) }

func encode(c record.Command) ([]byte, error) { return jsonform.EncodeCommand(c) }

// run handles messages and timers until the context ends, the disk fails, or a
// log entry or snapshot can't be decoded. After a failed write the replica must
// acknowledge nothing more, so the error ends the instance.
func (t *task) run() error {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		var effects []replica.Effect
		select {
		case <-t.ctx.Done():
			return nil
		case <-wake.C:
			// Messages that came while this task was not run, such as the leader's
			// heartbeats, count before the timers.
			effects = t.stepWaiting()
		case m := <-t.mailbox:
			effects = append(t.stepPosted(time.Now(), m), t.stepWaiting()...)
		}
		now := time.Now()
		effects = append(effects, t.replica.Step(now, replica.Tick{})...)
		if err := t.perform(effects); err != nil {
			return err
		}
		if err := t.runHousekeeping(now); err != nil {
			return err
		}
		if err := t.replaceVoters(now); err != nil {
			return err
		}
		if err := t.recordMissing(now); err != nil {
			return err
		}
		if err := t.stepRollouts(now); err != nil {
			return err
		}
		t.stepQuotas(now)
		t.forwardPending(now)
		t.followLeader(now)
		t.releaseHeldWatches(now)
		t.releaseHeldCopies(now)
		t.answerWatches(time.Now())
		t.logLateness(now)
		wake.Reset(max(time.Millisecond, time.Until(t.nextWake())))
	}
}

// nextWake returns when the task next has work to do without a message.
func (t *task) nextWake() time.Time {
	next := t.housekeepingAt
	if due := t.replica.NextWake(); due.Before(next) {
		next = due
	}
	if t.leads() && t.rollouts.stepAt.Before(next) {
		next = t.rollouts.stepAt
	}
	if t.leads() && t.quotas.meter != nil && t.quotas.stepAt.Before(next) {
		next = t.quotas.stepAt
	}
	if len(t.heldWatches) > 0 && t.heldUntil.Before(next) {
		next = t.heldUntil
	}
	if len(t.heldCopies) > 0 && t.heldCopies[0].until.Before(next) {
		next = t.heldCopies[0].until
	}
	if t.leads() && !t.enrolling && t.recordAt.Before(next) {
		next = t.recordAt
	}
	if !t.leads() && !t.relay.watching && t.relay.watchAt.Before(next) && t.leaderAddress() != "" {
		next = t.relay.watchAt
	}
	for _, due := range []time.Time{t.nextWatchAnswer(time.Now()), t.forwardAt} {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	return next
}

// stepWaiting handles the messages that wait, so that they share one disk sync.
func (t *task) stepWaiting() []replica.Effect {
	now := time.Now()
	var effects []replica.Effect
	for range maxMessagesPerSync {
		select {
		case m := <-t.mailbox:
			effects = append(effects, t.stepPosted(now, m)...)
		default:
			return effects
		}
	}
	return effects
}

func (t *task) stepPosted(now time.Time, m postedMessage) []replica.Effect {
	t.recordWait(now, m)
	return t.step(now, m.message)
}

func (t *task) step(now time.Time, message message) []replica.Effect {
	switch message := message.(type) {
	case replicaMessage:
		return t.replica.Step(now, message.event)
	case proposeMessage:
		return t.proposeCommand(now, message)
	case readMessage:
		return t.propose(now, nil, pendingProposal{answer: message.answer, read: true, indexOnly: message.indexOnly})
	case incarnationMessage:
		t.findIncarnation(message)
	case rolloutMessage:
		return t.propose(now, nil, pendingProposal{answer: message.answer, rolloutOf: message.service})
	case announceMessage:
		return t.announce(now, message)
	case renewMessage:
		t.applyForwarded(now, message)
	case watchMessage:
		t.watch(now, message)
	case copyMessage:
		t.giveCopy(now, message)
	case allowanceMessage:
		t.grantAllowance(now, message)
	case joinMessage:
		t.join(now, message)
	case leaveMessage:
		t.leave(now, message)
	case joinEndedMessage:
		t.joined = message.accepted
		t.learnGroup(message.group)
	case groupMessage:
		t.learnGroup(message.group)
	case relayAnswerMessage:
		t.takeRelayAnswer(now, message)
	case suspectMessage:
		t.takeSuspects(now, message)
	case suspectsPassedOnMessage:
		t.suspectsPassedOn(message)
	case quarantineProbeMessage:
		t.allowProbe(now, message)
	case seedsMessage:
		t.replaceSeeds(message.seeds)
	case identifyMessage:
		message.answer <- answer{response: t.identify()}
	case bootstrapMessage:
		return t.bootstrap(message.answers)
	case transferMessage:
		return t.transfer(now, message)
	}
	return nil
}

func (t *task) leads() bool { return t.replica.Role == replica.RoleLeader }
