package placement_test

import (
	"fmt"
	"time"

	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/script"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' bound: what an upstream may get
	// within a window from the entries that it has notified half a second before.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	limitNotice = 500 * time.Millisecond
	// limitGrace is the time after an upstream first named a limit from which the bound holds.
	limitGrace = 3 * time.Second
)

// limitedMachine is what a machine of the replay has of its limit.
type limitedMachine struct {
	// perSecond is the limit that the machine names until a time, first named since.
	perSecond    float64
	since, until time.Time
	// notified holds, by entry, when a response first named the limit.
	notified map[int]time.Time
	// arrivals are the requests of the entries that had been notified.
	arrivals []time.Time
	// over counts the arrivals above the bound, and most is the most in a window.
	over, most int
}

// limitMachines lets machines name a limit for a time. With former, the entries do not learn
// of it.
func (r *replay) limitMachines(c script.Case) {
	for i, m := range r.machineList {
		if i%c.Int("of", 1) >= c.Int("limited", 1) {
			continue
		}
		m.limit = limitedMachine{
			perSecond: number(c.Args["per_second"]), since: r.now, until: r.now.Add(time.Duration(c.Int("ms", 0)) * time.Millisecond), notified: map[int]time.Time{},
		}
	}
	r.limitsIgnored = c.Bool("former")
}

// stateLimit returns what a response of a machine to an entry says about the limit.
func (r *replay) stateLimit(m *machine, entry int) placement.RateLimit {
	if !r.now.Before(m.limit.until) {
		return placement.RateLimit{}
	}
	if _, notified := m.limit.notified[entry]; !notified {
		m.limit.notified[entry] = r.now
	}
	if r.limitsIgnored {
		return placement.RateLimit{}
	}
	return placement.RateLimit{Stated: true, PerSecond: m.limit.perSecond}
}

// countLimited counts a request that arrives at a machine.
func (r *replay) countLimited(m *machine, entry int) {
	l := &m.limit
	notified, known := l.notified[entry]
	if !known || r.now.Sub(notified) < limitNotice || r.now.Sub(l.since) < limitGrace || !r.now.Before(l.until) {
		return
	}
	l.arrivals = append(l.arrivals, r.now)
	for r.now.Sub(l.arrivals[0]) > limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	l.most = max(l.most, len(l.arrivals))
	if float64(len(l.arrivals)) > limitFactor*l.perSecond*limitWindow.Seconds()+limitSlack {
		l.over++
	}
}

// limitText returns the sum over the machines that have named a limit since the last call.
func (r *replay) limitText() string {
	limited, over, most := 0, 0, 0
	for _, m := range r.machineList {
		if m.limit.notified != nil {
			limited++
			over += m.limit.over
			most = max(most, m.limit.most)
			m.limit.over, m.limit.most = 0, 0
		}
	}
	if limited == 0 {
		return ""
	}
	return fmt.Sprintf("limited=%d over=%d most=%d\n", limited, over, most)
}
