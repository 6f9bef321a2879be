package control

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/quota"
)

const (
	// quotaInterval is the interval between two steps of the leader's account of quotas.
	quotaInterval = 100 * time.Millisecond
	// quotaWatchTimeout replaces the timeout of watches while workspaces have quotas:
	// entries send their counts with them.
	quotaWatchTimeout = 200 * time.Millisecond
)

// quotas is what a control instance has of the requests of workspaces with a quota: the
// account while it leads, and the counts of its entries while it is a relay.
type quotas struct {
	// window is the time in which a quota holds. Without one, quotas are not enforced.
	window time.Duration
	meter  *quota.Meter
	// published holds the shares as of the last step, and revision counts their changes.
	published []quota.Share
	revision  uint64
	stepAt    time.Time
	// collected holds the counts of a relay by workspace.
	collected map[string]quota.Usage
}

// collect keeps the counts of entries until the next watch of this relay.
func (q *quotas) collect(usages *peer.Usages) {
	if usages != nil {
		quota.Merge(q.collected, usages.List)
	}
}

// takeCollected returns the counts that were collected, and forgets them. It returns nil if
// there are none.
func (q *quotas) takeCollected() *peer.Usages {
	if len(q.collected) == 0 {
		return nil
	}
	usages := &peer.Usages{}
	for _, name := range slices.Sorted(maps.Keys(q.collected)) {
		usages.List = append(usages.List, q.collected[name])
	}
	clear(q.collected)
	return usages
}

// takeUsages takes the counts in a watch.
func (t *task) takeUsages(now time.Time, usages *peer.Usages) {
	switch {
	case usages == nil:
	case t.leads() && t.quotas.meter != nil:
		t.quotas.meter.Add(now, usages.List)
	case !t.leads():
		t.quotas.collect(usages)
	}
}

// stepQuotas publishes the shares of the workspaces that would exceed their quotas. A leader
// that ends forgets its account: the next one has another.
func (t *task) stepQuotas(now time.Time) {
	q := &t.quotas
	if !t.leads() || q.window <= 0 || t.state.Catalog.Configuration == nil {
		q.meter, q.published = nil, nil
		return
	}
	if q.meter == nil {
		q.meter = quota.NewMeter(now, q.window)
	}
	if now.Before(q.stepAt) {
		return
	}
	q.stepAt = now.Add(quotaInterval)
	shares := q.meter.Step(now, quota.Limits(t.state.Catalog.Configuration.Workspaces))
	if slices.Equal(shares, q.published) {
		return
	}
	t.logShares(q.published, shares)
	q.published = shares
	q.revision++
	t.discardViews()
}

// logShares logs the workspaces that are limited from now on, and those that no longer are.
func (t *task) logShares(former, shares []quota.Share) {
	t.metrics.GetOrCreateGauge("oriolepost_quota_limited", nil).Set(float64(len(shares)))
	names := func(list []quota.Share) map[string]bool {
		set := map[string]bool{}
		for _, s := range list {
			set[s.Workspace] = true
		}
		return set
	}
	before, after := names(former), names(shares)
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if !before[name] {
			t.log.WithFields(log.Fields{"change": "quota", "workspace": name, "to": "limited"}).Info("workspace exceeds its quota")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if !after[name] {
			t.log.WithFields(log.Fields{"change": "quota", "workspace": name, "to": "unlimited"}).Info("workspace is within its quota")
		}
	}
}
