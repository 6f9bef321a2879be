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
	ginkgo.It("keep every server within its concurrency limit, and send nothing to servers that are drained or out of service", func() {
		attempts, borrowedAttempts := 0, 0
		for i := range *schedules {
			s := newSchedule(*firstSeed + uint64(i))
			s.run()
			attempts += s.attempts
			borrowedAttempts += s.borrowedAttempts
		}
		ginkgo.GinkgoWriter.Printf("seeds %d to %d: %d attempts, %d of them on borrowed slots\n",
			*firstSeed, *firstSeed+uint64(*schedules)-1, attempts, borrowedAttempts)
		gomega.Expect(attempts).To(gomega.BeNumerically(">", *schedules*200))
		gomega.Expect(borrowedAttempts).To(gomega.BeNumerically(">", *schedules))
	})
})

const (
	stepInterval     = 5 * time.Millisecond
	scheduleDuration = 20 * time.Second
	entryCount       = 4
	serverCount      = 5
	warmSlots        = 4
	coldSlots        = 1
	coldDuration     = 900 * time.Millisecond
	maxDeadline      = time.Second
	// maxOrderDelay is the target for the time until an order takes effect in
	// every entry.
	maxOrderDelay = 3 * time.Second
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// schedule is one random run: entries and owners with their own clocks, a
// network that loses and delays messages, and servers that count their running
// attempts.
type schedule struct {
	seed      uint64
	random    *rand.Rand
	now       time.Duration
	owner     *slot.Owner
	term      uint64
	catalog   *catalog.Catalog
	entries   map[string]*entryHost
	servers   map[string]*simulatedServer
	scheduled []scheduledAction
	// disconnectedUntil holds, by entry, the time until which the entry can't
	// send or receive messages.
	disconnectedUntil map[string]time.Duration
	nextCall          call.ID
	// outSince holds, by failure domain, the time since which it is out of
	// service.
	outSince         map[string]time.Duration
	attempts         int
	borrowedAttempts int
}

// entryHost runs one entry with a clock of its own.
type entryHost struct {
	name        string
	core        *entry.Entry
	boot        int
	clockRate   float64
	frozenUntil time.Duration
	lender      map[uint64]slot.Lender
}

// simulatedServer counts the attempts that really run on it.
type simulatedServer struct {
	name          string
	domain        string
	boot          int
	sequence      uint64
	running       map[string]time.Duration
	draining      bool
	drainingSince time.Duration
	// coldUntil is the end of the cold start, before which the server can
	// handle only coldSlots attempts.
	coldUntil time.Duration
}

// scheduledAction is the delivery of a message, or the end of an attempt or of
// a timer, that is due at a time.
type scheduledAction struct {
	dueAt time.Duration
	run   func()
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{
		seed: seed, random: rand.New(rand.NewPCG(seed, 3)), owner: slot.NewOwner(),
		catalog: catalog.New(), entries: map[string]*entryHost{}, servers: map[string]*simulatedServer{},
		disconnectedUntil: map[string]time.Duration{}, outSince: map[string]time.Duration{},
	}
	document := service.Defaults("booking")
	document.Limits.SlotsPerServer = warmSlots
	document.Limits.MaxDeadlineMS = maxDeadline.Milliseconds()
	document.Cold.Slots = coldSlots
	document.Cold.HoldMS = 1000
	document.Cold.StepMS = 100
	s.catalog.Apply(1, record.PutDocument{ChangeID: "1", Document: document})
	for i := range entryCount {
		s.startEntry(fmt.Sprintf("e%d", i))
	}
	for i := range serverCount {
		name := fmt.Sprintf("s%d", i)
		s.servers[name] = &simulatedServer{name: name, domain: fmt.Sprintf("d%d", i%3), running: map[string]time.Duration{}, coldUntil: coldDuration}
	}
	return s
}

func (s *schedule) startEntry(name string) {
	boot := 0
	if host := s.entries[name]; host != nil {
		boot = host.boot + 1
	}
	cfg := entry.Config{Name: name, BootID: fmt.Sprint(boot), Address: name, Domain: "d" + name[1:], Policy: choice.Expected{}}
	s.entries[name] = &entryHost{
		name: name, boot: boot, core: entry.New(cfg, rand.New(rand.NewPCG(s.seed, 5))),
		clockRate: 1 + 0.01*(s.random.Float64()-0.5), lender: map[uint64]slot.Lender{},
	}
}

func (s *schedule) clock(host *entryHost) time.Time {
	return epoch.Add(time.Duration(float64(s.now) * host.clockRate))
}

func (s *schedule) run() {
	s.startOwner()
	for s.now < scheduleDuration {
		s.now += stepInterval
		s.runDue()
		s.injectFault()
		s.announce()
		for _, name := range slices.Sorted(maps.Keys(s.entries)) {
			host := s.entries[name]
			if host.frozenUntil > s.now {
				continue
			}
			s.generateCalls(host)
			s.step(host, entry.Ticked{})
		}
		if s.owner.Term != 0 {
			s.stepOwner(slot.Ticked{})
		}
	}
}

// startOwner replaces the owner by a new one. The replicated log ensures that
// the lease of the previous owner has ended.
func (s *schedule) startOwner() {
	s.term++
	s.owner = slot.NewOwner()
	s.stepOwner(slot.CatalogChanged{Catalog: s.catalog})
	renewOnlyUntil := s.ownerClock().Add(slot.LeaseDuration + slot.MaxClockDrift)
	s.stepOwner(slot.BecameLeader{Term: s.term, RenewOnlyUntil: renewOnlyUntil})
}

func (s *schedule) ownerClock() time.Time { return epoch.Add(s.now) }

func (s *schedule) injectFault() {
	names := slices.Sorted(maps.Keys(s.entries))
	host := s.entries[names[s.random.IntN(len(names))]]
	servers := slices.Sorted(maps.Keys(s.servers))
	server := s.servers[servers[s.random.IntN(len(servers))]]
	switch draw := s.random.Float64(); {
	case draw < 0.002:
		s.disconnectedUntil[host.name] = s.now + time.Duration(s.random.Int64N(int64(5*time.Second)))
	case draw < 0.003:
		host.frozenUntil = s.now + time.Duration(s.random.Int64N(int64(4*time.Second)))
	case draw < 0.004:
		s.restartEntry(host)
	case draw < 0.006:
		s.rebootServer(server)
	case draw < 0.007:
		s.startOwner()
	case draw < 0.008:
		server.draining = !server.draining
		server.drainingSince = s.now
	case draw < 0.009:
		s.toggleDomain(server.domain)
	}
}

// restartEntry restarts an entry. Its calls end on the servers.
func (s *schedule) restartEntry(host *entryHost) {
	for _, server := range s.servers {
		maps.DeleteFunc(server.running, func(key string, _ time.Duration) bool { return key[:2] == host.name })
	}
	s.startEntry(host.name)
}

// rebootServer restarts a server, which is then cold. The entries see their
// connections close.
func (s *schedule) rebootServer(server *simulatedServer) {
	old := s.bootID(server)
	server.boot++
	server.sequence = 0
	server.draining = false
	server.running = map[string]time.Duration{}
	server.coldUntil = s.now + coldDuration
	for _, host := range s.entries {
		host := host
		s.runAfter(time.Millisecond, func() {
			if s.entries[host.name] == host {
				s.step(host, entry.ConnectionLost{Server: server.name, BootID: old})
			}
		})
	}
}

func (s *schedule) bootID(server *simulatedServer) string {
	return fmt.Sprintf("%s-%d", server.name, server.boot)
}

func (s *schedule) toggleDomain(domain string) {
	out := !s.catalog.OutDomains[domain]
	index := s.catalog.Index + 1
	s.catalog.Apply(index, record.SetDomain{ChangeID: fmt.Sprint(index), Domain: domain, Out: out})
	delete(s.outSince, domain)
	if out {
		s.outSince[domain] = s.now
	}
	s.stepOwner(slot.CatalogChanged{Catalog: s.catalog})
}

func (s *schedule) announce() {
	if s.now%(200*time.Millisecond) != 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		server := s.servers[name]
		server.sequence++
		announcement := membership.Announcement{
			Server: name, Service: "booking", Domain: server.domain, Address: name, BootID: s.bootID(server),
			Sequence: server.sequence, Slots: warmSlots, State: membership.StateReady,
		}
		if server.draining {
			announcement.State = membership.StateDraining
		}
		// The platform's balancer sends only to instances that are ready.
		host := s.entries[fmt.Sprintf("e%d", s.random.IntN(entryCount))]
		if host.frozenUntil <= s.now && s.clock(host).Before(host.core.LeaseEnd) {
			s.step(host, entry.AnnouncementReceived{Announcement: announcement})
		}
	}
}

// generateCalls lets calls arrive in bursts, so that the demand moves between
// entries.
func (s *schedule) generateCalls(host *entryHost) {
	burst := int(s.now/(500*time.Millisecond))%entryCount == int(host.name[1]-'0')
	probability := 0.1
	if burst {
		probability = 0.9
	}
	if s.random.Float64() > probability {
		return
	}
	s.nextCall++
	now := s.clock(host)
	s.step(host, entry.Arrived{Request: call.Request{
		ID: s.nextCall, Service: "booking", Depth: 1, Idempotent: s.random.IntN(2) == 0,
		Arrived: now, Deadline: now.Add(maxDeadline),
	}})
	id := s.nextCall
	s.runAfter(maxDeadline, func() { s.endCallAtDeadline(host, id) })
}

// endCallAtDeadline ends a call at its deadline and cancels its attempts.
func (s *schedule) endCallAtDeadline(host *entryHost, id call.ID) {
	if s.entries[host.name] != host {
		return
	}
	prefix := fmt.Sprintf("%s/%d/", host.name, id)
	for _, server := range s.servers {
		for key := range server.running {
			if len(key) > len(prefix) && key[:len(prefix)] == prefix {
				delete(server.running, key)
			}
		}
	}
	if host.frozenUntil > s.now {
		s.runAfter(host.frozenUntil-s.now, func() { s.endCallAtDeadline(host, id) })
		return
	}
	s.step(host, entry.CallClosed{Call: id})
}

func (s *schedule) runAfter(delay time.Duration, run func()) {
	s.scheduled = append(s.scheduled, scheduledAction{dueAt: s.now + delay, run: run})
}

func (s *schedule) runDue() {
	due := s.scheduled
	s.scheduled = nil
	var pending []scheduledAction
	for _, action := range due {
		if action.dueAt > s.now {
			pending = append(pending, action)
			continue
		}
		action.run()
	}
	s.scheduled = append(pending, s.scheduled...)
}

// transmit delivers a message of an entry or to it, with a random delay, or
// loses it.
func (s *schedule) transmit(host *entryHost, deliver func()) {
	if s.disconnectedUntil[host.name] > s.now || s.random.Float64() < 0.02 {
		return
	}
	delay := time.Duration(s.random.ExpFloat64() * float64(2*time.Millisecond))
	if s.random.Float64() < 0.01 {
		delay += time.Duration(s.random.Int64N(int64(3 * time.Second)))
	}
	s.runAfter(delay, deliver)
}

func (s *schedule) expect(ok bool, format string, args ...any) {
	if !ok {
		ginkgo.Fail(fmt.Sprintf("seed %d at %v: ", s.seed, s.now) + fmt.Sprintf(format, args...))
	}
}
