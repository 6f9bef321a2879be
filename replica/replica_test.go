package replica_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/replica"
)

// schedules is the number of random schedules that one test run simulates.
var schedules = flag.Int("replica.schedules", 150, "number of random schedules")

// firstSeed is the seed of the first schedule. The seed of each further schedule
// is one higher.
var firstSeed = flag.Uint64("replica.seed", 1, "seed of the first random schedule")

// regressionSeeds are schedules that failed once. In 256, a snapshot that arrived late
// dropped entries that the follower had acknowledged.
var regressionSeeds = []uint64{256}

func TestReplica(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "replica")
}

var _ = ginkgo.Describe("random schedules", func() {
	ginkgo.It("keep one leader per term, one lease holder and one log under message loss, delay, crashes, freezes and network cuts", func() {
		applied, leaders, crashes := 0, 0, 0
		for i := range *schedules {
			s := newSchedule(*firstSeed + uint64(i))
			s.run()
			applied += len(s.committed)
			leaders += len(s.leaders)
			crashes += s.crashes
		}
		ginkgo.GinkgoWriter.Printf("seeds %d to %d: %d entries committed, %d leaders, %d crashes\n",
			*firstSeed, *firstSeed+uint64(*schedules)-1, applied, leaders, crashes)
		for _, seed := range regressionSeeds {
			newSchedule(seed).run()
		}
		gomega.Expect(applied).To(gomega.BeNumerically(">", *schedules*20))
		gomega.Expect(leaders).To(gomega.BeNumerically(">", *schedules))
	})
})

const (
	stepInterval     = 5 * time.Millisecond
	scheduleDuration = 12 * time.Second
	nodeCount        = 4
)

// testNode is one simulated instance: a replica with its disk and its clock.
type testNode struct {
	id      string
	replica *replica.Replica
	// durable is the state on the simulated disk. It survives a crash.
	durable replica.PersistentState
	// applied is never read: applied entries are compared in schedule.committed.
	applied map[uint64]string
	// lastApplied is the index of the last applied entry.
	lastApplied uint64
	// frozenSteps is the number of steps for which the node stays frozen.
	// Messages for a frozen node wait.
	frozenSteps int
	// downSteps is the number of steps for which the node stays down after a
	// crash. Messages for a node that is down are lost.
	downSteps int
	// clockRate is the rate of the node's clock relative to the simulated time.
	clockRate float64
	// acknowledged is the reply with the highest index up to which the node has
	// acknowledged its log to the leader of its term.
	acknowledged replica.AppendReply
}

// packet is a message under way.
type packet struct {
	// at is the time of delivery.
	at      time.Duration
	from    string
	to      string
	message replica.Message
}

// schedule is one simulated run of four nodes with random faults. All its random
// choices follow from the seed.
type schedule struct {
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	nodes   map[string]*testNode
	order   []string
	packets []packet
	// cut holds the one-way links whose packets are lost, as sender and receiver
	// ID joined.
	cut map[string]bool
	// committed holds the text of each applied entry by index.
	committed map[uint64]string
	// leaders holds the leader of each term.
	leaders map[uint64]string
	token   uint64
	crashes int
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSchedule(seed uint64) *schedule {
	s := &schedule{
		seed: seed, random: rand.New(rand.NewPCG(seed, 7)), nodes: map[string]*testNode{},
		cut: map[string]bool{}, committed: map[uint64]string{}, leaders: map[uint64]string{},
	}
	first := replica.Snapshot{Index: 1, Term: 1, Members: replica.Members{Voters: []string{"a/1", "b/1", "c/1"}}}
	for i, id := range []string{"a/1", "b/1", "c/1", "d/1"} {
		node := &testNode{id: id, applied: map[uint64]string{}, clockRate: 1 + 0.02*(s.random.Float64()-0.5)}
		if i < 3 {
			node.durable = replica.PersistentState{HardState: replica.HardState{Term: 1}, Snapshot: first}
		}
		s.nodes[id] = node
		s.order = append(s.order, id)
		s.start(node)
	}
	return s
}

func (s *schedule) clock(node *testNode) time.Time {
	return epoch.Add(time.Duration(float64(s.now) * node.clockRate))
}

func (s *schedule) start(node *testNode) {
	cfg := replica.Config{
		ID: node.id, HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 300 * time.Millisecond,
		MaxDrift: 30 * time.Millisecond, MaxAppendEntries: 8,
	}
	if s.seed%2 == 1 {
		// Three entries are large.
		cfg.LargeBytes = 15
	}
	saved := node.durable
	saved.Entries = append([]replica.Entry(nil), node.durable.Entries...)
	node.replica = replica.New(cfg, saved, rand.New(rand.NewPCG(s.seed, uint64(len(node.id)))), s.clock(node))
	node.lastApplied = saved.Snapshot.Index
}

func (s *schedule) run() {
	for s.now < scheduleDuration {
		s.now += stepInterval
		s.injectFaults()
		s.deliver()
		for _, id := range s.order {
			node := s.nodes[id]
			if node.downSteps > 0 || node.frozenSteps > 0 {
				node.downSteps = max(0, node.downSteps-1)
				node.frozenSteps = max(0, node.frozenSteps-1)
				continue
			}
			s.step(node, replica.Tick{})
			s.propose(node)
		}
		s.checkLeases()
	}
}

// injectFaults crashes or freezes a random node, cuts one link or all links of it,
// or restores all links.
func (s *schedule) injectFaults() {
	node := s.nodes[s.order[s.random.IntN(nodeCount)]]
	switch chance := s.random.Float64(); {
	case chance < 0.002:
		s.crashes++
		s.start(node)
		node.downSteps = s.random.IntN(200)
	case chance < 0.004:
		node.frozenSteps = s.random.IntN(150)
	case chance < 0.006:
		s.cut[node.id+s.order[s.random.IntN(nodeCount)]] = true
	case chance < 0.008:
		for _, other := range s.order {
			s.cut[node.id+other] = true
			s.cut[other+node.id] = true
		}
	case chance < 0.014:
		s.cut = map[string]bool{}
	}
}

func (s *schedule) propose(node *testNode) {
	if node.replica.Role != replica.RoleLeader {
		return
	}
	switch chance := s.random.Float64(); {
	case chance < 0.2:
		s.token++
		s.step(node, replica.Propose{Token: s.token, Data: fmt.Appendf(nil, "%s-%d", node.id, s.token)})
	case chance < 0.203:
		s.step(node, replica.TransferLeadership{})
	case chance < 0.21:
		s.step(node, replica.Compact{Index: node.lastApplied, Data: fmt.Appendf(nil, "%d", node.lastApplied)})
	case chance < 0.22:
		plan := replica.MembershipPlan{Target: 3, ReplaceAfter: time.Second}
		if s.random.Float64() < 0.3 {
			plan.Leaving = map[string]bool{s.order[s.random.IntN(nodeCount)]: true}
		}
		standbys := []replica.Identity{{ReplicaID: "d/1", Instance: "d"}, {ReplicaID: "a/1", Instance: "a"}, {ReplicaID: "b/1", Instance: "b"}, {ReplicaID: "c/1", Instance: "c"}}
		if m, due := plan.Next(node.replica, standbys, s.clock(node)); due {
			s.step(node, replica.ChangeMembers{Members: m})
		}
	}
}

// step handles an event and performs its effects. A random crash before the save
// loses the changed state and all messages; a crash after it loses the messages.
func (s *schedule) step(node *testNode, e replica.Event) {
	effects := node.replica.Step(s.clock(node), e)
	if s.random.Float64() < 0.0005 {
		s.crashes++
		s.start(node)
		return
	}
	for _, effect := range effects {
		node.save(effect)
	}
	if s.random.Float64() < 0.0005 {
		s.crashes++
		s.start(node)
		return
	}
	for _, effect := range effects {
		s.perform(node, effect)
	}
	s.checkAcknowledged(node)
}

// checkAcknowledged fails if a node has dropped entries that it acknowledged to the leader
// of the present term. The leader counts them towards the quorum, so that they may be
// committed, and would be lost with the leader's disk.
func (s *schedule) checkAcknowledged(node *testNode) {
	last := node.durable.Snapshot.Index + uint64(len(node.durable.Entries))
	s.expect(node.durable.HardState.Term != node.acknowledged.Term || last >= node.acknowledged.MatchIndex,
		"%s has entries up to %d on its disk, but acknowledged %d in term %d", node.id, last, node.acknowledged.MatchIndex, node.acknowledged.Term)
}

func (node *testNode) acknowledge(reply replica.AppendReply) {
	if reply.Success && (reply.Term > node.acknowledged.Term || reply.MatchIndex > node.acknowledged.MatchIndex) {
		node.acknowledged = reply
	}
}

func (node *testNode) save(effect replica.Effect) {
	switch e := effect.(type) {
	case replica.SaveHardState:
		node.durable.HardState = e.HardState
	case replica.SaveEntries:
		kept := node.durable.Entries
		for len(kept) > 0 && kept[len(kept)-1].Index >= e.Entries[0].Index {
			kept = kept[:len(kept)-1]
		}
		node.durable.Entries = append(append([]replica.Entry(nil), kept...), e.Entries...)
	case replica.SaveSnapshot:
		node.durable.Snapshot = e.Snapshot
		kept := node.durable.Entries
		for len(kept) > 0 && (e.DropLaterEntries || kept[0].Index <= e.Snapshot.Index) {
			kept = kept[1:]
		}
		node.durable.Entries = kept
	case replica.Send, replica.Apply, replica.Restore, replica.Appended, replica.ProposalRefused, replica.RoleChanged:
	}
}

func (s *schedule) perform(node *testNode, effect replica.Effect) {
	switch e := effect.(type) {
	case replica.Send:
		if reply, ok := e.Message.(replica.AppendReply); ok {
			node.acknowledge(reply)
		}
		s.send(node.id, e.To, e.Message)
	case replica.Apply:
		s.apply(node, e.Entry)
	case replica.Restore:
		s.expect(e.Snapshot.Index >= node.lastApplied, "%s restores a snapshot that is older than its state: applied up to %d, snapshot at %d", node.id, node.lastApplied, e.Snapshot.Index)
		node.lastApplied = e.Snapshot.Index
	case replica.RoleChanged:
		if e.Role == replica.RoleLeader {
			other, known := s.leaders[e.Term]
			s.expect(!known || other == node.id, "term %d has two leaders, %s and %s", e.Term, other, node.id)
			s.leaders[e.Term] = node.id
		}
	case replica.SaveHardState, replica.SaveEntries, replica.SaveSnapshot, replica.Appended, replica.ProposalRefused:
	}
}

func (s *schedule) send(from, to string, message replica.Message) {
	copies := 1
	switch chance := s.random.Float64(); {
	case s.cut[from+to] || chance < 0.03:
		copies = 0
	case chance < 0.05:
		copies = 2
	}
	for range copies {
		delay := time.Duration(s.random.ExpFloat64() * float64(4*time.Millisecond))
		if s.random.Float64() < 0.01 {
			delay += time.Duration(s.random.Int64N(int64(time.Second)))
		}
		s.packets = append(s.packets, packet{at: s.now + delay, from: from, to: to, message: message})
	}
}

func (s *schedule) deliver() {
	var later []packet
	due := s.packets
	s.packets = nil
	for _, p := range due {
		node := s.nodes[p.to]
		switch {
		case p.at > s.now || node.frozenSteps > 0:
			later = append(later, p)
		case node.downSteps == 0:
			s.step(node, replica.Receive{From: p.from, Message: p.message})
		}
	}
	s.packets = append(s.packets, later...)
}

func (s *schedule) apply(node *testNode, entry replica.Entry) {
	s.expect(entry.Index == node.lastApplied+1, "%s applies entry %d right after entry %d", node.id, entry.Index, node.lastApplied)
	node.lastApplied = entry.Index
	text := fmt.Sprintf("%d %s %v", entry.Term, entry.Data, entry.Members)
	earlier, ok := s.committed[entry.Index]
	s.expect(!ok || earlier == text, "the entry at index %d differs: %q on %s, but %q was applied there before", entry.Index, text, node.id, earlier)
	s.committed[entry.Index] = text
}

// checkLeases fails if two nodes hold a leader lease at the same time. A stale
// leader would then grant slots and serve reads beside the new one.
func (s *schedule) checkLeases() {
	holder := ""
	for _, id := range s.order {
		node := s.nodes[id]
		if node.downSteps > 0 || node.replica.LeaseEnd(s.clock(node)).IsZero() {
			continue
		}
		s.expect(holder == "", "%s and %s both hold the leader lease at %v", holder, id, s.now)
		holder = id
	}
}

func (s *schedule) expect(ok bool, format string, args ...any) {
	if !ok {
		ginkgo.Fail(fmt.Sprintf("seed %d at %v: ", s.seed, s.now) + fmt.Sprintf(format, args...))
	}
}
