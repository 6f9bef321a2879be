package retry

import "time"

const (
	// partsPerWindow is the number of parts into which a window is divided. The
	// window slides by one part at a time.
	partsPerWindow = 20
	// budgetSafetyFactor keeps an entry's retries below its share of the limit.
	// The limit is checked on arrivals at the upstreams, which may bunch up on the
	// network.
	budgetSafetyFactor = 0.85
)

// Window is a retry budget for one service in one entry. Within any window of
// time, retries and hedges stay below Ratio times the first attempts, plus the
// entry's share of a slack that all entries have together.
type Window struct {
	Ratio  float64
	Length time.Duration
	// Slack is this entry's share of the slack, in attempts.
	Slack float64

	parts [partsPerWindow]windowPart
	// origin is the time from which the parts are counted. Counting from an origin
	// instead of from the Unix epoch makes the parts independent of changes of the
	// system clock. It lies one window before the first use, so that parts never
	// used count as too old.
	origin time.Time
}

type windowPart struct {
	number        int64
	firstAttempts int
	retries       int
}

// First counts the first attempt of a request.
func (w *Window) First(now time.Time) { w.part(now).firstAttempts++ }

// Spend counts one retry or hedge and returns true, or returns false if the
// budget is used up.
func (w *Window) Spend(now time.Time) bool {
	first, retries := w.totals(now)
	if float64(retries+1) > budgetSafetyFactor*(w.Ratio*float64(first)+w.Slack) {
		return false
	}
	w.part(now).retries++
	return true
}

func (w *Window) partNumber(now time.Time) int64 {
	if w.origin.IsZero() {
		w.origin = now.Add(-w.Length)
	}
	return int64(now.Sub(w.origin)) / max(1, int64(w.Length)/partsPerWindow)
}

func (w *Window) part(now time.Time) *windowPart {
	n := w.partNumber(now)
	p := &w.parts[n%partsPerWindow]
	if p.number != n {
		*p = windowPart{number: n}
	}
	return p
}

func (w *Window) totals(now time.Time) (first, retries int) {
	n := w.partNumber(now)
	for _, p := range w.parts {
		if n-p.number < partsPerWindow {
			first += p.firstAttempts
			retries += p.retries
		}
	}
	return first, retries
}
