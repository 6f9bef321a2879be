package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// nominalSlowdown is the slowdown, in percent, of a machine without noisy
	// neighbors.
	nominalSlowdown = 100
	// saturationPoint is the ratio of busy slots above which service times rise.
	// saturationCost is the relative increase of the service time when all slots
	// are busy. Median service times are 210, 303 and 404 ms with four, five and
	// six of six slots busy.
	saturationPoint = 0.67
	saturationCost  = 0.9
	// pastObjectiveSlotRatio is the ratio of busy slots up to which an upstream
	// gets requests that are past their objective in any case. The slot of the
	// request itself counts as busy. It is about half of saturationPoint.
	pastObjectiveSlotRatio = 0.34
	// crossDomainCost is added for an upstream in another failure domain. It
	// stands for a few milliseconds of network delay and for the price of traffic
	// between failure domains, a tenth of the value of a request.
	crossDomainCost = 0.35
	// failurePenaltyCost is the cost added for a failure penalty of 1, which is
	// that of one failed probe or lost response.
	failurePenaltyCost = 4.0
	// failurePenaltyHalfLife is the time after which half of a failure penalty is
	// left. Without the decay, upstreams that failed would be avoided for good
	// once all of them had.
	failurePenaltyHalfLife = 500 * time.Millisecond
	// slowdownHalfLife is the time after which half of the excess of a measured
	// slowdown over 1 is left, so that an upstream that has recovered is tried
	// again.
	slowdownHalfLife = 4 * time.Second
	// slowdownTolerance is the excess of a measured slowdown over 1 that does not
	// count: service times vary by a third.
	slowdownTolerance = 0.5
	// unknownLoadCost is the cost of an upstream that reports no load, without
	// requests in flight.
	unknownLoadCost = 1.0
	// coldCostFactor multiplies the cost of a cold upstream, which runs at half
	// speed.
	coldCostFactor = 2.0
)

// cost returns the expected time of a request at an upstream, as a multiple of
// the route's expected service time. Without a load report, each request that
// this entry has in flight adds 0.3.
func (s *State) cost(now time.Time, u *Upstream) float64 {
	c := unknownLoadCost + 0.3*float64(len(u.InFlight))
	if u.Load.Known {
		c = u.Load.cost(u.SentSinceLoad)
	}
	c *= max(1, u.decayedSlowdown(now)-slowdownTolerance)
	if u.Info.Domain != s.Config.Domain {
		c += crossDomainCost
	}
	if now.Before(u.ColdUntil) {
		c *= coldCostFactor
	}
	return c + u.failurePenalty(now)*failurePenaltyCost
}

// decayedSlowdown returns MeasuredSlowdown, decayed to the present.
func (u *Upstream) decayedSlowdown(now time.Time) float64 {
	return 1 + (u.MeasuredSlowdown-1)*math.Exp2(-float64(now.Sub(u.MeasuredSlowdownAt))/float64(slowdownHalfLife))
}

// failurePenalty returns the failure penalty, decayed to the present.
func (u *Upstream) failurePenalty(now time.Time) float64 {
	return u.FailurePenalty * math.Exp2(-float64(now.Sub(u.FailurePenaltyAt))/float64(failurePenaltyHalfLife))
}

// cost returns the expected time of one more request under this load, as a
// multiple of the expected service time. sentSince is the number of requests
// sent since the load was reported.
func (l Load) cost(sentSince int) float64 {
	slowdown := float64(max(l.Slowdown, nominalSlowdown)) / nominalSlowdown
	slots := max(1, l.Slots)
	requests := l.Running + l.Waiting + sentSince + 1
	busyRatio := float64(min(requests, slots)) / float64(slots)
	c := slowdown * (1 + saturationCost*max(0, busyRatio-saturationPoint)/(1-saturationPoint))
	if excess := requests - slots; excess > 0 {
		c += slowdown * float64(excess) / float64(slots)
	}
	return c
}

// atCapacity reports whether one more request would slow the upstream down. Its
// last slots are left idle: they add no throughput, only latency.
func (u *Upstream) atCapacity() bool {
	if !u.Load.Known {
		return len(u.InFlight) >= max(1, u.Info.Slots)
	}
	return u.knownRequests() >= max(1, int(saturationPoint*float64(u.Load.Slots)))
}

// knownRequests returns the number of requests at the upstream, as far as this
// entry knows.
func (u *Upstream) knownRequests() int { return u.Load.Running + u.Load.Waiting + u.SentSinceLoad }

// acceptsPastObjective reports whether the upstream has enough idle slots to
// serve requests that are already past their objective without taking slots
// from others.
func (u *Upstream) acceptsPastObjective() bool {
	if !u.Load.Known {
		return len(u.InFlight) == 0
	}
	return float64(u.knownRequests()+1) <= pastObjectiveSlotRatio*float64(u.Load.Slots)
}

// eligible reports whether an upstream may get requests. It may not after it has
// announced in a response that it leaves, while it rests or drains, while its failure domain is out of service, while it is backed off
// after a failure, or while it is cold and this entry may not send to it.
func (s *State) eligible(now time.Time, u *Upstream) bool {
	if u.leaving || u.resting(now) || u.Info.Draining || !u.Healthy && now.Before(u.BackoffUntil) || slices.Contains(s.outDomains, u.Info.Domain) {
		return false
	}
	if now.Before(u.BackoffUntil) {
		return false
	}
	if !s.maySendLimited(now, u) {
		return false
	}
	return !now.Before(u.ColdUntil) || s.maySendToCold(now, u)
}
