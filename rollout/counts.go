package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTime is the longest response time that is distinguished.
	maxTime = 2 * time.Minute
	// timeDigits is the number of significant digits of response times. The judge compares
	// them with twice the median, for which one digit is enough.
	timeDigits = 1
	// maxItems limits the items of a counter: 20 routes on 200 upstreams of the target.
	maxItems = 4096
)

// ItemKey identifies an item.
type ItemKey struct {
	Route string
	// Upstream is the upstream of the target, and empty for all other versions together.
	Upstream string
}

// Tally is what was counted of one route at one upstream of the target, or at all of the
// other versions.
type Tally struct {
	// Sent counts the requests that were sent, and Answers those that ended, with a
	// response or without. Failures are among them.
	Sent, Answers, Failures int64
	// Times holds the number of responses by response time in milliseconds. The times are
	// the lowest values of the buckets of a histogram. Most tallies have a few of them only.
	Times map[int64]int64
}

func newTally() *Tally { return &Tally{Times: map[int64]int64{}} }

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxTime.Milliseconds(), timeDigits)
}

// Counter counts the requests of a service during a roll-out. It is owned by one task.
type Counter struct {
	Tallies map[ItemKey]*Tally
	// scratch finds the bucket of a response time.
	scratch *hdrhistogram.Histogram
}

// NewCounter returns an empty counter.
func NewCounter() *Counter { return &Counter{Tallies: map[ItemKey]*Tally{}, scratch: newHistogram()} }

// tally returns the tally for a key. Beyond maxItems, all upstreams share one item of their route.
func (c *Counter) tally(k ItemKey) *Tally {
	t := c.Tallies[k]
	if t == nil && len(c.Tallies) >= maxItems && k.Upstream != "" {
		k.Upstream = "others"
		t = c.Tallies[k]
	}
	if t == nil {
		t = newTally()
		c.Tallies[k] = t
	}
	return t
}

// Sent counts a request that is sent.
func (c *Counter) Sent(k ItemKey) { c.tally(k).Sent++ }

// Ended counts the end of a request.
func (c *Counter) Ended(k ItemKey, failed bool, took time.Duration) {
	t := c.tally(k)
	t.Answers++
	if failed {
		t.Failures++
		return
	}
	c.scratch.Reset()
	// A value within the range is always recorded.
	_ = c.scratch.RecordValue(min(max(1, took.Milliseconds()), maxTime.Milliseconds()))
	t.Times[c.scratch.Min()]++
}

// TimeCount is a number of responses that took about a time.
type TimeCount struct {
	MS    int64 `json:"ms"`
	Count int64 `json:"n"`
}

// Item is the form of a tally in a report.
type Item struct {
	Route    string      `json:"route"`
	Upstream string      `json:"upstream,omitempty"`
	Sent     int64       `json:"sent,omitempty"`
	Answers  int64       `json:"answers,omitempty"`
	Failures int64       `json:"failures,omitempty"`
	Times    []TimeCount `json:"times,omitempty"`
}

// Report is what an entry, or the entries of a relay, counted since the last one.
type Report struct {
	// ID is the log index of the roll-out's order.
	ID uint64 `json:"id"`
	// Halted is true if the sender has a split that is halted. A new leader learns from it
	// what its predecessor has decided.
	Halted bool   `json:"halted,omitempty"`
	Items  []Item `json:"items,omitempty"`
}

// Take returns the items in the counter, ordered by their keys, and empties it.
func (c *Counter) Take() []Item {
	keys := slices.SortedFunc(maps.Keys(c.Tallies), func(a, b ItemKey) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Upstream, b.Upstream))
	})
	items := make([]Item, 0, len(keys))
	for _, k := range keys {
		t := c.Tallies[k]
		item := Item{Route: k.Route, Upstream: k.Upstream, Sent: t.Sent, Answers: t.Answers, Failures: t.Failures}
		for _, ms := range slices.Sorted(maps.Keys(t.Times)) {
			item.Times = append(item.Times, TimeCount{MS: ms, Count: t.Times[ms]})
		}
		items = append(items, item)
	}
	clear(c.Tallies)
	return items
}

// Add adds items to the counter. Counts that are negative and times beyond the range are
// ignored.
func (c *Counter) Add(items []Item) {
	for _, item := range items {
		if item.Sent < 0 || item.Failures < 0 || item.Answers < item.Failures {
			continue
		}
		t := c.tally(ItemKey{item.Route, item.Upstream})
		t.Sent, t.Answers, t.Failures = t.Sent+item.Sent, t.Answers+item.Answers, t.Failures+item.Failures
		for _, time := range item.Times {
			if time.Count > 0 && time.MS > 0 && time.MS <= maxTime.Milliseconds() {
				t.Times[time.MS] += time.Count
			}
		}
	}
}

// Sum adds up the tallies of one route, or of all routes, of the target or of the others.
func (c *Counter) Sum(matches func(ItemKey) bool) *Tally {
	sum := newTally()
	for k, t := range c.Tallies {
		if matches(k) {
			sum.Sent, sum.Answers, sum.Failures = sum.Sent+t.Sent, sum.Answers+t.Answers, sum.Failures+t.Failures
			for ms, count := range t.Times {
				sum.Times[ms] += count
			}
		}
	}
	return sum
}

// Routes returns the sorted names of the routes that have tallies.
func (c *Counter) Routes() []string {
	routes := map[string]bool{}
	for k := range c.Tallies {
		routes[k.Route] = true
	}
	return slices.Sorted(maps.Keys(routes))
}

func ofTarget(k ItemKey) bool { return k.Upstream != "" }
func ofOthers(k ItemKey) bool { return k.Upstream == "" }

// timed returns the number of responses that have a time, and slow that of those that took
// longer than a number of milliseconds.
func (t *Tally) timed(ms int64) (timed, slow int64) {
	for took, count := range t.Times {
		timed += count
		if took > ms {
			slow += count
		}
	}
	return timed, slow
}

// mean returns the mean response time in milliseconds, and zero without responses.
func (t *Tally) mean() float64 {
	sum, timed := 0.0, int64(0)
	for took, count := range t.Times {
		sum, timed = sum+float64(took*count), timed+count
	}
	return sum / float64(max(1, timed))
}

// median returns the median response time in milliseconds.
func (t *Tally) median() int64 {
	times := newHistogram()
	for took, count := range t.Times {
		// The times are within the range.
		_ = times.RecordValues(took, count)
	}
	return times.ValueAtQuantile(50)
}
