package replica

import (
	"slices"
	"time"
)

func (r *Replica) tick(now time.Time) {
	if r.Role == RoleLeader {
		r.tickLeader(now)
		return
	}
	if !now.Before(r.electionAt) {
		r.campaign(now, true, false)
	}
}

func (r *Replica) tickLeader(now time.Time) {
	if now.Sub(r.quorumAcked(now)) > 2*r.Config.ElectionTimeout && now.Sub(r.leadingSince) > 2*r.Config.ElectionTimeout {
		r.follow(now, r.Term, "")
		return
	}
	if r.handingOver && !now.Before(r.electionAt) {
		// The request to take over may still be on its way, and the election
		// that it starts ignores leases, so this term gets no lease again.
		r.follow(now, r.Term, "")
		return
	}
	if r.unsent || !now.Before(r.heartbeatAt) {
		r.broadcast(now)
	}
}

func (r *Replica) resetElection(now time.Time) {
	extra := time.Duration(r.random.Int64N(int64(r.Config.ElectionTimeout)))
	r.electionAt = now.Add(r.Config.ElectionTimeout + extra)
}

func (r *Replica) isVoter(id string) bool { return slices.Contains(r.Members.Voters, id) }

func (r *Replica) quorum() int { return len(r.Members.Voters)/2 + 1 }

// campaign stands for election; pre only asks whether it would succeed, so a
// voter that was cut off can't raise the term when it returns.
func (r *Replica) campaign(now time.Time, pre, handedOver bool) {
	r.resetElection(now)
	if !r.isVoter(r.Config.ID) {
		return
	}
	r.Leader = ""
	r.preVote = pre
	term := r.Term + 1
	if !pre {
		r.Term = term
		r.Vote = r.Config.ID
		r.saveHardState()
	}
	r.setRole(RoleCandidate)
	r.votes = map[string]bool{r.Config.ID: true}
	request := VoteRequest{
		Term: term, Pre: pre, HandedOver: handedOver,
		LastIndex: r.log.lastIndex(), LastTerm: r.log.lastTerm(),
	}
	for _, id := range r.Members.Voters {
		if id != r.Config.ID {
			r.send(id, request)
		}
	}
	r.countVotes(now, handedOver)
}

func (r *Replica) countVotes(now time.Time, handedOver bool) {
	granted := 0
	for _, id := range r.Members.Voters {
		if r.votes[id] {
			granted++
		}
	}
	if granted < r.quorum() {
		return
	}
	if r.preVote {
		r.campaign(now, false, handedOver)
		return
	}
	r.lead(now)
}

func (r *Replica) setRole(role Role) {
	r.Role = role
	r.emit(RoleChanged{Role: role, Term: r.Term, Leader: r.Leader})
}

// follow becomes a follower in a term that is at least the present one.
func (r *Replica) follow(now time.Time, term uint64, leader string) {
	if term > r.Term {
		r.Term = term
		r.Vote = ""
		r.saveHardState()
	}
	changed := r.Role != RoleFollower || r.Leader != leader
	r.Leader = leader
	r.handingOver = false
	r.resetElection(now)
	if changed {
		r.setRole(RoleFollower)
	}
}

func (r *Replica) lead(now time.Time) {
	r.Leader = r.Config.ID
	r.leadingSince = now
	r.handingOver = false
	r.progress = map[string]*progress{}
	r.setRole(RoleLeader)
	r.appendOwn(Entry{})
	r.broadcast(now)
}

func (r *Replica) receive(now time.Time, from string, m Message) {
	if term := messageTerm(m); term > r.Term && !isPre(m) && !r.ignoresVote(now, m) {
		r.follow(now, term, "")
	}
	switch m := m.(type) {
	case VoteRequest:
		r.voteRequest(now, from, m)
	case VoteReply:
		r.voteReply(now, from, m)
	case AppendRequest:
		r.appendRequest(now, from, m)
	case AppendReply:
		r.appendReply(now, from, m)
	case SnapshotRequest:
		r.snapshotRequest(now, from, m)
	case ElectionRequest:
		if m.Term == r.Term {
			r.campaign(now, false, true)
		}
	}
}

// isPre reports whether a message's term is only proposed, not taken.
func isPre(m Message) bool {
	switch m := m.(type) {
	case VoteRequest:
		return m.Pre
	case VoteReply:
		return m.Pre && m.Granted
	case AppendRequest, AppendReply, SnapshotRequest, ElectionRequest:
		return false
	}
	return false
}

// ignoresVote reports whether a vote request comes while a leader may still
// hold its lease.
func (r *Replica) ignoresVote(now time.Time, m Message) bool {
	v, ok := m.(VoteRequest)
	if !ok || v.HandedOver {
		return false
	}
	return r.Role == RoleLeader || now.Sub(r.leaderHeard) < r.Config.ElectionTimeout
}

func (r *Replica) voteRequest(now time.Time, from string, m VoteRequest) {
	upToDate := m.LastTerm > r.log.lastTerm() ||
		(m.LastTerm == r.log.lastTerm() && m.LastIndex >= r.log.lastIndex())
	switch {
	case r.ignoresVote(now, m) || !upToDate || m.Term < r.Term:
		r.send(from, VoteReply{Term: r.Term, Pre: m.Pre})
	case m.Pre:
		r.send(from, VoteReply{Term: m.Term, Pre: true, Granted: m.Term > r.Term})
	case r.Vote == "" || r.Vote == from:
		r.Vote = from
		r.saveHardState()
		r.resetElection(now)
		r.send(from, VoteReply{Term: r.Term, Granted: true})
	default:
		r.send(from, VoteReply{Term: r.Term})
	}
}

func (r *Replica) voteReply(now time.Time, from string, m VoteReply) {
	wanted := r.Term
	if r.preVote {
		wanted = r.Term + 1
	}
	if r.Role != RoleCandidate || m.Pre != r.preVote || !m.Granted || m.Term != wanted {
		return
	}
	r.votes[from] = true
	r.countVotes(now, false)
}

// handOver asks the voter that is furthest ahead to take over. Until it does,
// or the attempt times out, this leader takes no proposals and has no lease.
func (r *Replica) handOver(now time.Time, to string) {
	if r.Role != RoleLeader {
		return
	}
	best := to
	for _, id := range r.Members.Voters {
		p := r.progress[id]
		if id == r.Config.ID || p == nil || to != "" {
			continue
		}
		if best == "" || p.match > r.progress[best].match {
			best = id
		}
	}
	if best == "" {
		return
	}
	r.handingOver = true
	r.resetElection(now)
	r.send(best, ElectionRequest{Term: r.Term})
}
