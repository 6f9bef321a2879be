package retry

import (
	"math"
	"time"
)

const (
	// partsPerWindow is the number of parts into which a window is divided. The
	// window slides by one part at a time.
	partsPerWindow = 20
	// budgetSafetyFactor keeps the retries of an entry below its share of the
	// limit. The limit is checked on arrivals at the upstreams, which may bunch up
	// on the network.
	budgetSafetyFactor = 0.92
	// peakDeviations is by how many deviations the highest number of requests within a
	// window's length lies above the mean, on average.
	peakDeviations = 0.56
)

// Window is a retry budget for one service in one entry. Within any period of
// Length, retries and hedges stay within budgetSafetyFactor times the limit,
// which is Ratio times the requests, plus SlackShare.
//
// With hundreds of entries, the limit of one is a few retries, and its fraction
// matters: rounded down, the entries together would leave a sixth of the limit
// unused while upstreams shed. The fraction is therefore rounded by a number of
// the entry's own, so that the sum over all entries follows the sum of the limits.
type Window struct {
	Ratio  float64
	Length time.Duration
	// Draw is a number from 0 up to 1, evenly spread over the entries: the limit is rounded up when its
	// fraction is above it. With a number for each attempt, an entry that tries often
	// enough would always round up.
	Draw float64
	// SlackShare is this entry's share in the slack of all entries: the number of
	// retries and hedges that the limit allows besides the ratio.
	SlackShare float64

	// parts has one part more than the window, because retries count until the whole
	// of their part is out of the window.
	parts [partsPerWindow + 1]windowPart
	// origin is the time from which the parts are numbered. With the Unix epoch as
	// origin, changes of the system clock would shift the parts. It lies two
	// windows before the first use, so that parts never used count as too old.
	origin time.Time
}

type windowPart struct {
	number   int64
	requests int
	retries  int
}

// CountRequest counts a request. It is called once for each on arrival, even if the
// request then gets no attempt.
func (w *Window) CountRequest(now time.Time) { w.part(now).requests++ }

// Spend counts one retry or hedge and returns true, or returns false if the given
// share of the budget, from 0 to 1, is used up.
func (w *Window) Spend(now time.Time, share float64) bool {
	requests, _ := w.totals(now)
	return w.spendWithin(now, share*budgetSafetyFactor*(w.Ratio*withoutPeak(requests)+w.SlackShare))
}

// spendWithin counts one retry or hedge and returns true if the limit allows it.
func (w *Window) spendWithin(now time.Time, limit float64) bool {
	if _, retries := w.totals(now); float64(retries)+w.Draw >= limit {
		return false
	}
	w.part(now).retries++
	return true
}

// withoutPeak returns a number of requests without what an ordinary peak adds to it. A retry
// that a peak has allowed counts for longer than the requests of the peak, and the peaks of
// hundreds of entries do not coincide. Requests that arrive independently of each other
// vary by the root of their number.
func withoutPeak(requests int) float64 {
	return max(0, float64(requests)-peakDeviations*math.Sqrt(float64(requests)))
}

func (w *Window) partNumber(now time.Time) int64 {
	if w.origin.IsZero() {
		w.origin = now.Add(-2 * w.Length)
	}
	return int64(now.Sub(w.origin)) / max(1, int64(w.Length)/partsPerWindow)
}

func (w *Window) part(now time.Time) *windowPart {
	n := w.partNumber(now)
	p := &w.parts[n%int64(len(w.parts))]
	if p.number != n {
		*p = windowPart{number: n}
	}
	return p
}

func (w *Window) totals(now time.Time) (requests, retries int) {
	n := w.partNumber(now)
	for _, p := range w.parts {
		if n-p.number < partsPerWindow {
			requests += p.requests
		}
		if n-p.number <= partsPerWindow {
			retries += p.retries
		}
	}
	return requests, retries
}
