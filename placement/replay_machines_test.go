package placement_test

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/script"
)

// machine simulates an upstream with slots, and with a queue of limited length
// for requests that find no idle slot. noiseSlowdown and faultSlowdown multiply
// service times; only the first is in the load report.
type machine struct {
	info           fleet.Upstream
	slots          int
	maxWaiting     int
	noisy          bool
	noiseSlowdown  float64
	faultSlowdown  float64
	noiseChangesAt time.Time
	random         *rand.Rand
	down           bool
	// refusalRatio is the ratio of requests that the machine refuses whatever its
	// load.
	refusalRatio float64
	// restUntil is the time until which the machine turns all requests away. Each
	// response asks for rest for restLength, which is zero for a machine that asks for
	// none. Its health and load are reported as good.
	restUntil  time.Time
	restLength time.Duration
	// askedAt holds, by entry, when the machine last began to ask it for rest.
	askedAt map[int]time.Time
	// restArrivals counts the requests turned away, and restLate those from entries that
	// it had asked for rest more than half a second before. returns counts the
	// requests in the first 100 ms after the end.
	restArrivals int
	restLate     int
	returns      int
	limit        limitedMachine
	// coldUntil is the time until which the machine is cold: it runs at half speed.
	coldUntil time.Time
	// coldStarts holds when requests arrived while it was cold.
	coldStarts []time.Time
	running    []*job
	waiting    []*job
}

// job is an attempt at a machine. A dropped one is not finished, and its result
// is not delivered.
type job struct {
	remaining time.Duration
	entry     int
	attempt   placement.AttemptID
	dropped   bool
}

func (r *replay) addMachines(c script.Case) string {
	domains := c.List("domains")
	for i := range c.Int("count", 1) {
		id := c.Args["service"] + "-" + strconv.Itoa(c.Int("first", 0)+i)
		m := &machine{
			info: fleet.Upstream{
				ID: id, Service: c.Args["service"], Domain: domains[i%len(domains)], Slots: c.Int("slots", 6), StartMS: 1,
			},
			slots: c.Int("slots", 6), maxWaiting: c.Int("queue", 12), noisy: c.Bool("noisy"), noiseSlowdown: 1, faultSlowdown: 1,
			noiseChangesAt: r.now.Add(time.Duration(37*len(r.machineList)%300) * time.Millisecond),
			random:         rand.New(rand.NewPCG(uint64(len(r.machineList)), 3)),
		}
		r.machines[id] = m
		r.machineList = append(r.machineList, m)
	}
	r.sendViews(nil)
	return ""
}

// setMachineState takes machines down or up, or sets their slowdown.
func (r *replay) setMachineState(c script.Case) string {
	for _, m := range r.machineList {
		if c.Args["domain"] != "" && m.info.Domain != c.Args["domain"] || c.Args["service"] != "" && m.info.Service != c.Args["service"] {
			continue
		}
		if ids := c.List("only"); ids != nil && !strings.Contains(","+c.Args["only"]+",", ","+m.info.ID+",") {
			continue
		}
		switch c.Command {
		case "down":
			m.down = true
			for _, j := range append(m.running, m.waiting...) {
				if !c.Bool("no_reset") {
					r.endJob(m, j, placement.Unknown{Reason: placement.ReasonReset})
				}
				j.dropped = true
			}
			m.running, m.waiting = nil, nil
		case "up":
			m.down = false
		case "slow":
			m.faultSlowdown = number(c.Args["times"])
		}
	}
	return ""
}

// coldReturn makes the machines of a domain cold.
func (r *replay) coldReturn(c script.Case) string {
	cold := map[string]time.Duration{}
	for _, m := range r.machineList {
		if m.info.Domain == c.Args["domain"] {
			cold[m.info.ID] = time.Duration(c.Int("ms", 0)) * time.Millisecond
			m.coldUntil = r.now.Add(cold[m.info.ID])
		}
	}
	r.sendViews(cold)
	return ""
}

// restMachines lets machines turn requests away for a time. With former, the entries do
// not learn that they are asked for rest, as before they knew of it.
func (r *replay) restMachines(c script.Case) {
	for i, m := range r.machineList {
		if i%c.Int("every", 1) != 0 {
			continue
		}
		m.restUntil = r.now.Add(time.Duration(c.Int("ms", 0)) * time.Millisecond)
		m.restLength = time.Duration(c.Int("length", 0)) * time.Millisecond
		m.askedAt = map[int]time.Time{}
	}
	r.restIgnored = c.Bool("former")
}

// turnAway answers a request at a machine that wants rest.
func (r *replay) turnAway(m *machine, j *job) {
	m.restArrivals++
	asked, known := m.askedAt[j.entry]
	since := r.now.Sub(asked)
	switch {
	case !known || since >= m.restLength:
		m.askedAt[j.entry] = r.now
	case since > 500*time.Millisecond:
		m.restLate++
	}
	n := placement.Notice{}
	if !r.restIgnored {
		n = placement.Notice{RestAsked: true, RestSeconds: m.restLength.Seconds()}
	}
	r.endJobWith(m, j, placement.NotRun{Reason: placement.ReasonShed, Sent: true}, n)
}

// restCounts returns the number of requests that machines turned away, the number of
// those that came although the entry had been asked for rest, and the most requests
// that one machine got right after its rest.
func (r *replay) restCounts() (arrivals, late, returns int) {
	for _, m := range r.machineList {
		arrivals += m.restArrivals
		late += m.restLate
		returns = max(returns, m.returns)
		m.restArrivals, m.restLate, m.returns = 0, 0, 0
	}
	return arrivals, late, returns
}

// coldPeak returns the number of requests that reached cold machines, and the most
// that one of them got within a second.
func (r *replay) coldPeak() (total, peak int) {
	for _, m := range r.machineList {
		total += len(m.coldStarts)
		first := 0
		for i, at := range m.coldStarts {
			for at.Sub(m.coldStarts[first]) >= time.Second {
				first++
			}
			peak = max(peak, i-first+1)
		}
		m.coldStarts = nil
	}
	return total, peak
}

func (m *machine) load() placement.Load {
	return placement.Load{
		Running: len(m.running), Waiting: len(m.waiting), Slots: m.slots, Slowdown: int(100 * m.noiseSlowdown), Known: true,
	}
}

// advance simulates one step of a machine. The service time of a request is set
// when it starts, from the machine's slowdown and its busy slots.
func (r *replay) advance(m *machine) {
	if m.noisy && !r.now.Before(m.noiseChangesAt) {
		m.noiseChangesAt = r.now.Add(300 * time.Millisecond)
		m.noiseSlowdown = 1
		if m.random.Float64() < 0.25 {
			m.noiseSlowdown = 4
		}
	}
	m.running = withoutDropped(m.running)
	m.waiting = withoutDropped(m.waiting)
	for len(m.running) < m.slots && len(m.waiting) > 0 {
		r.startJob(m, m.waiting[0])
		m.waiting = m.waiting[1:]
	}
	kept := m.running[:0]
	for _, j := range m.running {
		j.remaining -= replayStep
		if j.remaining > 0 {
			kept = append(kept, j)
			continue
		}
		r.endJob(m, j, placement.Answered{})
	}
	m.running = kept
}

// contentionFactor is the factor by which busy slots lengthen service times.
// Median service times are 300, 436 and 527 ms with four, five and six slots
// busy.
func contentionFactor(busy, slots int) float64 {
	switch free := slots - busy; {
	case free <= 0:
		return 1.75
	case free == 1:
		return 1.45
	}
	return 1
}

// startJob starts a job and sets its service time.
func (r *replay) startJob(m *machine, j *job) {
	m.running = append(m.running, j)
	if r.now.Before(m.coldUntil) {
		j.remaining *= 2
	}
	j.remaining = time.Duration(float64(j.remaining) * m.noiseSlowdown * m.faultSlowdown * contentionFactor(len(m.running), m.slots))
}

func withoutDropped(list []*job) []*job {
	kept := list[:0]
	for _, j := range list {
		if !j.dropped {
			kept = append(kept, j)
		}
	}
	return kept
}

func (r *replay) endJob(m *machine, j *job, o placement.Outcome) {
	r.endJobWith(m, j, o, placement.Notice{})
}

func (r *replay) endJobWith(m *machine, j *job, o placement.Outcome, n placement.Notice) {
	load := m.load()
	limit := r.stateLimit(m, j.entry)
	r.schedule(r.networkDelay(j.entry, m), func() {
		if j.dropped {
			return
		}
		delete(r.jobs, attemptKey(j.entry, j.attempt))
		key := placement.KeyOf(m.info)
		if n != (placement.Notice{}) {
			r.perform(j.entry, r.entries[j.entry].Step(r.now, placement.NoticeReceived{Upstream: key, Notice: n}))
		}
		r.perform(j.entry, r.entries[j.entry].Step(r.now, placement.AttemptEnded{Attempt: j.attempt, Outcome: o, Load: load, Limit: limit}))
	})
}
