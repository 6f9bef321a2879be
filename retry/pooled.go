package retry

import (
	"time"

	"github.com/oriolepost/oriolepost/allowance"
)

// Pooled is the retry budget of one service in one entry, of which the leader grants a
// part. Load pattern: most of a fleet joins, or restarts and forgets what it has spent,
// while upstreams refuse; or a few entries need all the retries, and the others none. The
// entry keeps (1 - [allowance.PooledShare]) of its own budget, and spends that first. For
// the rest it asks the owner.
type Pooled struct {
	// Own counts what the entry spends of the part that it keeps, and of all if Former is
	// true. Spend sets its ratio and its share of the slack.
	Own Window
	// Key is the key of the pool.
	Key string
	// Former is true while the leader is of a version that grants nothing. The entry then
	// has all of its own budget, whose ratio counts from its start.
	Former bool
}

// CountRequest counts a request, as [Window.CountRequest] does.
func (p *Pooled) CountRequest(now time.Time, h *allowance.Holder) {
	p.Own.CountRequest(now)
	h.Count(now, p.Key)
}

// Spend counts one retry or hedge and returns true, or returns false if nothing is left.
// The ratio and the share of the slack are those of the whole budget. Share is the part of
// it, from 0 to 1, that may be used up. If it returns false, the holder may get a token
// within a round trip.
func (p *Pooled) Spend(now time.Time, h *allowance.Holder, ratio, slackShare, share float64) bool {
	if p.Former {
		p.Own.Ratio, p.Own.SlackShare = ratio, slackShare
		return p.Own.Spend(now, share)
	}
	kept := share * (1 - allowance.PooledShare) * allowance.SafetyFactor
	if p.Own.spendWithin(now, kept*(ratio*float64(h.KeptRequests(now, p.Key))+slackShare)) {
		return true
	}
	var demand allowance.Demand = allowance.Urgent{}
	if share < 1 {
		demand = allowance.LowPriority{Reserve: 1 - share}
	}
	return h.Take(now, p.Key, demand)
}
