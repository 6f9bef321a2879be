package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/rollout"
	"github.com/oriolepost/oriolepost/script"
)

func TestRollout(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "rollout")
}

// The replays guard against a bad version that is completed or exposed beyond the bound,
// and against a good one that is rolled back or not completed by the deadline.
var _ = script.Describe("replays", "testdata/replays/*.txt", func() script.Handler {
	return func(c script.Case) string {
		if c.Command != "replay" {
			return "unknown command"
		}
		outcomes := map[string]int{}
		var worst replay
		for seed := range c.Int("runs", 4) {
			r := newReplay(c, uint64(seed))
			r.run()
			outcomes[r.verdict]++
			worst.exposure = max(worst.exposure, r.exposure)
			worst.endedAt = max(worst.endedAt, r.endedAt)
			worst.sentAfter50 = max(worst.sentAfter50, r.sentAfter50)
		}
		if c.Args["bad"] == "" {
			return fmt.Sprintf("%v ended<=%.0f s", outcomes, math.Ceil(worst.endedAt.Seconds()))
		}
		// The figures are rounded up, so that they hold on machines with other rounding.
		return fmt.Sprintf("%v exposure<=%.1f of the bound, ended<=%.0f s, sent after the 50th bad response<=%.0f s",
			outcomes, math.Ceil(worst.exposure*10)/10, math.Ceil(worst.endedAt.Seconds()), math.Ceil(worst.sentAfter50.Seconds()))
	}
})

const tick = 10 * time.Millisecond

// replay is one roll-out of a service with entries, upstreams and a leader.
type replay struct {
	c      script.Case
	random *rand.Rand
	start  time.Time
	now    time.Time
	judge  *rollout.Judge
	// splits holds the split that each entry follows, and counters what it counted.
	splits    []rollout.Split
	counters  []*rollout.Counter
	inFlight  map[string]int
	pending   []response
	scheduled []message

	verdict             string
	requests, exposed   int
	bad                 int
	fiftiethBadAt       time.Time
	exposure            float64
	endedAt             time.Duration
	sentAfter50         time.Duration
	leaderLost          bool
	duration, loseAfter time.Duration
}

type response struct {
	entry  int
	key    rollout.ItemKey
	failed bool
	took   time.Duration
	at     time.Time
	bad    bool
}

// message is a report on its way to the leader, or a split on its way to an entry.
type message struct {
	at     time.Time
	entry  int
	report *rollout.Report
	split  rollout.Split
}

func newReplay(c script.Case, seed uint64) *replay {
	r := &replay{c: c, random: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1_800_000_000, 0), inFlight: map[string]int{}, verdict: "running"}
	r.duration = time.Duration(c.Int("duration", 12000)) * time.Millisecond
	r.loseAfter = time.Duration(c.Int("lose", 0)) * time.Millisecond
	r.now = r.start
	r.judge = r.newJudge()
	for range c.Int("entries", 88) {
		r.splits = append(r.splits, r.judge.Split)
		r.counters = append(r.counters, rollout.NewCounter())
	}
	return r
}

func (r *replay) newJudge() *rollout.Judge {
	return rollout.NewJudge(rollout.Terms{}, rollout.Order{ID: 1, Service: "s", Target: "v2", OrderedAt: r.start, Deadline: r.start.Add(r.duration)})
}

func (r *replay) fleet() rollout.Fleet {
	old, count, slots := r.c.Int("old", 61), r.c.Int("new", 61), 4
	f := rollout.Fleet{Others: old, OtherSlots: slots * old, Cold: count}
	if warmAt := time.Duration(r.c.Int("warm", 3500)) * time.Millisecond; r.now.Sub(r.start) >= warmAt {
		f.Warm, f.WarmSlots, f.Cold = count, slots*count, 0
	}
	return f
}

func (r *replay) run() {
	rate, arrivals := float64(r.c.Int("rate", 590)), 0.0
	for ; r.now.Sub(r.start) < r.duration; r.now = r.now.Add(tick) {
		arrivals += rate * tick.Seconds()
		for ; arrivals >= 1; arrivals-- {
			r.send()
		}
		r.deliver()
		elapsed := r.now.Sub(r.start)
		if elapsed%(300*time.Millisecond) == 0 {
			r.report()
		}
		if r.loseAfter > 0 && elapsed >= r.loseAfter && !r.leaderLost {
			r.leaderLost, r.judge = true, r.newJudge()
		}
		electing := r.leaderLost && elapsed < r.loseAfter+time.Second
		if elapsed%(200*time.Millisecond) == 0 && !electing && r.verdict == "running" {
			r.decide()
		}
	}
	r.exposure = float64(r.exposed) / (0.1*float64(r.requests) + 50)
}

func (r *replay) decide() {
	before := fmt.Sprint(r.judge.Split)
	decision := r.judge.Step(r.now, r.fleet())
	if fmt.Sprint(r.judge.Split) != before || r.leaderLost {
		for e := range r.splits {
			delay := time.Duration(20+r.random.IntN(250)) * time.Millisecond
			r.scheduled = append(r.scheduled, message{at: r.now.Add(delay), entry: e, split: r.judge.Split})
		}
	}
	switch decision.(type) {
	case rollout.Complete:
		r.verdict, r.endedAt = "completed", r.now.Sub(r.start)
	case rollout.RollBack:
		r.verdict, r.endedAt = "rolled_back", r.now.Sub(r.start)
	case rollout.GoOn:
	}
}

// send sends one request by a random entry.
func (r *replay) send() {
	if r.verdict == "completed" {
		return
	}
	r.requests++
	entry, route := r.random.IntN(len(r.splits)), r.route()
	split := r.splits[entry]
	key, base := rollout.ItemKey{Route: route}, 100+40*float64(route[1]-'0')
	factor, failed := 0.7+0.6*r.random.Float64(), r.random.Float64() < float64(r.c.Int("baseline", 5))/1000
	warm := r.fleet().Warm
	if warm > 0 && r.random.Float64() < split.ShareOf(route) {
		index := r.random.IntN(split.TrialUpstreams(warm))
		key.Upstream = "u" + strconv.Itoa(index)
		if r.c.Bool("grey_new") && index == 0 {
			failed = failed || r.random.Float64() < 0.8
		}
	}
	if (key.Upstream == "" || r.c.Bool("grey_both")) && r.random.Float64() < float64(r.c.Int("grey", 0))/100 {
		factor, failed = factor*5, failed || r.random.IntN(4) == 0
	}
	ofTarget := key.Upstream != ""
	worse := ofTarget && r.isWorse(route, key.Upstream) && r.random.IntN(100) < r.c.Int("share", 100)
	if worse && r.c.Bool("slow") {
		factor *= 4
	}
	failed = failed || worse && !r.c.Bool("slow")
	if ofTarget {
		r.exposed++
		r.inFlight[key.Upstream]++
		if !r.fiftiethBadAt.IsZero() {
			r.sentAfter50 = max(r.sentAfter50, r.now.Sub(r.fiftiethBadAt))
		}
	}
	r.counters[entry].Sent(key)
	took := time.Duration(base * factor * float64(time.Millisecond))
	r.pending = append(r.pending, response{entry: entry, key: key, failed: failed, took: took, at: r.now.Add(took), bad: worse})
}

// route draws one of four routes, the last of which has a twentieth of the requests.
func (r *replay) route() string {
	switch x := r.random.Float64(); {
	case x < 0.5:
		return "r0"
	case x < 0.8:
		return "r1"
	case x < 0.95:
		return "r2"
	}
	return "r3"
}

// isWorse reports whether the fault of the new version shows.
func (r *replay) isWorse(route, upstream string) bool {
	switch r.c.Args["bad"] {
	case "at_once":
		return true
	case "late":
		return r.now.Sub(r.start) >= time.Duration(r.c.Int("after", 6000))*time.Millisecond
	case "load":
		return r.inFlight[upstream] >= 2
	case "route":
		return route == r.c.Args["route"]
	}
	return false
}

func (r *replay) deliver() {
	r.pending = slices.DeleteFunc(r.pending, func(p response) bool {
		if p.at.After(r.now) {
			return false
		}
		if p.key.Upstream != "" {
			r.inFlight[p.key.Upstream]--
		}
		if p.bad {
			r.bad++
			if r.bad == 50 {
				r.fiftiethBadAt = r.now
			}
		}
		r.counters[p.entry].Ended(p.key, p.failed, p.took)
		return true
	})
	r.scheduled = slices.DeleteFunc(r.scheduled, func(m message) bool {
		if m.at.After(r.now) {
			return false
		}
		if m.report != nil {
			r.judge.Add(r.now, *m.report)
		} else {
			r.splits[m.entry] = m.split
		}
		return true
	})
}

// report sends the counts of all entries. Half of them pass a relay.
func (r *replay) report() {
	for e, counter := range r.counters {
		delay := time.Duration(10+r.random.IntN(300)) * time.Millisecond
		if e%2 == 0 {
			delay += 300 * time.Millisecond
		}
		r.scheduled = append(r.scheduled, message{at: r.now.Add(delay), report: &rollout.Report{ID: 1, Halted: r.splits[e].Halted, Items: counter.Take()}})
	}
}
