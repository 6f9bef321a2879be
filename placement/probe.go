package placement

import (
	"slices"
	"time"
)

const (
	// probesPerRound is the number of upstreams probed at a time.
	probesPerRound = 3
	// probeRoundTimeout is the time after which a round no longer waits for
	// missing answers. It is several times the round-trip time to another failure
	// domain.
	probeRoundTimeout = 25 * time.Millisecond
	// maxSweepRounds is the maximum number of rounds of a sweep. If nine upstreams
	// are all near their capacity, probably all others are.
	maxSweepRounds = 3
	// sweepPause is the pause after a sweep that left requests in the queue. It
	// limits the probes under overload, since each answer costs an upstream time.
	sweepPause = 40 * time.Millisecond
	// loadLifetime is the age up to which a load report is fresh. The service time
	// of a request is determined by the state of the machine when the request
	// starts, and machines change their speed a few times a second.
	loadLifetime = 15 * time.Millisecond
)

// waitQueue holds the requests of a service that wait for an upstream, and the
// state of the probe sweep that looks for one.
type waitQueue struct {
	service string
	// trial is true for the requests that wait for the target of a roll-out.
	trial bool
	// waiting holds the requests in the order in which they are sent.
	waiting []*pendingRequest
	// probed holds the upstreams probed in this sweep, and unanswered those of the
	// current round that have not answered yet.
	probed     map[Key]bool
	unanswered map[Key]bool
	// rounds counts the rounds of this sweep. firstRoundDone is true after the
	// first round, and sweepDone after the last one. Each raises the cost limit.
	rounds         int
	firstRoundDone bool
	sweepDone      bool
	// nextRoundAt is the time at which the next round begins even if probes are
	// unanswered. After the last round, it is the time at which the next sweep
	// begins.
	nextRoundAt time.Time
	// lastAnswerAt is the time at which an upstream last answered a probe.
	lastAnswerAt time.Time
}

func (s *State) queue(service string) *waitQueue {
	q := s.queues[service]
	if q == nil {
		q = newWaitQueue(service)
		s.queues[service] = q
	}
	return q
}

func newWaitQueue(service string) *waitQueue {
	return &waitQueue{service: service, probed: map[Key]bool{}, unanswered: map[Key]bool{}}
}

// probeForQueue begins the next probe round if requests are waiting and the
// round is due.
func (s *State) probeForQueue(now time.Time, q *waitQueue) {
	if len(q.waiting) == 0 {
		q.resetSweep()
		return
	}
	if now.Before(q.nextRoundAt) && (len(q.unanswered) > 0 || q.sweepDone) {
		return
	}
	s.nextProbeRound(now, q)
}

// resetSweep ends the sweep. The next round starts a new one.
func (q *waitQueue) resetSweep() {
	q.rounds = 0
	q.firstRoundDone = false
	q.sweepDone = false
	q.nextRoundAt = time.Time{}
	clear(q.probed)
	clear(q.unanswered)
}

// nextProbeRound probes the next few upstreams. After the last round, or when
// no upstream is left to probe, requests are sent to any upstream that is not
// at capacity, and the next sweep begins after a pause.
func (s *State) nextProbeRound(now time.Time, q *waitQueue) {
	if q.sweepDone {
		q.resetSweep()
	}
	if q.rounds > 0 {
		q.firstRoundDone = true
		s.dispatch(now, q)
		if len(q.waiting) == 0 {
			q.resetSweep()
			return
		}
	}
	sent := 0
	if q.rounds < maxSweepRounds {
		sent = s.sendProbes(now, q)
	}
	q.rounds++
	if sent > 0 {
		q.nextRoundAt = now.Add(probeRoundTimeout)
		return
	}
	q.sweepDone = true
	s.dispatch(now, q)
	if len(q.waiting) == 0 {
		q.resetSweep()
		return
	}
	q.nextRoundAt = now.Add(sweepPause)
	clear(q.unanswered)
}

// sendProbes sends the probes of one round and returns the number of upstreams
// whose answers the round waits for.
func (s *State) sendProbes(now time.Time, q *waitQueue) int {
	var candidates []*Upstream
	for _, u := range s.candidates(now, q.service, q.trial) {
		if s.eligible(now, u) && !s.hasFreshLoad(now, u) && !u.atReturnLimit(now) && !q.probed[KeyOf(u.Info)] {
			candidates = append(candidates, u)
		}
	}
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *Upstream) int {
		return s.probeOrder(now, a, q.rounds) - s.probeOrder(now, b, q.rounds)
	})
	clear(q.unanswered)
	for _, u := range candidates[:min(probesPerRound, len(candidates))] {
		key := KeyOf(u.Info)
		q.probed[key] = true
		q.unanswered[key] = true
		if u.ProbeSentAt.IsZero() {
			u.ProbeSentAt = now
			s.emit(StartProbe{Upstream: u.Info, HealthPath: s.Services[u.Info.Service].HealthPath})
		}
	}
	return len(q.unanswered)
}

// probeOrder returns the sort key of an upstream for a probe round; upstreams
// with a low key are probed first. The first round prefers the first subset of
// the entry's own failure domain, the second round the second subset. The last
// round prefers the first subset of the other failure domains, so that each
// sweep reaches them however many upstreams there are. Upstreams that have
// failed recently, are slow, or have a probe under way come last. So do cold ones in
// the first round; in the second, the few that this entry may use come first.
func (s *State) probeOrder(now time.Time, u *Upstream, round int) int {
	order := 0
	cold := now.Before(u.ColdUntil)
	switch {
	case !u.ProbeSentAt.IsZero(), cold && round == 0:
		order += 8
	case cold && round == 1:
		return 0
	}
	own := u.Info.Domain == s.Config.Domain
	last := round+1 >= maxSweepRounds
	switch {
	case own == last:
		order += 2
	case !last && u.subset != round, last && u.subset > 0:
		order++
	}
	if u.failurePenalty(now) > maxPreferredPenalty || u.decayedSlowdown(now) > maxPreferredSlowdown {
		order += 4
	}
	return order
}

const (
	// maxPreferredPenalty and maxPreferredSlowdown are the limits above which an
	// upstream is probed after the others.
	maxPreferredPenalty  = 0.5
	maxPreferredSlowdown = 2.0
)

// handleProbeResult stores the result of a probe and sends queued requests if
// an upstream is now acceptable. When all probes of a round are answered the
// next round begins.
func (s *State) handleProbeResult(now time.Time, e ProbeResult) {
	u := s.upstream(e.Upstream)
	if u == nil {
		return
	}
	u.ProbeSentAt = time.Time{}
	if !e.Failed {
		s.recordLimit(now, e.Upstream, e.Limit)
	}
	switch {
	case e.Failed:
		s.backOff(now, u, 1)
	case !e.Healthy:
		u.Healthy = false
		u.BackoffUntil = now.Add(unhealthyBackoff)
	default:
		u.Healthy = true
		s.recordLoad(now, u, e.Load)
		if e.Cold > 0 {
			u.ColdUntil = now.Add(e.Cold)
		}
	}
	for _, q := range s.queuesOf(u.Info.Service) {
		if !e.Failed {
			q.lastAnswerAt = now
		}
		s.dispatch(now, q)
		delete(q.unanswered, e.Upstream)
		if len(q.unanswered) == 0 && len(q.waiting) > 0 && !q.sweepDone {
			s.nextProbeRound(now, q)
		}
	}
}

func (s *State) recordLoad(now time.Time, u *Upstream, l Load) {
	u.Load = l
	u.LoadReceivedAt = now
	u.SentSinceLoad = 0
}
