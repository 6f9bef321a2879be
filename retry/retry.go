// Package retry holds the retry budget of a service in one instance.
//
// The budget is a token bucket that answered calls fill and that retries and
// hedges empty. Under overload few calls are answered, so retries stop by
// themselves instead of multiplying the load. The package is part of the core.
//
// # Usage
//
//	b := retry.Budget{Tokens: d.Retry.Burst}
//	b.Earn(d.Retry)
//	if b.Spend() {
//		startSecondAttempt()
//	}
package retry

import "github.com/oriolepost/oriolepost/service"

// Budget is the number of retries and hedges that may still be made.
type Budget struct {
	// Tokens is the number of attempts left; fractions add up.
	Tokens float64
}

// Earn adds the share of an attempt that one answered call pays for.
func (b *Budget) Earn(r service.Retry) { b.Tokens = min(b.Tokens+r.Ratio, r.Burst) }

// Spend takes one attempt out of the budget if there is one.
func (b *Budget) Spend() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
