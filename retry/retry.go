// Package retry holds the retry budgets of a service in one instance.
//
// A budget limits retries and hedges, so that they stop under overload instead
// of multiplying the load. [Budget] is a token bucket: answered calls fill it,
// and retries and hedges empty it. Under overload few calls are answered, so
// the bucket runs empty. [Window] limits retries and hedges to a ratio of the
// requests within a sliding window, plus a slack. The package is part of the
// core.
//
// # Usage
//
//	b := retry.Budget{Tokens: document.Retry.Burst}
//	b.Earn(document.Retry)
//	if b.Spend() {
//		startSecondAttempt()
//	}
package retry

import "github.com/oriolepost/oriolepost/service"

// Budget is a token bucket for retries and hedges. Each takes one token.
type Budget struct {
	// Tokens is the number of retries and hedges that may still be made. Calls
	// earn fractions of a token.
	Tokens float64
}

// Earn adds the tokens that one answered call is worth: r.Ratio, up to a total
// of r.Burst.
func (b *Budget) Earn(r service.Retry) { b.Tokens = min(b.Tokens+r.Ratio, r.Burst) }

// Spend takes one token and returns true, or returns false if less than one is
// left.
func (b *Budget) Spend() bool {
	if b.Tokens < 1 {
		return false
	}
	b.Tokens--
	return true
}
