// Package watcher decides when an instance answers the watches (long polls) of the entries
// that follow it, and numbers the entries of a system. The package is part of the core.
//
// Entries follow the leader, or a relay: another control instance, which follows the
// leader itself. A [Table] holds those that follow one instance, a [Roster] all of them.
//
// A watch without a change is answered after a timeout, so that each side learns that the
// other is alive. After a change all watches are due at the same time, and the entries
// send the next ones at the same time. A leader that answered hundreds of them in one go
// would not get to its heartbeats meanwhile, and would be voted out. Answers are therefore
// given in batches, with a pause after each in which the leader handles its messages.
//
// Neither a message nor an answer costs more with more entries, except where an entry
// comes or goes.
//
// # Usage
//
//	t := watcher.New()
//	t.Put(now, "palermo-1", watcher.Current, timeout)
//	t.Outdate()
//	for _, name := range t.Take(now) { answer(name) }
package watcher

import (
	"maps"
	"slices"
	"time"
)

// The timing of the answers.
const (
	// Lifetime is how long an entry is counted after its last watch, or after the answer
	// to it.
	Lifetime = 2 * time.Second
	// BatchSize limits the answers of one batch, and BatchInterval is the shortest time
	// from one batch to the next. An instance whose core is busy takes longer to get to
	// the next batch, so that its heartbeats never wait for more than one.
	BatchSize     = 8
	BatchInterval = 2 * time.Millisecond
	// Changes are collected for notifyIntervalPerEntry for each entry, at least
	// minNotifyInterval and at most maxNotifyInterval, before entries are
	// notified again. All entries are notified in one round, so that they
	// lack the same changes, which are encoded once. The maximum is short
	// against the 2 s in which a change must be in force.
	minNotifyInterval      = 120 * time.Millisecond
	notifyIntervalPerEntry = 1500 * time.Microsecond
	maxNotifyInterval      = 700 * time.Millisecond
)

// Standing is what the view of an entry lacks when its watch arrives.
type Standing int

// The values of [Standing].
const (
	// Current means that the entry has the newest view.
	Current Standing = iota
	// Outdated means that the entry lacks a change.
	Outdated
	// Unusable means that the entry has no view of this leader.
	Unusable
)

// entry is one entry, with its pending watch.
type entry struct {
	name string
	// lastSeen is the time of the last watch, or of the answer to it.
	lastSeen time.Time
	pending  bool
	// deadline is when a pending watch of a current entry is answered.
	deadline time.Time
	// serial distinguishes the watches of an entry: the queues may hold former ones.
	serial uint64
}

// queued is a watch in a queue.
type queued struct {
	entry  *entry
	serial uint64
}

// Table holds the entries that follow a leader. It is owned by one task.
type Table struct {
	entries map[string]*entry
	// due are the pending watches that are answered as soon as possible, outdated those
	// that are answered in the next round, and current those without a change, in the
	// order of their deadlines.
	due, outdated, current []queued
	// roundAt is the earliest time of the next round of notifications.
	roundAt    time.Time
	lastSerial uint64
	// nextBatchAt is the earliest time of the next batch.
	nextBatchAt time.Time
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]*entry{}} }

// Put records the watch of an entry. A watch without a change is answered after the
// timeout. Put reports whether it replaces an unanswered watch of the same entry.
func (t *Table) Put(now time.Time, name string, standing Standing, timeout time.Duration) (replaced bool) {
	e := t.entries[name]
	if e == nil {
		e = &entry{name: name}
		t.entries[name] = e
	}
	replaced = e.pending
	t.lastSerial++
	e.lastSeen, e.pending, e.deadline, e.serial = now, true, now.Add(timeout), t.lastSerial
	q := queued{entry: e, serial: e.serial}
	switch standing {
	case Unusable:
		t.due = append(t.due, q)
	case Outdated:
		t.outdated = append(t.outdated, q)
	case Current:
		t.current = slices.Insert(t.current, placeOf(t.current, e.deadline), q)
	}
	return replaced
}

// placeOf returns the index behind the watches whose deadlines are not later. Most new
// watches belong at the end.
func placeOf(queue []queued, deadline time.Time) int {
	index := len(queue)
	for index > 0 && queue[index-1].entry.deadline.After(deadline) {
		index--
	}
	return index
}

// Outdate records a change that all entries lack whose watches are pending.
func (t *Table) Outdate() {
	t.outdated = append(t.outdated, t.current...)
	t.current = nil
}

// Next returns when the next watch is to be answered, or the zero time if none is
// pending.
func (t *Table) Next() time.Time {
	t.due, t.outdated, t.current = withoutAnswered(t.due), withoutAnswered(t.outdated), withoutAnswered(t.current)
	switch {
	case len(t.due) > 0:
		return laterOf(t.due[0].entry.lastSeen, t.nextBatchAt)
	case len(t.outdated) > 0 && (len(t.current) == 0 || t.roundAt.Before(t.current[0].entry.deadline)):
		return laterOf(laterOf(t.outdated[0].entry.lastSeen, t.roundAt), t.nextBatchAt)
	case len(t.current) > 0:
		return laterOf(t.current[0].entry.deadline, t.nextBatchAt)
	}
	return time.Time{}
}

// Take returns the names of the entries whose watches are answered now, one batch of them
// at most. Their watches count as answered. Entries with an unusable view are answered
// immediately, those that lack a change in rounds.
func (t *Table) Take(now time.Time) (names []string) {
	if next := t.Next(); next.IsZero() || now.Before(next) {
		return nil
	}
	if len(t.outdated) > 0 && !now.Before(t.roundAt) {
		t.due, t.outdated = append(t.due, t.outdated...), nil
		t.roundAt = now.Add(min(max(time.Duration(t.Len())*notifyIntervalPerEntry, minNotifyInterval), maxNotifyInterval))
	}
	for len(t.current) > 0 && !now.Before(t.current[0].entry.deadline) {
		t.due, t.current = append(t.due, t.current[0]), withoutAnswered(t.current[1:])
	}
	for t.due = withoutAnswered(t.due); len(t.due) > 0 && len(names) < BatchSize; t.due = withoutAnswered(t.due) {
		e := t.due[0].entry
		e.pending, e.lastSeen = false, now
		names = append(names, e.name)
	}
	t.nextBatchAt = now.Add(BatchInterval)
	return names
}

// withoutAnswered returns a queue without the watches at its front that are answered or
// replaced.
func withoutAnswered(queue []queued) []queued {
	for len(queue) > 0 && (!queue[0].entry.pending || queue[0].entry.serial != queue[0].serial) {
		queue = queue[1:]
	}
	return queue
}

// Has reports whether an entry follows this instance.
func (t *Table) Has(name string) bool { return t.entries[name] != nil }

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Names returns the sorted names of the entries.
func (t *Table) Names() []string { return slices.Sorted(maps.Keys(t.entries)) }

// Remove removes an entry, which then follows another instance.
func (t *Table) Remove(name string) {
	if e := t.entries[name]; e != nil {
		e.pending = false
		delete(t.entries, name)
	}
}

// Prune removes the entries that have no pending watch and were last seen a lifetime ago.
func (t *Table) Prune(now time.Time) {
	maps.DeleteFunc(t.entries, func(_ string, e *entry) bool { return !e.pending && now.Sub(e.lastSeen) >= Lifetime })
}

// Clear removes all entries.
func (t *Table) Clear() { *t = *New() }

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
