package replica

// log holds the latest snapshot and the entries after it. Entries are numbered
// without gaps from snapshot.Index+1.
type log struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *log) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at an index. It returns false for an index
// that is before the snapshot or after the last entry.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.snapshot.Index {
		return l.snapshot.Term, true
	}
	e, ok := l.entry(index)
	return e.Term, ok
}

func (l *log) entry(index uint64) (Entry, bool) {
	if index <= l.snapshot.Index || index > l.lastIndex() {
		return Entry{}, false
	}
	return l.entries[index-l.snapshot.Index-1], true
}

// entriesFrom returns a copy of up to limit entries, starting at index. It stops after the
// entry with which their data reaches maxAppendBytes.
func (l *log) entriesFrom(index uint64, limit int) []Entry {
	var entries []Entry
	bytes := 0
	for ; index <= l.lastIndex() && len(entries) < limit && bytes < maxAppendBytes; index++ {
		e, _ := l.entry(index)
		entries = append(entries, e)
		bytes += len(e.Data)
	}
	return entries
}

// append adds entries. Existing entries from the first new index on are dropped.
func (l *log) append(entries []Entry) {
	keep := entries[0].Index - l.snapshot.Index - 1
	if keep < uint64(len(l.entries)) {
		// The dropped entries may still be read elsewhere. Limiting the slice's
		// capacity makes the append below copy instead of overwriting them.
		l.entries = l.entries[:keep:keep]
	}
	l.entries = append(l.entries, entries...)
}

// compact stores a snapshot and drops the entries up to its index.
func (l *log) compact(s Snapshot) {
	l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	l.snapshot = s
}

// members returns the newest membership in the log, committed or not.
func (l *log) members() Members {
	m, _ := l.membersAt(l.lastIndex())
	return m
}

// membersAt returns the membership in effect at an index, and the index of the
// entry or snapshot that set it.
func (l *log) membersAt(index uint64) (Members, uint64) {
	for i := index; i > l.snapshot.Index; i-- {
		if e, ok := l.entry(i); ok && e.Members != nil {
			return *e.Members, i
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}
