package replica

import (
	"slices"
	"time"
)

// formWithoutAllAfter is the time after an instance's start from which a majority of the
// initial seeds is enough to form the voter group. It is several times as long as the
// spread of the seeds' starts (0.3 s) and a round of questions (0.4 s) together. With an
// election of at most half a second behind it, the first order is still acknowledged
// within 4 s.
const formWithoutAllAfter = 2 * time.Second

// Placeholder returns the replica ID that stands for a seed without a replica in an initial
// membership. Its folder identity is empty, which no folder's is, so it never votes.
func Placeholder(instance string) string { return ID(instance, "") }

// IsPlaceholder reports whether a replica ID is that of a [Placeholder].
func IsPlaceholder(id string) bool { return id == Placeholder(InstanceOf(id)) }

// SeedAnswer is what a seed says of itself while the voter group forms.
type SeedAnswer struct {
	ReplicaID string
	Instance  string
	// Seeds are the instances that the seed's settings named at its start.
	Seeds []string
	// InitialVoter is true if the seed may be a voter of a new group: it starts for the
	// first time, is a seed itself, and its data folder is empty.
	InitialVoter bool
	// Members is set if the seed belongs to a voter group.
	Members *Members
}

// Formation decides how one seed takes part in the formation of a new system's voter group.
//
// Without it, the group formed only when all seeds had answered in one round, and a system
// that lost a seed at its first start never served a request. Each initial membership that
// a Formation returns has one slot for each initial seed, which holds the replica of the
// seed's only folder or a placeholder. So the quorums of any two of them share a seed that
// votes once in a term, and two groups can't form; docs/design/voter-group-formation.md has
// the proof.
type Formation struct {
	// Self is the replica ID of the seed that decides.
	Self string
	// Seeds are the instances that its settings named at its start.
	Seeds []string
	// StartedAt is the time of its start.
	StartedAt time.Time
}

// FormationOutcome is what a seed does after a round of questions.
//
//sumtype:decl
type FormationOutcome interface{ formationOutcome() }

// Undecided means that the seed asks again later.
type Undecided struct{}

// Formed means that the seed starts with the initial membership of the group.
type Formed struct{ Members Members }

// Outside means that a group exists which does not list the seed. The seed joins it as a
// standby.
type Outside struct {
	Members Members
	// Expected is true if the group holds a placeholder for the seed.
	Expected bool
}

func (Undecided) formationOutcome() {}
func (Formed) formationOutcome()    {}
func (Outside) formationOutcome()   {}

// Decide returns what the seed does after the answers of one round, its own among them.
func (f Formation) Decide(now time.Time, answers []SeedAnswer) FormationOutcome {
	if outcome, found := f.existing(answers); found {
		return outcome
	}
	seeds := seedSet(f.Seeds)
	members, present := Members{}, 0
	for _, seed := range seeds {
		id := Placeholder(seed)
		for _, a := range answers {
			if a.Instance == seed && f.mayVote(a) {
				id = a.ReplicaID
			}
		}
		if !IsPlaceholder(id) {
			present++
		}
		members.Voters = append(members.Voters, id)
	}
	waited := now.Sub(f.StartedAt) >= formWithoutAllAfter
	enough := present == len(seeds) || waited && present >= len(seeds)/2+1
	if !enough || !slices.Contains(members.Voters, f.Self) {
		return Undecided{}
	}
	return Formed{Members: members}
}

// existing returns the outcome if a seed answered that belongs to a group.
func (f Formation) existing(answers []SeedAnswer) (FormationOutcome, bool) {
	var outcome FormationOutcome
	for _, a := range answers {
		switch {
		case a.Members == nil:
		case slices.Contains(a.Members.Voters, f.Self) && f.isInitial(*a.Members):
			return Formed{Members: Members{Voters: slices.Clone(a.Members.Voters)}}, true
		case slices.Contains(a.Members.Voters, f.Self) || slices.Contains(a.Members.Learners, f.Self):
			// The leader sends the log, which has the membership changes. A later
			// membership must not become the first one of a replica that lacks them.
			outcome = Undecided{}
		case outcome == nil:
			outcome = Outside{Members: *a.Members, Expected: slices.Contains(a.Members.Voters, Placeholder(InstanceOf(f.Self)))}
		}
	}
	return outcome, outcome != nil
}

// mayVote reports whether a seed may be a voter of the group that this one forms.
func (f Formation) mayVote(a SeedAnswer) bool {
	return a.InitialVoter && a.Members == nil && !IsPlaceholder(a.ReplicaID) &&
		InstanceOf(a.ReplicaID) == a.Instance && slices.Equal(seedSet(a.Seeds), seedSet(f.Seeds))
}

// isInitial reports whether a membership has exactly one slot for each initial seed.
func (f Formation) isInitial(m Members) bool {
	var instances []string
	for _, id := range m.Voters {
		instances = append(instances, InstanceOf(id))
	}
	slices.Sort(instances)
	return slices.Equal(instances, seedSet(f.Seeds))
}

// seedSet returns the seeds in order and without duplicates.
func seedSet(seeds []string) []string { return slices.Compact(slices.Sorted(slices.Values(seeds))) }
