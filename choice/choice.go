// Package choice selects the server for an attempt.
//
// The candidates are the servers on which the instance holds a free slot, so no
// choice can exceed the capacity of a server. The selection therefore only
// minimizes latency: [Expected] selects the server with the lowest expected time.
// This is the moving average of the service times that this instance has seen,
// or the age of the oldest call in flight as soon as that is longer. A failed
// attempt counts with a minimum time, so that a server that fails fast is not
// preferred.
//
// The other policies are the baselines of the comparison in docs/DESIGN.md. The
// package is part of the core: it does no input or output and reads no clock.
//
// # Usage
//
//	i := choice.Pick(choice.Expected{}, now, candidates, random)
package choice

import (
	"math/rand/v2"
	"time"
)

const (
	// newestWeight is the weight of the newest service time in the moving average.
	newestWeight = 0.2
	// remoteRoundTrip is the round-trip time to another failure domain. It is added
	// to the expected time of a server there.
	remoteRoundTrip = 3 * time.Millisecond
	// minFailureTime is the minimum service time recorded for a failed attempt.
	minFailureTime = 250 * time.Millisecond
	// idleDecayInterval is the interval after which the expected time of a server
	// without calls begins to fall, so that a slow server is tried again: the
	// moving average is divided by 1 plus the number of whole intervals since the
	// last attempt ended.
	idleDecayInterval = time.Second
	// warmupInterval is the minimum time from the end of one attempt at a warming
	// server to the next attempt that is sent there just to warm it up.
	warmupInterval = 50 * time.Millisecond
)

// Stats holds the service times of a server that the instance's own calls have
// seen.
type Stats struct {
	// Mean is the exponentially weighted moving average of the service time. A
	// failed attempt counts with at least minFailureTime.
	Mean time.Duration
	// Updated is when the last attempt ended; zero before the first.
	Updated time.Time
}

// Observe records an attempt that ended at now and took the given time.
func (s *Stats) Observe(now time.Time, took time.Duration, failed bool) {
	if failed {
		took = max(took, minFailureTime)
	}
	if s.Updated.IsZero() {
		s.Mean = took
	} else {
		s.Mean += time.Duration(newestWeight * float64(took-s.Mean))
	}
	s.Updated = now
}

// Candidate is a server with a free slot.
type Candidate struct {
	Stats Stats
	// InFlight counts the calls in flight from this instance to the server.
	InFlight int
	// Slots counts the slots that this instance holds at the server. No policy
	// reads it.
	Slots int
	// Oldest is the start time of the oldest call in flight; zero if there is none.
	Oldest time.Time
	// Warming is true while the server's concurrency limit still grows, which it
	// does only when the server answers calls.
	Warming bool
	// Remote is true when the server is in another failure domain.
	Remote bool
}

// Policy is a rule for selecting a server.
//
//sumtype:decl
type Policy interface{ policy() }

// Expected selects the candidate with the lowest expected time.
type Expected struct{}

// Random selects a candidate at random.
type Random struct{}

// RoundRobin selects the candidates in turn. Turn is a counter that the caller
// increments with each selection.
type RoundRobin struct{ Turn uint64 }

// LeastInFlight selects the candidate with the fewest calls in flight from this
// instance.
type LeastInFlight struct{}

// TwoChoices draws two candidates at random and selects the one with fewer calls
// in flight from this instance.
type TwoChoices struct{}

func (Expected) policy()      {}
func (Random) policy()        {}
func (RoundRobin) policy()    {}
func (LeastInFlight) policy() {}
func (TwoChoices) policy()    {}

// Pick returns the index of the selected candidate, or -1 if there are none.
func Pick(policy Policy, now time.Time, candidates []Candidate, random *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	switch policy := policy.(type) {
	case Expected:
		return lowestCost(candidates, random, func(x Candidate) float64 { return float64(x.expectedTime(now)) })
	case Random:
		return random.IntN(len(candidates))
	case RoundRobin:
		return int(policy.Turn % uint64(len(candidates)))
	case LeastInFlight:
		return lowestCost(candidates, random, func(x Candidate) float64 { return float64(x.InFlight) })
	case TwoChoices:
		i, j := random.IntN(len(candidates)), random.IntN(len(candidates))
		if candidates[j].InFlight < candidates[i].InFlight {
			return j
		}
		return i
	}
	return -1
}

// expectedTime returns the time that an attempt at the server is expected to
// take. A server that was never called has a service time of zero (plus
// remoteRoundTrip if it is remote), so that it gets its first call soon. The
// expected time is zero for a warming server that had no call for warmupInterval,
// since its limit grows only when it answers calls.
func (c Candidate) expectedTime(now time.Time) time.Duration {
	if c.Warming && c.InFlight == 0 && now.Sub(c.Stats.Updated) > warmupInterval {
		return 0
	}
	expected := c.Stats.Mean
	if idle := now.Sub(c.Stats.Updated); c.InFlight == 0 && idle > idleDecayInterval {
		expected /= 1 + idle/idleDecayInterval
	}
	if !c.Oldest.IsZero() {
		expected = max(expected, now.Sub(c.Oldest))
	}
	if c.Remote {
		expected += remoteRoundTrip
	}
	return expected
}

// lowestCost returns the index of the candidate with the lowest cost. Ties are
// broken at random.
func lowestCost(candidates []Candidate, random *rand.Rand, cost func(Candidate) float64) int {
	best, ties := 0, 1
	bestCost := cost(candidates[0])
	for i := 1; i < len(candidates); i++ {
		x := cost(candidates[i])
		switch {
		case x < bestCost:
			best, bestCost, ties = i, x, 1
		case x == bestCost:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
