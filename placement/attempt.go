package placement

import (
	"maps"
	"slices"
	"time"
)

const (
	// unhealthyBackoff is the time for which an upstream gets no requests after it
	// reported itself not healthy.
	unhealthyBackoff = 500 * time.Millisecond
	// baseFailureBackoff is the time for which an upstream gets no requests at a
	// failure penalty of 1. The backoff grows with the square of the penalty, up
	// to maxFailureBackoff.
	baseFailureBackoff = 250 * time.Millisecond
	maxFailureBackoff  = 4 * time.Second
	// maxFailurePenalty limits the sum of the penalties of several failures.
	maxFailurePenalty = 4.0
	// responsePenaltyFactor is what the failure penalty is multiplied by when the
	// upstream responds without a failure.
	responsePenaltyFactor = 0.6
	// hedgeFactor is the multiple of the expected time after which an idempotent
	// request without a response is sent to a second upstream too.
	hedgeFactor = 1.3
	// expectedTimeWeight is the weight of one response in the moving average of a
	// route's service times.
	expectedTimeWeight = 0.1
	// slowdownWeight is the weight of one response in the moving average of an
	// upstream's slowdown.
	slowdownWeight = 0.3
	// maxSlowdown limits the slowdown counted for one response. timeoutSlowdown is
	// the slowdown counted for a response that did not arrive before the deadline.
	maxSlowdown     = 8.0
	timeoutSlowdown = 3.0
	// minRetryAfter and maxRetryAfter are the bounds between which Retry-After is
	// drawn at random, so that refused callers do not retry at the same time. A
	// caller with little time left gets less than the minimum.
	minRetryAfter = 60 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxRefusedRetryAfter is the maximum for requests that upstreams refused, or
	// whose retry budget is used up, although the upstreams have idle slots: an
	// early retry is as likely to succeed as a later one. It also applies to requests
	// that this entry refuses because it stops.
	maxRefusedRetryAfter = 150 * time.Millisecond
	// maxRetryAfterRatio is the maximum of Retry-After as a ratio of the time to
	// the deadline. Callers do not retry if it is more than a third.
	maxRetryAfterRatio = 0.32
	// defaultMaxAttempts limits the attempts on routes that set no limit.
	defaultMaxAttempts = 2
	// maxStartedAttempts limits the attempts of a request, including those that
	// reached no upstream.
	maxStartedAttempts = 6
)

// handleTick handles deadlines, queue timeouts and hedges that are due, and
// begins probe rounds that are due. It also ends the rests of upstreams.
func (s *State) handleTick(now time.Time) {
	s.endRests(now)
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		pending := s.requests[id]
		if pending == nil {
			continue
		}
		if !now.Before(pending.request.Deadline) {
			s.expire(now, pending)
			continue
		}
		if !pending.tokenUntil.IsZero() && !now.Before(pending.tokenUntil) {
			pending.tokenUntil = time.Time{}
			s.refuse(now, pending, NotRun{Reason: ReasonBudget})
			continue
		}
		if pending.queued && !awaitsToken(pending) && !now.Before(pending.queueDeadline) {
			s.handleQueueTimeout(now, pending)
		}
		if s.requests[id] != nil && !pending.hedgeAt.IsZero() && !now.Before(pending.hedgeAt) {
			s.hedge(now, pending)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(s.queues)) {
		s.probeForQueue(now, s.queues[service])
	}
}

// expire ends a request whose deadline has passed.
func (s *State) expire(now time.Time, pending *pendingRequest) {
	s.dequeue(pending)
	var o Outcome = Unknown{Reason: ReasonTimeout}
	if pending.attemptsSent == 0 {
		o = NotRun{Reason: ReasonOverload}
	}
	for _, id := range slices.Sorted(maps.Keys(pending.attempts)) {
		s.recordResponseTime(pending.request, now.Sub(pending.attempts[id].startedAt))
		if u := s.upstream(pending.attempts[id].upstream); u != nil {
			s.recordSlowdown(now, u, timeoutSlowdown)
		}
	}
	pending.outcome = mergeOutcomes(pending.outcome, o)
	s.finish(now, pending, 0)
}

// hedgeTime returns the time at which an idempotent request is sent to a second
// upstream too; zero if it must not be.
func (s *State) hedgeTime(now time.Time, pending *pendingRequest, expected time.Duration) time.Time {
	if !s.mayAttemptAgain(now, pending) || !s.mayHedgeContent(now, pending) || !pending.request.Route.Idempotent {
		return time.Time{}
	}
	return now.Add(time.Duration(hedgeFactor * float64(max(expected, s.expectedTime(pending.request)))))
}

// hedge looks for a second upstream for a request whose attempt is slow.
func (s *State) hedge(now time.Time, pending *pendingRequest) {
	pending.hedgeAt = time.Time{}
	if len(pending.attempts) != 1 || pending.queued || !s.mayAttemptAgain(now, pending) || !s.mayHedgeContent(now, pending) {
		return
	}
	s.place(now, pending)
}

// mayAttemptAgain reports whether the request may be sent to one more upstream.
func (s *State) mayAttemptAgain(now time.Time, pending *pendingRequest) bool {
	limit := pending.request.Route.MaxAttempts
	if limit == 0 {
		limit = defaultMaxAttempts
	}
	return !pending.request.BodyNotReplayable && pending.attemptsSent < limit && s.mayRepeatContent(now, pending)
}

// handleAttemptEnd updates the upstream and the request of an attempt that has
// ended. The load report in the response may then let queued requests be sent.
func (s *State) handleAttemptEnd(now time.Time, e AttemptEnded) {
	id, known := s.requestOf[e.Attempt]
	if !known {
		return
	}
	delete(s.requestOf, e.Attempt)
	pending := s.requests[id]
	a := pending.attempts[e.Attempt]
	delete(pending.attempts, e.Attempt)
	s.countEnd(now, pending.request.Service, a, e.Outcome)
	if u := s.upstream(a.upstream); u != nil {
		delete(u.InFlight, e.Attempt)
		s.updateUpstreamStats(now, u, a, pending, e)
	}
	pending.noteReset(e.Outcome)
	s.resolve(now, pending, e)
	for _, q := range s.queuesOf(pending.request.Service) {
		if len(q.waiting) > 0 {
			s.dispatch(now, q)
		}
	}
}

// resolve finishes the request, retries it, or waits for its other attempt.
func (s *State) resolve(now time.Time, pending *pendingRequest, e AttemptEnded) {
	switch o := e.Outcome.(type) {
	case Answered:
		if o.Failed && pending.request.Route.Idempotent {
			// Another attempt may still bring a better response. If it brings none, the
			// request ends as Unknown instead of with this failure.
			pending.outcome = mergeOutcomes(pending.outcome, Unknown{Reason: ReasonShed})
			mayPlace := s.mayStart(now, pending) && s.countEligible(now, pending.request.Service) > 0
			if len(pending.attempts) > 0 || mayPlace && s.retryElsewhere(now, pending) {
				return
			}
		}
		pending.outcome = o
		s.finish(now, pending, e.Attempt)
		return
	case NotRun:
		if !o.Sent {
			pending.attemptsSent--
		}
		pending.outcome = mergeOutcomes(pending.outcome, o)
		if len(pending.attempts) > 0 || pending.queued || s.retryElsewhere(now, pending) {
			return
		}
	case Unknown:
		pending.outcome = mergeOutcomes(pending.outcome, o)
		if s.goesOn(now, pending) {
			return
		}
	}
	s.finish(now, pending, 0)
}

// goesOn reports whether a request goes on after an attempt whose result is not known: with
// another attempt, or one that is looked for.
func (s *State) goesOn(now time.Time, pending *pendingRequest) bool {
	if pending.queued && !s.mayRepeatContent(now, pending) {
		s.dequeue(pending)
	}
	return len(pending.attempts) > 0 || pending.queued || pending.request.Route.Idempotent && s.retryElsewhere(now, pending)
}

// retryElsewhere starts the search for another upstream if the request may be
// sent once more. An upstream that already had the request is used only if no
// other is eligible. retryElsewhere returns false if the request has to end
// with the outcome that it has.
func (s *State) retryElsewhere(now time.Time, pending *pendingRequest) bool {
	if !s.mayAttemptAgain(now, pending) || pending.attemptsStarted >= maxStartedAttempts {
		return false
	}
	s.place(now, pending)
	return s.requests[pending.request.ID] == nil || pending.queued || len(pending.attempts) > 0
}

// updateUpstreamStats updates the upstream's load, failure penalty and
// slowdown, and the route's expected service time, with the result of an
// attempt. The measured time is divided by the cost that was expected, so that
// load and slow upstreams do not change the expected service time. A failure
// adds to the penalty: 1 if the request may have run, 0.7 for a response with a
// failure, 0.5 if the request was not run. A canceled attempt adds nothing.
func (s *State) updateUpstreamStats(now time.Time, u *Upstream, a *attempt, pending *pendingRequest, e AttemptEnded) {
	switch o := e.Outcome.(type) {
	case Answered:
		s.recordLimit(now, a.upstream, e.Limit)
		if e.Load.Known {
			s.recordLoad(now, u, e.Load)
		}
		if o.Failed {
			s.backOff(now, u, 0.7)
			return
		}
		u.countReturnAnswer(a.startedAt)
		u.FailurePenalty = u.failurePenalty(now) * responsePenaltyFactor
		u.FailurePenaltyAt = now
		took := now.Sub(a.startedAt)
		s.recordResponseTime(pending.request, took)
		s.recordSlowdown(now, u, float64(took)/float64(max(a.expected, time.Millisecond)))
		serviceTime := s.expectedTime(pending.request)
		ratio := float64(serviceTime) / float64(max(a.expected, time.Millisecond))
		s.expectedTimes[pending.request.Route.Name] = serviceTime + time.Duration(expectedTimeWeight*(float64(took)*ratio-float64(serviceTime)))
	case NotRun:
		if o.Reason != ReasonCanceled {
			s.backOff(now, u, 0.5)
		}
	case Unknown:
		if o.Reason != ReasonCanceled {
			s.backOff(now, u, 1)
		}
	}
}

// recordSlowdown adds a ratio of measured to expected time to the moving
// average.
func (s *State) recordSlowdown(now time.Time, u *Upstream, ratio float64) {
	current := u.decayedSlowdown(now)
	u.MeasuredSlowdown = current + slowdownWeight*(min(ratio, maxSlowdown)-current)
	u.MeasuredSlowdownAt = now
}

// backOff adds a failure of the given weight to the failure penalty and stops
// sending to the upstream for a while. Its load report no longer counts as
// fresh.
func (s *State) backOff(now time.Time, u *Upstream, weight float64) {
	u.FailurePenalty = min(u.failurePenalty(now)+weight, maxFailurePenalty)
	u.FailurePenaltyAt = now
	backoff := time.Duration(float64(baseFailureBackoff) * u.FailurePenalty * u.FailurePenalty)
	u.BackoffUntil = now.Add(min(backoff, maxFailureBackoff))
	u.LoadReceivedAt = time.Time{}
}

// mergeOutcomes combines the outcome of the request so far with that of one
// more attempt. If an earlier attempt may have run, the request may have run,
// even if the last one did not.
func mergeOutcomes(before, o Outcome) Outcome {
	switch o := o.(type) {
	case Answered, Unknown:
		return o
	case NotRun:
		if unknown, ok := before.(Unknown); ok {
			return unknown
		}
		return o
	}
	return o
}

// handleDisconnect drops a request whose caller has disconnected, and cancels
// its attempts.
func (s *State) handleDisconnect(now time.Time, id RequestID) {
	if pending := s.requests[id]; pending != nil {
		s.dequeue(pending)
		s.countCanceled(now, pending)
		s.cancelAttempts(pending)
		delete(s.requests, id)
	}
}

// countCanceled counts the attempts that are about to be canceled because the request ends.
func (s *State) countCanceled(now time.Time, pending *pendingRequest) {
	for _, a := range pending.attempts {
		s.countEnd(now, pending.request.Service, a, Unknown{Reason: ReasonCanceled})
	}
}

func (s *State) cancelAttempts(pending *pendingRequest) {
	for _, id := range slices.Sorted(maps.Keys(pending.attempts)) {
		if u := s.upstream(pending.attempts[id].upstream); u != nil {
			delete(u.InFlight, id)
		}
		delete(s.requestOf, id)
		s.emit(CancelAttempt{Attempt: id})
	}
	clear(pending.attempts)
}

// finish ends the request with its outcome and cancels the attempts that are
// still under way.
func (s *State) finish(now time.Time, pending *pendingRequest, answer AttemptID) {
	if o, ok := pending.outcome.(NotRun); ok {
		o.RetryAfter = s.retryAfter(now, pending.request, o.Reason)
		pending.outcome = o
	}
	s.dequeue(pending)
	s.countCanceled(now, pending)
	s.cancelAttempts(pending)
	delete(s.requests, pending.request.ID)
	resting, leaving := s.countUnavailable(now, pending.request.Service)
	s.emit(Finish{
		Request: pending.request.ID, Outcome: pending.outcome, Attempt: answer, AttemptsStarted: pending.attemptsStarted,
		EligibleUpstreams: s.countEligible(now, pending.request.Service), QueueLength: len(s.queue(pending.request.Service).waiting),
		RestingUpstreams: resting, LeavingUpstreams: leaving, LimitedUpstreams: s.countLimited(pending.request.Service),
		ResponseTime: s.responseTime(pending.request),
	})
}

// retryAfter returns the time after which a refused caller should retry. While
// a response can still be on time, the delay is short enough for that.
// Otherwise it is long, so that the overload may have passed by then. It is
// drawn at random so that callers do not retry at the same time. While the service's
// upstreams rest, it depends on the end of the earliest rest instead.
func (s *State) retryAfter(now time.Time, r Request, reason Reason) time.Duration {
	if s.onlyResting(now, r.Service) {
		return s.restRetryAfter(now, r)
	}
	maxDelay := min(maxRetryAfter, time.Duration(maxRetryAfterRatio*float64(r.Deadline.Sub(now))))
	if reason == ReasonQuarantined {
		// No retry can succeed soon.
		return maxDelay/2 + s.randomBelow(maxDelay/2)
	}
	if reason == ReasonShed || reason == ReasonBudget || reason == ReasonStopping {
		maxDelay = min(maxDelay, maxRefusedRetryAfter)
	}
	if maxOnTimeDelay := r.objectiveDeadline().Sub(now) - s.expectedTime(r); maxOnTimeDelay > minRetryAfter {
		maxDelay = min(maxDelay, maxOnTimeDelay)
	} else {
		return maxDelay/2 + s.randomBelow(maxDelay/2)
	}
	if maxDelay <= minRetryAfter {
		return max(0, maxDelay)
	}
	return minRetryAfter + s.randomBelow(maxDelay-minRetryAfter)
}

// randomBelow returns a random duration in [0, limit); zero if limit is not
// positive.
func (s *State) randomBelow(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(limit)))
}
