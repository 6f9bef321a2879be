package replica

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Identity describes an instance with a disk that may become a replica.
type Identity struct {
	// ReplicaID is the replica ID, see [ID]. It differs for each data folder.
	ReplicaID string
	Instance  string
	// Domain is the failure domain of the instance.
	Domain string
	// LastContact is the time at which the leader last received a join request
	// from the instance.
	LastContact time.Time
	// Members is set if the instance already belongs to a bootstrapped voter
	// group.
	Members *Members
}

// ID returns the replica ID that is made of an instance and the identity of its
// data folder.
func ID(instance, folder string) string { return instance + "/" + folder }

// InstanceOf returns the instance part of a replica ID.
func InstanceOf(id string) string {
	instance, _, _ := strings.Cut(id, "/")
	return instance
}

// Bootstrap bootstraps the voter group of a new system: it returns the first
// members, and whether self may start with them. It does so only when all
// expected initial voters have answered. If one of them already belongs to a
// bootstrapped group, self starts with the members of that group, provided that
// it is one of their voters. Otherwise the data folder of self was emptied, and
// the leader of that group has to add it.
func Bootstrap(self string, voters []Identity, expected int) (Members, bool) {
	if len(voters) < expected {
		return Members{}, false
	}
	var ids []string
	for _, v := range voters {
		if v.Members != nil {
			return *v.Members, slices.Contains(v.Members.Voters, self)
		}
		ids = append(ids, v.ReplicaID)
	}
	slices.Sort(ids)
	return Members{Voters: ids}, slices.Contains(ids, self)
}

// MembershipPlan computes the membership changes that keep the number of voters
// at a target and replace voters that are lost or about to stop.
//
// While a voter is replaced, the group must still tolerate the loss of the disks
// that the target allows for: once everybody else is back, a majority with every
// committed entry must remain. A voter that may return is therefore removed only
// after its successor votes. The identity of a lost disk can't return, so to
// remove it first costs nothing, and the group also tolerates that its successor
// is lost again. See docs/design/replacement-of-voters.md.
type MembershipPlan struct {
	// Target is the number of voters that the system should have.
	Target int
	// ReplaceAfter is the time without an answer after which a voter is replaced.
	ReplaceAfter time.Duration
	// Domains maps each instance to its failure domain.
	Domains map[string]string
	// Leaving holds the IDs of the replicas that are about to stop.
	Leaving map[string]bool
}

// silenceFactor is the number of election timeouts without an answer after which a
// replica counts as unresponsive in a decision that needs no standby.
const silenceFactor = 2

// Next returns the next membership, and true if a change is due. Each call makes at most one
// step: it adds a learner, removes one that no longer answers, promotes one that has caught
// up, or removes a voter. Nothing is due while the previous step is not committed.
func (p MembershipPlan) Next(replica *Replica, standbys []Identity, now time.Time) (Members, bool) {
	members := Members{Voters: slices.Clone(replica.Members.Voters), Learners: slices.Clone(replica.Members.Learners)}
	if replica.Role != RoleLeader || replica.ChangingMembers() {
		return members, false
	}
	dead := p.deadVoter(replica, standbys, now)
	if len(members.Voters) > p.Target {
		return removeVoter(members, cmp.Or(dead, p.surplusVoter(replica, now)))
	}
	lost := p.lostVoters(replica, standbys, now)
	if len(lost) == 0 && len(members.Voters) == p.Target {
		return members, false
	}
	learner, ready := p.readyLearner(replica, now)
	switch {
	case len(members.Learners) == 0:
		return p.addLearner(members, lost, standbys)
	case p.learnerUnavailable(replica, members.Learners[0], standbys, now):
		members.Learners = members.Learners[1:]
		return members, true
	case !ready:
		return members, false
	case dead != "":
		return removeVoter(members, dead)
	case len(members.Voters) == p.Target && slices.ContainsFunc(lost, func(id string) bool { return hasNewFolder(id, standbys) }):
		// Unless that voter answers, it will count as dead.
		return members, false
	}
	members.Learners = slices.DeleteFunc(members.Learners, func(id string) bool { return id == learner })
	members.Voters = append(members.Voters, learner)
	slices.Sort(members.Voters)
	return members, true
}

// removeVoter removes a voter, and reports false if there is none to remove.
func removeVoter(members Members, id string) (Members, bool) {
	members.Voters = slices.DeleteFunc(members.Voters, func(v string) bool { return v == id })
	return members, id != ""
}

// lostVoters returns the voters that are not expected to stay or to return: placeholders,
// those that are about to stop, those that have not answered for too long, and those whose
// instance now sends join requests with another data folder.
func (p MembershipPlan) lostVoters(replica *Replica, standbys []Identity, now time.Time) []string {
	var lost []string
	for _, id := range replica.Members.Voters {
		if p.Leaving[id] || id != replica.Config.ID && (IsPlaceholder(id) || replica.Unresponsive(now, id, p.ReplaceAfter) || hasNewFolder(id, standbys)) {
			lost = append(lost, id)
		}
	}
	return lost
}

// deadVoter returns a voter that can never answer again, or an empty string: a placeholder,
// or one whose instance has another data folder. A join request may be late, so the voter
// must be silent as well.
func (p MembershipPlan) deadVoter(replica *Replica, standbys []Identity, now time.Time) string {
	for _, id := range replica.Members.Voters {
		if IsPlaceholder(id) || hasNewFolder(id, standbys) && replica.Unresponsive(now, id, silenceFactor*replica.Config.ElectionTimeout) {
			return id
		}
	}
	return ""
}

// surplusVoter returns the voter to remove from a group that has more than its target, or an
// empty string if none of them can be removed yet: one that is about to stop, or else one
// that does not answer. Among voters that all answer, it is one whose failure domain has
// another voter, if there is one.
func (p MembershipPlan) surplusVoter(r *Replica, now time.Time) string {
	perDomain := map[string]int{}
	for _, id := range r.Members.Voters {
		perDomain[p.Domains[InstanceOf(id)]]++
	}
	surplus, surplusRank := "", 0
	for _, id := range r.Members.Voters {
		rank := 1
		switch {
		case id == r.Config.ID:
			continue
		case p.Leaving[id]:
			rank = 4
		case r.Unresponsive(now, id, silenceFactor*r.Config.ElectionTimeout):
			rank = 3
		case perDomain[p.Domains[InstanceOf(id)]] > 1:
			rank = 2
		}
		if rank >= surplusRank {
			surplus, surplusRank = id, rank
		}
	}
	return surplus
}

// readyLearner returns a learner that can be promoted: it has every committed entry, and
// answers.
func (p MembershipPlan) readyLearner(r *Replica, now time.Time) (string, bool) {
	for _, id := range r.Members.Learners {
		if r.CaughtUp(id) && !r.Unresponsive(now, id, silenceFactor*r.Config.ElectionTimeout) {
			return id, true
		}
	}
	return "", false
}

// learnerUnavailable reports whether a learner has not answered for too long, is about to
// stop, or has lost its folder. Its join requests don't tell: a new leader has not received any yet.
func (p MembershipPlan) learnerUnavailable(r *Replica, learner string, standbys []Identity, now time.Time) bool {
	return r.Unresponsive(now, learner, p.ReplaceAfter) || p.Leaving[learner] || hasNewFolder(learner, standbys)
}

// hasNewFolder reports whether the newest join request of a replica's instance came with
// another data folder.
func hasNewFolder(id string, standbys []Identity) bool {
	var newest Identity
	for _, s := range standbys {
		if s.Instance == InstanceOf(id) && (newest.ReplicaID == "" || s.LastContact.After(newest.LastContact)) {
			newest = s
		}
	}
	return newest.ReplicaID != "" && newest.ReplicaID != id
}

// addLearner adds the standby with the highest rank as a learner, so that the
// voters are spread over failure domains and a lost voter's own instance is
// preferred. A standby in a failure domain without a remaining voter has rank two,
// any other has rank one. The instance of a lost voter ranks one higher. The lowest
// replica ID wins a tie.
func (p MembershipPlan) addLearner(members Members, lost []string, standbys []Identity) (Members, bool) {
	usedDomains := map[string]bool{}
	for _, id := range members.Voters {
		if !slices.Contains(lost, id) {
			usedDomains[p.Domains[InstanceOf(id)]] = true
		}
	}
	bestID, bestRank := "", 0
	for _, s := range standbys {
		rank := 1
		if !usedDomains[s.Domain] {
			rank = 2
		}
		if slices.ContainsFunc(lost, func(id string) bool { return InstanceOf(id) == s.Instance }) {
			rank++
		}
		eligible := !slices.Contains(members.Voters, s.ReplicaID) && !p.Leaving[s.ReplicaID]
		if eligible && (rank > bestRank || rank == bestRank && s.ReplicaID < bestID) {
			bestID, bestRank = s.ReplicaID, rank
		}
	}
	if bestID == "" {
		return members, false
	}
	members.Learners = append(members.Learners, bestID)
	return members, true
}
