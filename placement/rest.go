package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

// An upstream that turns a request away may ask for rest: for some time it wants
// nothing from this entry. Load pattern: a third of a service is overloaded, or all of
// it, and each entry goes on to probe and send, or all entries return in the same
// moment. What the overloaded upstreams refuse then uses up the retry budget and the
// time of the callers, and the upstreams do not recover.

const (
	// fallbackRest replaces a time that can't be read or is negative.
	fallbackRest = time.Second
	// maxRest limits the time that an upstream may ask for. It is longer than any
	// overload that passes by itself.
	maxRest = 5 * time.Minute
	// returnSpreadRatio and maxReturnSpread limit the random time that is added to a
	// rest, so that the entries that an upstream turned away in the same moment do not
	// all return in the same moment.
	returnSpreadRatio = 0.125
	maxReturnSpread   = 250 * time.Millisecond
	// returnAnswers is the number of responses without failure after a rest until the
	// requests in flight at the upstream are no longer limited. The limit is one at
	// first, and doubles with each response.
	returnAnswers = 3
	// returnPeriod is the time after the noticed end until the limit ends in any case.
	returnPeriod = 10 * time.Second
)

// Rest is the time for which an upstream wants nothing from this entry.
type Rest struct {
	// Service is the upstream's service; empty if the upstream was not known.
	Service string
	// Until is the end of the rest, including the random time that was added.
	Until time.Time
	// EndedAt is when the end was noticed; zero before. A process that is frozen notices
	// it late.
	EndedAt time.Time
	// Answers counts the responses without failure to requests sent since the end.
	Answers int
}

// RestTime returns the time for which the upstream wants nothing; zero if it did not
// ask for rest. valid is false if the time that it stated was replaced or limited.
func (n Notice) RestTime() (length time.Duration, valid bool) {
	switch {
	case !n.RestAsked:
		return 0, true
	case math.IsNaN(n.RestSeconds), n.RestSeconds < 0:
		return fallbackRest, false
	case n.RestSeconds > maxRest.Seconds():
		return maxRest, false
	}
	return time.Duration(n.RestSeconds * float64(time.Second)), true
}

// startRest begins or extends the rest of an incarnation. An earlier end than the
// known one does not count.
func (s *State) startRest(now time.Time, k Key, n Notice) {
	length, valid := n.RestTime()
	if length <= 0 || s.IsLeaving(k) {
		return
	}
	spread := min(time.Duration(returnSpreadRatio*float64(length)), maxReturnSpread)
	until := now.Add(length + s.randomBelow(spread))
	before := s.rests[k]
	wasResting := before != nil && before.EndedAt.IsZero()
	if wasResting && !until.After(before.Until) {
		return
	}
	rest := &Rest{Until: until}
	s.rests[k] = rest
	if u := s.upstream(k); u != nil {
		u.rest, rest.Service = rest, u.Info.Service
	}
	if wasResting && until.Sub(before.Until) <= maxReturnSpread {
		return
	}
	resting, _ := s.countUnavailable(now, rest.Service)
	s.emit(RestStarted{
		Upstream: k, Service: rest.Service, Length: length, Valid: valid, Text: n.RestText, Resting: resting, Known: len(s.byService[rest.Service]),
	})
	s.refuseWaiting(now, rest.Service)
}

// endRests reports the rests that have ended, and forgets those that no longer limit
// anything.
func (s *State) endRests(now time.Time) {
	for _, k := range slices.SortedFunc(maps.Keys(s.rests), compareKeys) {
		switch rest := s.rests[k]; {
		case !rest.EndedAt.IsZero() && now.Sub(rest.EndedAt) > returnPeriod:
			delete(s.rests, k)
		case rest.EndedAt.IsZero() && !now.Before(rest.Until):
			rest.EndedAt = now
			resting, _ := s.countUnavailable(now, rest.Service)
			s.emit(RestEnded{Upstream: k, Service: rest.Service, Resting: resting, Known: len(s.byService[rest.Service])})
		}
	}
}

// resting reports whether the upstream wants nothing from this entry at present.
func (u *Upstream) resting(now time.Time) bool { return u.rest != nil && now.Before(u.rest.Until) }

// atReturnLimit reports whether an upstream has as many requests of this entry in
// flight as it may get so soon after its rest.
func (u *Upstream) atReturnLimit(now time.Time) bool {
	rest := u.rest
	if rest == nil || rest.Answers >= returnAnswers || !rest.EndedAt.IsZero() && now.Sub(rest.EndedAt) > returnPeriod {
		return false
	}
	sent := 0
	for _, at := range u.InFlight {
		if !at.Before(rest.Until) {
			sent++
		}
	}
	return sent >= 1<<rest.Answers
}

// countReturnAnswer counts a response without failure to a request that was sent after
// the upstream's rest.
func (u *Upstream) countReturnAnswer(sentAt time.Time) {
	if u.rest != nil && !sentAt.Before(u.rest.Until) {
		u.rest.Answers++
	}
}

// countUnavailable returns how many upstreams of a service are resting, and how many
// have announced in a response that they leave.
func (s *State) countUnavailable(now time.Time, service string) (resting, leaving int) {
	for _, u := range s.byService[service] {
		switch {
		case u.leaving:
			leaving++
		case u.resting(now) && !u.Info.Draining:
			resting++
		}
	}
	return resting, leaving
}

// onlyResting reports whether no upstream of a service is eligible, and one or more are
// resting.
func (s *State) onlyResting(now time.Time, service string) bool {
	resting, _ := s.countUnavailable(now, service)
	return resting > 0 && s.countEligible(now, service) == 0
}

// restRetryAfter returns the time after which a caller should retry when all upstreams
// of the service that could be used are resting: at the end of the earliest rest, or,
// if that is too late for the caller, as late as it still retries. The time is drawn at
// random, so that callers do not retry at the same time.
func (s *State) restRetryAfter(now time.Time, r Request) time.Duration {
	latest := time.Duration(maxRetryAfterRatio * float64(r.Deadline.Sub(now)))
	delay := latest
	for _, u := range s.byService[r.Service] {
		if u.resting(now) && !u.leaving && !u.Info.Draining && !slices.Contains(s.outDomains, u.Info.Domain) {
			delay = min(delay, max(u.rest.Until.Sub(now), minRetryAfter))
		}
	}
	delay += s.randomBelow(max(delay/4, minRetryAfter))
	if delay > latest {
		delay = latest - s.randomBelow(latest/8)
	}
	return max(0, delay)
}
