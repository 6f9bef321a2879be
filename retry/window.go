package retry

import "time"

const (
	// windowParts is how many parts a window is cut into.
	windowParts = 20
	// windowMargin keeps an entry's share below its bound, since the bound
	// counts arrivals, which may bunch on their way.
	windowMargin = 0.85
)

// Window is a budget of repeats for one service at one entry: in any window,
// repeats stay below a ratio of the first attempts plus the entry's share of a
// slack that all entries have together.
type Window struct {
	Ratio  float64
	Length time.Duration
	// Slack is this entry's share.
	Slack float64

	parts [windowParts]windowPart
	// origin makes the parts independent of steps of the time of day.
	origin time.Time
}

type windowPart struct {
	number  int64
	first   int
	repeats int
}

// First counts the first attempt of a request.
func (w *Window) First(now time.Time) { w.part(now).first++ }

// Spend takes one repeat out of the budget if there is one.
func (w *Window) Spend(now time.Time) bool {
	first, repeats := w.sums(now)
	if float64(repeats+1) > windowMargin*(w.Ratio*float64(first)+w.Slack) {
		return false
	}
	w.part(now).repeats++
	return true
}

func (w *Window) number(now time.Time) int64 {
	if w.origin.IsZero() {
		w.origin = now.Add(-w.Length)
	}
	return int64(now.Sub(w.origin)) / max(1, int64(w.Length)/windowParts)
}

func (w *Window) part(now time.Time) *windowPart {
	n := w.number(now)
	p := &w.parts[n%windowParts]
	if p.number != n {
		*p = windowPart{number: n}
	}
	return p
}

func (w *Window) sums(now time.Time) (first, repeats int) {
	n := w.number(now)
	for _, p := range w.parts {
		if n-p.number < windowParts {
			first += p.first
			repeats += p.repeats
		}
	}
	return first, repeats
}
