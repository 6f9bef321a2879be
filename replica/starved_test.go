package replica_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/script"
)

// starvedNode is a replica that gets the processor only now and then. It then
// handles the messages that wait, and after them the timers.
type starvedNode struct {
	id      string
	replica *replica.Replica
	// nextRun is when it gets the processor, and blockedUntil when its last sync ends.
	nextRun      time.Time
	blockedUntil time.Time
	inbox        []delivery
	// absent is true until a voter that returns runs for the first time.
	absent bool
	// first is the snapshot that it starts with.
	first replica.Snapshot
}

// delivery is a message that arrives at a time.
type delivery struct {
	at      time.Time
	receive replica.Receive
}

// wire is a connection from one voter to another. It carries one message after the other.
type wire struct {
	from, to string
	large    bool
}

// starvedGroup is a group of voters whose time the test file advances.
type starvedGroup struct {
	nodes []*starvedNode
	// bytesPerMS is the rate of each wire; zero means that messages take no time. freeAt is
	// when a wire has carried what was sent over it.
	bytesPerMS int
	freeAt     map[wire]time.Time
	// sharedWires makes large messages use the wires of all others.
	sharedWires bool
	// loseLarge is how many large messages are lost yet.
	loseLarge int
	// orderBytes is the size of a command, of which one is proposed every second; zero means none.
	orderBytes int
	applied    map[uint64]bool
	now        time.Time
	elections  int
	leader     string
	// timersFirst makes a voter handle its timers before the messages that wait.
	timersFirst bool
}

var _ = script.Describe("starved voters", "testdata/starved*.txt", func() script.Handler {
	g := &starvedGroup{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	return func(c script.Case) string {
		switch c.Command {
		case "voters":
			g.start(c.Int("count", 3), uint64(c.Int("seed", 1)))
			if c.Bool("former") {
				g.addFormer()
			}
			return ""
		case "run":
			return g.run(c)
		}
		return "unknown command"
	}
})

func (g *starvedGroup) start(count int, seed uint64) {
	var members replica.Members
	for i := range count {
		members.Voters = append(members.Voters, fmt.Sprintf("v%d", i))
	}
	for _, id := range members.Voters {
		g.add(id, replica.Snapshot{Index: 1, Term: 1, Members: members}, seed)
	}
}

// addFormer adds a replica that was removed from the group while it was cut off: it still takes
// itself for a voter, and lacks the last entries.
func (g *starvedGroup) addFormer() {
	voters := []string{"former"}
	for _, n := range g.nodes[1:] {
		voters = append(voters, n.id)
	}
	g.add("former", replica.Snapshot{Members: replica.Members{Voters: voters}}, 1)
}

func (g *starvedGroup) add(id string, first replica.Snapshot, seed uint64) {
	config := replica.Config{
		ID: id, HeartbeatInterval: 90 * time.Millisecond, ElectionTimeout: 450 * time.Millisecond,
		MaxDrift: 25 * time.Millisecond, MaxAppendEntries: 128, LargeBytes: 64 << 10, VoteAtStart: true,
	}
	random := rand.New(rand.NewPCG(seed, uint64(len(g.nodes))))
	g.nodes = append(g.nodes, &starvedNode{
		id: id, replica: replica.New(config, replica.PersistentState{Snapshot: first}, random, g.now), nextRun: g.now, first: first,
	})
}

// run lets the group run. Each node gets the processor when it is due, and then
// after a pause drawn between pause_min and pause_max again. A sync takes sync_ms.
// With kill, the leader stops first.
func (g *starvedGroup) run(c script.Case) string {
	random := rand.New(rand.NewPCG(uint64(c.Int("seed", 1)), 7))
	pauseMin, pauseMax := c.Int("pause_min", 1), c.Int("pause_max", 2)
	sync := time.Duration(c.Int("sync_ms", 1)) * time.Millisecond
	killed := ""
	if c.Bool("kill_leader") {
		killed = g.leader
		g.leader = ""
	}
	g.elections, g.timersFirst = 0, c.Bool("timers_first")
	g.bytesPerMS, g.sharedWires, g.orderBytes = c.Int("bytes_per_ms", 0), c.Bool("shared_wires"), c.Int("order_kb", 0)<<10
	g.loseLarge = c.Int("lose_large", 0)
	g.freeAt, g.applied = map[wire]time.Time{}, map[uint64]bool{}
	start := g.now
	elected := time.Duration(0)
	for i, ms := range c.List("return_ms") {
		delay, err := strconv.Atoi(ms)
		if err != nil {
			return err.Error()
		}
		g.returnAt(g.nodes[i], g.now.Add(time.Duration(delay)*time.Millisecond), uint64(c.Int("seed", 1)), uint64(i))
	}
	for end := g.now.Add(time.Duration(c.Int("ms", 1000)) * time.Millisecond); g.now.Before(end); g.now = g.now.Add(time.Millisecond) {
		g.proposeOrder(g.now.Sub(start))
		for _, n := range g.nodes {
			if n.id == killed || g.now.Before(n.nextRun) || g.now.Before(n.blockedUntil) {
				continue
			}
			before := g.elections
			g.turn(n, sync)
			if g.elections > before {
				elected = g.now.Sub(start)
			}
			n.absent = false
			n.nextRun = g.now.Add(time.Duration(pauseMin+random.IntN(pauseMax-pauseMin)) * time.Millisecond)
		}
	}
	g.nodes = without(g.nodes, killed)
	text := fmt.Sprintf("elections=%d", g.elections)
	if g.orderBytes > 0 {
		text += fmt.Sprintf(" orders_applied=%d", len(g.applied))
	}
	if within := c.Int("within_ms", 0); within > 0 {
		text += fmt.Sprintf(" within_%d_ms=%v", within, elected > 0 && elected <= time.Duration(within)*time.Millisecond)
	}
	if c.Bool("kill_leader") {
		text += fmt.Sprintf(" within_1100_ms=%v", elected > 0 && elected <= 1100*time.Millisecond)
	}
	return text
}

// returnAt starts a voter again at a time, with what it had saved. What is sent to it
// before is lost.
func (g *starvedGroup) returnAt(n *starvedNode, at time.Time, seed, index uint64) {
	saved := replica.PersistentState{HardState: n.replica.HardState, Snapshot: n.first}
	n.replica = replica.New(n.replica.Config, saved, rand.New(rand.NewPCG(seed, index)), at)
	n.inbox, n.nextRun, n.blockedUntil, n.absent = nil, at, at, true
	g.leader = ""
}

func without(nodes []*starvedNode, id string) []*starvedNode {
	var kept []*starvedNode
	for _, n := range nodes {
		if n.id != id {
			kept = append(kept, n)
		}
	}
	return kept
}

// proposeOrder proposes a command to the leader at each full second of a run.
func (g *starvedGroup) proposeOrder(age time.Duration) {
	if g.orderBytes == 0 || age%time.Second != 0 {
		return
	}
	for _, n := range g.nodes {
		if n.replica.Role == replica.RoleLeader {
			g.perform(n, n.replica.Step(g.now, replica.Propose{Data: make([]byte, g.orderBytes)}), 0)
		}
	}
}

// arrivalOf returns when a message arrives that is sent now, and occupies its wire until then.
func (g *starvedGroup) arrivalOf(from string, send replica.Send) time.Time {
	if g.bytesPerMS == 0 {
		return g.now
	}
	w := wire{from, send.To, send.Large && !g.sharedWires}
	if g.freeAt[w].Before(g.now) {
		g.freeAt[w] = g.now
	}
	g.freeAt[w] = g.freeAt[w].Add(time.Duration(messageBytes(send.Message)/g.bytesPerMS) * time.Millisecond)
	return g.freeAt[w]
}

func messageBytes(m replica.Message) int {
	sum := 100
	switch m := m.(type) {
	case replica.AppendRequest:
		for _, e := range m.Entries {
			sum += len(e.Data)
		}
	case replica.SnapshotRequest:
		sum += len(m.Snapshot.Data)
	case replica.AppendReply, replica.VoteRequest, replica.VoteReply, replica.ElectionRequest:
	}
	return sum
}

// arrived removes the messages that have arrived from an inbox and returns them.
func (n *starvedNode) arrived(now time.Time) []replica.Receive {
	var due []replica.Receive
	var later []delivery
	for _, d := range n.inbox {
		if d.at.After(now) {
			later = append(later, d)
			continue
		}
		due = append(due, d.receive)
	}
	n.inbox = later
	return due
}

func (g *starvedGroup) turn(n *starvedNode, sync time.Duration) {
	var effects []replica.Effect
	if g.timersFirst {
		effects = n.replica.Step(g.now, replica.Tick{})
	}
	for _, m := range n.arrived(g.now) {
		effects = append(effects, n.replica.Step(g.now, m)...)
	}
	effects = append(effects, n.replica.Step(g.now, replica.Tick{})...)
	g.perform(n, effects, sync)
}

func (g *starvedGroup) perform(n *starvedNode, effects []replica.Effect, sync time.Duration) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case replica.SaveHardState, replica.SaveEntries, replica.SaveSnapshot:
			n.blockedUntil = g.now.Add(sync)
		case replica.Send:
			if e.Large && g.loseLarge > 0 {
				g.loseLarge--
				continue
			}
			at := g.arrivalOf(n.id, e)
			for _, to := range g.nodes {
				if to.id == e.To && !to.absent {
					to.inbox = append(to.inbox, delivery{at, replica.Receive{From: n.id, Message: e.Message}})
				}
			}
		case replica.RoleChanged:
			if e.Role == replica.RoleLeader {
				g.elections++
				g.leader = n.id
			}
		case replica.Apply:
			if len(e.Entry.Data) > 0 {
				g.applied[e.Entry.Index] = true
			}
		case replica.Restore, replica.Appended, replica.ProposalRefused:
		}
	}
}
