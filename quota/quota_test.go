package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/quota"
	"github.com/oriolepost/oriolepost/script"
)

func TestQuota(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "quota")
}

// The replays guard against a workspace that runs more than its quota allows, and against
// refusals of one that is within its quota.
var _ = script.Describe("replays", "testdata/replays/*.txt", func() script.Handler {
	return func(c script.Case) string {
		if c.Command != "replay" {
			return "unknown command"
		}
		exceeded, refused, used := 0, 0.0, math.Inf(1)
		for seed := range c.Int("runs", 4) {
			r := newReplay(c, uint64(seed))
			r.run()
			exceeded += r.exceeded
			refused = max(refused, float64(r.refused)/float64(max(1, r.asked)))
			used = min(used, r.used())
		}
		text := fmt.Sprintf("windows beyond the bound: %d", exceeded)
		if c.Int("hot", 0) == 0 {
			return text + fmt.Sprintf(", refused less than 1 in 1000: %v", refused < 0.001)
		}
		return text + fmt.Sprintf(", used at least 0.8 of the quota: %v", used >= 0.8)
	}
})

// It guards against a workspace whose demand rises half a second before the leader is lost,
// for a second. See KNOWN-RED.txt.
func TestRiseWithoutLeader(t *testing.T) {
	gomega.RegisterTestingT(t)
	for seed := range uint64(4) {
		r := newReplay(script.Case{Args: map[string]string{"rate": "577", "usual": "360", "hot": "1200", "hot_from": "9500", "hot_to": "25000", "leaderless_from": "10000", "leaderless_to": "11000"}}, seed)
		r.run()
		if r.exceeded > 0 {
			t.Errorf("seed %d: %d windows beyond the bound", seed, r.exceeded)
		}
	}
}

const (
	tick   = 10 * time.Millisecond
	window = 5 * time.Second
	// reportEvery is the interval of the reports of an entry, and of those of its relay.
	reportEvery = 200 * time.Millisecond
	relays      = 6
	viewTime    = 30 * time.Millisecond
	contactTime = 600 * time.Millisecond
)

// replay is a workspace that sends requests to entries of a leader.
type replay struct {
	c       script.Case
	random  *rand.Rand
	start   time.Time
	now     time.Time
	meter   *quota.Meter
	gates   []*quota.Gate
	weights []float64
	relays  []map[string]quota.Usage
	shares  []quota.Share
	// limits and admitted hold a value for each tick.
	limits                   []quota.Limit
	admitted                 []int
	asked, refused, exceeded int
}

func newReplay(c script.Case, seed uint64) *replay {
	start := time.Unix(1000, 0)
	r := &replay{c: c, random: rand.New(rand.NewPCG(seed, 7)), start: start, now: start, meter: quota.NewMeter(start, window)}
	sum := 0.0
	for i := range c.Int("entries", 132) {
		r.gates = append(r.gates, quota.NewGate())
		sum += 1 / float64(1+i%7)
		r.weights = append(r.weights, sum)
	}
	for range relays {
		r.relays = append(r.relays, map[string]quota.Usage{})
	}
	return r
}

// during reports whether the time is between two arguments of the case, in milliseconds.
func (r *replay) during(from, to string) bool {
	at, begin := int(r.now.Sub(r.start).Milliseconds()), r.c.Int(from, -1)
	return begin >= 0 && at >= begin && at < r.c.Int(to, math.MaxInt)
}

func (r *replay) since(argument string) time.Duration {
	return r.now.Sub(r.start) - time.Duration(r.c.Int(argument, 0))*time.Millisecond
}

func (r *replay) limit() quota.Limit {
	limit := quota.Limit{Rate: float64(r.c.Int("rate", 577)), Burst: float64(r.c.Int("burst", 0))}
	if r.during("lower_from", "lower_to") {
		return quota.Limit{Rate: limit.Rate / 10, Burst: limit.Burst / 10}
	}
	return limit
}

// isCut reports whether an entry can't reach the control instances.
func (r *replay) isCut(entry int) bool {
	return entry < r.c.Int("cut", 0) && r.during("cut_from", "cut_to")
}

func (r *replay) run() {
	for range r.c.Int("seconds", 30) * int(time.Second/tick) {
		r.now = r.now.Add(tick)
		r.exchange()
		r.arrive()
		r.check()
	}
}

// exchange has the entries and relays report that are due, and the leader decide.
func (r *replay) exchange() {
	at := r.now.Sub(r.start)
	leaderless := r.during("leaderless_from", "leaderless_to")
	if leaderless {
		r.meter = nil
	} else if r.meter == nil {
		r.meter = quota.NewMeter(r.now, window)
	}
	for i, gate := range r.gates {
		if (at+time.Duration(i)*tick)%reportEvery == 0 && !r.isCut(i) && !leaderless {
			quota.Merge(r.relays[i%relays], gate.Take(r.now))
		}
	}
	for i, relay := range r.relays {
		if (at+time.Duration(i)*7*tick)%reportEvery == 0 && !leaderless {
			for _, usage := range relay {
				r.meter.Add(r.now, []quota.Usage{usage})
			}
			clear(relay)
		}
	}
	if at%(100*time.Millisecond) == 0 && !leaderless {
		r.shares = r.meter.Step(r.now, map[string]quota.Limit{"w": r.limit()})
	}
	// A changed view is sent at once, and reaches the entries through the relays.
	if at%(100*time.Millisecond) == viewTime && !leaderless {
		for i, gate := range r.gates {
			if !r.isCut(i) {
				gate.SetShares(r.shares)
			}
		}
	}
	if at == time.Duration(r.c.Int("restart_at", -1000)+1000)*time.Millisecond {
		r.meter, r.shares = quota.NewMeter(r.now, window), nil
		for i := range r.gates {
			r.gates[i] = quota.NewGate()
		}
	}
}

// arrive sends the requests of a tick to entries.
func (r *replay) arrive() {
	rate := float64(r.c.Int("usual", 300))
	if r.during("hot_from", "hot_to") {
		rate = float64(r.c.Int("hot", 0))
	}
	admitted := 0
	for mean := rate * tick.Seconds(); ; {
		if mean -= r.random.ExpFloat64(); mean < 0 {
			break
		}
		entry, point := 0, r.random.Float64()*r.weights[len(r.weights)-1]
		for r.weights[entry] < point {
			entry++
		}
		connected := (!r.isCut(entry) || r.since("cut_from") < contactTime) &&
			(!r.during("leaderless_from", "leaderless_to") || r.since("leaderless_from") < contactTime)
		r.asked++
		// A restart of all instances takes a second at least.
		if at := r.c.Int("restart_at", -1); at >= 0 && r.since("restart_at") >= 0 && r.since("restart_at") < time.Second {
			continue
		}
		if r.gates[entry].Admit(r.now, quota.Request{Workspace: "w", Limit: r.limit(), Connected: connected, Entries: len(r.gates), Draw: r.random.Float64()}) {
			admitted++
		} else {
			r.refused++
		}
	}
	r.admitted = append(r.admitted, admitted)
	r.limits = append(r.limits, r.limit())
}

// check compares the window that ends now with the bound. A lower limit binds one window
// after it is in force.
func (r *replay) check() {
	n, ticks := len(r.admitted), int(window/tick)
	bound, sum := 0.0, 0
	for i := max(0, n-2*ticks); i < n; i++ {
		bound = max(bound, (r.limits[i].Rate*window.Seconds()+r.limits[i].Burst)*1.1+20)
		if i >= n-ticks {
			sum += r.admitted[i]
		}
	}
	if float64(sum) > bound {
		r.exceeded++
	}
}

// used returns the part of the quota that ran from a window after the demand rose.
func (r *replay) used() float64 {
	from := (r.c.Int("hot_from", 0) + int(window/time.Millisecond)) * int(time.Millisecond) / int(tick)
	to := min(len(r.admitted), r.c.Int("hot_to", 0)*int(time.Millisecond)/int(tick))
	sum, allowed := 0.0, 0.0
	for i := from; i < to; i++ {
		sum += float64(r.admitted[i])
		allowed += r.limits[i].Rate * tick.Seconds()
	}
	return sum / allowed
}
