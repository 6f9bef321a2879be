package control

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/quota"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/rollout"
	"github.com/oriolepost/oriolepost/settings"
)

const (
	// rolloutInterval is the interval between two steps of the judges.
	rolloutInterval = 150 * time.Millisecond
	// idleRolloutInterval replaces it while no roll-out runs. A new service's versions are
	// then published as in use this much later.
	idleRolloutInterval = time.Second
	// rolloutWatchTimeout replaces the timeout of watches while a roll-out runs: entries
	// send their counts with them.
	rolloutWatchTimeout = 300 * time.Millisecond
	// endRetryInterval is the interval after which an end that is not committed is proposed
	// again.
	endRetryInterval = 500 * time.Millisecond
)

// rollouts is what a control instance has of the running roll-outs: the judges while it
// leads, and the counts of its entries while it is a relay.
type rollouts struct {
	terms rollout.Terms
	// holdsVersions is true if a version gets no requests before a roll-out names it.
	holdsVersions bool
	judges        map[string]*rollout.Judge
	// phases holds the phase of each judge as it was last logged.
	phases map[string]string
	// proposedAt holds, by service, when its end was last proposed.
	proposedAt map[string]time.Time
	// published holds the splits as of the last step, and revision counts their changes.
	published []rollout.Split
	revision  uint64
	stepAt    time.Time
	// collected holds the counts of a relay by the ID of the roll-out, and halted the IDs
	// of those for which an entry has a halted split.
	collected map[uint64]*rollout.Counter
	halted    map[uint64]bool
}

func newRollouts(bounds settings.Bounds) rollouts {
	return rollouts{
		terms:         rollout.Terms{ExposureShare: bounds.ExposureShare, ExposureSlack: bounds.ExposureSlack, RollBack: bounds.RollBack},
		holdsVersions: bounds.ExposureShare > 0,
		judges:        map[string]*rollout.Judge{}, phases: map[string]string{}, proposedAt: map[string]time.Time{},
		collected: map[uint64]*rollout.Counter{}, halted: map[uint64]bool{},
	}
}

// collect keeps the counts of entries until the next watch of this relay.
func (r *rollouts) collect(counts *peer.Counts) {
	if counts == nil {
		return
	}
	for _, report := range counts.Reports {
		if r.collected[report.ID] == nil {
			r.collected[report.ID] = rollout.NewCounter()
		}
		r.collected[report.ID].Add(report.Items)
		r.halted[report.ID] = r.halted[report.ID] || report.Halted
	}
}

// takeCollected returns the counts that were collected, and forgets them. It returns nil if
// there are none.
func (r *rollouts) takeCollected() *peer.Counts {
	if len(r.collected) == 0 {
		return nil
	}
	counts := &peer.Counts{}
	for _, id := range slices.Sorted(maps.Keys(r.collected)) {
		counts.Reports = append(counts.Reports, rollout.Report{ID: id, Halted: r.halted[id], Items: r.collected[id].Take()})
	}
	clear(r.collected)
	clear(r.halted)
	return counts
}

// takeCounts takes the counts in a watch.
func (t *task) takeCounts(now time.Time, counts *peer.Counts) {
	if !t.leads() {
		t.rollouts.collect(counts)
		return
	}
	if counts == nil {
		return
	}
	for _, report := range counts.Reports {
		for _, judge := range t.rollouts.judges {
			judge.Add(now, report)
		}
	}
}

// stepRollouts lets the judges of the running roll-outs decide, and publishes the splits
// that result. Until a leader has committed an entry of its own term, it may not know that
// a roll-out has ended.
func (t *task) stepRollouts(now time.Time) error {
	r := &t.rollouts
	if !t.leads() || t.replica.LeadingSince().IsZero() {
		clear(r.judges)
		clear(r.phases)
		clear(r.proposedAt)
		return nil
	}
	if now.Before(r.stepAt) {
		return nil
	}
	r.stepAt = now.Add(idleRolloutInterval)
	t.updateJudges(now)
	for _, service := range slices.Sorted(maps.Keys(r.judges)) {
		r.stepAt = now.Add(rolloutInterval)
		judge := r.judges[service]
		decision := judge.Step(now, t.rolloutFleet(now, judge.Order))
		t.logRollout(judge)
		if err := t.endRollout(now, judge.Order, decision); err != nil {
			return err
		}
	}
	if splits := t.splits(now); !reflect.DeepEqual(splits, r.published) {
		r.published = splits
		r.revision++
		t.discardViews()
	}
	return nil
}

// updateJudges makes a judge for each running roll-out, and forgets those of others.
func (t *task) updateJudges(now time.Time) {
	r := &t.rollouts
	maps.DeleteFunc(r.judges, func(service string, judge *rollout.Judge) bool {
		known := t.state.Catalog.Rollouts[service]
		ended := !known.Running() || known.Index != judge.Order.ID
		if ended {
			delete(r.phases, service)
			delete(r.proposedAt, service)
		}
		return ended
	})
	for service, known := range t.state.Catalog.Rollouts {
		if !known.Running() || r.judges[service] != nil {
			continue
		}
		orderedAt := time.UnixMilli(known.AtMS)
		// The clock of the instance that took the order may be ahead.
		if orderedAt.After(now) {
			orderedAt = now
		}
		deadline := orderedAt.Add(time.Duration(known.LengthMS) * time.Millisecond)
		r.judges[service] = rollout.NewJudge(r.terms, rollout.Order{ID: known.Index, Service: service, Target: known.Target, OrderedAt: orderedAt, Deadline: deadline})
	}
}

// endRollout proposes the end of a roll-out on which a judge has decided.
func (t *task) endRollout(now time.Time, order rollout.Order, decision rollout.Decision) error {
	end := record.EndRollout{Service: order.Service, Index: order.ID}
	switch d := decision.(type) {
	case rollout.GoOn:
		return nil
	case rollout.Complete:
		end.Completed = true
	case rollout.RollBack:
		end.Reason = d.Reason
	}
	if now.Sub(t.rollouts.proposedAt[order.Service]) < endRetryInterval {
		return nil
	}
	t.rollouts.proposedAt[order.Service] = now
	data, err := encode(end)
	if err != nil {
		return err
	}
	return t.perform(t.propose(now, data, pendingProposal{}))
}

// rolloutFleet counts the upstreams of a service in a roll-out.
func (t *task) rolloutFleet(now time.Time, order rollout.Order) rollout.Fleet {
	var counted rollout.Fleet
	for _, m := range t.fleet.Members {
		switch {
		case m.Service != order.Service || m.Draining || t.state.Catalog.OutDomains[m.Domain]:
		case m.Version != order.Target:
			counted.Others++
			counted.OtherSlots += m.Slots
		case now.Before(m.ColdUntil):
			counted.Cold++
		default:
			counted.Warm++
			counted.WarmSlots += m.Slots
		}
	}
	return counted
}

// splits returns the splits of all services, ordered by service. An instance that does not
// lead has no judges, so that the versions of running roll-outs get no requests.
func (t *task) splits(now time.Time) []rollout.Split {
	var splits []rollout.Split
	newest := t.state.Catalog.Rollouts
	services := map[string]bool{}
	for service := range newest {
		services[service] = true
	}
	if t.rollouts.holdsVersions {
		for service := range t.state.Catalog.Versions {
			services[service] = true
		}
	}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		split := rollout.Split{Service: service}
		known, ordered := newest[service]
		switch {
		case ordered && known.Running() && t.rollouts.judges[service] != nil:
			split = t.rollouts.judges[service].Split
		case ordered && known.Running():
			split.Target, split.ID = known.Target, known.Index
		case ordered && !known.Completed:
			split.Target = known.Target
		}
		versions := t.state.Catalog.Versions[service]
		if ordered || now.UnixMilli()-versions.SinceMS > catalog.LearningMS {
			split.InUse = versions.InUse
		}
		if split.Target != "" || len(split.InUse) > 0 {
			splits = append(splits, split)
		}
	}
	return splits
}

// watchTimeout returns after what time a watch without changes is answered.
func (t *task) watchTimeout(p published, followers int) time.Duration {
	timeout := peer.WatchTimeout(followers)
	if t.quotas.window > 0 && p.configuration != nil && quota.Limited(p.configuration.Workspaces) {
		timeout = min(timeout, quotaWatchTimeout)
	}
	if slices.ContainsFunc(p.splits, func(s rollout.Split) bool { return s.ID != 0 }) {
		return min(timeout, rolloutWatchTimeout)
	}
	return timeout
}

// rolloutOf returns the newest roll-out of a service.
func (t *task) rolloutOf(service string) peer.RolloutResponse {
	if known, ok := t.state.Catalog.Rollouts[service]; ok {
		return peer.RolloutResponse{Rollout: &known}
	}
	return peer.RolloutResponse{}
}

// logRollout logs that the phase of a roll-out changed, and sets its metrics.
func (t *task) logRollout(judge *rollout.Judge) {
	phase, reason := phaseName(judge.Phase)
	service := judge.Order.Service
	t.metrics.GetOrCreateGauge(`oriolepost_rollout_share{service="`+service+`"}`, nil).Set(judge.Split.Share)
	if t.rollouts.phases[service] == phase {
		return
	}
	t.rollouts.phases[service] = phase
	t.metrics.GetOrCreateCounter(`oriolepost_rollout_phases_total{phase="` + phase + `"}`).Inc()
	sent, bad := judge.Exposed()
	t.log.WithFields(log.Fields{
		"change": "rollout", "service": service, "target": judge.Order.Target, "phase": phase, "reason": reason, "share": judge.Split.Share,
		"exposed": sent, "bad": bad, "tail": judge.Evidence.Tail, "tested": judge.Evidence.Reason, "tested_route": judge.Evidence.Route,
		"deadline_ms": judge.Order.Deadline.UnixMilli(),
	}).Info("phase of roll-out changed")
}

// phaseName returns the name of a phase, and its reason if it has one.
func phaseName(p rollout.Phase) (name, reason string) {
	switch p := p.(type) {
	case rollout.Waiting:
		return "waiting", ""
	case rollout.Trying:
		return "trying", ""
	case rollout.Holding:
		return "holding", p.Reason
	case rollout.Stepping:
		return "stepping", ""
	case rollout.Switching:
		return "switching", ""
	case rollout.Ended:
		if r, ok := p.Decision.(rollout.RollBack); ok {
			return "rolled_back", r.Reason
		}
		return "completed", ""
	}
	return "", ""
}
