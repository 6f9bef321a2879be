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

// schedules is how many random schedules run; more by the flag.
var schedules = flag.Int("replica.schedules", 150, "number of random schedules")

// firstSeed is the seed of the first schedule.
var firstSeed = flag.Uint64("replica.seed", 1, "seed of the first random schedule")

func TestReplica(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "replica")
}

var _ = ginkgo.Describe("random schedules", func() {
	ginkgo.It("keep the invariants under loss, delay, crashes, freezes and cuts", func() {
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
		gomega.Expect(applied).To(gomega.BeNumerically(">", *schedules*20))
		gomega.Expect(leaders).To(gomega.BeNumerically(">", *schedules))
	})
})

const (
	stepTime     = 5 * time.Millisecond
	scheduleTime = 12 * time.Second
	nodes        = 4
)

// host is a replica with a disk, a clock and a network.
type host struct {
	id      string
	replica *replica.Replica
	durable replica.Saved
	// applied holds the applied entries by index.
	applied map[uint64]string
	last    uint64
	frozen  int
	down    int
	// rate is how fast the host's clock runs.
	rate float64
}

type packet struct {
	at      time.Duration
	from    string
	to      string
	message replica.Message
}

// schedule is one random history of a system.
type schedule struct {
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	hosts   map[string]*host
	order   []string
	packets []packet
	// cut holds the pairs whose packets are lost, one way.
	cut       map[string]bool
	committed map[uint64]string
	leaders   map[uint64]string
	token     uint64
	crashes   int
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSchedule(seed uint64) *schedule {
	s := &schedule{
		seed: seed, random: rand.New(rand.NewPCG(seed, 7)), hosts: map[string]*host{},
		cut: map[string]bool{}, committed: map[uint64]string{}, leaders: map[uint64]string{},
	}
	first := replica.Snapshot{Index: 1, Term: 1, Members: replica.Members{Voters: []string{"a/1", "b/1", "c/1"}}}
	for i, id := range []string{"a/1", "b/1", "c/1", "d/1"} {
		h := &host{id: id, applied: map[uint64]string{}, rate: 1 + 0.02*(s.random.Float64()-0.5)}
		if i < 3 {
			h.durable = replica.Saved{HardState: replica.HardState{Term: 1}, Snapshot: first}
		}
		s.hosts[id] = h
		s.order = append(s.order, id)
		s.start(h)
	}
	return s
}

func (s *schedule) clock(h *host) time.Time {
	return epoch.Add(time.Duration(float64(s.now) * h.rate))
}

func (s *schedule) start(h *host) {
	cfg := replica.Config{
		ID: h.id, HeartbeatEvery: 50 * time.Millisecond, ElectionTimeout: 300 * time.Millisecond,
		MaxDrift: 30 * time.Millisecond, MaxAppendEntries: 8,
	}
	saved := h.durable
	saved.Entries = append([]replica.Entry(nil), h.durable.Entries...)
	h.replica = replica.New(cfg, saved, rand.New(rand.NewPCG(s.seed, uint64(len(h.id)))), s.clock(h))
	h.last = saved.Snapshot.Index
}

func (s *schedule) run() {
	for s.now < scheduleTime {
		s.now += stepTime
		s.disturb()
		s.deliver()
		for _, id := range s.order {
			h := s.hosts[id]
			if h.down > 0 || h.frozen > 0 {
				h.down = max(0, h.down-1)
				h.frozen = max(0, h.frozen-1)
				continue
			}
			s.step(h, replica.Tick{})
			s.propose(h)
		}
		s.checkLeases()
	}
}

// disturb crashes, freezes and cuts at random, and heals now and then.
func (s *schedule) disturb() {
	h := s.hosts[s.order[s.random.IntN(nodes)]]
	switch x := s.random.Float64(); {
	case x < 0.002:
		s.crashes++
		s.start(h)
		h.down = s.random.IntN(200)
	case x < 0.004:
		h.frozen = s.random.IntN(150)
	case x < 0.006:
		s.cut[h.id+s.order[s.random.IntN(nodes)]] = true
	case x < 0.008:
		for _, other := range s.order {
			s.cut[h.id+other] = true
			s.cut[other+h.id] = true
		}
	case x < 0.014:
		s.cut = map[string]bool{}
	}
}

func (s *schedule) propose(h *host) {
	if h.replica.Role != replica.RoleLeader {
		return
	}
	switch x := s.random.Float64(); {
	case x < 0.2:
		s.token++
		s.step(h, replica.Propose{Token: s.token, Data: fmt.Appendf(nil, "%s-%d", h.id, s.token)})
	case x < 0.203:
		s.step(h, replica.HandOver{})
	case x < 0.21:
		s.step(h, replica.Compact{Index: h.last, Data: fmt.Appendf(nil, "%d", h.last)})
	case x < 0.22:
		plan := replica.Plan{Target: 3, After: time.Second}
		standbys := []replica.Identity{{ReplicaID: "d/1", Instance: "d"}, {ReplicaID: "a/1", Instance: "a"}, {ReplicaID: "b/1", Instance: "b"}, {ReplicaID: "c/1", Instance: "c"}}
		if m, due := plan.Next(h.replica, standbys, s.clock(h)); due {
			s.step(h, replica.ChangeMembers{Members: m})
		}
	}
}

// step runs an event and its effects. A crash in between loses what was not
// saved yet, and all that was not sent.
func (s *schedule) step(h *host, e replica.Event) {
	effects := h.replica.Step(s.clock(h), e)
	if s.random.Float64() < 0.0005 {
		s.crashes++
		s.start(h)
		return
	}
	for _, effect := range effects {
		h.save(effect)
	}
	if s.random.Float64() < 0.0005 {
		s.crashes++
		s.start(h)
		return
	}
	for _, effect := range effects {
		s.perform(h, effect)
	}
}

func (h *host) save(effect replica.Effect) {
	switch e := effect.(type) {
	case replica.SaveHardState:
		h.durable.HardState = e.HardState
	case replica.SaveEntries:
		kept := h.durable.Entries
		for len(kept) > 0 && kept[len(kept)-1].Index >= e.Entries[0].Index {
			kept = kept[:len(kept)-1]
		}
		h.durable.Entries = append(append([]replica.Entry(nil), kept...), e.Entries...)
	case replica.SaveSnapshot:
		h.durable.Snapshot = e.Snapshot
		kept := h.durable.Entries
		for len(kept) > 0 && (e.Reset || kept[0].Index <= e.Snapshot.Index) {
			kept = kept[1:]
		}
		h.durable.Entries = kept
	case replica.Send, replica.Apply, replica.Restore, replica.Appended, replica.Refused, replica.RoleChanged:
	}
}

func (s *schedule) perform(h *host, effect replica.Effect) {
	switch e := effect.(type) {
	case replica.Send:
		s.send(h.id, e.To, e.Message)
	case replica.Apply:
		s.apply(h, e.Entry)
	case replica.Restore:
		s.expect(e.Snapshot.Index >= h.last, "applied prefix of %s shrinks from %d to %d", h.id, h.last, e.Snapshot.Index)
		h.last = e.Snapshot.Index
	case replica.RoleChanged:
		if e.Role == replica.RoleLeader {
			other, known := s.leaders[e.Term]
			s.expect(!known || other == h.id, "term %d has the leaders %s and %s", e.Term, other, h.id)
			s.leaders[e.Term] = h.id
		}
	case replica.SaveHardState, replica.SaveEntries, replica.SaveSnapshot, replica.Appended, replica.Refused:
	}
}

func (s *schedule) send(from, to string, m replica.Message) {
	copies := 1
	switch x := s.random.Float64(); {
	case s.cut[from+to] || x < 0.03:
		copies = 0
	case x < 0.05:
		copies = 2
	}
	for range copies {
		delay := time.Duration(s.random.ExpFloat64() * float64(4*time.Millisecond))
		if s.random.Float64() < 0.01 {
			delay += time.Duration(s.random.Int64N(int64(time.Second)))
		}
		s.packets = append(s.packets, packet{at: s.now + delay, from: from, to: to, message: m})
	}
}

func (s *schedule) deliver() {
	var later []packet
	due := s.packets
	s.packets = nil
	for _, p := range due {
		h := s.hosts[p.to]
		switch {
		case p.at > s.now || h.frozen > 0:
			later = append(later, p)
		case h.down == 0:
			s.step(h, replica.Receive{From: p.from, Message: p.message})
		}
	}
	s.packets = append(s.packets, later...)
}

func (s *schedule) apply(h *host, e replica.Entry) {
	s.expect(e.Index == h.last+1, "%s applies %d after %d", h.id, e.Index, h.last)
	h.last = e.Index
	text := fmt.Sprintf("%d %s %v", e.Term, e.Data, e.Members)
	known, ok := s.committed[e.Index]
	s.expect(!ok || known == text, "index %d is %q on %s, but was %q", e.Index, text, h.id, known)
	s.committed[e.Index] = text
}

// checkLeases looks for two leaders that both think that nobody else leads.
func (s *schedule) checkLeases() {
	holder := ""
	for _, id := range s.order {
		h := s.hosts[id]
		if h.down > 0 || h.replica.LeaseEnd(s.clock(h)).IsZero() {
			continue
		}
		s.expect(holder == "", "%s and %s hold the lease at %v", holder, id, s.now)
		holder = id
	}
}

func (s *schedule) expect(ok bool, format string, args ...any) {
	if !ok {
		ginkgo.Fail(fmt.Sprintf("seed %d at %v: ", s.seed, s.now) + fmt.Sprintf(format, args...))
	}
}
