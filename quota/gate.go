package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// averageTime is the time over which an entry averages the requests that it admits.
	averageTime = 3 * time.Second
	// disconnectedFactor is by how much an entry that is out of contact may exceed its
	// average. It has an equal share of the rate in any case.
	disconnectedFactor = 2
	// disconnectedPart is the part of its average that an entry admits out of contact if
	// the workspace was limited before. The entries in contact may use the whole quota; with
	// a third of the entries out of contact the sum stays within the bound.
	disconnectedPart = 0.15
	// disconnectedBurst is how many requests of a workspace it may admit at once, if what
	// it may admit in a second is less.
	disconnectedBurst = 4.0
)

// Gate admits the requests at one entry. It is owned by one task.
type Gate struct {
	shares map[string]float64
	uses   map[string]*gateUse
	// takenAt is when the counts were last taken.
	takenAt time.Time
}

// gateUse is what an entry knows of one workspace.
type gateUse struct {
	// counted is what was not reported yet.
	counted Usage
	// credit is the part of a request that was admitted less than the share allows.
	credit float64
	// average is the number of requests admitted a second, as of averageAt.
	average   float64
	averageAt time.Time
	// tokens are the requests that may be admitted out of contact, as of tokensAt.
	tokens   float64
	tokensAt time.Time
}

// Request is a request of a workspace with a quota.
type Request struct {
	Workspace string
	Limit     Limit
	// Connected is true while the leader has answered recently, and Entries the number of
	// entries that it last reported.
	Connected bool
	Entries   int
	// Draw is a random number from 0 up to 1, which spreads the first refusals of entries
	// with few requests each.
	Draw float64
}

// NewGate returns a gate that admits everything.
func NewGate() *Gate { return &Gate{shares: map[string]float64{}, uses: map[string]*gateUse{}} }

// SetShares replaces the shares by those of the newest view.
func (g *Gate) SetShares(shares []Share) {
	clear(g.shares)
	for _, s := range shares {
		g.shares[s.Workspace] = s.Share
	}
}

// Admit counts a request, and reports whether it may run. An entry out of contact does not
// learn of shares; it admits about what it has admitted before.
func (g *Gate) Admit(now time.Time, r Request) bool {
	u := g.uses[r.Workspace]
	if u == nil {
		u = &gateUse{counted: Usage{Workspace: r.Workspace}, averageAt: now, credit: r.Draw, tokens: disconnectedBurst, tokensAt: now}
		g.uses[r.Workspace] = u
	}
	u.counted.Asked++
	share, limited := g.shares[r.Workspace]
	if !r.Connected {
		admitted := u.takeToken(now, r, limited)
		if admitted {
			u.counted.Admitted++
		}
		return admitted
	}
	// Out of contact the average stays as it was.
	u.average *= math.Exp(-now.Sub(u.averageAt).Seconds() / averageTime.Seconds())
	u.averageAt, u.tokensAt = now, now
	u.tokens = max(disconnectedBurst, disconnectedFactor*u.average)
	if limited {
		u.credit += share
		if u.credit < 1 {
			return false
		}
		u.credit--
	}
	u.average += 1 / averageTime.Seconds()
	u.counted.Admitted++
	return true
}

// takeToken takes a request from what the entry may admit out of contact. A workspace that
// was limited when contact was lost gets a part of what it had.
func (u *gateUse) takeToken(now time.Time, r Request, limited bool) bool {
	rate := max(disconnectedFactor*u.average, r.Limit.Rate/float64(max(1, r.Entries)))
	burst := max(disconnectedBurst, rate)
	if limited {
		rate, burst = disconnectedPart*u.average, 1
	}
	u.tokens = min(burst, u.tokens+rate*now.Sub(u.tokensAt).Seconds())
	u.tokensAt = now
	if u.tokens < 1 {
		return false
	}
	u.tokens--
	return true
}

// Take returns what was counted since the last call, ordered by workspace, and forgets
// workspaces that have sent nothing for long.
func (g *Gate) Take(now time.Time) []Usage {
	var usages []Usage
	span := now.Sub(g.takenAt)
	if g.takenAt.IsZero() {
		span = 0
	}
	g.takenAt = now
	for _, name := range slices.Sorted(maps.Keys(g.uses)) {
		u := g.uses[name]
		if u.counted.Asked > 0 {
			u.counted.SpanMS = span.Milliseconds()
			usages = append(usages, u.counted)
			u.counted = Usage{Workspace: name}
		} else if now.Sub(u.averageAt) > 4*averageTime {
			delete(g.uses, name)
		}
	}
	return usages
}
