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

// admit appends a call to its service's queue, or refuses it. A queue at capacity
// is no reason to refuse the call while a server has a free slot.
func (e *Entry) admit(now time.Time, request call.Request) {
	svc := e.Services[request.Service]
	reason := call.Reason("")
	switch {
	case svc == nil:
		reason = e.MissingServiceReason(now)
	case request.Depth > call.MaxDepth:
		reason = call.ReasonTooDeep
	case !e.leased(now):
		reason = call.ReasonNoLease
	case len(svc.Queue) >= svc.Document.Limits.QueueLength && e.pick(now, request.Service, nil) == nil:
		reason = call.ReasonQueueFull
	}
	if reason != "" {
		e.emit(FinishCall{Call: request.ID, Outcome: call.NotRun{Reason: reason}})
		return
	}
	pending := &pendingCall{request: request, attempts: map[call.AttemptID]*attempt{}, triedServers: map[string]bool{}}
	e.calls[request.ID] = pending
	e.enqueue(now, pending)
}

// MissingServiceReason returns why a call to an unknown service is refused. Without a
// lease, the entry may have missed the document of the service.
func (e *Entry) MissingServiceReason(now time.Time) call.Reason {
	if e.leased(now) {
		return call.ReasonNoService
	}
	return call.ReasonNoLease
}

// enqueue appends a call to its service's queue. A retry goes behind the calls
// that wait already.
func (e *Entry) enqueue(now time.Time, pending *pendingCall) {
	pending.waiting = true
	pending.queuedAt = now
	svc := e.Services[pending.request.Service]
	svc.Queue = append(svc.Queue, pending.request.ID)
}

// serveQueues starts queued calls on free slots, in the order of the queue, and
// sends borrow requests to other entries for the calls that still wait.
func (e *Entry) serveQueues(now time.Time) {
	if !e.leased(now) {
		return
	}
	for _, name := range e.serviceNames {
		svc := e.Services[name]
		if len(svc.Queue) == 0 {
			continue
		}
		for len(svc.Queue) > 0 {
			pending := e.calls[svc.Queue[0]]
			server := e.pick(now, name, pending.triedServers)
			if server == nil {
				break
			}
			svc.Queue = svc.Queue[1:]
			e.startAttempt(now, pending, server.Info, nil)
		}
		e.borrow(now, name, svc)
	}
}

// pick chooses a server among those with a free slot, or returns nil if there
// is none. A server that the call has already tried is chosen only when no
// other server has a free slot.
func (e *Entry) pick(now time.Time, service string, tried map[string]bool) *Server {
	if server := e.pickFrom(now, service, tried); server != nil || len(tried) == 0 {
		return server
	}
	return e.pickFrom(now, service, nil)
}

// pickFrom chooses an eligible server with a free slot that is not excluded, or
// returns nil if there is none.
func (e *Entry) pickFrom(now time.Time, service string, excluded map[string]bool) *Server {
	var servers []*Server
	var candidates []choice.Candidate
	for _, s := range e.Services[service].Servers {
		if s.freeSlots() < 1 || !e.eligible(s) || excluded[s.Info.Server] {
			continue
		}
		servers = append(servers, s)
		candidates = append(candidates, choice.Candidate{
			Stats: s.Stats, InFlight: len(s.Running), Slots: s.GrantedSlots,
			Oldest: s.oldestStart(), Remote: s.Info.Domain != e.Config.Domain,
			Warming: s.Warming,
		})
	}
	e.pickCount++
	policy := e.Config.Policy
	if _, ok := policy.(choice.RoundRobin); ok {
		policy = choice.RoundRobin{Turn: e.pickCount}
	}
	i := choice.Pick(policy, now, candidates, e.random)
	if i < 0 {
		return nil
	}
	return servers[i]
}

// startAttempt starts an attempt on a slot of this entry, or on a borrowed slot
// if one is passed.
func (e *Entry) startAttempt(now time.Time, pending *pendingCall, info membership.Announcement, borrowed *borrowedSlot) {
	e.lastAttempt++
	id := e.lastAttempt
	svc := e.Services[pending.request.Service]
	effect := StartAttempt{
		Call: pending.request.ID, Attempt: id, Server: info,
		NotAfter: e.LeaseEnd, HedgeDelay: e.hedgeDelay(pending, svc), QueueTime: now.Sub(pending.queuedAt),
	}
	pending.waiting = false
	pending.attemptCount++
	pending.triedServers[info.Server] = true
	pending.attempts[id] = &attempt{server: info.Server, bootID: info.BootID, borrowed: borrowed}
	svc.Running++
	if borrowed == nil {
		e.Servers[info.Server].Running[id] = now
	} else {
		effect.NotAfter = borrowed.notAfter
		effect.Lender = borrowed.lender.Entry
	}
	e.emit(effect)
}

// hedgeDelay returns the time after which an idempotent call without an answer
// may start a second attempt: the service's hedge factor times its expected
// service time. It returns zero if the call must not be hedged, or while no
// service time is known.
func (e *Entry) hedgeDelay(pending *pendingCall, svc *Service) time.Duration {
	factor := svc.Document.Retry.HedgeFactor
	if !pending.request.Idempotent || pending.request.NoRetry || factor == 0 || svc.ExpectedTime.Updated.IsZero() {
		return 0
	}
	// The attempt that starts now is not counted yet. Without another one after it,
	// there is nothing to hedge with.
	if pending.attemptCount+1 >= svc.Document.Retry.MaxAttempts {
		return 0
	}
	return time.Duration(factor * float64(svc.ExpectedTime.Mean))
}

// hedge starts a second attempt at a server that the call has not tried, if one
// has a free slot and the retry budget allows it.
func (e *Entry) hedge(now time.Time, id call.ID) {
	pending := e.calls[id]
	if pending == nil || pending.waiting || len(pending.attempts) != 1 || !e.leased(now) {
		return
	}
	svc := e.Services[pending.request.Service]
	server := e.pickFrom(now, pending.request.Service, pending.triedServers)
	if server == nil || !svc.Budget.Spend() {
		return
	}
	pending.queuedAt = now
	e.startAttempt(now, pending, server.Info, nil)
}

// attemptEnded frees the slot of an attempt, records the result, and then
// finishes or retries the call. It ignores an attempt that was superseded.
func (e *Entry) attemptEnded(now time.Time, ended AttemptEnded) {
	pending := e.calls[ended.Call]
	if pending == nil || pending.attempts[ended.Attempt] == nil {
		return
	}
	finished := pending.attempts[ended.Attempt]
	delete(pending.attempts, ended.Attempt)
	svc := e.Services[pending.request.Service]
	_, unknown := ended.Outcome.(call.Unknown)
	e.releaseSlot(now, ended.Attempt, finished, svc, unknown)
	e.observe(now, finished, ended, svc)
	pending.request.NoRetry = pending.request.NoRetry || ended.NoRetry
	e.finishOrRetry(now, pending, svc, ended.Outcome)
}

// cancelGrace is how long the slot of a canceled attempt still counts as in use.
// It covers the delay until the cancellation reaches a server in another failure
// domain, with some margin.
const cancelGrace = 20 * time.Millisecond

// releaseSlot frees the slot of an attempt that ended or was canceled. If the
// server may still run the attempt, the slot counts as in use for cancelGrace
// longer.
func (e *Entry) releaseSlot(now time.Time, id call.AttemptID, released *attempt, svc *Service, mayStillRun bool) {
	svc.Running--
	if released.borrowed != nil {
		e.returnBorrowedSlot(now, *released.borrowed, mayStillRun)
		return
	}
	server := e.Servers[released.server]
	if server.slotsInUse() > server.GrantedSlots {
		// The slot was no longer granted. The slot owner can grant it to another
		// entry as soon as it learns that the slot is free.
		e.reporting.urgent = true
	}
	delete(server.Running, id)
	if mayStillRun {
		server.CanceledUntil = append(server.CanceledUntil, now.Add(cancelGrace))
	}
	e.removeUnusedServer(server)
}

// releaseCanceledSlots frees the slots of canceled attempts whose grace period
// is over.
func (e *Entry) releaseCanceledSlots(now time.Time) {
	for _, s := range e.Servers {
		if len(s.CanceledUntil) == 0 {
			continue
		}
		s.CanceledUntil = slices.DeleteFunc(s.CanceledUntil, func(t time.Time) bool { return !t.After(now) })
		e.removeUnusedServer(s)
	}
}

// finishOrRetry ends a call after one of its attempts ended, or queues the call
// for another attempt.
func (e *Entry) finishOrRetry(now time.Time, pending *pendingCall, svc *Service, outcome call.Outcome) {
	if _, ok := pending.outcome.(call.Answered); ok {
		// The other attempt of a hedged call was answered first.
		e.removeIfDone(pending)
		return
	}
	pending.outcome = call.Merge(pending.outcome, outcome)
	switch o := outcome.(type) {
	case call.Answered:
		svc.Budget.Earn(svc.Document.Retry)
		e.removeIfDone(pending)
		return
	case call.NotRun:
		if o.Reason != call.ReasonCanceled && e.spendRetry(now, pending, svc) {
			e.enqueue(now, pending)
			return
		}
	case call.Unknown:
		if pending.request.Idempotent && retryableReason(o.Reason) && e.spendRetry(now, pending, svc) {
			e.enqueue(now, pending)
			return
		}
	}
	if e.removeIfDone(pending) {
		e.emit(FinishCall{Call: pending.request.ID, Outcome: pending.outcome})
	}
}

// removeIfDone removes a call that neither runs nor waits, and reports whether
// it did.
func (e *Entry) removeIfDone(p *pendingCall) bool {
	if len(p.attempts) > 0 || p.waiting {
		return false
	}
	delete(e.calls, p.request.ID)
	return true
}

// retryableReason reports whether an idempotent call may be retried after an
// outcome that is unknown for this reason.
func retryableReason(r call.Reason) bool {
	return r == call.ReasonConnectionLost || r == call.ReasonAnswerCut || r == call.ReasonAnswerMalformed
}

// spendRetry reports whether a call may be retried, and if so takes the retry
// out of the service's retry budget.
func (e *Entry) spendRetry(now time.Time, pending *pendingCall, svc *Service) bool {
	if pending.request.NoRetry || pending.waiting || len(pending.attempts) > 0 || !now.Before(pending.request.Deadline) {
		return false
	}
	if pending.attemptCount >= svc.Document.Retry.MaxAttempts || !e.leased(now) {
		return false
	}
	return svc.Budget.Spend()
}

// closeCall removes a call that needs no more attempts: it was answered, its
// caller disconnected, or its deadline passed. The task that owns the caller's
// connection has already canceled the remaining attempts.
func (e *Entry) closeCall(now time.Time, closed CallClosed) {
	pending := e.calls[closed.Call]
	if pending == nil {
		return
	}
	svc := e.Services[pending.request.Service]
	for _, id := range slices.Sorted(maps.Keys(pending.attempts)) {
		e.releaseSlot(now, id, pending.attempts[id], svc, true)
	}
	svc.Queue = slices.DeleteFunc(svc.Queue, func(id call.ID) bool { return id == closed.Call })
	delete(e.calls, closed.Call)
}

// observe records the end of an attempt in the statistics of its server, in the
// expected service time of its service, and in the observations for the next
// report.
func (e *Entry) observe(now time.Time, finished *attempt, ended AttemptEnded, svc *Service) {
	server := e.Servers[finished.server]
	if server == nil {
		e.observeBorrowed(finished, ended)
		return
	}
	observed := &server.Observed
	switch o := ended.Outcome.(type) {
	case call.Answered:
		server.ConsecutiveSheds = 0
		server.Stats.Observe(now, ended.ServiceTime, ended.Failed)
		if !ended.Failed {
			svc.ExpectedTime.Observe(now, ended.ServiceTime, false)
			observed.Answers++
			e.reporting.warmingAnswered = e.reporting.warmingAnswered || server.Warming
			server.serviceTimeSum += ended.ServiceTime
		}
	case call.NotRun:
		if o.Reason == call.ReasonShed {
			server.ConsecutiveSheds++
			observed.Sheds++
			observed.ConsecutiveSheds = max(observed.ConsecutiveSheds, server.ConsecutiveSheds)
		}
		server.Stats.Observe(now, ended.ServiceTime, true)
	case call.Unknown:
		server.Stats.Observe(now, ended.ServiceTime, o.Reason != call.ReasonCanceled)
	}
}

// observeBorrowed records an answer of a server on which this entry holds no
// slot, so that the next report carries it to the slot owner.
func (e *Entry) observeBorrowed(finished *attempt, ended AttemptEnded) {
	if _, answered := ended.Outcome.(call.Answered); !answered || ended.Failed {
		return
	}
	observation := e.reporting.borrowedObservations[finished.server]
	if observation.BootID != finished.bootID {
		observation = slot.Observation{Server: finished.server, BootID: finished.bootID}
	}
	total := observation.MeanServiceTimeUS*int64(observation.Answers) + ended.ServiceTime.Microseconds()
	observation.Answers++
	observation.MeanServiceTimeUS = total / int64(observation.Answers)
	e.reporting.borrowedObservations[finished.server] = observation
}
