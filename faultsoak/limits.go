package faultsoak

import (
	"slices"
	"time"
)

// The users' bound on the requests to an upstream that names a limit: from limitGrace after
// it first did, at most limitFactor times what the limit allows within limitWindow, plus
// limitSlack, from the entries that had passed on such a response limitNotice before.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitNotice = 500 * time.Millisecond
	// limitTime is how long an upstream of the soak names a limit.
	limitTime = limitGrace + 2*limitWindow
)

// limits is what upstreams have said about their limits.
type limits struct {
	// named holds, by upstream, when it first named its present limit.
	named map[string]time.Duration
	// responses holds the requests, by id and upstream, whose response names a limit, and
	// notified when an entry first passed one on.
	responses map[[2]string]bool
	notified  map[hop]time.Duration
	// arrivals holds, by upstream, the requests of the last window that count.
	arrivals map[string][]time.Duration
}

func newLimits() limits {
	return limits{named: map[string]time.Duration{}, responses: map[[2]string]bool{}, notified: map[hop]time.Duration{}, arrivals: map[string][]time.Duration{}}
}

// noteLimitPassedOn keeps the first response with a limit that each entry has passed on. A
// restart or a pause of the entry since then excuses what follows.
func (j *judge) noteLimitPassedOn(e ResponseReceived) {
	if !j.limits.responses[[2]string{e.ID, e.Upstream}] {
		return
	}
	h := hop{j.requests[e.ID].Entry, e.Upstream}
	if at, notified := j.limits.notified[h]; !notified || j.interruptedSince(h.entry, at) {
		j.limits.notified[h] = e.At
	}
}

// checkLimit checks a request that reaches an upstream against the limit that the upstream
// names at that time, in requests a second; zero for none.
func (j *judge) checkLimit(a arrival, limit float64) {
	l := &j.limits
	if limit == 0 {
		delete(l.named, a.upstream)
		delete(l.arrivals, a.upstream)
		for h := range l.notified {
			if h.upstream == a.upstream {
				delete(l.notified, h)
			}
		}
		return
	}
	l.responses[[2]string{a.id, a.upstream}] = true
	first, known := l.named[a.upstream]
	if !known {
		l.named[a.upstream], first = a.at, a.at
	}
	h := hop{j.requests[a.id].Entry, a.upstream}
	notified, passedOn := l.notified[h]
	if !passedOn || a.at < notified+limitNotice || a.at < first+limitGrace || j.disturbedSince(h.entry, notified) {
		return
	}
	l.arrivals[a.upstream] = append(l.arrivals[a.upstream], a.at)
	inWindow := slices.DeleteFunc(l.arrivals[a.upstream], func(at time.Duration) bool { return a.at-at > limitWindow })
	l.arrivals[a.upstream] = inWindow
	if allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack; float64(len(inWindow)) > allowed {
		j.verdict.add(&j.verdict.OverLimit, "request %s reached %s from %s at %v, the %d. within %v from entries that knew its limit of %g a second",
			a.id, a.upstream, h.entry, a.at, len(inWindow), limitWindow, limit)
	}
}
