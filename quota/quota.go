// Package quota keeps the requests of a workspace within its quota, which holds for the sum
// over all entries.
//
// Load pattern: one workspace sends several times what it usually does, at entries of which
// each gets a few requests a second, while dozens of other workspaces send a request now and
// then. Entries admit requests without asking, and report their counts with their watches.
// The leader adds them up ([Meter]) and publishes, for a workspace that would exceed its
// quota, the share of its requests that entries admit ([Gate]). A workspace below its quota
// is never slowed down or refused. The package is part of the core.
//
// # Usage
//
//	m := quota.NewMeter(now, window)
//	m.Add(now, usages)
//	shares := m.Step(now, quota.Limits(configuration.Workspaces))
//
//	g := quota.NewGate()
//	g.SetShares(shares)
//	admitted := g.Admit(now, request)
package quota

import (
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/workspace"
)

// Limit is the quota of a workspace.
type Limit struct {
	// Rate is in requests a second, and Burst in requests.
	Rate, Burst float64
}

// Limited reports whether a workspace of a list has a quota.
func Limited(list []workspace.Workspace) bool {
	return slices.ContainsFunc(list, func(w workspace.Workspace) bool { return w.Rate > 0 })
}

// Limits returns the quotas of a list of workspaces by name.
func Limits(list []workspace.Workspace) map[string]Limit {
	limits := map[string]Limit{}
	for _, w := range list {
		if w.Rate > 0 {
			limits[w.Name] = Limit{Rate: w.Rate, Burst: w.Burst}
		}
	}
	return limits
}

// within returns how many requests the quota allows within a window.
func (l Limit) within(window time.Duration) float64 { return l.Rate*window.Seconds() + l.Burst }

// Usage is what entries counted of a workspace since their last report.
type Usage struct {
	Workspace string `json:"workspace"`
	// Asked are the requests that came, and Admitted those of them that were not refused for
	// the quota.
	Asked    int `json:"asked"`
	Admitted int `json:"admitted"`
	// SpanMS is the time in which they came. After a loss of contact it is long.
	SpanMS int64 `json:"span_ms,omitempty"`
}

// Merge adds usages to those by workspace. The span of a sum is the mean span of its
// requests.
func Merge(into map[string]Usage, usages []Usage) {
	for _, u := range usages {
		sum := into[u.Workspace]
		asked := sum.Asked + u.Asked
		span := (sum.SpanMS*int64(sum.Asked) + u.SpanMS*int64(u.Asked)) / int64(max(1, asked))
		into[u.Workspace] = Usage{Workspace: u.Workspace, Asked: asked, Admitted: sum.Admitted + u.Admitted, SpanMS: span}
	}
}

// Share is the share of a workspace's requests that entries admit. A workspace without a
// share is not limited at the moment.
type Share struct {
	Workspace string  `json:"workspace"`
	Share     float64 `json:"share"`
}
