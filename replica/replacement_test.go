package replica_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/script"
)

// replacement is a group in which voters are replaced, as a test file describes it.
type replacement struct {
	voters, standbys []string
	target           int
	// silent are cut off from the start until a second after the loss of the disks. leaving
	// stop as planned: they end once the members without them are committed, or after
	// leaveTimeout. wiped lose their disks at the start, and join with another one.
	silent, leaving, wiped []string
	leaveTimeout           time.Duration
	// lost lose their disks together at one moment, and join with other ones.
	lost []string
}

// maxMoments limits the moments at which the disks are lost.
const maxMoments = 1000

var _ = script.Describe("replacement of voters", "testdata/replacement/*.txt", func() script.Handler {
	return func(c script.Case) string {
		if c.Command != "replace" {
			return "unknown command"
		}
		r := replacement{
			voters: c.List("voters"), standbys: c.List("standbys"), target: c.Int("target", 3),
			silent: c.List("silent"), leaving: c.List("leaving"), wiped: c.List("wiped"),
			leaveTimeout: time.Duration(c.Int("leave_ms", 3000)) * time.Millisecond,
		}
		var failures []string
		for _, together := range c.List("lose") {
			r.lost = strings.Split(together, "+")
			if failure := r.tryMoments(); failure != "" {
				failures = append(failures, failure)
			}
		}
		if len(failures) > 0 {
			return strings.Join(failures, "\n")
		}
		return "nothing is lost at any moment"
	}
})

// tryMoments plays the replacement once for each moment of it: each delivery of a message,
// and each step of the plan.
func (r replacement) tryMoments() string {
	for moment := 1; moment <= maxMoments; moment++ {
		g := newReplacedGroup(r)
		if !g.runUntil(moment) {
			if moment < 10 {
				return fmt.Sprintf("losing %v: only %d moments", r.lost, moment-1)
			}
			return ""
		}
		if failure := g.loseAndRecover(); failure != "" {
			return fmt.Sprintf("losing %v at moment %d: %s", r.lost, moment, failure)
		}
	}
	return fmt.Sprintf("losing %v: more than %d moments", r.lost, maxMoments)
}

type replacedGroup struct {
	replacement
	nodes   map[string]*testNode
	order   []string
	plan    replica.MembershipPlan
	now     time.Time
	packets []replacedPacket
	cut     map[string]bool
	ended   map[string]bool
	// acknowledged holds the commands that a leader has applied.
	acknowledged map[string]bool
	proposed     int
	// moments counts from the first change of the members. After stopAt of them the run stops.
	moments, stopAt int
	leaveAt         time.Time
	// stepsReplaced counts the steps after the end of the replacement.
	stepsReplaced int
}

type replacedPacket struct {
	from, to string
	message  replica.Message
}

func newReplacedGroup(r replacement) *replacedGroup {
	g := &replacedGroup{
		replacement: r, nodes: map[string]*testNode{}, now: epoch, cut: map[string]bool{}, ended: map[string]bool{},
		acknowledged: map[string]bool{},
		plan:         replica.MembershipPlan{Target: r.target, ReplaceAfter: 1200 * time.Millisecond, Domains: map[string]string{}, Leaving: map[string]bool{}},
	}
	var first replica.Snapshot
	first.Index, first.Term = 1, 1
	for _, name := range r.voters {
		first.Members.Voters = append(first.Members.Voters, name+"/1")
	}
	for _, name := range r.voters {
		g.add(name+"/1", replica.PersistentState{HardState: replica.HardState{Term: 1}, Snapshot: first})
	}
	g.advance(800 * time.Millisecond)
	for _, name := range r.standbys {
		g.add(name+"/1", replica.PersistentState{})
	}
	for _, name := range r.silent {
		g.cut[name+"/1"] = true
	}
	for _, name := range r.wiped {
		g.loseDisk(name)
	}
	g.leaveAt = g.now
	for _, name := range r.leaving {
		g.plan.Leaving[name+"/1"] = true
	}
	return g
}

func (g *replacedGroup) add(id string, saved replica.PersistentState) {
	config := replica.Config{
		ID: id, HeartbeatInterval: 90 * time.Millisecond, ElectionTimeout: 450 * time.Millisecond,
		MaxDrift: 25 * time.Millisecond, MaxAppendEntries: 8, VoteAtStart: true,
	}
	random := rand.New(rand.NewPCG(uint64(len(g.order)), 7))
	g.nodes[id] = &testNode{id: id, durable: saved, applied: map[uint64]string{}, replica: replica.New(config, saved, random, g.now)}
	g.order = append(g.order, id)
}

// loseDisk ends an instance with its disk. It returns with another one.
func (g *replacedGroup) loseDisk(name string) {
	generation := 1
	for g.nodes[fmt.Sprintf("%s/%d", name, generation+1)] != nil {
		generation++
	}
	g.ended[fmt.Sprintf("%s/%d", name, generation)] = true
	g.add(fmt.Sprintf("%s/%d", name, generation+1), replica.PersistentState{})
}

// runUntil runs until a moment of the replacement, and reports false if that has ended before.
func (g *replacedGroup) runUntil(moment int) bool {
	g.stopAt = moment
	for end := g.now.Add(10 * time.Second); g.now.Before(end) && g.moments < moment; {
		g.advance(time.Millisecond)
		if g.replaced() {
			g.stepsReplaced++
		}
		if g.stepsReplaced > 60 {
			return false
		}
	}
	return g.moments >= moment
}

// replaced reports whether a leader has committed members without those that were to go, as
// far as there are standbys for them.
func (g *replacedGroup) replaced() bool {
	leader := g.leader()
	if leader == nil {
		return false
	}
	members, _ := leader.replica.CommittedMembers()
	going := append(append(slices.Clone(g.silent), g.leaving...), g.wiped...)
	left := 0
	for _, name := range going {
		if slices.Contains(members.Voters, name+"/1") {
			left++
		}
	}
	return len(members.Voters) == g.target && left <= max(0, len(going)-len(g.standbys)-len(g.wiped))
}

// loseAndRecover lets disks be lost, and everybody else return. It returns what is lost.
func (g *replacedGroup) loseAndRecover() (failure string) {
	g.stopAt = 0
	for _, name := range g.lost {
		g.loseDisk(name)
	}
	g.advance(time.Second)
	clear(g.cut)
	for range 80 {
		if failure = g.missing(); failure == "" {
			return ""
		}
		g.advance(100 * time.Millisecond)
	}
	return failure
}

// missing returns what was acknowledged and is not known to a leader with a quorum.
func (g *replacedGroup) missing() string {
	leader := g.leader()
	if leader == nil {
		var members []string
		for _, id := range g.order {
			if !g.ended[id] {
				members = append(members, fmt.Sprintf("%s has %v", id, g.nodes[id].replica.Members.Voters))
			}
		}
		return "no leader; " + strings.Join(members, ", ")
	}
	known := map[string]bool{}
	for _, text := range leader.applied {
		known[text] = true
	}
	for text := range g.acknowledged {
		if !known[text] {
			return fmt.Sprintf("%s is not known to the leader %s", text, leader.id)
		}
	}
	return ""
}

// leader returns the instance that leads and has a quorum.
func (g *replacedGroup) leader() *testNode {
	for _, id := range g.order {
		if !g.ended[id] && !g.nodes[id].replica.LeaseEnd(g.now).IsZero() {
			return g.nodes[id]
		}
	}
	return nil
}

// advance lets time pass in steps, which are also how long a message takes: of a millisecond
// during the replacement, and of ten before and after it.
func (g *replacedGroup) advance(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(g.stepTime())
		due := g.packets
		g.packets = nil
		for i, p := range due {
			if node := g.nodes[p.to]; node != nil && !g.ended[p.to] && g.cut[p.from] == g.cut[p.to] {
				g.step(node, replica.Receive{From: p.from, Message: p.message})
				if g.count() {
					g.packets = append(g.packets, due[i+1:]...)
					return
				}
			}
		}
		for _, id := range g.order {
			node := g.nodes[id]
			if g.ended[id] {
				continue
			}
			g.step(node, replica.Tick{})
			if node.replica.Role != replica.RoleLeader {
				continue
			}
			if ms := g.now.UnixMilli(); ms%200 == 0 || ms%50 == 0 && g.replacing() {
				g.proposed++
				g.step(node, replica.Propose{Data: fmt.Appendf(nil, "command %d", g.proposed)})
			}
			if g.changeMembers(node) && g.count() {
				return
			}
		}
		g.endLeaving()
	}
}

func (g *replacedGroup) replacing() bool { return g.moments > 0 && g.stopAt > 0 }

func (g *replacedGroup) stepTime() time.Duration {
	if g.replacing() {
		return time.Millisecond
	}
	return 10 * time.Millisecond
}

// count counts a moment of the replacement, and reports whether the run stops at it.
func (g *replacedGroup) count() bool {
	if g.moments > 0 {
		g.moments++
	}
	return g.stopAt > 0 && g.moments == g.stopAt
}

// changeMembers takes the next step of the plan at the leader. Whoever is not a voter sends
// join requests.
func (g *replacedGroup) changeMembers(leader *testNode) bool {
	var standbys []replica.Identity
	for _, id := range g.order {
		if !g.ended[id] && g.cut[id] == g.cut[leader.id] && !slices.Contains(g.nodes[id].replica.Members.Voters, id) {
			standbys = append(standbys, replica.Identity{ReplicaID: id, Instance: replica.InstanceOf(id), LastContact: g.now})
		}
	}
	members, due := g.plan.Next(leader.replica, standbys, g.now)
	if !due {
		return false
	}
	if g.moments == 0 && g.stopAt > 0 {
		g.moments = 1
	}
	g.step(leader, replica.ChangeMembers{Members: members})
	return true
}

// endLeaving ends the instances that are about to stop, once a leader has committed the
// members without them. Before, they hand over their leadership.
func (g *replacedGroup) endLeaving() {
	for _, name := range g.leaving {
		id := name + "/1"
		leader := g.leader()
		late := g.now.Sub(g.leaveAt) > g.leaveTimeout
		if leader == nil && !late || g.ended[id] || g.leaveAt.IsZero() {
			continue
		}
		if late {
			g.ended[id] = true
			continue
		}
		members, _ := leader.replica.CommittedMembers()
		switch {
		case !slices.Contains(members.Voters, id):
			g.ended[id] = true
		case leader.id == id:
			g.step(leader, replica.TransferLeadership{})
		}
	}
}

func (g *replacedGroup) step(node *testNode, event replica.Event) {
	effects := node.replica.Step(g.now, event)
	for _, effect := range effects {
		node.save(effect)
	}
	for _, effect := range effects {
		switch effect := effect.(type) {
		case replica.Send:
			g.packets = append(g.packets, replacedPacket{from: node.id, to: effect.To, message: effect.Message})
		case replica.Apply:
			text := string(effect.Entry.Data)
			node.applied[effect.Entry.Index] = text
			if node.replica.Role == replica.RoleLeader && text != "" {
				g.acknowledged[text] = true
			}
		case replica.Restore, replica.SaveHardState, replica.SaveEntries, replica.SaveSnapshot, replica.Appended, replica.ProposalRefused, replica.RoleChanged:
		}
	}
}
