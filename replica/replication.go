package replica

import (
	"slices"
	"time"
)

// maxAppendBytes limits the data in one message, except for its last entry.
const maxAppendBytes = 1 << 20

func (r *Replica) propose(p Propose) {
	if r.Role != RoleLeader || r.transferring {
		r.emit(ProposalRefused{Token: p.Token, Leader: r.Leader, Reason: "not the leader"})
		return
	}
	r.appendAsLeader(Entry{Data: p.Data})
	r.emit(Appended{Token: p.Token, Index: r.log.lastIndex(), Term: r.Term})
}

// appendAsLeader appends an entry of the leader's own term. The next Tick sends
// it, together with all other entries that were appended in the meantime.
func (r *Replica) appendAsLeader(e Entry) {
	e.Index = r.log.lastIndex() + 1
	e.Term = r.Term
	r.log.append([]Entry{e})
	r.emit(SaveEntries{Entries: []Entry{e}})
	if e.Members != nil {
		r.Members = *e.Members
	}
	r.hasUnsentEntries = true
	r.advanceCommit()
}

// peers returns the other replicas. No replica answers for a placeholder.
func (r *Replica) peers() []string {
	all := append(slices.Clone(r.Members.Voters), r.Members.Learners...)
	return slices.DeleteFunc(all, func(id string) bool { return id == r.Config.ID || IsPlaceholder(id) })
}

func (r *Replica) broadcast(now time.Time) {
	r.heartbeatAt = now.Add(r.Config.HeartbeatInterval)
	r.hasUnsentEntries = false
	for _, id := range r.peers() {
		r.replicate(now, id)
	}
}

// replicate sends a peer the entries that it lacks, or a snapshot if they are no
// longer in the log. It assumes that the entries arrive and advances nextIndex; a
// failed AppendReply moves nextIndex back. While a snapshot or a large append is pending,
// it sends a heartbeat.
func (r *Replica) replicate(now time.Time, id string) {
	peer := r.progress[id]
	if peer == nil {
		peer = &progress{nextIndex: r.log.lastIndex() + 1, addedAt: now}
		r.progress[id] = peer
	}
	repeatDelay := time.Duration(0)
	if pending := peer.pending; pending != nil {
		if now.Before(pending.repeatAt) {
			r.sendHeartbeat(now, id, pending.prevIndex)
			return
		}
		repeatDelay = 2 * pending.repeatDelay
		peer.giveUpPending()
	}
	data := pendingData{sentNS: r.sendTime(now), prevIndex: peer.nextIndex - 1}
	prevTerm, ok := r.log.term(data.prevIndex)
	if !ok {
		snapshot := r.log.snapshot
		data.lastIndex = snapshot.Index
		peer.setPending(now, data, max(repeatDelay, repeatDelayOf(len(snapshot.Data))))
		r.emit(Send{To: id, Message: SnapshotRequest{Term: r.Term, Snapshot: snapshot, SentNS: data.sentNS}, Large: r.isLarge(len(snapshot.Data))})
		return
	}
	entries := r.log.entriesFrom(peer.nextIndex, r.Config.MaxAppendEntries)
	peer.nextIndex += uint64(len(entries))
	bytes := dataBytes(entries)
	if r.isLarge(bytes) {
		data.lastIndex = peer.nextIndex - 1
		peer.setPending(now, data, max(repeatDelay, repeatDelayOf(bytes)))
	}
	r.emit(Send{To: id, Message: AppendRequest{
		Term: r.Term, PrevIndex: data.prevIndex, PrevTerm: prevTerm,
		Entries: entries, CommitIndex: r.CommitIndex, SentNS: data.sentNS,
	}, Large: r.isLarge(bytes)})
}

// sendTime returns the SentNS of a message that is sent now.
func (r *Replica) sendTime(now time.Time) int64 { return now.Sub(r.createdAt).Nanoseconds() }

func (r *Replica) isLarge(bytes int) bool {
	return r.Config.LargeBytes > 0 && bytes > r.Config.LargeBytes
}

func dataBytes(entries []Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.Data)
	}
	return sum
}

func (r *Replica) recordLeaderContact(now time.Time, from string) {
	r.lastLeaderContact = now
	r.becomeFollower(now, r.Term, from)
}

func (r *Replica) appendRequest(now time.Time, from string, request AppendRequest) {
	if request.Term < r.Term {
		// The reply carries no SentNS, so that it cannot extend a leader lease of
		// this term.
		r.send(from, AppendReply{Term: r.Term})
		return
	}
	r.recordLeaderContact(now, from)
	reply := AppendReply{Term: r.Term, SentNS: request.SentNS}
	prevTerm, known := r.log.term(request.PrevIndex)
	switch {
	case request.PrevIndex < r.log.snapshot.Index:
		// Everything up to the snapshot is committed, so it matches the
		// leader's log.
		reply.MatchIndex = r.log.snapshot.Index
	case !known || prevTerm != request.PrevTerm:
		reply.MatchIndex = min(r.log.lastIndex(), request.PrevIndex-1)
	default:
		r.mergeEntries(request.Entries)
		reply.Success = true
		reply.MatchIndex = request.PrevIndex + uint64(len(request.Entries))
		r.CommitIndex = max(r.CommitIndex, min(request.CommitIndex, reply.MatchIndex))
	}
	r.send(from, reply)
}

// mergeEntries adds the entries that the log lacks. The first entry that conflicts
// and all after it are replaced. Entries that match are kept, even those after the
// last one of the message: the message may be an old one that arrives late.
func (r *Replica) mergeEntries(entries []Entry) {
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

func (r *Replica) snapshotRequest(now time.Time, from string, request SnapshotRequest) {
	if request.Term < r.Term {
		// The reply carries no SentNS, so that it cannot extend a leader lease of
		// this term.
		r.send(from, AppendReply{Term: r.Term})
		return
	}
	r.recordLeaderContact(now, from)
	if request.Snapshot.Index > r.CommitIndex {
		r.installSnapshot(request.Snapshot)
	}
	r.send(from, AppendReply{Term: r.Term, Success: true, MatchIndex: request.Snapshot.Index, SentNS: request.SentNS})
}

// installSnapshot takes over a leader's snapshot that is newer than what this replica knows
// to be committed.
//
// If the log has the snapshot's last entry, it matches the leader's up to there, and the
// snapshot only says that these entries are committed. The later entries stay: the snapshot
// may have been sent before they were acknowledged, and the leader counts them as being on
// this replica.
func (r *Replica) installSnapshot(s Snapshot) {
	r.CommitIndex = s.Index
	if term, known := r.log.term(s.Index); known && term == s.Term {
		return
	}
	r.log = log{snapshot: s}
	r.Members = s.Members
	r.appliedIndex = s.Index
	r.emit(SaveSnapshot{Snapshot: s, DropLaterEntries: true})
	r.emit(Restore{Snapshot: s})
}

func (r *Replica) appendReply(now time.Time, from string, reply AppendReply) {
	peer := r.progress[from]
	if r.Role != RoleLeader || reply.Term != r.Term || peer == nil {
		return
	}
	sent := r.createdAt.Add(time.Duration(reply.SentNS))
	if !sent.Before(r.leaderSince) && sent.After(peer.ackedSendTime) {
		peer.ackedSendTime = sent
	}
	silent := now.Sub(peer.repliedAt) > 2*r.Config.ElectionTimeout
	peer.repliedAt = now
	peer.settlePending(reply, silent)
	if !reply.Success {
		if peer.pending != nil {
			return
		}
		peer.nextIndex = max(peer.matchIndex, min(reply.MatchIndex, r.log.lastIndex())) + 1
		r.replicate(now, from)
		return
	}
	peer.matchIndex = max(peer.matchIndex, reply.MatchIndex)
	peer.nextIndex = max(peer.nextIndex, peer.matchIndex+1)
	r.advanceCommit()
	if peer.pending == nil && peer.nextIndex <= r.log.lastIndex() {
		r.replicate(now, from)
	}
}

// advanceCommit advances the commit index to the highest index that is on a
// quorum, provided that the entry there is of the leader's own term. A leader that
// is no longer a voter steps down once the membership change is committed.
func (r *Replica) advanceCommit() {
	matches := make([]uint64, 0, len(r.Members.Voters))
	for _, id := range r.Members.Voters {
		matches = append(matches, r.matchIndexOf(id))
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.quorum()]
	if t, ok := r.log.term(index); !ok || t != r.Term || index <= r.CommitIndex {
		return
	}
	r.CommitIndex = index
	if _, changedAt := r.log.membersAt(r.log.lastIndex()); changedAt <= r.CommitIndex && !r.isVoter(r.Config.ID) {
		r.Leader = ""
		r.setRole(RoleFollower)
	}
}

func (r *Replica) matchIndexOf(id string) uint64 {
	if id == r.Config.ID {
		return r.log.lastIndex()
	}
	if p := r.progress[id]; p != nil {
		return p.matchIndex
	}
	return 0
}

// quorumAckedAt returns the latest time such that a quorum, this replica included,
// has answered a message that was sent at that time or later.
func (r *Replica) quorumAckedAt(now time.Time) time.Time {
	times := make([]time.Time, 0, len(r.Members.Voters))
	for _, id := range r.Members.Voters {
		switch p := r.progress[id]; {
		case id == r.Config.ID:
			times = append(times, now)
		case p != nil:
			times = append(times, p.ackedSendTime)
		default:
			times = append(times, time.Time{})
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[len(times)-r.quorum()]
}

// compact replaces the log up to an applied index with a snapshot.
func (r *Replica) compact(c Compact) {
	t, ok := r.log.term(c.Index)
	if !ok || c.Index <= r.log.snapshot.Index || c.Index > r.appliedIndex {
		return
	}
	m, _ := r.log.membersAt(c.Index)
	s := Snapshot{Index: c.Index, Term: t, Members: m, Data: c.Data}
	r.log.compact(s)
	r.emit(SaveSnapshot{Snapshot: s})
}

func (r *Replica) changeMembers(change ChangeMembers) {
	switch {
	case r.Role != RoleLeader || r.transferring:
		r.emit(ProposalRefused{Token: change.Token, Leader: r.Leader, Reason: "not the leader"})
	case r.ChangingMembers():
		r.emit(ProposalRefused{Token: change.Token, Leader: r.Leader, Reason: "the previous membership change, or the first entry of this term, is not committed yet"})
	case !atMostOneVoterDiffers(r.Members.Voters, change.Members.Voters) || len(change.Members.Voters) == 0:
		r.emit(ProposalRefused{Token: change.Token, Leader: r.Leader, Reason: "a change must keep at least one voter and may add or remove one voter at most"})
	default:
		r.appendAsLeader(Entry{Members: &change.Members})
		r.emit(Appended{Token: change.Token, Index: r.log.lastIndex(), Term: r.Term})
	}
}

// atMostOneVoterDiffers reports whether two lists differ by one added or removed
// voter at most.
func atMostOneVoterDiffers(a, b []string) bool {
	return countMissing(a, b)+countMissing(b, a) <= 1
}

// countMissing returns how many of the IDs are not in the list in.
func countMissing(ids, in []string) int {
	count := 0
	for _, id := range ids {
		if !slices.Contains(in, id) {
			count++
		}
	}
	return count
}
