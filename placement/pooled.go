package placement

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/allowance"
	"github.com/oriolepost/oriolepost/retry"
)

// The leader grants a part of each service's retry budget to the entries that need it, see
// package allowance. Load pattern: a failure domain is lost, so that some entries have many
// requests to retry and others none; or most entries restart while upstreams refuse. A
// retry for which the entry has no token waits in the queue for the leader's answer.

const (
	// maxTokenWait limits that wait. It is several round trips to another failure domain,
	// and the time in which a busy leader gets to its messages.
	maxTokenWait = 50 * time.Millisecond
	// formerLeaderFor is how long the leader counts as one of a former version, which
	// grants nothing, after an answer that says so.
	formerLeaderFor = 10 * time.Second
)

// AllowanceAnswered reports the leader's answer to the report of an [AskAllowance].
type AllowanceAnswered struct{ Reply allowance.Reply }

// AllowanceFailed reports that there was no answer. Unsupported is true if the leader is of
// a version that grants nothing.
type AllowanceFailed struct{ Unsupported bool }

// AskAllowance sends a report to the leader.
type AskAllowance struct{ Report allowance.Report }

func (AllowanceAnswered) event() {}
func (AllowanceFailed) event()   {}
func (AskAllowance) effect()     {}

// retryBudget returns the retry budget of a service.
func (s *State) retryBudget(now time.Time, service string) *retry.Pooled {
	p := s.retryBudgets[service]
	if p == nil {
		p = &retry.Pooled{
			Own: retry.Window{Length: s.Config.RetryWindow, Draw: s.hashDraw(service)}, Key: allowance.RetryKey(service),
		}
		s.retryBudgets[service] = p
	}
	p.Former = !s.Config.PooledRetries || now.Before(s.formerLeaderUntil)
	return p
}

// newHolder returns the holder of an entry's tokens. Its name differs in each run of the
// entry.
func newHolder(cfg Config, run uint64) *allowance.Holder {
	return allowance.NewHolder(cfg.Name+"/"+strconv.FormatUint(run, 36), cfg.RetryWindow)
}

// askAllowance sends the next report, if one is due.
func (s *State) askAllowance(now time.Time) {
	if !s.Config.PooledRetries {
		return
	}
	if report, due := s.holder.Report(now); due {
		s.emit(AskAllowance{Report: report})
	}
}

// awaitToken reports whether a retry for which there is no token waits for the leader's
// answer. It waits once.
func (s *State) awaitToken(now time.Time, pending *pendingRequest) bool {
	if pending.tokenAwaited || s.retryBudget(now, pending.request.Service).Former {
		return false
	}
	s.askAllowance(now)
	if !s.holder.Asked() {
		return false
	}
	pending.tokenUntil, pending.tokenAwaited = now.Add(maxTokenWait), true
	return true
}

// awaitsToken reports whether a retry still waits for the leader's answer. Its time in the
// queue does not end before that.
func awaitsToken(pending *pendingRequest) bool {
	return !pending.tokenUntil.IsZero()
}

// handleAllowance takes the leader's answer, and sends the retries that waited for it.
func (s *State) handleAllowance(now time.Time, reply allowance.Reply) {
	s.holder.Answer(now, reply)
	for _, g := range reply.Items {
		if service, ok := allowance.RetryService(g.Key); ok {
			s.dispatchAwaiting(now, service)
		}
	}
}

// handleAllowanceFailure goes on without an answer.
func (s *State) handleAllowanceFailure(now time.Time, e AllowanceFailed) {
	s.holder.Failed(now)
	if e.Unsupported {
		s.formerLeaderUntil = now.Add(formerLeaderFor)
	}
	for _, service := range slices.Sorted(maps.Keys(s.queues)) {
		s.dispatchAwaiting(now, service)
	}
}

// dispatchAwaiting sends or refuses the retries of a service that wait for an answer.
func (s *State) dispatchAwaiting(now time.Time, service string) {
	q := s.queues[service]
	if q == nil {
		return
	}
	for _, pending := range q.waiting {
		pending.tokenUntil = time.Time{}
	}
	s.dispatch(now, q)
}
