// Package choice picks the server for an attempt.
//
// The candidates are the servers on which the instance holds a free slot, so
// whatever is picked, no server gets more than it can bear. What is left to
// decide is speed: the pick goes to the lowest expected time, which is the
// recent service time as seen from this instance, raised at once when a call
// in flight already takes longer. Quick errors are charged a penalty instead
// of their short time, so a server that fails fast is not rewarded.
//
// The package is part of the core. The other policies are the baselines that
// the measurements in docs/DESIGN.md compare against.
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
	// timeWeight is the weight of the newest service time in the mean.
	timeWeight = 0.2
	// remoteCost is the round trip to another failure domain.
	remoteCost = 3 * time.Millisecond
	// errorCost is charged for an attempt that failed.
	errorCost = 250 * time.Millisecond
	// forgetAfter halves the distance to the usual time of a server that was
	// not called for this long, so that a slow server is tried again.
	forgetAfter = time.Second
	// warmPause is the pause between two calls that warm a server up.
	warmPause = 50 * time.Millisecond
)

// Stats is what an instance has seen of a server by its own calls.
type Stats struct {
	// Mean is the recent mean service time, errors charged.
	Mean time.Duration
	// Updated is when the last attempt ended.
	Updated time.Time
}

// Observe takes the end of an attempt into the statistics.
func (s *Stats) Observe(now time.Time, took time.Duration, failed bool) {
	if failed {
		took = max(took, errorCost)
	}
	if s.Updated.IsZero() {
		s.Mean = took
	} else {
		s.Mean += time.Duration(timeWeight * float64(took-s.Mean))
	}
	s.Updated = now
}

// Candidate is a server on which a slot is free.
type Candidate struct {
	Stats Stats
	// InFlight counts this instance's calls at the server.
	InFlight int
	// Slots counts the slots that this instance holds.
	Slots int
	// Oldest is when the oldest call in flight began; zero without one.
	Oldest time.Time
	// Warming is true when the server needs calls for its limit to grow.
	Warming bool
	// Remote is true when the server is in another failure domain.
	Remote bool
}

// Policy is a way to pick a server.
//
//sumtype:decl
type Policy interface{ policy() }

// Expected picks the lowest expected time.
type Expected struct{}

// Random picks any candidate.
type Random struct{}

// RoundRobin picks the candidates in turn.
type RoundRobin struct{ Turn uint64 }

// LeastInFlight picks the fewest calls in flight from this instance.
type LeastInFlight struct{}

// TwoChoices draws two candidates and picks the one with fewer calls.
type TwoChoices struct{}

func (Expected) policy()      {}
func (Random) policy()        {}
func (RoundRobin) policy()    {}
func (LeastInFlight) policy() {}
func (TwoChoices) policy()    {}

// Pick gives the index of the picked candidate, or -1 without candidates.
func Pick(p Policy, now time.Time, c []Candidate, random *rand.Rand) int {
	if len(c) == 0 {
		return -1
	}
	switch p := p.(type) {
	case Expected:
		return lowest(c, random, func(x Candidate) float64 { return float64(x.expected(now)) })
	case Random:
		return random.IntN(len(c))
	case RoundRobin:
		return int(p.Turn % uint64(len(c)))
	case LeastInFlight:
		return lowest(c, random, func(x Candidate) float64 { return float64(x.InFlight) })
	case TwoChoices:
		i, j := random.IntN(len(c)), random.IntN(len(c))
		if c[j].InFlight < c[i].InFlight {
			return j
		}
		return i
	}
	return -1
}

// expected is the time that an attempt would take. A server that was never
// called counts as fast as the network, so it gets its first call soon.
func (c Candidate) expected(now time.Time) time.Duration {
	if c.Warming && c.InFlight == 0 && now.Sub(c.Stats.Updated) > warmPause {
		return 0
	}
	t := c.Stats.Mean
	if idle := now.Sub(c.Stats.Updated); c.InFlight == 0 && idle > forgetAfter {
		t /= 1 + idle/forgetAfter
	}
	if !c.Oldest.IsZero() {
		t = max(t, now.Sub(c.Oldest))
	}
	if c.Remote {
		t += remoteCost
	}
	return t
}

// lowest finds the smallest cost and breaks ties at random.
func lowest(c []Candidate, random *rand.Rand, cost func(Candidate) float64) int {
	best, ties := 0, 1
	bestCost := cost(c[0])
	for i := 1; i < len(c); i++ {
		x := cost(c[i])
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
