package placement

import (
	"maps"
	"slices"
	"time"
)

const (
	// unhealthyPause is how long an upstream that says it is not healthy is
	// left alone.
	unhealthyPause = 500 * time.Millisecond
	// firstPause is how long an upstream is left alone after a failure; it
	// doubles with each further one up to longestPause.
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
	// mostTrouble bounds what failures add up to.
	mostTrouble = 4.0
	// troubleDecay is how much of the trouble an answer leaves.
	troubleDecay = 0.6
	// hedgeFactor is how many times the expected time an idempotent request
	// waits before it is sent to a second upstream as well.
	hedgeFactor = 1.3
	// usualWeight is the weight of one answer in the usual time of a route.
	usualWeight = 0.1
	// slownessWeight is the weight of one answer in an upstream's slowness.
	slownessWeight = 0.3
	// mostSlowness bounds what one answer counts, and timeoutSlowness is what an
	// answer counts that did not come in time.
	mostSlowness    = 8.0
	timeoutSlowness = 3.0
	// shortestRetryAfter and longestRetryAfter bound when callers are asked
	// to come back, in a spread that keeps them from coming together.
	shortestRetryAfter = 60 * time.Millisecond
	longestRetryAfter  = 2 * time.Second
	// soonRetryAfter is the longest for callers whose request upstreams refused
	// though they have room: the next try is as good as a later one.
	soonRetryAfter = 150 * time.Millisecond
	// leftShare is the share of the time left after which callers still come
	// back: they don't honor more than a third.
	leftShare = 0.32
	// noAttempts serves routes that don't bound their attempts.
	noAttempts = 2
	// mostAttempts bounds the attempts that reached no upstream as well.
	mostAttempts = 6
)

// tick does what time brings to the requests.
func (s *State) tick(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		p := s.requests[id]
		if p == nil {
			continue
		}
		if !now.Before(p.request.Deadline) {
			s.expire(now, p)
			continue
		}
		if p.placing && !now.Before(p.giveUpAt) {
			s.giveUp(now, p)
		}
		if s.requests[id] != nil && !p.hedgeAt.IsZero() && !now.Before(p.hedgeAt) {
			s.hedge(now, p)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(s.rooms)) {
		s.scout(now, s.rooms[service])
	}
}

// expire ends a request whose deadline passed.
func (s *State) expire(now time.Time, p *pending) {
	s.stopPlacing(p)
	var o Outcome = Unknown{Reason: ReasonTimeout}
	if p.sent == 0 {
		o = NotRun{Reason: ReasonOverload}
	}
	for _, id := range slices.Sorted(maps.Keys(p.attempts)) {
		if u := s.upstream(p.attempts[id].upstream); u != nil {
			s.slower(now, u, timeoutSlowness)
		}
	}
	p.outcome = merge(p.outcome, o)
	s.finish(now, p, 0)
}

// hedgeTime is when an idempotent request is sent to a second upstream too.
func (s *State) hedgeTime(now time.Time, p *pending, expected time.Duration) time.Time {
	if !s.mayRepeat(p) || !p.request.Route.Idempotent {
		return time.Time{}
	}
	return now.Add(time.Duration(hedgeFactor * float64(max(expected, s.usualTime(p.request)))))
}

// hedge looks for a second upstream beside a slow one.
func (s *State) hedge(now time.Time, p *pending) {
	p.hedgeAt = time.Time{}
	if len(p.attempts) != 1 || p.placing || !s.mayRepeat(p) {
		return
	}
	s.place(now, p)
}

// mayRepeat reports whether a request may be sent to one more upstream.
func (s *State) mayRepeat(p *pending) bool {
	limit := p.request.Route.MaxAttempts
	if limit == 0 {
		limit = noAttempts
	}
	return !p.request.Once && p.sent < limit
}

// attemptEnded takes the end of an attempt.
func (s *State) attemptEnded(now time.Time, e AttemptEnded) {
	id, known := s.owners[e.Attempt]
	if !known {
		return
	}
	delete(s.owners, e.Attempt)
	p := s.requests[id]
	a := p.attempts[e.Attempt]
	delete(p.attempts, e.Attempt)
	if u := s.upstream(a.upstream); u != nil {
		delete(u.InFlight, e.Attempt)
		s.observe(now, u, a, p, e)
	}
	s.decide(now, p, e)
	if r := s.rooms[p.request.Service]; r != nil && len(r.waiting) > 0 {
		s.fill(now, r)
	}
}

// decide ends the request, repeats it, or waits for another attempt.
func (s *State) decide(now time.Time, p *pending, e AttemptEnded) {
	switch o := e.Outcome.(type) {
	case Answered:
		if o.Failed && p.request.Route.Idempotent && (len(p.attempts) > 0 || s.repeat(now, p)) {
			// The other attempt may bring the answer; else the caller gets
			// no answer rather than this one.
			p.outcome = merge(p.outcome, Unknown{Reason: ReasonShed})
			return
		}
		p.outcome = o
		s.finish(now, p, e.Attempt)
		return
	case NotRun:
		if !o.Sent {
			p.sent--
		}
		p.outcome = merge(p.outcome, o)
		if len(p.attempts) > 0 || p.placing || s.repeat(now, p) {
			return
		}
	case Unknown:
		p.outcome = merge(p.outcome, o)
		if len(p.attempts) > 0 || p.placing {
			return
		}
		if p.request.Route.Idempotent && s.repeat(now, p) {
			return
		}
	}
	s.finish(now, p, 0)
}

// repeat looks for another upstream if the request may go to one more.
func (s *State) repeat(now time.Time, p *pending) bool {
	if !s.mayRepeat(p) || p.made >= mostAttempts {
		return false
	}
	s.place(now, p)
	return s.requests[p.request.ID] == nil || p.placing || len(p.attempts) > 0
}

// observe takes what an attempt showed of its upstream.
func (s *State) observe(now time.Time, u *Upstream, a *attempt, p *pending, e AttemptEnded) {
	switch o := e.Outcome.(type) {
	case Answered:
		if e.Load.Known {
			s.loaded(now, u, e.Load)
		}
		if o.Failed {
			s.avoid(now, u, 0.7)
			return
		}
		u.Trouble = u.trouble(now) * troubleDecay
		u.TroubleAt = now
		took := now.Sub(a.began)
		s.slower(now, u, float64(took)/float64(max(a.expected, time.Millisecond)))
		usual := s.usualTime(p.request)
		ratio := float64(usual) / float64(max(a.expected, time.Millisecond))
		s.usual[p.request.Route.Name] = usual + time.Duration(usualWeight*(float64(took)*ratio-float64(usual)))
	case NotRun:
		if o.Reason != ReasonCanceled {
			s.avoid(now, u, 0.5)
		}
	case Unknown:
		if o.Reason != ReasonCanceled {
			s.avoid(now, u, 1)
		}
	}
}

// slower takes how many times longer than expected an answer took.
func (s *State) slower(now time.Time, u *Upstream, ratio float64) {
	known := u.slowness(now)
	u.Slowness = known + slownessWeight*(min(ratio, mostSlowness)-known)
	u.SlownessAt = now
}

// avoid leaves an upstream alone for a while after a failure.
func (s *State) avoid(now time.Time, u *Upstream, weight float64) {
	u.Trouble = min(u.trouble(now)+weight, mostTrouble)
	u.TroubleAt = now
	pause := time.Duration(float64(firstPause) * u.Trouble * u.Trouble)
	u.AvoidUntil = now.Add(min(pause, longestPause))
	u.LoadAt = time.Time{}
}

// merge joins what became of several attempts: if one may have run, the
// request may have run.
func merge(before, o Outcome) Outcome {
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

// leave drops a request whose caller is gone.
func (s *State) leave(id RequestID) {
	if p := s.requests[id]; p != nil {
		s.stopPlacing(p)
		s.cancelAttempts(p)
		delete(s.requests, id)
	}
}

func (s *State) cancelAttempts(p *pending) {
	for _, id := range slices.Sorted(maps.Keys(p.attempts)) {
		if u := s.upstream(p.attempts[id].upstream); u != nil {
			delete(u.InFlight, id)
		}
		delete(s.owners, id)
		s.emit(CancelAttempt{Attempt: id})
	}
	clear(p.attempts)
}

// finish gives the caller the outcome and cancels what is still under way.
func (s *State) finish(now time.Time, p *pending, answer AttemptID) {
	if o, ok := p.outcome.(NotRun); ok {
		o.RetryAfter = s.retryAfter(now, p.request, o.Reason)
		p.outcome = o
	}
	s.stopPlacing(p)
	s.cancelAttempts(p)
	delete(s.requests, p.request.ID)
	s.emit(Finish{
		Request: p.request.ID, Outcome: p.outcome, Attempt: answer, Attempts: p.made,
		Open: s.countOpen(now, p.request.Service), Room: len(s.room(p.request.Service).waiting),
	})
}

// retryAfter is when a caller that is refused should come back: while its
// answer can still be on time, or else when the load may have passed. It is
// spread so that callers don't come together.
func (s *State) retryAfter(now time.Time, r Request, reason Reason) time.Duration {
	longest := min(longestRetryAfter, time.Duration(leftShare*float64(r.Deadline.Sub(now))))
	if reason == ReasonShed || reason == ReasonBudget {
		longest = min(longest, soonRetryAfter)
	}
	if onTime := r.dueAt().Sub(now) - s.usualTime(r); onTime > shortestRetryAfter {
		longest = min(longest, onTime)
	} else {
		return longest/2 + s.upTo(longest/2)
	}
	if longest <= shortestRetryAfter {
		return max(0, longest)
	}
	return shortestRetryAfter + s.upTo(longest-shortestRetryAfter)
}

// upTo draws a time below a limit.
func (s *State) upTo(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(s.random.Int64N(int64(limit)))
}
