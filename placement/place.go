package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// preferredCost is the cost up to which a request is sent in the first probe
	// round, without looking for a cheaper upstream.
	preferredCost = 1.15
	// acceptableCost is the cost that is accepted after the first probe round.
	// Upstreams of the entry's own failure domain that cost more are not used
	// before those of other failure domains are probed.
	acceptableCost = 1.6
	// maxHedgeCost is the highest cost accepted for a hedge. A second attempt is
	// worth its slot only on an upstream that is nearly idle.
	maxHedgeCost = 2.0
	// maxCost is higher than the cost of any upstream that is not at capacity. It
	// is accepted at the end of a sweep.
	maxCost = 1e9
	// initialTimeRatio is the expected service time of a route before its first
	// response, as a ratio of the route's objective.
	initialTimeRatio = 0.4
	// defaultObjective is the objective of routes that set none.
	defaultObjective = time.Second
	// maxQueueTimeRatio limits the time that a request waits in the queue, as a
	// ratio of the time that the objective leaves beyond the expected service
	// time. The rest of that time is kept for upstreams that become slow. Under
	// overload, a longer wait does not get more requests served, only later.
	maxQueueTimeRatio = 0.2
	// urgentMaxQueueTimeRatio replaces maxQueueTimeRatio for priorities above the
	// service's lowest.
	urgentMaxQueueTimeRatio = 0.3
	// minQueueTime is the time that a request may wait in the queue even if it is
	// already past its objective.
	minQueueTime = 60 * time.Millisecond
	// maxNoLoadReportWait limits the wait of a request while no upstream has
	// answered a probe. It is shorter than the timeout of a probe.
	maxNoLoadReportWait = 300 * time.Millisecond
	// maxHedgeQueueTime limits the search for an upstream for a hedge.
	maxHedgeQueueTime = 100 * time.Millisecond
	// minRemainingTimeRatio is the minimum remaining-time ratio. At the end of its
	// queue time, a request is sent only if the time to its deadline is at least
	// this ratio of the expected time.
	minRemainingTimeRatio = 0.7
)

// handleArrival registers a new request and starts the search for an upstream. A
// request whose deadline has passed, as after a slow body, is refused.
func (s *State) handleArrival(now time.Time, r Request) {
	pending := &pendingRequest{request: r, attempts: map[AttemptID]*attempt{}, tried: map[Key]bool{}}
	s.requests[r.ID] = pending
	s.retryBudget(now, r.Service).CountRequest(now, s.holder)
	priority := r.priority()
	s.lowestPriority[r.Service] = max(s.lowestPriority[r.Service], priority)
	if highest, known := s.highestPriority[r.Service]; !known || priority < highest {
		s.highestPriority[r.Service] = priority
	}
	if !now.Before(r.Deadline) {
		s.refuse(now, pending, NotRun{Reason: ReasonTimeout})
		return
	}
	if s.isQuarantined(now, pending) {
		s.refuse(now, pending, NotRun{Reason: ReasonQuarantined})
		return
	}
	s.probeLimited(now, r.Service)
	pending.trial = s.drawTrial(now, r)
	s.place(now, pending)
}

// place queues the next attempt of a request until an upstream is found for it.
// The request is refused if no upstream is eligible, or if this entry stops too soon.
func (s *State) place(now time.Time, pending *pendingRequest) {
	if !s.mayStart(now, pending) {
		s.refuse(now, pending, NotRun{Reason: ReasonStopping})
		return
	}
	if pending.trial && s.countEligibleOf(now, s.trialUpstreams(now, pending.request.Service)) == 0 {
		pending.trial = false
	}
	if !pending.trial && s.countEligible(now, pending.request.Service) == 0 {
		s.refuse(now, pending, s.noUpstreamAvailable(now, pending))
		return
	}
	q := s.queueOf(pending)
	pending.queued = true
	pending.pastObjective = now.Add(s.expectedTime(pending.request)).After(pending.request.objectiveDeadline())
	pending.queueDeadline = s.limitByStop(pending, s.queueDeadline(now, pending))
	if latest := now.Add(maxTrialWait); pending.trial && latest.Before(pending.queueDeadline) {
		pending.queueDeadline = latest
	}
	q.insert(pending)
	s.dispatch(now, q)
	s.probeForQueue(now, q)
}

// countEligible returns the number of upstreams of a service that may get ordinary
// requests.
func (s *State) countEligible(now time.Time, service string) int {
	return s.countEligibleOf(now, s.byService[service])
}

func (s *State) countEligibleOf(now time.Time, list []*Upstream) int {
	n := 0
	for _, u := range list {
		if s.eligible(now, u) {
			n++
		}
	}
	return n
}

// noUpstreamAvailable returns the outcome for a request when no upstream is
// eligible. Its reason says why.
func (s *State) noUpstreamAvailable(now time.Time, pending *pendingRequest) NotRun {
	switch service := pending.request.Service; {
	case len(s.byService[service]) == 0:
		return NotRun{Reason: ReasonNoUpstream}
	case s.allLeaving(service):
		return NotRun{Reason: ReasonLeaving}
	case s.onlyResting(now, service):
		return NotRun{Reason: ReasonResting}
	case s.onlyLimited(now, service):
		return NotRun{Reason: ReasonLimited}
	}
	return NotRun{Reason: ReasonOverload}
}

// queueDeadline returns the time until which the request may wait in the queue.
func (s *State) queueDeadline(now time.Time, pending *pendingRequest) time.Time {
	if len(pending.attempts) > 0 {
		return now.Add(maxHedgeQueueTime)
	}
	serviceTime := s.expectedTime(pending.request)
	ratio := maxQueueTimeRatio
	if pending.request.priority() < s.lowestPriority[pending.request.Service] {
		ratio = urgentMaxQueueTimeRatio
	}
	t := pending.request.ArrivedAt.Add(time.Duration(ratio * float64(pending.request.objective()-serviceTime)))
	if earliest := now.Add(minQueueTime); t.Before(earliest) {
		t = earliest
	}
	if latest := pending.request.Deadline.Add(-serviceTime / 2); t.After(latest) {
		t = latest
	}
	return t
}

// objectiveDeadline returns the latest time at which a response is on time.
func (r Request) objectiveDeadline() time.Time { return r.FirstTriedAt.Add(r.objective()) }

func (r Request) objective() time.Duration {
	if r.Route.Objective > 0 {
		return r.Route.Objective
	}
	return defaultObjective
}

// expectedTime returns the expected service time of the request's route.
func (s *State) expectedTime(r Request) time.Duration {
	if t := s.expectedTimes[r.Route.Name]; t > 0 {
		return t
	}
	return time.Duration(initialTimeRatio * float64(r.objective()))
}

// insert puts a request into the queue, ordered by priority, then by arrival.
// Hedges are last.
func (q *waitQueue) insert(pending *pendingRequest) {
	i, _ := slices.BinarySearchFunc(q.waiting, pending, func(a, b *pendingRequest) int {
		return cmp.Or(cmp.Compare(len(a.attempts), len(b.attempts)), cmp.Compare(a.request.priority(), b.request.priority()), a.request.ArrivedAt.Compare(b.request.ArrivedAt), cmp.Compare(a.request.ID, b.request.ID))
	})
	q.waiting = slices.Insert(q.waiting, i, pending)
}

// remove takes a request out of the queue. When the queue becomes empty the
// sweep ends, so that the next request starts a new one with the preferred
// upstreams.
func (q *waitQueue) remove(pending *pendingRequest) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *pendingRequest) bool { return o == pending })
	if len(q.waiting) == 0 {
		q.resetSweep()
	}
}

// dispatch sends the queued requests, in order, to upstreams with a fresh load
// report whose cost is acceptable at this stage of the sweep. A request that
// could still be on time at a cheaper upstream waits for one (missesObjective).
// A request past its objective is sent only to an upstream with enough idle
// slots for it.
func (s *State) dispatch(now time.Time, q *waitQueue) {
	for _, pending := range slices.Clone(q.waiting) {
		if !pending.queued {
			continue
		}
		u, cost := s.cheapest(now, pending)
		if u == nil || cost > q.costLimit(pending) || s.missesObjective(now, pending, cost) || pending.pastObjective && !u.acceptsPastObjective() {
			continue
		}
		s.startAttempt(now, pending, u)
	}
}

// missesObjective reports whether a response at such a cost would miss the
// objective although one at cost 1 would be on time and the request may still
// wait.
func (s *State) missesObjective(now time.Time, pending *pendingRequest, cost float64) bool {
	serviceTime := float64(s.expectedTime(pending.request))
	remaining := float64(pending.request.objectiveDeadline().Sub(now))
	return cost*serviceTime > remaining && remaining > serviceTime && now.Before(pending.queueDeadline)
}

// handleQueueTimeout ends the wait of a request. The wait is extended by
// minQueueTime while there is no load report. Otherwise the request is sent to
// the cheapest upstream, even if the response will be past its objective. It is
// refused if there is no upstream, if the time to its deadline is below the
// minimum remaining-time ratio, or if the response will be past its objective
// and the upstream has too few idle slots for such requests. A hedge is not
// sent, and the first attempt goes on.
func (s *State) handleQueueTimeout(now time.Time, pending *pendingRequest) {
	if !s.mayStart(now, pending) {
		s.refuse(now, pending, NotRun{Reason: ReasonStopping})
		return
	}
	if pending.trial && len(pending.attempts) == 0 {
		s.leaveTrial(now, pending)
		return
	}
	if s.noLoadReport(now, pending) {
		pending.queueDeadline = s.limitByStop(pending, now.Add(minQueueTime))
		return
	}
	u, cost := s.cheapest(now, pending)
	expected := time.Duration(cost * float64(s.expectedTime(pending.request)))
	tooLittleTime := now.Add(time.Duration(minRemainingTimeRatio * float64(expected))).After(pending.request.Deadline)
	pastObjective := pending.pastObjective || now.Add(expected).After(pending.request.objectiveDeadline())
	if u == nil || tooLittleTime || len(pending.attempts) > 0 || pastObjective && !u.acceptsPastObjective() {
		s.refuse(now, pending, NotRun{Reason: ReasonOverload})
		return
	}
	s.startAttempt(now, pending, u)
}

// noLoadReport reports whether no upstream has answered a probe since the
// request arrived, and the request may still wait. This happens right after a
// start, when hundreds of requests and probes begin at the same time. It is
// then not known whether the upstreams are at capacity, so the request must not
// be refused yet.
func (s *State) noLoadReport(now time.Time, pending *pendingRequest) bool {
	waited := now.Sub(pending.request.ArrivedAt)
	return len(pending.attempts) == 0 && waited < maxNoLoadReportWait && now.Add(minQueueTime+s.expectedTime(pending.request)).Before(pending.request.Deadline) &&
		s.queueOf(pending).lastAnswerAt.Before(pending.request.ArrivedAt)
}

// costLimit returns the highest cost that is accepted at this stage of the
// sweep.
func (q *waitQueue) costLimit(pending *pendingRequest) float64 {
	switch {
	case len(pending.attempts) > 0:
		return maxHedgeCost
	case q.sweepDone:
		return maxCost
	case q.firstRoundDone:
		return acceptableCost
	}
	return preferredCost
}

// cheapest returns the eligible upstream with the lowest cost and a fresh load
// report, and its cost; nil if there is none. Upstreams that the request was
// already sent to are considered only for a retry, and only if no other is
// eligible.
func (s *State) cheapest(now time.Time, pending *pendingRequest) (best *Upstream, bestCost float64) {
	list := s.candidates(now, pending.request.Service, pending.trial)
	mayReuse := len(pending.attempts) == 0 && len(pending.tried) > 0 && !slices.ContainsFunc(list, func(u *Upstream) bool {
		return !pending.tried[KeyOf(u.Info)] && s.eligible(now, u)
	})
	for _, u := range list {
		if !s.hasFreshLoad(now, u) || u.atCapacity() || u.atReturnLimit(now) || !s.eligible(now, u) || pending.tried[KeyOf(u.Info)] && !mayReuse {
			continue
		}
		if c := s.cost(now, u); best == nil || c < bestCost {
			best, bestCost = u, c
		}
	}
	return best, bestCost
}

func (s *State) hasFreshLoad(now time.Time, u *Upstream) bool {
	return !u.LoadReceivedAt.IsZero() && now.Sub(u.LoadReceivedAt) <= loadLifetime
}

// refuse ends the wait of a request for an upstream. The request ends with the
// outcome o, unless an attempt is still under way.
func (s *State) refuse(now time.Time, pending *pendingRequest, o NotRun) {
	s.dequeue(pending)
	if len(pending.attempts) > 0 {
		return
	}
	pending.outcome = mergeOutcomes(pending.outcome, o)
	s.finish(now, pending, 0)
}

func (s *State) dequeue(pending *pendingRequest) {
	if pending.queued {
		pending.queued = false
		s.queueOf(pending).remove(pending)
	}
}

// startAttempt sends a request to an upstream. If an earlier attempt may have
// reached an upstream, this one takes a token from the retry budget, and the
// request waits or is refused if there is none. It is also refused if this entry stops too
// soon, or if its content was quarantined while it waited.
func (s *State) startAttempt(now time.Time, pending *pendingRequest, u *Upstream) {
	if !s.mayStart(now, pending) {
		s.refuse(now, pending, NotRun{Reason: ReasonStopping})
		return
	}
	if s.isQuarantined(now, pending) {
		s.refuse(now, pending, NotRun{Reason: ReasonQuarantined})
		return
	}
	if pending.attemptsSent > 0 && awaitsToken(pending) {
		return
	}
	if pending.attemptsSent > 0 && !s.spendRetry(now, pending) {
		if s.awaitToken(now, pending) {
			return
		}
		s.refuse(now, pending, NotRun{Reason: ReasonBudget})
		return
	}
	s.dequeue(pending)
	basis := ChoiceBasis{
		Load: u.Load, LoadAge: now.Sub(u.LoadReceivedAt), Cost: s.cost(now, u),
		Candidates: len(s.byService[pending.request.Service]), Waited: now.Sub(pending.request.ArrivedAt),
	}
	s.nextAttempt++
	id := s.nextAttempt
	key := KeyOf(u.Info)
	expected := time.Duration(basis.Cost * float64(s.expectedTime(pending.request)))
	sent := &attempt{upstream: key, startedAt: now, expected: expected}
	sent.key, sent.counts = s.countSent(pending, u)
	pending.attempts[id] = sent
	// Retries and hedges go to the other versions, as long as these get requests.
	pending.trial = pending.trial && s.splits[pending.request.Service].Share >= 1
	pending.tried[key] = true
	pending.attemptsStarted++
	pending.attemptsSent++
	s.requestOf[id] = pending.request.ID
	u.InFlight[id] = now
	u.SentSinceLoad++
	if u.limit != nil {
		u.limit.Sent = append(u.limit.Sent, now)
	}
	if now.Before(u.ColdUntil) {
		u.coldSent = append(u.coldSent, now)
	}
	pending.hedgeAt = s.hedgeTime(now, pending, expected)
	s.emit(StartAttempt{
		Request: pending.request.ID, Attempt: id, Upstream: u.Info, Deadline: pending.request.Deadline,
		Repeat: pending.attemptsStarted > 1, Basis: basis,
	})
}
