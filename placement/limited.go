package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

// An upstream in need names a limit: the requests a second that it takes from all entries
// together. Load pattern: most upstreams of a service are limited to a few requests a
// second, and there are more entries than that. One request of each entry is then too much
// already, so some entries must send none. No entry asks another one: a hash of the entry
// and the upstream rounds the entry's share of the limit, so that the sum over all entries
// follows the limit, also where some are out of contact.

const (
	// limitWindow is the time for which an entry's requests to a limited upstream are
	// counted.
	limitWindow = 4 * time.Second
	// limitWindowMargin is added to it, because requests may bunch up on the network by as
	// much.
	limitWindowMargin = 250 * time.Millisecond
	// limitUseRatio is the ratio of the limit that all entries together use. The number of
	// entries that send varies, since each rounds its share by its own hash: with the share
	// of half a request that is the worst case, by less than a third of the limit's ratio
	// that is left.
	limitUseRatio = 0.65
	// maxLimit is the highest limit that is distinguished from none.
	maxLimit = 1e6
	// limitHold is how long a limit holds after the last response that named it, if a
	// response without one arrives. That may be older.
	limitHold = 500 * time.Millisecond
	// An entry that may not send to a limited upstream learns of the end of the limit by
	// probes: one in minLimitProbeInterval, or in limitProbeIntervalPerEntry for each entry
	// if that is longer, so that an upstream gets some 20 a second at most.
	minLimitProbeInterval      = 4 * time.Second
	limitProbeIntervalPerEntry = 50 * time.Millisecond
	// maxLimits is the number of limits above which those of unknown upstreams are
	// forgotten.
	maxLimits = 4096
)

// RateLimit is what a response says about the limit of its upstream.
type RateLimit struct {
	// Stated is false if the response names no limit.
	Stated bool
	// PerSecond is the number of requests a second from all entries together.
	PerSecond float64
}

// Limit is the limit that an upstream has named to this entry.
type Limit struct {
	Service   string
	PerSecond float64
	// StatedAt is when a response last named it, and ProbeAt the earliest time of the next
	// probe.
	StatedAt time.Time
	ProbeAt  time.Time
	// Sent holds the start times of the requests sent to the upstream since it named the
	// limit, within the window.
	Sent []time.Time
}

// recordLimit applies what a response of an incarnation says about its limit.
func (s *State) recordLimit(now time.Time, k Key, l RateLimit) {
	known := s.limits[k]
	switch {
	case !l.Stated && (known == nil || now.Sub(known.StatedAt) < limitHold):
		return
	case !l.Stated:
		delete(s.limits, k)
		if u := s.upstream(k); u != nil {
			u.limit = nil
		}
		s.emit(LimitEnded{Upstream: k, Service: known.Service, Limited: s.countLimited(known.Service), Known: len(s.byService[known.Service])})
		return
	}
	isNew := known == nil
	if isNew {
		s.forgetLimits()
		known = &Limit{}
		s.limits[k] = known
	}
	known.PerSecond, known.StatedAt, known.ProbeAt = min(l.PerSecond, maxLimit), now, now.Add(s.limitProbeInterval())
	if u := s.upstream(k); u != nil {
		u.limit, known.Service = known, u.Info.Service
	}
	if isNew {
		s.emit(LimitStarted{
			Upstream: k, Service: known.Service, PerSecond: known.PerSecond, Quota: s.limitQuota(k, known), Entries: s.retrySlack.Entries(),
			Limited: s.countLimited(known.Service), Known: len(s.byService[known.Service]),
		})
		s.refuseWaiting(now, known.Service)
	}
}

// forgetLimits forgets the limits of upstreams that are not known, if there are too many.
func (s *State) forgetLimits() {
	if len(s.limits) < maxLimits {
		return
	}
	maps.DeleteFunc(s.limits, func(k Key, _ *Limit) bool { return s.upstream(k) == nil })
}

// limitQuota returns how many requests this entry may send to a limited upstream within a
// window. An entry that does not know the number of entries may send none. It uses the
// largest number that was reported lately: a new leader does not know all entries yet.
func (s *State) limitQuota(k Key, l *Limit) int {
	entries := s.retrySlack.Entries()
	if entries == 0 {
		return 0
	}
	share := limitUseRatio * l.PerSecond * limitWindow.Seconds() / float64(entries)
	return int(math.Floor(share + s.hashDraw("limit/"+k.ID)))
}

// maySendLimited reports whether this entry may send a request to an upstream, as far as
// the upstream's limit is concerned.
func (s *State) maySendLimited(now time.Time, u *Upstream) bool {
	if u.limit == nil {
		return true
	}
	u.limit.Sent = slices.DeleteFunc(u.limit.Sent, func(t time.Time) bool { return now.Sub(t) > limitWindow+limitWindowMargin })
	return len(u.limit.Sent) < s.limitQuota(KeyOf(u.Info), u.limit)
}

func (s *State) limitProbeInterval() time.Duration {
	return max(minLimitProbeInterval, time.Duration(s.retrySlack.Entries())*limitProbeIntervalPerEntry)
}

// probeLimited probes one of a service's limited upstreams from which this entry has not
// heard for the interval of such probes.
func (s *State) probeLimited(now time.Time, service string) {
	for _, u := range s.byService[service] {
		if u.limit == nil || now.Before(u.limit.ProbeAt) || !u.ProbeSentAt.IsZero() || u.leaving || u.resting(now) {
			continue
		}
		u.limit.ProbeAt = now.Add(s.limitProbeInterval())
		u.ProbeSentAt = now
		s.emit(StartProbe{Upstream: u.Info, HealthPath: s.Services[service].HealthPath})
		return
	}
}

// countLimited returns how many upstreams of a service have named a limit to this entry.
func (s *State) countLimited(service string) int {
	count := 0
	for _, u := range s.byService[service] {
		if u.limit != nil {
			count++
		}
	}
	return count
}

// onlyLimited reports whether the limits of upstreams are what keeps a service from having
// an eligible one: some are limited, and none is eligible.
func (s *State) onlyLimited(now time.Time, service string) bool {
	return s.countLimited(service) > 0 && s.countEligible(now, service) == 0
}
