package slot_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/slot"
)

var (
	schedules = flag.Int("slot.schedules", 60, "number of random schedules")
	firstSeed = flag.Uint64("slot.seed", 1, "seed of the first random schedule")
)

var _ = ginkgo.Describe("random schedules of entries and owners", func() {
	ginkgo.It("keep every server within what it bears, and leave alone what is out", func() {
		runs, borrowed := 0, 0
		for i := range *schedules {
			s := newSchedule(*firstSeed + uint64(i))
			s.run()
			runs += s.runs
			borrowed += s.borrowed
		}
		ginkgo.GinkgoWriter.Printf("seeds %d to %d: %d runs, %d of them on borrowed slots\n",
			*firstSeed, *firstSeed+uint64(*schedules)-1, runs, borrowed)
		gomega.Expect(runs).To(gomega.BeNumerically(">", *schedules*200))
		gomega.Expect(borrowed).To(gomega.BeNumerically(">", *schedules))
	})
})

const (
	stepTime     = 5 * time.Millisecond
	scheduleTime = 20 * time.Second
	entryCount   = 4
	serverCount  = 5
	warmSlots    = 4
	coldSlots    = 1
	coldTime     = 900 * time.Millisecond
	maxDeadline  = time.Second
	// outLimit is the target for the time in which orders take hold.
	outLimit = 3 * time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// schedule is one random history: entries and owners with their own clocks,
// a network that loses and delays, and servers that count what runs.
type schedule struct {
	seed    uint64
	random  *rand.Rand
	now     time.Duration
	owner   *slot.Owner
	term    uint64
	catalog *catalog.Catalog
	entries map[string]*host
	servers map[string]*server
	mail    []mail
	// cutUntil holds until when an entry can't reach the owner.
	cutUntil map[string]time.Duration
	nextCall call.ID
	outSince map[string]time.Duration
	runs     int
	borrowed int
}

type host struct {
	name   string
	core   *entry.Entry
	boot   int
	rate   float64
	frozen time.Duration
	lender map[uint64]slot.Lender
}

// server counts the attempts that it really runs.
type server struct {
	name     string
	domain   string
	boot     int
	sequence uint64
	running  map[string]time.Duration
	draining bool
	drained  time.Duration
	// coldUntil is until when the server bears coldSlots only.
	coldUntil time.Duration
}

// mail is a message or an end of an attempt that is due at a time.
type mail struct {
	at   time.Duration
	what func()
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{
		seed: seed, random: rand.New(rand.NewPCG(seed, 3)), owner: slot.NewOwner(),
		catalog: catalog.New(), entries: map[string]*host{}, servers: map[string]*server{},
		cutUntil: map[string]time.Duration{}, outSince: map[string]time.Duration{},
	}
	d := service.Defaults("booking")
	d.Limits.SlotsPerServer = warmSlots
	d.Limits.MaxDeadlineMS = maxDeadline.Milliseconds()
	d.Cold.Slots = coldSlots
	d.Cold.HoldMS = 1000
	d.Cold.StepMS = 100
	s.catalog.Apply(1, record.PutDocument{ChangeID: "1", Document: d})
	for i := range entryCount {
		s.startEntry(fmt.Sprintf("e%d", i))
	}
	for i := range serverCount {
		name := fmt.Sprintf("s%d", i)
		s.servers[name] = &server{name: name, domain: fmt.Sprintf("d%d", i%3), running: map[string]time.Duration{}, coldUntil: coldTime}
	}
	return s
}

func (s *schedule) startEntry(name string) {
	boot := 0
	if h := s.entries[name]; h != nil {
		boot = h.boot + 1
	}
	cfg := entry.Config{Name: name, BootID: fmt.Sprint(boot), Address: name, Domain: "d" + name[1:], Policy: choice.Expected{}}
	s.entries[name] = &host{
		name: name, boot: boot, core: entry.New(cfg, rand.New(rand.NewPCG(s.seed, 5))),
		rate: 1 + 0.01*(s.random.Float64()-0.5), lender: map[uint64]slot.Lender{},
	}
}

func (s *schedule) clock(h *host) time.Time {
	return epoch.Add(time.Duration(float64(s.now) * h.rate))
}

func (s *schedule) run() {
	s.elect()
	for s.now < scheduleTime {
		s.now += stepTime
		s.deliver()
		s.disturb()
		s.announce()
		for _, name := range slices.Sorted(maps.Keys(s.entries)) {
			h := s.entries[name]
			if h.frozen > s.now {
				continue
			}
			s.arrive(h)
			s.step(h, entry.Ticked{})
		}
		if s.owner.Term != 0 {
			s.stepOwner(slot.Ticked{})
		}
	}
}

// elect lets a new owner begin. The replicated log makes sure that the lease
// of the one before has ended.
func (s *schedule) elect() {
	s.term++
	s.owner = slot.NewOwner()
	s.stepOwner(slot.Configured{Catalog: s.catalog})
	quiet := s.ownerClock().Add(slot.LeaseTime + slot.MaxDrift)
	s.stepOwner(slot.Led{Term: s.term, Quiet: quiet})
}

func (s *schedule) ownerClock() time.Time { return epoch.Add(s.now) }

func (s *schedule) disturb() {
	names := slices.Sorted(maps.Keys(s.entries))
	h := s.entries[names[s.random.IntN(len(names))]]
	servers := slices.Sorted(maps.Keys(s.servers))
	v := s.servers[servers[s.random.IntN(len(servers))]]
	switch x := s.random.Float64(); {
	case x < 0.002:
		s.cutUntil[h.name] = s.now + time.Duration(s.random.Int64N(int64(5*time.Second)))
	case x < 0.003:
		h.frozen = s.now + time.Duration(s.random.Int64N(int64(4*time.Second)))
	case x < 0.004:
		s.kill(h)
	case x < 0.006:
		s.reboot(v)
	case x < 0.007:
		s.elect()
	case x < 0.008:
		v.draining = !v.draining
		v.drained = s.now
	case x < 0.009:
		s.orderDomain(v.domain)
	}
}

// kill restarts an entry; the servers notice that its calls are gone.
func (s *schedule) kill(h *host) {
	for _, v := range s.servers {
		maps.DeleteFunc(v.running, func(key string, _ time.Duration) bool { return key[:2] == h.name })
	}
	s.startEntry(h.name)
}

// reboot starts a server cold; the entries see their connections end.
func (s *schedule) reboot(v *server) {
	old := s.boot(v)
	v.boot++
	v.sequence = 0
	v.draining = false
	v.running = map[string]time.Duration{}
	v.coldUntil = s.now + coldTime
	for _, h := range s.entries {
		h := h
		s.post(time.Millisecond, func() {
			if s.entries[h.name] == h {
				s.step(h, entry.ConnectionLost{Server: v.name, BootID: old})
			}
		})
	}
}

func (s *schedule) boot(v *server) string { return fmt.Sprintf("%s-%d", v.name, v.boot) }

func (s *schedule) orderDomain(domain string) {
	out := !s.catalog.OutDomains[domain]
	index := s.catalog.Index + 1
	s.catalog.Apply(index, record.SetDomain{ChangeID: fmt.Sprint(index), Domain: domain, Out: out})
	delete(s.outSince, domain)
	if out {
		s.outSince[domain] = s.now
	}
	s.stepOwner(slot.Configured{Catalog: s.catalog})
}

func (s *schedule) announce() {
	if s.now%(200*time.Millisecond) != 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		v := s.servers[name]
		v.sequence++
		a := membership.Announcement{
			Server: name, Service: "booking", Domain: v.domain, Address: name, BootID: s.boot(v),
			Sequence: v.sequence, Slots: warmSlots, State: membership.StateReady,
		}
		if v.draining {
			a.State = membership.StateDraining
		}
		// The platform's balancer sends to instances that are ready.
		h := s.entries[fmt.Sprintf("e%d", s.random.IntN(entryCount))]
		if h.frozen <= s.now && s.clock(h).Before(h.core.LeaseEnd) {
			s.step(h, entry.Announced{Announcement: a})
		}
	}
}

// arrive lets calls come in bursts, so that demand moves between entries.
func (s *schedule) arrive(h *host) {
	busy := int(s.now/(500*time.Millisecond))%entryCount == int(h.name[1]-'0')
	rate := 0.1
	if busy {
		rate = 0.9
	}
	if s.random.Float64() > rate {
		return
	}
	s.nextCall++
	now := s.clock(h)
	s.step(h, entry.Arrived{Request: call.Request{
		ID: s.nextCall, Service: "booking", Depth: 1, Idempotent: s.random.IntN(2) == 0,
		Arrived: now, Deadline: now.Add(maxDeadline),
	}})
	id := s.nextCall
	s.post(maxDeadline, func() { s.leave(h, id) })
}

// leave ends a call at its deadline; its attempts are canceled.
func (s *schedule) leave(h *host, id call.ID) {
	if s.entries[h.name] != h {
		return
	}
	prefix := fmt.Sprintf("%s/%d/", h.name, id)
	for _, v := range s.servers {
		for key := range v.running {
			if len(key) > len(prefix) && key[:len(prefix)] == prefix {
				delete(v.running, key)
			}
		}
	}
	if h.frozen > s.now {
		s.post(h.frozen-s.now, func() { s.leave(h, id) })
		return
	}
	s.step(h, entry.Left{Call: id})
}

func (s *schedule) post(after time.Duration, what func()) {
	s.mail = append(s.mail, mail{at: s.now + after, what: what})
}

func (s *schedule) deliver() {
	due := s.mail
	s.mail = nil
	var later []mail
	for _, m := range due {
		if m.at > s.now {
			later = append(later, m)
			continue
		}
		m.what()
	}
	s.mail = append(later, s.mail...)
}

// travel carries a message between an entry and the owner, or loses it.
func (s *schedule) travel(h *host, what func()) {
	if s.cutUntil[h.name] > s.now || s.random.Float64() < 0.02 {
		return
	}
	delay := time.Duration(s.random.ExpFloat64() * float64(2*time.Millisecond))
	if s.random.Float64() < 0.01 {
		delay += time.Duration(s.random.Int64N(int64(3 * time.Second)))
	}
	s.post(delay, what)
}

func (s *schedule) expect(ok bool, format string, args ...any) {
	if !ok {
		ginkgo.Fail(fmt.Sprintf("seed %d at %v: ", s.seed, s.now) + fmt.Sprintf(format, args...))
	}
}
