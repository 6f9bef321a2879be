// Package placement decides, in one entry, which upstream gets a request.
//
// It probes a few upstreams for their load and sends the request to the one
// with the lowest expected time. Requests wait in a queue while no upstream has
// a fresh load report and an acceptable cost. Slow requests are hedged and
// failed ones retried where that is safe, and requests that no upstream can
// serve in time are refused with Retry-After.
//
// An entry sends too few requests to one upstream to know its load from them:
// machines are shared, and their speed changes several times a second. Each
// choice therefore uses load reports from probes that are milliseconds old. The
// same probe shows that the address still belongs to the expected upstream,
// that it is alive, and whether it is cold. An entry that is disconnected from
// the control instances goes on with the upstreams that it knows.
//
// The concepts:
//   - cost: the expected time of a request at an upstream, as a multiple of the
//     route's expected service time; 1 is an idle upstream at nominal speed in
//     the entry's own failure domain
//   - expected service time: the moving average of a route's service times
//   - probe round: probes to up to three upstreams at a time
//   - probe sweep: up to three rounds; the accepted cost rises after the first
//     round and again after the last one
//   - objective: the time within which a response is on time, counted from the
//     caller's first try
//
// The package is part of the core. [State.Step] takes an event and returns the
// effects that the caller has to perform.
//
// # Usage
//
//	p := placement.New(config, random)
//	for event := range mailbox {
//		perform(p.Step(time.Now(), event))
//	}
package placement

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/oriolepost/oriolepost/allowance"
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/retry"
	"github.com/oriolepost/oriolepost/rollout"
	"github.com/oriolepost/oriolepost/route"
)

// Config holds the settings of an entry that do not change while it runs.
type Config struct {
	// Name is the entry's name. It determines which upstreams the entry probes
	// first.
	Name string
	// Domain is the entry's failure domain.
	Domain string
	// RetryRatio, RetryWindow and RetrySlack limit the retries and hedges of a
	// service, summed over all entries: RetryRatio times the requests within
	// RetryWindow, plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// PooledRetries is true if the leader is asked for a part of the retry budgets.
	PooledRetries bool
	// ColdFactor and ColdSlack turn a service's cold rate (requests per second)
	// into the limit that must hold in any second, summed over all entries: the
	// rate times ColdFactor, plus ColdSlack.
	ColdFactor float64
	ColdSlack  float64
}

// Key identifies one incarnation of an upstream.
type Key struct {
	ID     string
	BornMS int64
}

// KeyOf returns the key of the incarnation that u describes.
func KeyOf(u fleet.Upstream) Key { return Key{u.ID, u.StartMS} }

// Upstream is the state that the entry holds of one upstream.
type Upstream struct {
	Info fleet.Upstream
	// subset is the number of the upstream's subset, counted from 0. The upstreams
	// of the entry's failure domain, and all others, are each ordered by a hash
	// that differs from entry to entry, and cut into subsets of subsetSize.
	subset    int
	ColdUntil time.Time
	// Load is the newest load report, received at LoadReceivedAt. SentSinceLoad
	// counts the attempts that this entry has started since.
	Load           Load
	LoadReceivedAt time.Time
	SentSinceLoad  int
	// ProbeSentAt is the time at which the probe under way was sent; zero if none
	// is under way.
	ProbeSentAt time.Time
	// Healthy is false after a probe was answered with a status other than 200.
	Healthy bool
	// InFlight holds the start times of the attempts in flight.
	InFlight map[AttemptID]time.Time
	// FailurePenalty is the sum of recent failures by weight, as of
	// FailurePenaltyAt. No requests are sent before BackoffUntil, which a failure
	// or an unhealthy probe result sets.
	FailurePenalty   float64
	FailurePenaltyAt time.Time
	BackoffUntil     time.Time
	// MeasuredSlowdown is the moving average of the ratio of measured to expected
	// time of this entry's attempts, as of MeasuredSlowdownAt; 1 means as expected.
	// The slowdown in Load is another value: the upstream reports it, in percent.
	MeasuredSlowdown   float64
	MeasuredSlowdownAt time.Time
	// leaving is true once the upstream has announced in a response that it leaves.
	leaving bool
	// rest is the upstream's last rest; nil if it did not ask for one lately.
	rest *Rest
	// limit is the limit that the upstream has named; nil if it names none.
	limit *Limit
	// coldSent holds the start times of the requests that were sent to the
	// upstream while it was cold, within the last second plus coldWindowMargin.
	coldSent []time.Time
}

// pendingRequest is a request that has no final outcome yet.
type pendingRequest struct {
	request  Request
	attempts map[AttemptID]*attempt
	tried    map[Key]bool
	// attemptsSent counts the attempts that may have reached an upstream.
	// attemptsStarted counts all attempts.
	attemptsSent    int
	attemptsStarted int
	// resets counts the attempts whose connection broke, and maxAttemptsSent limits
	// attemptsSent after the first of them.
	resets          int
	maxAttemptsSent int
	outcome         Outcome
	// queued is true while the request waits in the queue. Its wait ends at
	// queueDeadline at the latest.
	queued bool
	// pastObjective is true when, at the time of queueing, the response was no
	// longer expected within the objective.
	pastObjective bool
	queueDeadline time.Time
	hedgeAt       time.Time
	// tokenUntil is until when the request waits for the leader to grant a retry; zero if
	// it does not. tokenAwaited is true once it has waited.
	tokenUntil   time.Time
	tokenAwaited bool
	// trial is true if the next attempt is to go to the target of a roll-out.
	trial bool
}

type attempt struct {
	upstream  Key
	startedAt time.Time
	// expected is the time to the response that was expected when the upstream was
	// chosen: its cost times the expected service time of the route.
	expected time.Duration
	// key is the key under which the end is counted in a roll-out, if it counts.
	key    rollout.ItemKey
	counts bool
}

// State is the placement state of one entry. It is owned by one task and not
// safe for concurrent use.
type State struct {
	Config Config
	// Upstreams holds the known upstreams by id.
	Upstreams map[string]*Upstream
	Services  map[string]route.Service
	// serviceNames are the names of Services; nil before the first configuration.
	serviceNames fleet.Services
	// EntryIndex and EntryCount are this entry's index among all entries and their
	// number. ControlContactAt is the time at which the leader last reported them.
	EntryIndex, EntryCount int
	ControlContactAt       time.Time
	// Stop is the plan of this entry's stop; zero before it.
	Stop StopPlan
	// Quarantine knows which contents crash upstreams. Its owner steps it before this
	// state, which only reads it. It is nil where no request has a fingerprint.
	Quarantine *quarantine.Holder

	leaving Leaving
	// rests holds the rests by incarnation. Like leaving, it is kept when an upstream is
	// removed, as an older view may list it again.
	rests map[Key]*Rest
	// limits holds the limits by incarnation, and is kept in the same way.
	limits    map[Key]*Limit
	byService map[string][]*Upstream
	// splits holds the splits by service, and trials the running roll-outs. Where a split
	// keeps upstreams from ordinary requests, byService does not have them.
	splits     map[string]rollout.Split
	trials     map[string]*trial
	outDomains []string
	// domainCount is the number of failure domains that have upstreams.
	domainCount int
	queues      map[string]*waitQueue
	// lowestPriority and highestPriority hold, by service, the lowest and the highest
	// priority that any request had so far. The lowest is the highest number.
	lowestPriority  map[string]int
	highestPriority map[string]int
	requests        map[RequestID]*pendingRequest
	requestOf       map[AttemptID]RequestID
	retryBudgets    map[string]*retry.Pooled
	retrySlack      retry.Slack
	holder          *allowance.Holder
	// formerLeaderUntil is until when the leader counts as one of a former version.
	formerLeaderUntil time.Time
	// expectedTimes holds the expected service time by route.
	expectedTimes map[string]time.Duration
	// responseTimes holds the response times by route, after the first response.
	responseTimes map[string]ResponseTime
	nextAttempt   AttemptID
	random        *rand.Rand
	effects       []Effect
}

// New returns the state of an entry that has not received a view yet. All
// random choices are drawn from random.
func New(cfg Config, random *rand.Rand) *State {
	run := uint64(0)
	if cfg.PooledRetries {
		run = random.Uint64()
	}
	return &State{
		Config: cfg, random: random, leaving: Leaving{Marked: map[Key]bool{}}, rests: map[Key]*Rest{}, limits: map[Key]*Limit{},
		Upstreams: map[string]*Upstream{}, Services: map[string]route.Service{},
		byService: map[string][]*Upstream{}, queues: map[string]*waitQueue{}, lowestPriority: map[string]int{}, highestPriority: map[string]int{}, requests: map[RequestID]*pendingRequest{},
		requestOf: map[AttemptID]RequestID{}, retryBudgets: map[string]*retry.Pooled{}, holder: newHolder(cfg, run), retrySlack: retry.Slack{Total: cfg.RetrySlack, Length: cfg.RetryWindow},
		expectedTimes: map[string]time.Duration{}, responseTimes: map[string]ResponseTime{},
	}
}

// Step handles one event and returns its effects, in the order in which they
// are to be performed.
func (s *State) Step(now time.Time, event Event) []Effect {
	s.effects = nil
	s.holder.Age(now)
	switch e := event.(type) {
	case Arrived:
		s.handleArrival(now, e.Request)
	case CallerDisconnected:
		s.handleDisconnect(now, e.Request)
	case ProbeResult:
		s.handleProbeResult(now, e)
	case NoticeReceived:
		s.handleNotice(now, e.Upstream, e.Notice)
	case AttemptEnded:
		s.handleAttemptEnd(now, e)
	case ViewReceived:
		s.handleView(now, e)
	case PositionReported:
		s.handleEntryIndex(now, e)
	case ContentQuarantined:
		s.refuseQuarantined(now, e.Fingerprint)
	case StopBegan:
		s.handleStop(e)
	case AllowanceAnswered:
		s.handleAllowance(now, e.Reply)
	case AllowanceFailed:
		s.handleAllowanceFailure(now, e)
	case TimerExpired:
		s.handleTick(now)
	}
	s.askAllowance(now)
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Idle reports whether no request is waiting or under way.
func (s *State) Idle() bool { return len(s.requests) == 0 }

// NextWake returns the time at which the state needs the next TimerExpired
// event; the zero time means never.
func (s *State) NextWake() time.Time {
	var next time.Time
	wakeBy := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, pending := range s.requests {
		wakeBy(pending.request.Deadline)
		wakeBy(pending.hedgeAt)
		wakeBy(pending.tokenUntil)
		if pending.queued && !awaitsToken(pending) {
			wakeBy(pending.queueDeadline)
		}
	}
	if s.Config.PooledRetries {
		wakeBy(s.holder.NextWake())
	}
	for _, rest := range s.rests {
		if rest.EndedAt.IsZero() {
			wakeBy(rest.Until)
		}
	}
	for _, q := range s.queues {
		if len(q.waiting) > 0 {
			wakeBy(q.nextRoundAt)
		}
	}
	return next
}

// handleEntryIndex stores this entry's index among the entries and their
// number, on which its share of the retry slack depends.
func (s *State) handleEntryIndex(now time.Time, e PositionReported) {
	s.ControlContactAt = now
	s.EntryIndex, s.EntryCount = e.Index, e.Count
	s.retrySlack.Report(now, e.Count)
	s.holder.Reached(now)
}

// hash returns a number that differs from entry to entry for the same key.
func (s *State) hash(key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Config.Name + "/" + key))
	// FNV-1a mixes the last bytes of its input too little to order by it. The
	// multiplication spreads them over the high bits.
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// hashDraw returns a number from 0 up to 1 that differs from entry to entry for the same
// key.
func (s *State) hashDraw(key string) float64 { return float64(s.hash(key)>>11) / (1 << 53) }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.BornMS, b.BornMS))
}

// upstream returns the incarnation k; nil if it is no longer known or was
// replaced.
func (s *State) upstream(k Key) *Upstream {
	if u := s.Upstreams[k.ID]; u != nil && u.Info.StartMS == k.BornMS {
		return u
	}
	return nil
}
