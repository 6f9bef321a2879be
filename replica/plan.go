package replica

import (
	"slices"
	"strings"
	"time"
)

// Identity is an instance with a disk that may become a replica.
type Identity struct {
	// ReplicaID is the identity of its data folder.
	ReplicaID string
	Instance  string
	// Domain is its failure domain.
	Domain string
	// Heard is when it last offered itself to the leader.
	Heard time.Time
	// Members is set when the instance belongs to a formed system.
	Members *Members
}

// ID makes a replica identity out of an instance and its data folder.
func ID(instance, folder string) string { return instance + "/" + folder }

// InstanceOf gives the instance of a replica identity.
func InstanceOf(id string) string {
	instance, _, _ := strings.Cut(id, "/")
	return instance
}

// Form decides on the first members of a new system. It does so only when all
// of the initial voters answered. When one of them belongs to a system
// already, an instance that this system knows joins it as it was formed, and
// any other has to be taken in by its leader: its folder was emptied.
func Form(self string, voters []Identity, expected int) (Members, bool) {
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

// Plan keeps the number of voters at a target.
type Plan struct {
	// Target is how many voters the system should have.
	Target int
	// After is how long a voter may be silent before it is replaced.
	After time.Duration
	// Domains gives the failure domain of each instance.
	Domains map[string]string
}

// Next gives the next change of the members, if one is due. Each call gives
// at most one step: take in a learner, drop a lost voter, promote the learner
// that has caught up. A voter is dropped only when a learner is ready, so the
// system is short of a voter for one commit only.
func (p Plan) Next(r *Replica, standbys []Identity, now time.Time) (Members, bool) {
	m := Members{Voters: slices.Clone(r.Members.Voters), Learners: slices.Clone(r.Members.Learners)}
	if r.Role != RoleLeader {
		return m, false
	}
	lost := p.lost(r, standbys, now)
	if len(lost) == 0 && len(m.Voters) >= p.Target {
		return m, false
	}
	learner, ready := readyLearner(r)
	switch {
	case len(m.Learners) == 0:
		return p.addLearner(m, lost, standbys)
	case p.unheard(m.Learners[0], standbys):
		m.Learners = m.Learners[1:]
		return m, true
	case !ready:
		return m, false
	case len(m.Voters) >= p.Target && len(lost) > 0:
		m.Voters = slices.DeleteFunc(m.Voters, func(id string) bool { return id == lost[0] })
		return m, true
	}
	m.Learners = slices.DeleteFunc(m.Learners, func(id string) bool { return id == learner })
	m.Voters = append(m.Voters, learner)
	slices.Sort(m.Voters)
	return m, true
}

// lost lists the voters that don't come back: those silent for too long, and
// those whose instance offers itself with another folder.
func (p Plan) lost(r *Replica, standbys []Identity, now time.Time) []string {
	lost := r.Silent(now, p.After)
	for _, id := range r.Members.Voters {
		emptied := slices.ContainsFunc(standbys, func(s Identity) bool {
			return s.Instance == InstanceOf(id) && s.ReplicaID != id
		})
		if emptied && id != r.Config.ID && !slices.Contains(lost, id) {
			lost = append(lost, id)
		}
	}
	return lost
}

func readyLearner(r *Replica) (string, bool) {
	for _, id := range r.Members.Learners {
		if r.CaughtUp(id) {
			return id, true
		}
	}
	return "", false
}

func (p Plan) unheard(learner string, standbys []Identity) bool {
	return !slices.ContainsFunc(standbys, func(s Identity) bool { return s.ReplicaID == learner })
}

// addLearner picks the standby that spreads the voters best: the instance of
// a lost voter itself, else one of a failure domain without a voter.
func (p Plan) addLearner(m Members, lost []string, standbys []Identity) (Members, bool) {
	taken := map[string]bool{}
	for _, id := range m.Voters {
		if !slices.Contains(lost, id) {
			taken[p.Domains[InstanceOf(id)]] = true
		}
	}
	best, bestRank := "", 0
	for _, s := range standbys {
		rank := 1
		if !taken[s.Domain] {
			rank = 2
		}
		if slices.ContainsFunc(lost, func(id string) bool { return InstanceOf(id) == s.Instance }) {
			rank++
		}
		known := slices.Contains(m.Voters, s.ReplicaID)
		if !known && (rank > bestRank || rank == bestRank && s.ReplicaID < best) {
			best, bestRank = s.ReplicaID, rank
		}
	}
	if best == "" {
		return m, false
	}
	m.Learners = append(m.Learners, best)
	return m, true
}
