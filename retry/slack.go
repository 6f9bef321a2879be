package retry

import (
	"slices"
	"time"
)

// minAssumedEntries is the lowest number of entries that a share assumes: a
// leader that has just been elected does not know all entries yet.
const minAssumedEntries = 8

// Slack computes one entry's share of a slack that is split evenly over all entries. Load
// pattern: a part of the fleet joins, or restarts and forgets what it has spent, while
// upstreams refuse. What the others have spent, by the number of entries that they knew,
// counts until it is out of the window. An entry that joins therefore has no share for the
// length of a window, and the share follows the largest number of entries within it.
type Slack struct {
	// Total is the slack of all entries, and Length that of the window.
	Total  float64
	Length time.Duration

	// knownSince is when this entry first learned of the number of entries.
	knownSince time.Time
	counts     []entryCount
}

// entryCount is a number of entries, as reported from a time on.
type entryCount struct {
	at    time.Time
	count int
}

// Report records the number of entries.
func (s *Slack) Report(now time.Time, count int) {
	if s.knownSince.IsZero() {
		s.knownSince = now
	}
	if len(s.counts) == 0 || s.counts[len(s.counts)-1].count != count {
		s.counts = append(s.counts, entryCount{at: now, count: count})
	}
	// The last count before the window holds at its beginning.
	first := 0
	for first+1 < len(s.counts) && now.Sub(s.counts[first+1].at) >= s.Length {
		first++
	}
	s.counts = slices.Delete(s.counts, 0, first)
}

// Share returns this entry's share.
func (s *Slack) Share(now time.Time) float64 {
	if s.knownSince.IsZero() || now.Sub(s.knownSince) < s.Length {
		return 0
	}
	return s.Total / float64(s.Entries())
}

// Entries returns the largest number of entries that was reported within the last window,
// and zero before the first report.
func (s *Slack) Entries() int {
	if s.knownSince.IsZero() {
		return 0
	}
	largest := minAssumedEntries
	for _, c := range s.counts {
		largest = max(largest, c.count)
	}
	return largest
}
