package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// useRatio is the part of a quota that shares aim at. The users' bound lies a tenth and
	// some requests above the quota, which covers the delay of the reports.
	useRatio = 0.92
	// partLength is the length of the parts in which requests are counted.
	partLength = 100 * time.Millisecond
	// horizon is the time that a share plans ahead: until the next one is in force at the
	// entries. reportDelay is the mean age of what the leader knows: half a watch, and the
	// way through a relay.
	horizon     = 600 * time.Millisecond
	reportDelay = 300 * time.Millisecond
	// demandTime is the time over which the demand is measured.
	demandTime = 500 * time.Millisecond
	// limitedFactor is by how much a workspace that is limited may exceed its rate while
	// its window allows more. Otherwise the requests that were admitted before it was limited
	// are admitted again, at once, when they leave the window.
	limitedFactor = 1.1
	// shareSteps is the number of shares that are distinguished. Each change is sent to all
	// entries.
	shareSteps = 32
)

// Meter is the leader's account of the workspaces. It is owned by one task.
type Meter struct {
	// Window is the time in which a quota holds.
	Window time.Duration

	// since is when this leader began to count. Before, the workspaces are assumed to have
	// used their rates, so that a new leader neither doubles a window nor refuses ordinary
	// requests.
	since time.Time
	uses  map[string]*use
}

// use is what is known of one workspace.
type use struct {
	// parts holds the counts of the last window, each by the number of its part.
	parts map[int64]Usage
	share float64
}

// NewMeter returns the account of a leader that begins to count now.
func NewMeter(now time.Time, window time.Duration) *Meter {
	return &Meter{Window: window, since: now, uses: map[string]*use{}}
}

// part returns the number of the part in which a time lies. Those before the account began
// are negative.
func (m *Meter) part(at time.Time) int64 {
	return int64(math.Floor(float64(at.Sub(m.since)) / float64(partLength)))
}

// Add counts what entries have reported, spread over the time in which it came.
func (m *Meter) Add(now time.Time, usages []Usage) {
	for _, u := range usages {
		known := m.uses[u.Workspace]
		if known == nil {
			known = &use{parts: map[int64]Usage{}, share: 1}
			m.uses[u.Workspace] = known
		}
		newest := m.part(now)
		n := min(max(1, u.SpanMS/partLength.Milliseconds()), int64(m.Window/partLength))
		for i := range n {
			part := known.parts[newest-i]
			known.parts[newest-i] = Usage{Asked: part.Asked + portion(u.Asked, i, n), Admitted: part.Admitted + portion(u.Admitted, i, n)}
		}
	}
}

// portion returns the i-th of n parts of a number that are as equal as possible.
func portion(number int, i, n int64) int {
	return int(int64(number)*(i+1)/n - int64(number)*i/n)
}

// Step returns the shares of the workspaces that would exceed their quotas, ordered by
// workspace. Limits has those that have one; the others are forgotten.
func (m *Meter) Step(now time.Time, limits map[string]Limit) []Share {
	var shares []Share
	for _, name := range slices.Sorted(maps.Keys(m.uses)) {
		limit, limited := limits[name]
		u := m.uses[name]
		m.prune(now, u)
		if !limited || len(u.parts) == 0 {
			delete(m.uses, name)
			continue
		}
		u.share = m.share(now, u, limit)
		if u.share < 1 {
			shares = append(shares, Share{Workspace: name, Share: u.share})
		}
	}
	return shares
}

func (m *Meter) prune(now time.Time, u *use) {
	oldest := m.part(now.Add(-m.Window))
	maps.DeleteFunc(u.parts, func(part int64, _ Usage) bool { return part < oldest })
}

// share returns the share of the requests of the time ahead with which the window that ends
// with it stays within the limit.
func (m *Meter) share(now time.Time, u *use, l Limit) float64 {
	asked, admitted, earliest := 0.0, 0.0, int64(0)
	demandFrom, windowFrom := m.part(now.Add(-demandTime)), m.part(now.Add(horizon+reportDelay-m.Window))
	for part, count := range u.parts {
		if part > demandFrom {
			asked += float64(count.Asked)
		}
		if part > windowFrom {
			admitted += float64(count.Admitted)
		}
		if count.Admitted > 0 {
			earliest = min(earliest, part)
		}
	}
	demand := asked / demandTime.Seconds()
	known := now.Sub(m.since) - time.Duration(earliest)*partLength
	admitted += l.Rate * max(0, m.Window-horizon-reportDelay-known).Seconds()
	left := useRatio*l.within(m.Window) - admitted - u.share*demand*reportDelay.Seconds()
	if u.share < 1 {
		left = min(left, horizon.Seconds()*(limitedFactor*l.Rate+l.Burst/m.Window.Seconds()))
	}
	switch {
	case left <= 0:
		return 0
	case demand*horizon.Seconds() <= left:
		return 1
	}
	return math.Floor(shareSteps*left/(demand*horizon.Seconds())) / shareSteps
}
