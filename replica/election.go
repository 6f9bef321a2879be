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
	switch {
	case !now.Before(r.electionAt):
		r.campaign(now, true, false)
	case r.Role == RoleCandidate && !now.Before(r.voteRetryAt):
		r.requestVotes(now)
	}
}

// tickLeader sends what is due. A leader that a quorum has not answered for two
// election timeouts steps down.
func (r *Replica) tickLeader(now time.Time) {
	if now.Sub(r.quorumAckedAt(now)) > 2*r.Config.ElectionTimeout && now.Sub(r.leaderSince) > 2*r.Config.ElectionTimeout {
		r.becomeFollower(now, r.Term, "")
		return
	}
	if r.transferring && !now.Before(r.electionAt) {
		// The transfer has timed out. The ElectionRequest may still be under way,
		// and the election that it starts ignores the leader lease. This replica
		// must not get a lease again in this term, so it steps down.
		r.becomeFollower(now, r.Term, "")
		return
	}
	if r.hasUnsentEntries || !now.Before(r.heartbeatAt) {
		r.broadcast(now)
	}
}

func (r *Replica) resetElectionTimeout(now time.Time) {
	extra := time.Duration(r.random.Int64N(int64(r.Config.ElectionTimeout)))
	r.electionAt = now.Add(r.Config.ElectionTimeout + extra)
}

func (r *Replica) isVoter(id string) bool { return slices.Contains(r.Members.Voters, id) }

func (r *Replica) quorum() int { return len(r.Members.Voters)/2 + 1 }

// campaign starts an election. With preVote it only asks whether an election would
// succeed, so that a voter that was cut off cannot raise the term of the others
// when it reconnects. With transfer, the leader itself requested the election, and
// the voters grant their votes regardless of its lease.
func (r *Replica) campaign(now time.Time, preVote, transfer bool) {
	r.resetElectionTimeout(now)
	if !r.isVoter(r.Config.ID) {
		// A learner does not start an election, and knows no leader either.
		if r.Leader != "" {
			r.Leader = ""
			r.setRole(RoleFollower)
		}
		return
	}
	r.Leader = ""
	r.inPreVote = preVote
	term := r.Term + 1
	if !preVote {
		r.Term = term
		r.Vote = r.Config.ID
		r.saveHardState()
	}
	r.setRole(RoleCandidate)
	r.votes = map[string]bool{r.Config.ID: true}
	r.voteRequest = VoteRequest{
		Term: term, Pre: preVote, LeadershipTransfer: transfer,
		LastIndex: r.log.lastIndex(), LastTerm: r.log.lastTerm(),
	}
	r.requestVotes(now)
	r.countVotes(now, transfer)
}

// voteRetriesPerElection is how often a candidate repeats its request to the voters that
// have not answered it, within an election timeout. After a loss of power, voters return one
// after the other, and one that returns is to answer at once and not at the next election.
const voteRetriesPerElection = 10

// requestVotes sends the vote request of the present election to the voters that have not
// answered it.
func (r *Replica) requestVotes(now time.Time) {
	r.voteRetryAt = now.Add(r.Config.ElectionTimeout / voteRetriesPerElection)
	for _, id := range r.Members.Voters {
		if _, answered := r.votes[id]; !answered && !IsPlaceholder(id) {
			r.send(id, r.voteRequest)
		}
	}
}

func (r *Replica) countVotes(now time.Time, transfer bool) {
	granted := 0
	for _, id := range r.Members.Voters {
		if r.votes[id] {
			granted++
		}
	}
	if granted < r.quorum() {
		return
	}
	if r.inPreVote {
		r.campaign(now, false, transfer)
		return
	}
	r.becomeLeader(now)
}

func (r *Replica) setRole(role Role) {
	r.Role = role
	r.emit(RoleChanged{Role: role, Term: r.Term, Leader: r.Leader})
}

// becomeFollower makes this replica a follower of a leader, or of none if leader is
// empty. The term must not be lower than the current one.
func (r *Replica) becomeFollower(now time.Time, term uint64, leader string) {
	if term > r.Term {
		r.Term = term
		r.Vote = ""
		r.saveHardState()
	}
	changed := r.Role != RoleFollower || r.Leader != leader
	r.Leader = leader
	r.transferring = false
	r.resetElectionTimeout(now)
	if changed {
		r.setRole(RoleFollower)
	}
}

func (r *Replica) becomeLeader(now time.Time) {
	r.Leader = r.Config.ID
	r.leaderSince = now
	r.transferring = false
	r.progress = map[string]*progress{}
	r.setRole(RoleLeader)
	r.appendAsLeader(Entry{})
	r.broadcast(now)
}

func (r *Replica) receive(now time.Time, from string, message Message) {
	if term := messageTerm(message); term > r.Term && !isPreVote(message) && !r.leaseBlocksVote(now, message) {
		r.becomeFollower(now, term, "")
	}
	switch m := message.(type) {
	case VoteRequest:
		r.answerVoteRequest(now, from, m)
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

// isPreVote reports whether the term of a message is only a candidate's next term,
// which does not exist yet and must not raise the receiver's term.
func isPreVote(m Message) bool {
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

// leaseBlocksVote reports whether a message is a vote request that must be denied
// because a leader may still hold its lease.
func (r *Replica) leaseBlocksVote(now time.Time, message Message) bool {
	request, ok := message.(VoteRequest)
	if !ok || request.LeadershipTransfer {
		return false
	}
	return r.Role == RoleLeader || now.Sub(r.lastLeaderContact) < r.Config.ElectionTimeout
}

func (r *Replica) answerVoteRequest(now time.Time, from string, request VoteRequest) {
	upToDate := request.LastTerm > r.log.lastTerm() ||
		(request.LastTerm == r.log.lastTerm() && request.LastIndex >= r.log.lastIndex())
	switch {
	case r.leaseBlocksVote(now, request) || !upToDate || request.Term < r.Term:
		r.send(from, VoteReply{Term: r.Term, Pre: request.Pre})
		if request.Pre && !upToDate && r.isVoter(from) && r.Leader == "" && r.Role == RoleFollower && !r.leaseBlocksVote(now, request) {
			// The candidate can't be elected by this voter, which has more entries, whereas
			// this voter can be elected by the candidate. A former voter, which may ask for
			// ever, must not make all voters start elections at the same time.
			r.electionAt = now
		}
	case request.Pre:
		r.send(from, VoteReply{Term: request.Term, Pre: true, Granted: request.Term > r.Term})
	case r.Vote == "" || r.Vote == from:
		r.Vote = from
		r.saveHardState()
		r.resetElectionTimeout(now)
		r.send(from, VoteReply{Term: r.Term, Granted: true})
	default:
		r.send(from, VoteReply{Term: r.Term})
	}
}

func (r *Replica) voteReply(now time.Time, from string, reply VoteReply) {
	expectedTerm := r.Term
	if r.inPreVote {
		expectedTerm = r.Term + 1
	}
	if r.Role != RoleCandidate || reply.Pre != r.inPreVote {
		return
	}
	if !reply.Granted || reply.Term != expectedTerm {
		if !r.votes[from] {
			r.votes[from] = false
		}
		return
	}
	r.votes[from] = true
	r.countVotes(now, false)
}

// transferLeadership asks a voter to start an election: the given one, or the voter
// with the highest match index if to is empty. From then on this leader refuses
// proposals and has no lease, until another leader is elected or the transfer times
// out and this leader steps down. Each further call sends the request again and
// restarts the timeout.
func (r *Replica) transferLeadership(now time.Time, to string) {
	if r.Role != RoleLeader {
		return
	}
	target := to
	for _, id := range r.Members.Voters {
		p := r.progress[id]
		if id == r.Config.ID || p == nil || to != "" {
			continue
		}
		if target == "" || p.matchIndex > r.progress[target].matchIndex {
			target = id
		}
	}
	if target == "" {
		return
	}
	r.transferring = true
	r.resetElectionTimeout(now)
	r.send(target, ElectionRequest{Term: r.Term})
}
