package placement

import "time"

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
	if s.highestPriority[service] < s.lowestPriority[service] && pending.request.Route.Priority == s.lowestPriority[service] {
		share = lowPriorityRetryShare
	}
	return s.retryBudget(now, service).Spend(now, s.holder, s.Config.RetryRatio, s.retrySlack.Share(now), share)
}
