package replica

// log is the part of the replicated log that follows the snapshot.
type log struct {
	snapshot Snapshot
	entries  []Entry
}

func (l *log) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term gives the term of the entry at an index that the log still knows.
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

// from gives up to limit entries from an index on.
func (l *log) from(index uint64, limit int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.snapshot.Index-1:]
	if len(rest) > limit {
		rest = rest[:limit]
	}
	return append([]Entry(nil), rest...)
}

// append adds entries, dropping what stands from the first index on.
func (l *log) append(entries []Entry) {
	keep := entries[0].Index - l.snapshot.Index - 1
	if keep < uint64(len(l.entries)) {
		// What is dropped may still be read elsewhere, so it is not overwritten.
		l.entries = l.entries[:keep:keep]
	}
	l.entries = append(l.entries, entries...)
}

// compact replaces the entries up to the snapshot's index.
func (l *log) compact(s Snapshot) {
	l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	l.snapshot = s
}

// members gives the newest membership in the log.
func (l *log) members() Members {
	m, _ := l.membersAt(l.lastIndex())
	return m
}

// membersAt gives the membership at an index, and the index that set it.
func (l *log) membersAt(index uint64) (Members, uint64) {
	for i := index; i > l.snapshot.Index; i-- {
		if e, ok := l.entry(i); ok && e.Members != nil {
			return *e.Members, i
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}
