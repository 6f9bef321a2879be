package watcher

import (
	"slices"
	"time"
)

// RelayedLifetime is how long an entry is counted after a relay has reported it. It is
// longer than [Lifetime] by the time for which a relay that has lost the leader goes on
// answering, so that an entry's position is not given away while the entry relies on it.
const RelayedLifetime = Lifetime + RelayLifetime

// RelayLifetime is how long a relay answers watches after the leader's last answer to it.
const RelayLifetime = 1800 * time.Millisecond

// Roster numbers all entries of a system, whether they follow the leader directly or
// through a relay. It is owned by one task.
type Roster struct {
	// until holds, by name, how long an entry is counted.
	until map[string]time.Time
	// names holds the same names, sorted.
	names []string
}

// NewRoster returns an empty roster.
func NewRoster() *Roster { return &Roster{until: map[string]time.Time{}} }

// See counts an entry for a lifetime from now on.
func (r *Roster) See(now time.Time, name string, lifetime time.Duration) {
	until, known := r.until[name]
	if !known {
		index, _ := slices.BinarySearch(r.names, name)
		r.names = slices.Insert(r.names, index, name)
	}
	r.until[name] = laterOf(until, now.Add(lifetime))
}

// Position returns the index of an entry in the order of the names, or -1 if it is not
// known, and the number of entries.
func (r *Roster) Position(name string) (index, count int) {
	index, known := slices.BinarySearch(r.names, name)
	if !known {
		index = -1
	}
	return index, len(r.names)
}

// Prune removes the entries whose time has passed.
func (r *Roster) Prune(now time.Time) {
	r.names = slices.DeleteFunc(r.names, func(name string) bool {
		if now.Before(r.until[name]) {
			return false
		}
		delete(r.until, name)
		return true
	})
}
