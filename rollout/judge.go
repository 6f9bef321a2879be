package rollout

import (
	"fmt"
	"time"
)

const (
	// endMargin is the time before the deadline at which the end is proposed: it has to be
	// committed and read. A longer roll-out has more, so that a change of the leader just
	// before does not miss the deadline.
	endMargin      = 700 * time.Millisecond
	endMarginRatio = 15
	// A step lasts for a part of the roll-out within minStepLength and maxStepLength. In it
	// the counts of the new version under the load of half of the requests come in, some of
	// them nearly a second late. In the switch, all entries learn that they have to use the
	// new version, and the responses of the others arrive.
	stepLengthRatio = 8
	minStepLength   = time.Second
	maxStepLength   = 1600 * time.Millisecond
	switchLength    = 900 * time.Millisecond
	// minSwitchLength applies when the new version became warm late.
	minSwitchLength = 400 * time.Millisecond
	// minAnswers is the number of responses without which a version is not completed, and
	// minRouteAnswers that of each route with at least minRouteRatio of the requests. A
	// route with few requests needs those to one in maxTrialInterval of them.
	minAnswers       = 25
	minRouteAnswers  = 5
	minRouteRatio    = 0.02
	maxTrialInterval = 6
	// maxBad is the number of bad responses after which a doubtful version may get requests
	// for a limited time only, and doubtRatio the part of that time for which the doubt may
	// last. The reports and the decision take the rest.
	maxBad     = 50
	doubtRatio = 4
	// recentLength is the least time that the recent counts span. They span up to twice as
	// much. A version that turns bad late would otherwise be judged by its former responses.
	recentLength = 3 * time.Second
	// maxSlotUse is the ratio of the slots of the new version that the load may need.
	// Above two thirds, service times rise. sameSlots is the ratio of the slots of the
	// other versions that is enough at any load.
	maxSlotUse = 0.6
	sameSlots  = 0.9
)

// Phase is the state of a running roll-out.
//
//sumtype:decl
type Phase interface{ phase() }

// Waiting means that no upstream of the new version is warm yet.
type Waiting struct{}

// Trying means that the new version gets a small share of the requests.
type Trying struct{}

// Holding means that the share does not rise, for a reason, although it is time for it.
type Holding struct{ Reason string }

// Stepping means that the new version gets a large part of the requests.
type Stepping struct{ Until time.Time }

// Switching means that the new version gets all requests.
type Switching struct{ Until time.Time }

// Ended means that the judge has decided.
type Ended struct{ Decision Decision }

func (Waiting) phase()   {}
func (Trying) phase()    {}
func (Holding) phase()   {}
func (Stepping) phase()  {}
func (Switching) phase() {}
func (Ended) phase()     {}

// Decision is what a judge decides.
//
//sumtype:decl
type Decision interface{ decision() }

// GoOn means that the roll-out goes on, with the split of the judge.
type GoOn struct{}

// Complete means that the roll-out is to be completed.
type Complete struct{}

// RollBack means that the roll-out is to be rolled back, for a reason.
type RollBack struct{ Reason string }

func (GoOn) decision()     {}
func (Complete) decision() {}
func (RollBack) decision() {}

// Judge decides on one roll-out. It is owned by one task.
type Judge struct {
	Terms Terms
	Order Order
	Phase Phase
	// Split is the part of the service's split that the judge decides: Target, ID, Share,
	// RouteShares and Halted.
	Split Split
	// Evidence is that of the last step.
	Evidence Evidence

	// counts are all counts, recent those of the last seconds, and next those that become
	// the recent ones at nextAt.
	counts, recent, next *Counter
	nextAt               time.Time
	// exposed counts the requests that were sent to the new version, and requests those to
	// all versions, since the first report.
	exposed, requests int64
	firstReportAt     time.Time
	// maxBadAt is when the maxBad-th bad response was reported; zero before.
	maxBadAt time.Time
	// predecessorHalted is true once an entry has reported a halted split.
	predecessorHalted bool
}

// NewJudge returns the judge of a roll-out that begins, or that a new leader takes over. It
// starts without counts, and with the new version getting no requests.
func NewJudge(terms Terms, order Order) *Judge {
	return &Judge{
		Terms: terms.OrDefaults(), Order: order, Phase: Waiting{}, counts: NewCounter(), recent: NewCounter(), next: NewCounter(), Evidence: Evidence{Tail: 1},
		Split: Split{Service: order.Service, Target: order.Target, ID: order.ID},
	}
}

// Add adds what entries have counted.
func (j *Judge) Add(now time.Time, r Report) {
	if r.ID != j.Order.ID {
		return
	}
	if j.firstReportAt.IsZero() {
		j.firstReportAt = now
	}
	j.predecessorHalted = j.predecessorHalted || r.Halted && !j.Split.Halted
	for _, counter := range []*Counter{j.counts, j.recent, j.next} {
		counter.Add(r.Items)
	}
	for _, item := range r.Items {
		j.requests += max(0, item.Sent)
		if item.Upstream != "" {
			j.exposed += max(0, item.Sent)
		}
	}
}

// Exposed returns the requests that were sent to the new version, and the bad responses to
// them, as far as they are reported.
func (j *Judge) Exposed() (sent, bad int64) { return j.exposed, j.Evidence.Bad }

// endAt returns the time at which the end has to be proposed.
func (j *Judge) endAt() time.Time {
	length := j.Order.Deadline.Sub(j.Order.OrderedAt)
	return j.Order.Deadline.Add(-max(endMargin, length/endMarginRatio))
}

// stepLength returns how long the step lasts.
func (j *Judge) stepLength() time.Duration {
	return min(maxStepLength, max(minStepLength, j.Order.Deadline.Sub(j.Order.OrderedAt)/stepLengthRatio))
}

// Step takes the next decision. It is called several times a second.
func (j *Judge) Step(now time.Time, fleet Fleet) Decision {
	if ended, ok := j.Phase.(Ended); ok {
		return ended.Decision
	}
	j.examine(now)
	if j.predecessorHalted {
		return j.end(RollBack{Reason: "the former leader had decided to roll back"})
	}
	if j.Evidence.Worse() {
		where := "all routes"
		if j.Evidence.Route != "" {
			where = "route " + j.Evidence.Route
		}
		return j.end(RollBack{Reason: fmt.Sprintf("%s on %s", j.Evidence.Reason, where)})
	}
	if j.Evidence.Bad >= maxBad && j.maxBadAt.IsZero() {
		j.maxBadAt = now
	}
	if j.Evidence.Doubtful() && !j.maxBadAt.IsZero() && now.Sub(j.maxBadAt) >= j.Terms.RollBack/doubtRatio {
		return j.end(RollBack{Reason: fmt.Sprintf("doubt about %s, with %d bad responses", j.Evidence.Reason, j.Evidence.Bad)})
	}
	switch phase := j.Phase.(type) {
	case Waiting, Trying, Holding:
		return j.try(now, fleet)
	case Stepping:
		return j.step(now, fleet, phase)
	case Switching:
		if now.Before(phase.Until) {
			return GoOn{}
		}
		return j.end(Complete{})
	case Ended:
		return phase.Decision
	}
	return GoOn{}
}

// examine tests all counts and the recent ones. The evidence is that of the worse result, with
// the bad responses of all counts.
func (j *Judge) examine(now time.Time) {
	if !now.Before(j.nextAt) {
		j.recent, j.next, j.nextAt = j.next, NewCounter(), now.Add(recentLength)
	}
	all, recent := j.counts.Examine(), j.recent.Examine()
	j.Evidence = all
	if recent.Tail < all.Tail {
		j.Evidence = recent
		j.Evidence.Bad = all.Bad
	}
}

// end takes the final decision. A version that is rolled back gets no more requests.
func (j *Judge) end(d Decision) Decision {
	if _, rolledBack := d.(RollBack); rolledBack {
		j.Split.Halted = true
		j.Split.Share, j.Split.RouteShares = 0, nil
	}
	j.Phase = Ended{Decision: d}
	return d
}

// try goes on with a trial until it is time for the step.
func (j *Judge) try(now time.Time, fleet Fleet) Decision {
	stepAt := j.endAt().Add(-j.stepLength() - switchLength)
	latest := j.Order.Deadline.Add(-endMargin)
	if fleet.Warm == 0 {
		j.Phase = Waiting{}
		j.setShare(0, false)
	} else {
		j.setShare(j.trialShare(now, stepAt), true)
	}
	switch {
	case fleet.Others == 0 && fleet.Warm > 0:
		// There is nothing to compare with, and no other upstream to use.
		j.setShare(1, false)
		return j.end(Complete{})
	case now.Before(stepAt):
		if fleet.Warm > 0 {
			j.Phase = Trying{}
		}
		return GoOn{}
	}
	obstacle := j.obstacle(now, fleet)
	switch {
	case obstacle == "" && now.Before(latest.Add(-minSwitchLength)):
		j.beginStep(now)
	case !now.Before(latest):
		return j.end(RollBack{Reason: "undecided at the deadline: " + obstacle})
	case obstacle != "":
		j.Phase = Holding{Reason: obstacle}
	}
	return GoOn{}
}

// beginStep begins the step, or the switch if there is no time for both.
func (j *Judge) beginStep(now time.Time) {
	remaining := j.Order.Deadline.Add(-endMargin).Sub(now)
	if remaining < minStepLength+minSwitchLength {
		j.beginSwitch(now)
		return
	}
	length := min(j.stepLength(), remaining-minSwitchLength)
	j.Phase = Stepping{Until: now.Add(length)}
	j.setShare(j.stepShareNow(now, length), false)
}

// step goes on with the step. Without doubt at its end, the switch begins.
func (j *Judge) step(now time.Time, fleet Fleet, phase Stepping) Decision {
	if now.Before(phase.Until) {
		return GoOn{}
	}
	obstacle := j.obstacle(now, fleet)
	switch {
	case obstacle == "":
		j.beginSwitch(now)
	case !now.Before(j.Order.Deadline.Add(-endMargin)):
		return j.end(RollBack{Reason: "undecided at the deadline: " + obstacle})
	default:
		// The doubt came with the step, so the share falls until it is settled.
		j.Phase = Holding{Reason: obstacle}
		j.setShare(minShare, false)
	}
	return GoOn{}
}

func (j *Judge) beginSwitch(now time.Time) {
	length := min(switchLength, max(minSwitchLength, j.Order.Deadline.Add(-endMargin).Sub(now)))
	j.Phase = Switching{Until: now.Add(length)}
	j.setShare(1, false)
}

// obstacle returns what speaks against using the new version for all requests, or an empty
// string.
func (j *Judge) obstacle(now time.Time, fleet Fleet) string {
	if fleet.Warm == 0 {
		return "no warm upstream"
	}
	if !j.suffices(now, fleet) {
		return fmt.Sprintf("%d warm slots are too few, and %d upstreams are cold", fleet.WarmSlots, fleet.Cold)
	}
	if j.Evidence.Doubtful() {
		return "doubt about " + j.Evidence.Reason
	}
	sum := j.counts.Sum(ofTarget)
	if sum.Answers < minAnswers {
		return fmt.Sprintf("%d responses are too few", sum.Answers)
	}
	for _, route := range j.counts.Routes() {
		all := j.counts.Sum(func(k ItemKey) bool { return k.Route == route })
		tried := j.counts.Sum(func(k ItemKey) bool { return k.Route == route && ofTarget(k) })
		needed := min(minRouteAnswers, all.Sent/maxTrialInterval)
		if float64(all.Sent) >= minRouteRatio*float64(j.requests) && tried.Answers < needed {
			return fmt.Sprintf("%d responses on route %s are too few", tried.Answers, route)
		}
	}
	return ""
}

// suffices reports whether the warm slots of the new version suffice for the load.
func (j *Judge) suffices(now time.Time, fleet Fleet) bool {
	if float64(fleet.WarmSlots) >= sameSlots*float64(fleet.OtherSlots) {
		return true
	}
	busy := j.rate(now) * j.counts.Sum(ofOthers).mean() / 1000
	return busy > 0 && busy <= maxSlotUse*float64(fleet.WarmSlots)
}
