package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/quarantine"
)

// Retries and hedges of a service share one budget. Load pattern: all upstreams of a
// service shed a share of the requests although they have idle slots. First retries
// alone then need more than the budget, so requests of higher priority must get
// theirs before the others use it up. Callers of the others come back by themselves.

// lowPriorityRetryShare is the share of the retry budget that requests of the
// service's lowest priority may use up, where there are several priorities.
const lowPriorityRetryShare = 0.8

// spendRetry takes a retry or hedge from the budget of the request's service. It
// returns false if the share for the request's priority is used up.
func (s *State) spendRetry(now time.Time, pending *pendingRequest) bool {
	service := pending.request.Service
	share := 1.0
	if s.highestPriority[service] < s.lowestPriority[service] && pending.request.priority() == s.lowestPriority[service] {
		share = lowPriorityRetryShare
	}
	return s.retryBudget(now, service).Spend(now, s.holder, s.Config.RetryRatio, s.retrySlack.Share(now), share)
}

// noteReset counts an attempt whose connection broke: its upstream may have crashed under
// the content. One further attempt may then be sent, and one that is under way is it.
func (p *pendingRequest) noteReset(o Outcome) {
	if unknown, ok := o.(Unknown); !ok || unknown.Reason != ReasonReset {
		return
	}
	if p.resets == 0 {
		p.maxAttemptsSent = p.attemptsSent - len(p.attempts) + 1
	}
	p.resets++
}

// hasContent reports whether the quarantine applies to the request.
func (s *State) hasContent(pending *pendingRequest) bool {
	return s.Quarantine != nil && pending.request.Fingerprint != ""
}

// mayRepeatContent reports whether the content of a request may be sent once more. After a
// broken connection, a content that has crashed upstreams under other requests must not
// be; one that was not seen before may, since most crashes have another cause.
func (s *State) mayRepeatContent(now time.Time, pending *pendingRequest) bool {
	switch {
	case !s.hasContent(pending):
		return true
	case pending.request.Probe || pending.resets > 0 && pending.attemptsSent >= pending.maxAttemptsSent:
		return false
	case pending.resets > 0:
		return s.Quarantine.MayRepeat(now, pending.request.Fingerprint, pending.resets)
	}
	return !s.isQuarantined(now, pending)
}

// mayHedgeContent reports whether the content of a request may be sent to a second upstream
// while the first still runs it. It must not be once it is suspected.
func (s *State) mayHedgeContent(now time.Time, pending *pendingRequest) bool {
	return !s.hasContent(pending) || pending.resets == 0 && s.Quarantine.MayRepeat(now, pending.request.Fingerprint, 0)
}

// isQuarantined reports whether a request must not be sent because of its content.
func (s *State) isQuarantined(now time.Time, pending *pendingRequest) bool {
	return s.hasContent(pending) && !pending.request.Probe && s.Quarantine.Quarantined(now, pending.request.Fingerprint)
}

// refuseQuarantined refuses the waiting requests with a content. Those that have an attempt
// under way are not sent again.
func (s *State) refuseQuarantined(now time.Time, f quarantine.Fingerprint) {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if pending := s.requests[id]; pending != nil && pending.queued && pending.request.Fingerprint == f && s.isQuarantined(now, pending) {
			s.refuse(now, pending, NotRun{Reason: ReasonQuarantined})
		}
	}
}
