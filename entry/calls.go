package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/slot"
)

// arrive admits a call to its service's queue, or refuses it.
func (e *Entry) arrive(now time.Time, r call.Request) {
	s := e.Services[r.Service]
	reason := call.Reason("")
	switch {
	case s == nil:
		reason = call.ReasonNoService
	case r.Depth > call.MaxDepth:
		reason = call.ReasonTooDeep
	case !e.leased(now):
		reason = call.ReasonNoLease
	case len(s.Queue) >= s.Document.Limits.QueueLength && e.pick(now, r.Service, nil) == nil:
		reason = call.ReasonQueueFull
	}
	if reason != "" {
		e.emit(Finish{Call: r.ID, Outcome: call.NotRun{Reason: reason}})
		return
	}
	p := &pending{request: r, attempts: map[call.AttemptID]*attempt{}, tried: map[string]bool{}}
	e.calls[r.ID] = p
	e.enqueue(now, p)
}

func (e *Entry) enqueue(now time.Time, p *pending) {
	p.waiting = true
	p.queued = now
	s := e.Services[p.request.Service]
	s.Queue = append(s.Queue, p.request.ID)
}

// serveQueues starts waiting calls on free slots and asks other entries for
// slots for the rest.
func (e *Entry) serveQueues(now time.Time) {
	if !e.leased(now) {
		return
	}
	for _, name := range e.names {
		s := e.Services[name]
		if len(s.Queue) == 0 {
			continue
		}
		for len(s.Queue) > 0 {
			p := e.calls[s.Queue[0]]
			server := e.pick(now, name, p.tried)
			if server == nil {
				break
			}
			s.Queue = s.Queue[1:]
			e.start(now, p, server.Info, nil)
		}
		e.borrow(now, name, s)
	}
}

// pick chooses among the servers on which a slot is free. Servers that the
// call has tried come last.
func (e *Entry) pick(now time.Time, service string, tried map[string]bool) *Server {
	if server := e.pickFrom(now, service, tried); server != nil || len(tried) == 0 {
		return server
	}
	return e.pickFrom(now, service, nil)
}

func (e *Entry) pickFrom(now time.Time, service string, tried map[string]bool) *Server {
	var servers []*Server
	var candidates []choice.Candidate
	for _, s := range e.Services[service].Servers {
		if s.free() < 1 || !e.usable(s) || tried[s.Info.Server] {
			continue
		}
		servers = append(servers, s)
		candidates = append(candidates, choice.Candidate{
			Stats: s.Stats, InFlight: len(s.Running), Slots: s.Target,
			Oldest: s.oldest(), Remote: s.Info.Domain != e.Config.Domain,
			Warming: s.Warming,
		})
	}
	e.turn++
	policy := e.Config.Policy
	if _, ok := policy.(choice.RoundRobin); ok {
		policy = choice.RoundRobin{Turn: e.turn}
	}
	i := choice.Pick(policy, now, candidates, e.random)
	if i < 0 {
		return nil
	}
	return servers[i]
}

// start begins an attempt on an own slot, or on a borrowed one.
func (e *Entry) start(now time.Time, p *pending, info membership.Announcement, b *borrowed) {
	e.nextAttempt++
	id := e.nextAttempt
	s := e.Services[p.request.Service]
	effect := StartAttempt{
		Call: p.request.ID, Attempt: id, Server: info,
		NotAfter: e.LeaseEnd, HedgeAfter: e.hedgeAfter(p, s), Waited: now.Sub(p.queued),
	}
	p.waiting = false
	p.tries++
	p.tried[info.Server] = true
	p.attempts[id] = &attempt{server: info.Server, boot: info.BootID, borrowed: b}
	s.Running++
	if b == nil {
		e.Servers[info.Server].Running[id] = now
	} else {
		effect.NotAfter = b.notAfter
		effect.Lender = b.lender.Entry
	}
	e.emit(effect)
}

// hedgeAfter is how long an idempotent call waits for its first answer.
func (e *Entry) hedgeAfter(p *pending, s *Service) time.Duration {
	factor := s.Document.Retry.HedgeFactor
	if !p.request.Idempotent || p.request.NoRetry || factor == 0 || s.Usual.Updated.IsZero() {
		return 0
	}
	if p.tries+1 >= s.Document.Retry.MaxAttempts {
		return 0
	}
	return time.Duration(factor * float64(s.Usual.Mean))
}

// hedge starts a second attempt at another server if a slot is free and the
// budget allows it.
func (e *Entry) hedge(now time.Time, id call.ID) {
	p := e.calls[id]
	if p == nil || p.waiting || len(p.attempts) != 1 || !e.leased(now) {
		return
	}
	s := e.Services[p.request.Service]
	server := e.pickFrom(now, p.request.Service, p.tried)
	if server == nil || !s.Budget.Spend() {
		return
	}
	p.queued = now
	e.start(now, p, server.Info, nil)
}

func (e *Entry) attemptEnded(now time.Time, ev AttemptEnded) {
	p := e.calls[ev.Call]
	if p == nil || p.attempts[ev.Attempt] == nil {
		return
	}
	a := p.attempts[ev.Attempt]
	delete(p.attempts, ev.Attempt)
	s := e.Services[p.request.Service]
	_, unknown := ev.Outcome.(call.Unknown)
	e.giveBack(now, ev.Attempt, a, s, unknown)
	e.observe(now, a, ev, s)
	p.request.NoRetry = p.request.NoRetry || ev.Final
	e.decide(now, p, s, ev.Outcome)
}

// cancelGrace is how long a canceled attempt keeps its slot: the way of the
// cancellation to a server in another failure domain, with some room.
const cancelGrace = 20 * time.Millisecond

// giveBack frees the slot of an attempt. When the server may still run it,
// the slot stays in use for a little longer.
func (e *Entry) giveBack(now time.Time, id call.AttemptID, a *attempt, s *Service, running bool) {
	s.Running--
	if a.borrowed != nil {
		e.giveLoanBack(now, *a.borrowed, running)
		return
	}
	server := e.Servers[a.server]
	if server.inUse() > server.Target {
		e.reporting.urgent = true
	}
	delete(server.Running, id)
	if running {
		server.Lingering = append(server.Lingering, now.Add(cancelGrace))
	}
	e.forgetServer(server)
}

// expireLingering frees the slots of attempts that were canceled.
func (e *Entry) expireLingering(now time.Time) {
	for _, s := range e.Servers {
		if len(s.Lingering) == 0 {
			continue
		}
		s.Lingering = slices.DeleteFunc(s.Lingering, func(t time.Time) bool { return !t.After(now) })
		e.forgetServer(s)
	}
}

// decide ends the call or tries it again.
func (e *Entry) decide(now time.Time, p *pending, s *Service, outcome call.Outcome) {
	if _, ok := p.outcome.(call.Answered); ok {
		// The loser of a hedge ended after the winner.
		e.endIfLast(p)
		return
	}
	p.outcome = call.Merge(p.outcome, outcome)
	switch o := outcome.(type) {
	case call.Answered:
		s.Budget.Earn(s.Document.Retry)
		e.endIfLast(p)
		return
	case call.NotRun:
		if o.Reason != call.ReasonCanceled && e.mayRetry(now, p, s) {
			e.enqueue(now, p)
			return
		}
	case call.Unknown:
		if p.request.Idempotent && retryable(o.Reason) && e.mayRetry(now, p, s) {
			e.enqueue(now, p)
			return
		}
	}
	if e.endIfLast(p) {
		e.emit(Finish{Call: p.request.ID, Outcome: p.outcome})
	}
}

// endIfLast forgets a call whose last attempt ended.
func (e *Entry) endIfLast(p *pending) bool {
	if len(p.attempts) > 0 || p.waiting {
		return false
	}
	delete(e.calls, p.request.ID)
	return true
}

func retryable(r call.Reason) bool {
	return r == call.ReasonReset || r == call.ReasonCut
}

func (e *Entry) mayRetry(now time.Time, p *pending, s *Service) bool {
	if p.request.NoRetry || p.waiting || len(p.attempts) > 0 || !now.Before(p.request.Deadline) {
		return false
	}
	if p.tries >= s.Document.Retry.MaxAttempts || !e.leased(now) {
		return false
	}
	return s.Budget.Spend()
}

// leave drops a call whose caller went away or whose deadline passed. The
// shell has canceled its attempts already.
func (e *Entry) leave(now time.Time, ev Left) {
	p := e.calls[ev.Call]
	if p == nil {
		return
	}
	s := e.Services[p.request.Service]
	for _, id := range slices.Sorted(maps.Keys(p.attempts)) {
		e.giveBack(now, id, p.attempts[id], s, true)
	}
	s.Queue = slices.DeleteFunc(s.Queue, func(id call.ID) bool { return id == ev.Call })
	delete(e.calls, ev.Call)
}

// observe takes the end of an attempt into the statistics of the server.
func (e *Entry) observe(now time.Time, a *attempt, ev AttemptEnded, s *Service) {
	server := e.Servers[a.server]
	if server == nil {
		e.observeBorrowed(a, ev)
		return
	}
	seen := &server.Seen
	switch o := ev.Outcome.(type) {
	case call.Answered:
		server.ShedRun = 0
		server.Stats.Observe(now, ev.Took, ev.Failed)
		if !ev.Failed {
			s.Usual.Observe(now, ev.Took, false)
			seen.Answers++
			e.reporting.warmed = e.reporting.warmed || server.Warming
			server.seenSum += ev.Took
		}
	case call.NotRun:
		if o.Reason == call.ReasonShed {
			server.ShedRun++
			seen.Sheds++
			seen.ShedRun = max(seen.ShedRun, server.ShedRun)
		}
		server.Stats.Observe(now, ev.Took, true)
	case call.Unknown:
		server.Stats.Observe(now, ev.Took, o.Reason != call.ReasonCanceled)
	}
}

// observeBorrowed keeps an answer of a server on which this entry holds no
// slot, so that the owner hears of it.
func (e *Entry) observeBorrowed(a *attempt, ev AttemptEnded) {
	if _, answered := ev.Outcome.(call.Answered); !answered || ev.Failed {
		return
	}
	o := e.reporting.borrowed[a.server]
	if o.BootID != a.boot {
		o = slot.Observation{Server: a.server, BootID: a.boot}
	}
	total := o.MeanUS*int64(o.Answers) + ev.Took.Microseconds()
	o.Answers++
	o.MeanUS = total / int64(o.Answers)
	e.reporting.borrowed[a.server] = o
}
