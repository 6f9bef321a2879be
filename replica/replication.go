package replica

import (
	"slices"
	"time"
)

// snapshotPause is the least time between two snapshots to the same peer.
const snapshotPause = time.Second

func (r *Replica) propose(p Propose) {
	if r.Role != RoleLeader || r.handingOver {
		r.emit(Refused{Token: p.Token, Leader: r.Leader, Reason: "not the leader"})
		return
	}
	r.appendOwn(Entry{Data: p.Data})
	r.emit(Appended{Token: p.Token, Index: r.log.lastIndex(), Term: r.Term})
}

// appendOwn appends an entry of the leader's own term. The next Tick sends it,
// together with all others that came in the meantime.
func (r *Replica) appendOwn(e Entry) {
	e.Index = r.log.lastIndex() + 1
	e.Term = r.Term
	r.log.append([]Entry{e})
	r.emit(SaveEntries{Entries: []Entry{e}})
	if e.Members != nil {
		r.Members = *e.Members
	}
	r.unsent = true
	r.advanceCommit()
}

func (r *Replica) peers() []string {
	all := append(slices.Clone(r.Members.Voters), r.Members.Learners...)
	return slices.DeleteFunc(all, func(id string) bool { return id == r.Config.ID })
}

func (r *Replica) broadcast(now time.Time) {
	r.heartbeatAt = now.Add(r.Config.HeartbeatEvery)
	r.unsent = false
	for _, id := range r.peers() {
		r.replicate(now, id)
	}
}

// replicate sends a peer the entries that it lacks. It assumes that they
// arrive; a refusal moves next back.
func (r *Replica) replicate(now time.Time, id string) {
	p := r.progress[id]
	if p == nil {
		p = &progress{next: r.log.lastIndex() + 1}
		r.progress[id] = p
	}
	sent := now.Sub(r.origin).Nanoseconds()
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok {
		r.sendSnapshot(now, id, p, sent)
		return
	}
	entries := r.log.from(p.next, r.Config.MaxAppendEntries)
	r.send(id, AppendRequest{
		Term: r.Term, PrevIndex: p.next - 1, PrevTerm: prevTerm,
		Entries: entries, Commit: r.Commit, SentNS: sent,
	})
	p.next += uint64(len(entries))
}

func (r *Replica) sendSnapshot(now time.Time, id string, p *progress, sent int64) {
	if now.Sub(p.snapshotSent) < snapshotPause {
		return
	}
	p.snapshotSent = now
	r.send(id, SnapshotRequest{Term: r.Term, Snapshot: r.log.snapshot, SentNS: sent})
}

func (r *Replica) heardLeader(now time.Time, from string) {
	r.leaderHeard = now
	r.follow(now, r.Term, from)
}

func (r *Replica) appendRequest(now time.Time, from string, m AppendRequest) {
	if m.Term < r.Term {
		// The reply carries no SentNS: it must not extend a lease of this term.
		r.send(from, AppendReply{Term: r.Term})
		return
	}
	r.heardLeader(now, from)
	reply := AppendReply{Term: r.Term, SentNS: m.SentNS}
	t, known := r.log.term(m.PrevIndex)
	switch {
	case m.PrevIndex < r.log.snapshot.Index:
		// Everything up to the snapshot is committed, hence equal.
		reply.Match = r.log.snapshot.Index
	case !known || t != m.PrevTerm:
		reply.Match = min(r.log.lastIndex(), m.PrevIndex-1)
	default:
		r.merge(m.Entries)
		reply.Success = true
		reply.Match = m.PrevIndex + uint64(len(m.Entries))
		r.Commit = max(r.Commit, min(m.Commit, reply.Match))
	}
	r.send(from, reply)
}

// merge adds the entries that the log lacks. Entries that conflict are
// dropped; entries that agree stay, since an older message may arrive late.
func (r *Replica) merge(entries []Entry) {
	for i, e := range entries {
		if t, known := r.log.term(e.Index); known && t == e.Term {
			continue
		}
		rest := entries[i:]
		r.log.append(rest)
		r.emit(SaveEntries{Entries: rest})
		r.Members = r.log.members()
		return
	}
}

func (r *Replica) snapshotRequest(now time.Time, from string, m SnapshotRequest) {
	if m.Term < r.Term {
		// The reply carries no SentNS: it must not extend a lease of this term.
		r.send(from, AppendReply{Term: r.Term})
		return
	}
	r.heardLeader(now, from)
	if m.Snapshot.Index > r.Commit {
		r.log = log{snapshot: m.Snapshot}
		r.Members = m.Snapshot.Members
		r.Commit = m.Snapshot.Index
		r.applied = m.Snapshot.Index
		r.emit(SaveSnapshot{Snapshot: m.Snapshot, Reset: true})
		r.emit(Restore{Snapshot: m.Snapshot})
	}
	r.send(from, AppendReply{Term: r.Term, Success: true, Match: m.Snapshot.Index, SentNS: m.SentNS})
}

func (r *Replica) appendReply(now time.Time, from string, m AppendReply) {
	p := r.progress[from]
	if r.Role != RoleLeader || m.Term != r.Term || p == nil {
		return
	}
	sent := r.origin.Add(time.Duration(m.SentNS))
	if !sent.Before(r.leadingSince) && sent.After(p.ackedSend) {
		p.ackedSend = sent
	}
	if !m.Success {
		p.next = max(p.match, min(m.Match, r.log.lastIndex())) + 1
		r.replicate(now, from)
		return
	}
	p.match = max(p.match, m.Match)
	p.next = max(p.next, p.match+1)
	r.advanceCommit()
	if p.next <= r.log.lastIndex() {
		r.replicate(now, from)
	}
}

// advanceCommit commits what a quorum has, if the newest of it is of the
// leader's own term. A leader that is no longer a voter steps down then.
func (r *Replica) advanceCommit() {
	matches := make([]uint64, 0, len(r.Members.Voters))
	for _, id := range r.Members.Voters {
		matches = append(matches, r.matchOf(id))
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.quorum()]
	if t, ok := r.log.term(index); !ok || t != r.Term || index <= r.Commit {
		return
	}
	r.Commit = index
	if _, at := r.log.membersAt(r.log.lastIndex()); at <= r.Commit && !r.isVoter(r.Config.ID) {
		r.Leader = ""
		r.setRole(RoleFollower)
	}
}

func (r *Replica) matchOf(id string) uint64 {
	if id == r.Config.ID {
		return r.log.lastIndex()
	}
	if p := r.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// quorumAcked is the newest time such that a quorum, this replica included,
// answered a message that was sent then or later.
func (r *Replica) quorumAcked(now time.Time) time.Time {
	times := make([]time.Time, 0, len(r.Members.Voters))
	for _, id := range r.Members.Voters {
		switch p := r.progress[id]; {
		case id == r.Config.ID:
			times = append(times, now)
		case p != nil:
			times = append(times, p.ackedSend)
		default:
			times = append(times, time.Time{})
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-r.quorum()]
}

// compact drops the log up to an index that was applied.
func (r *Replica) compact(c Compact) {
	t, ok := r.log.term(c.Index)
	if !ok || c.Index <= r.log.snapshot.Index || c.Index > r.applied {
		return
	}
	m, _ := r.log.membersAt(c.Index)
	s := Snapshot{Index: c.Index, Term: t, Members: m, Data: c.Data}
	r.log.compact(s)
	r.emit(SaveSnapshot{Snapshot: s})
}

func (r *Replica) changeMembers(c ChangeMembers) {
	_, at := r.log.membersAt(r.log.lastIndex())
	term, _ := r.log.term(r.Commit)
	switch {
	case r.Role != RoleLeader || r.handingOver:
		r.emit(Refused{Token: c.Token, Leader: r.Leader, Reason: "not the leader"})
	case at > r.Commit || term != r.Term:
		r.emit(Refused{Token: c.Token, Leader: r.Leader, Reason: "another change is not committed yet"})
	case !oneVoterApart(r.Members.Voters, c.Members.Voters) || len(c.Members.Voters) == 0:
		r.emit(Refused{Token: c.Token, Leader: r.Leader, Reason: "voters may change one at a time"})
	default:
		r.appendOwn(Entry{Members: &c.Members})
		r.emit(Appended{Token: c.Token, Index: r.log.lastIndex(), Term: r.Term})
	}
}

func oneVoterApart(a, b []string) bool {
	return missing(a, b)+missing(b, a) <= 1
}

func missing(from, in []string) int {
	n := 0
	for _, id := range from {
		if !slices.Contains(in, id) {
			n++
		}
	}
	return n
}
