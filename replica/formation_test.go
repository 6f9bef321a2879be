package replica_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/script"
)

// A case is a new system with its seeds, which have their start times as arguments. In a
// round one seed asks those that it sees. A seed that has formed the group answers as its
// member.
var _ = script.Describe("formation", "testdata/formation.txt", func() script.Handler {
	return func(c script.Case) string {
		epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		answers, seeds := map[string]replica.SeedAnswer{}, slices.Sorted(maps.Keys(c.Args))
		for _, name := range seeds {
			answers[name] = replica.SeedAnswer{ReplicaID: replica.ID(name, "1"), Instance: name, Seeds: seeds, InitialVoter: true}
		}
		return c.RunSteps(func(step script.Case) string {
			name := step.Args["at"]
			answer := answers[name]
			defer func() { answers[name] = answer }()
			switch step.Command {
			case "not_first":
				answer.InitialVoter = false
			case "seeds":
				answer.Seeds = step.List("are")
			case "belongs":
				answer.Members = &replica.Members{Voters: step.List("voters"), Learners: step.List("learners")}
			case "round":
				var received []replica.SeedAnswer
				for _, seen := range step.List("sees") {
					received = append(received, answers[seen])
				}
				started := epoch.Add(time.Duration(c.Int(name, 0)) * time.Millisecond)
				outcome := replica.Formation{Self: answer.ReplicaID, Seeds: answer.Seeds, StartedAt: started}.
					Decide(epoch.Add(time.Duration(step.Int("ms", 0))*time.Millisecond), received)
				if formed, ok := outcome.(replica.Formed); ok {
					answer.Members = &formed.Members
				}
				return fmt.Sprintf("%T%v", outcome, outcome)
			}
			return ""
		})
	}
})

// initialMemberships returns all initial memberships that n seeds can form: a placeholder
// for each seed of any minority.
func initialMemberships(n int) (all [][]string) {
	for absent := range 1 << n {
		var voters []string
		present := 0
		for i := range n {
			instance := string(rune('a' + i))
			if absent>>i&1 == 1 {
				voters = append(voters, replica.Placeholder(instance))
				continue
			}
			present++
			voters = append(voters, replica.ID(instance, "1"))
		}
		if present >= n/2+1 {
			all = append(all, voters)
		}
	}
	return all
}

// oneStepFrom returns a membership and those that a single change makes of it.
func oneStepFrom(voters []string) [][]string {
	all := [][]string{voters, append(slices.Clone(voters), "x/1")}
	for i, id := range voters {
		all = append(all, slices.Delete(slices.Clone(voters), i, i+1))
		if replica.IsPlaceholder(id) {
			all = append(all, append(slices.Clone(voters), replica.ID(replica.InstanceOf(id), "1")))
		}
	}
	return all
}

// quorumsShareAVoter reports whether each two quorums of replicas that exist overlap.
func quorumsShareAVoter(a, b []string) bool {
	missingFrom := func(ids, in []string) (common, only int) {
		for _, id := range ids {
			switch {
			case replica.IsPlaceholder(id):
			case slices.Contains(in, id):
				common++
			default:
				only++
			}
		}
		return common, only
	}
	common, onlyA := missingFrom(a, b)
	_, onlyB := missingFrom(b, a)
	neededA, neededB := max(0, len(a)/2+1-onlyA), max(0, len(b)/2+1-onlyB)
	// Without enough replicas there is no quorum, and nothing to share.
	return neededA > common || neededB > common || neededA+neededB > common
}

var _ = ginkgo.Describe("initial memberships", func() {
	// Guards against two groups: a replica with one initial membership must not elect a
	// leader without a voter that has what was committed under another one, or under the
	// first change of that.
	ginkgo.It("share a voter in each two quorums, also after the first change of one of them", func() {
		for n := 1; n <= 7; n++ {
			for _, a := range initialMemberships(n) {
				for _, first := range initialMemberships(n) {
					for _, b := range oneStepFrom(first) {
						gomega.Expect(quorumsShareAVoter(a, b)).To(gomega.BeTrue(), "%v and %v", a, b)
					}
				}
			}
		}
	})
	// Guards against a second leader or a lost entry while the replicas started with
	// different initial memberships, under the faults and the membership changes of the
	// other random schedules.
	ginkgo.It("keep one log under random faults while they differ between the replicas", func() {
		applied := 0
		for i := range *schedules {
			s := newSchedule(*firstSeed + uint64(i))
			for j, id := range s.order[:3] {
				voters := slices.Clone(s.order[:3])
				if absent := s.random.IntN(4); absent < 3 && absent != j {
					voters[absent] = replica.Placeholder(replica.InstanceOf(voters[absent]))
				}
				s.nodes[id].durable.Snapshot.Members = replica.Members{Voters: voters}
				s.start(s.nodes[id])
			}
			s.run()
			applied += len(s.committed)
		}
		gomega.Expect(applied).To(gomega.BeNumerically(">", *schedules*20))
	})
})
