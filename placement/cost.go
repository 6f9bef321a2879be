package placement

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// usualPace is the pace of a machine without noisy neighbours, in
	// hundredths.
	usualPace = 100
	// nearlyFull is the share of busy slots from which upstreams slow down,
	// and nearlyFullCost what that adds when all are busy: medians of 210, 303
	// and 404 ms with four, five and six of six slots busy.
	nearlyFull     = 0.67
	nearlyFullCost = 0.9
	// lateShare is the share of busy slots up to which requests whose answer is
	// late in any case get a place: half of what an upstream does well.
	lateShare = 0.34
	// domainCost is what another failure domain adds: a few milliseconds for
	// the way, and the price of the bytes between failure domains, a tenth of
	// what a request is worth.
	domainCost = 0.35
	// troubleCost is what a recent failure adds.
	troubleCost = 4.0
	// troubleHalf is the time in which half of the trouble is forgotten. Without
	// it an upstream that failed would be left alone for good once all did.
	troubleHalf = 500 * time.Millisecond
	// slownessHalf is the time in which half of an upstream's slowness is
	// forgotten, so that one that has recovered is tried again.
	slownessHalf = 4 * time.Second
	// slownessSlack is by how much answers may be slower than expected without
	// the upstream being slow: times vary by a third.
	slownessSlack = 0.5
	// unknownCost is the cost of an upstream that does not tell its load.
	unknownCost = 1.0
	// coldCost multiplies the cost of a cold upstream: it runs at half pace.
	coldCost = 2.0
	// coldShare is the share of the bound that one carrier uses, so that two
	// carriers in the same second stay below it.
	coldShare = 0.4
	// touchLifetime is how long an entry's place among the entries counts.
	touchLifetime = 1200 * time.Millisecond
)

// cost is the expected time of a request at an upstream, in units of the
// usual time.
func (s *State) cost(now time.Time, u *Upstream) float64 {
	c := unknownCost + 0.3*float64(len(u.InFlight))
	if u.Load.Known {
		c = u.Load.cost(u.Since)
	}
	c *= max(1, u.slowness(now)-slownessSlack)
	if u.Info.Domain != s.Config.Domain {
		c += domainCost
	}
	if now.Before(u.ColdUntil) {
		c *= coldCost
	}
	return c + u.trouble(now)*troubleCost
}

// slowness is what counts by now of how slow answers were.
func (u *Upstream) slowness(now time.Time) float64 {
	return 1 + (u.Slowness-1)*math.Exp2(-float64(now.Sub(u.SlownessAt))/float64(slownessHalf))
}

// trouble is what counts of the recent failures by now.
func (u *Upstream) trouble(now time.Time) float64 {
	return u.Trouble * math.Exp2(-float64(now.Sub(u.TroubleAt))/float64(troubleHalf))
}

// cost is the expected time of one more request under a load, with as many
// more that were sent since the load was told.
func (l Load) cost(since int) float64 {
	pace := float64(max(l.Pace, usualPace)) / usualPace
	slots := max(1, l.Slots)
	busy := l.Running + l.Waiting + since + 1
	share := float64(min(busy, slots)) / float64(slots)
	c := pace * (1 + nearlyFullCost*max(0, share-nearlyFull)/(1-nearlyFull))
	if over := busy - slots; over > 0 {
		c += pace * float64(over) / float64(slots)
	}
	return c
}

// full reports whether an upstream has as much work as it does well: one more
// request would slow it down, and the last slots bring no more answers than the
// others alone, only later ones.
func (u *Upstream) full() bool {
	if !u.Load.Known {
		return len(u.InFlight) >= max(1, u.Info.Slots)
	}
	return u.busy() >= max(1, int(nearlyFull*float64(u.Load.Slots)))
}

// busy is how many requests an upstream has, as far as this entry knows.
func (u *Upstream) busy() int { return u.Load.Running + u.Load.Waiting + u.Since }

// halfIdle reports whether an upstream has room for requests that are late
// already without taking it from others.
func (u *Upstream) halfIdle() bool {
	if !u.Load.Known {
		return len(u.InFlight) == 0
	}
	return float64(u.busy()+1) <= lateShare*float64(u.Load.Slots)
}

// open reports whether an upstream may get requests at all.
func (s *State) open(now time.Time, u *Upstream) bool {
	if u.Info.Draining || !u.Healthy && now.Before(u.AvoidUntil) || slices.Contains(s.outDomains, u.Info.Domain) {
		return false
	}
	if now.Before(u.AvoidUntil) {
		return false
	}
	return !now.Before(u.ColdUntil) || s.mayCarry(now, u)
}

// mayCarry reports whether this entry may send a request to a cold upstream.
// One entry carries each, so that the sum over all entries is bounded.
func (s *State) mayCarry(now time.Time, u *Upstream) bool {
	if s.Count == 0 || now.Sub(s.Touched) > touchLifetime {
		return false
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(u.Info.ID))
	if int(h.Sum32())%s.Count != s.Index {
		return false
	}
	u.coldSent = slices.DeleteFunc(u.coldSent, func(t time.Time) bool { return now.Sub(t) > time.Second+coldMargin })
	bound := s.Services[u.Info.Service].ColdRate*s.Config.ColdFactor + s.Config.ColdSlack
	return len(u.coldSent) < int(coldShare*bound)
}

// coldMargin is by how much requests may bunch on their way.
const coldMargin = 100 * time.Millisecond
