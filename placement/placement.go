// Package placement decides, at one entry, where a request goes: it probes a
// few upstreams, sends the request to the one that should answer first,
// repeats what may be repeated, and turns away what can't be served.
//
// An entry sees each upstream too seldom to know its load from its own calls:
// machines are shared, and their pace changes several times a second. So the
// choice is made on probes that are milliseconds old. The same probe shows
// that the upstream is the expected one, alive, and not cold. An entry that
// has lost the control instances goes on with the upstreams that it knows.
// The package is part of the core.
//
// # Usage
//
//	p := placement.New(config, random)
//	for event := range mailbox {
//		perform(p.Step(time.Now(), event))
//	}
package placement

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/retry"
	"github.com/oriolepost/oriolepost/route"
)

// Config holds what an entry is told once.
type Config struct {
	// Name is the entry's name; it settles which upstreams the entry asks first.
	Name string
	// Domain is the entry's failure domain.
	Domain string
	// RetryRatio, RetryWindow and RetrySlack bound the repeats of a service
	// over all entries.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdFactor and ColdSlack widen a service's cold rate to the bound that
	// holds in any second, over all entries.
	ColdFactor float64
	ColdSlack  float64
}

// Key names one incarnation of an upstream.
type Key struct {
	ID     string
	BornMS int64
}

// KeyOf gives the key of an upstream.
func KeyOf(u fleet.Upstream) Key { return Key{u.ID, u.BornMS} }

// Upstream is what the entry knows of an upstream.
type Upstream struct {
	Info fleet.Upstream
	// ring is how far the upstream is in the order of this entry, among those of
	// its failure domain or among the others: each ring holds ringSize.
	ring      int
	ColdUntil time.Time
	// Load is the newest report, taken at LoadAt; Since counts the attempts
	// that this entry started after it.
	Load   Load
	LoadAt time.Time
	Since  int
	// Probing is when the probe that is under way was sent; zero for none.
	Probing time.Time
	// Healthy is false after a probe was answered with "not healthy".
	Healthy  bool
	InFlight map[AttemptID]time.Time
	// Trouble is the recent failures as of TroubleAt, and AvoidUntil the pause
	// they bring.
	Trouble    float64
	TroubleAt  time.Time
	AvoidUntil time.Time
	// Slowness is how many times longer than expected answers took, as of
	// SlownessAt.
	Slowness   float64
	SlownessAt time.Time
	// coldSent are the requests sent within the last second while cold.
	coldSent []time.Time
}

// pending is a request that has no final answer yet.
type pending struct {
	request  Request
	attempts map[AttemptID]*attempt
	tried    map[Key]bool
	// sent counts the attempts that may have reached an upstream.
	sent    int
	made    int
	outcome Outcome
	// placing is true while the request waits for a place, until giveUpAt at
	// the latest.
	placing bool
	// late is true when the answer can't be on time any more.
	late     bool
	giveUpAt time.Time
	hedgeAt  time.Time
}

type attempt struct {
	upstream Key
	began    time.Time
	// expected is how long the answer should take.
	expected time.Duration
}

// State is the placement of one entry. One task owns it.
type State struct {
	Config Config
	// Upstreams holds the known upstreams by id.
	Upstreams map[string]*Upstream
	Services  map[string]route.Service
	// Index and Count are this entry's place among the entries; Touched is
	// when the leader last told so.
	Index, Count int
	Touched      time.Time

	byService  map[string][]*Upstream
	outDomains []string
	rooms      map[string]*room
	// lowest is the lowest rank that came for each service, as a number the
	// highest.
	lowest   map[string]int
	requests map[RequestID]*pending
	owners   map[AttemptID]RequestID
	budgets  map[string]*retry.Window
	// usual is the usual time of a route's requests at an upstream.
	usual       map[string]time.Duration
	nextAttempt AttemptID
	random      *rand.Rand
	effects     []Effect
}

// New returns the state before the first view.
func New(cfg Config, random *rand.Rand) *State {
	return &State{
		Config: cfg, random: random,
		Upstreams: map[string]*Upstream{}, Services: map[string]route.Service{},
		byService: map[string][]*Upstream{}, rooms: map[string]*room{}, lowest: map[string]int{}, requests: map[RequestID]*pending{},
		owners: map[AttemptID]RequestID{}, budgets: map[string]*retry.Window{},
		usual: map[string]time.Duration{},
	}
}

// Step handles one event.
func (s *State) Step(now time.Time, event Event) []Effect {
	s.effects = nil
	switch e := event.(type) {
	case Arrived:
		s.arrive(now, e.Request)
	case Left:
		s.leave(e.Request)
	case Probed:
		s.probed(now, e)
	case AttemptEnded:
		s.attemptEnded(now, e)
	case Viewed:
		s.viewed(now, e)
	case Placed:
		s.placed(now, e)
	case Ticked:
		s.tick(now)
	}
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// Idle reports whether no request is under way.
func (s *State) Idle() bool { return len(s.requests) == 0 }

// NextWake is when the state needs a Ticked; the zero time means never.
func (s *State) NextWake() time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, p := range s.requests {
		sooner(p.request.Deadline)
		sooner(p.hedgeAt)
		if p.placing {
			sooner(p.giveUpAt)
		}
	}
	for _, r := range s.rooms {
		if len(r.waiting) > 0 {
			sooner(r.nextAt)
		}
	}
	return next
}

// placed notes this entry's place among the entries.
func (s *State) placed(now time.Time, e Placed) {
	s.Touched = now
	s.Index, s.Count = e.Index, e.Count
	for _, w := range s.budgets {
		w.Slack = s.slackShare()
	}
}

// viewed takes what the leader told.
func (s *State) viewed(now time.Time, v Viewed) {
	s.outDomains = v.OutDomains
	if v.Services != nil {
		s.Services = v.Services
	}
	listed := map[string]bool{}
	for _, u := range v.Upstreams {
		listed[u.ID] = true
		s.take(now, u)
	}
	if v.Full && v.Settled {
		for id := range s.Upstreams {
			if !listed[id] {
				v.Removed = append(v.Removed, id)
			}
		}
	}
	slices.Sort(v.Removed)
	for _, id := range v.Removed {
		if u := s.Upstreams[id]; u != nil && !listed[id] {
			s.emit(Forget{KeyOf(u.Info)})
			delete(s.Upstreams, id)
		}
	}
	s.index()
}

func (s *State) take(now time.Time, u fleet.Upstream) {
	old := s.Upstreams[u.ID]
	if old != nil && old.Info.BornMS > u.BornMS {
		return
	}
	coldUntil := now.Add(time.Duration(u.ColdMS) * time.Millisecond)
	if old == nil || old.Info.BornMS != u.BornMS {
		if old != nil {
			s.emit(Forget{KeyOf(old.Info)})
		}
		s.Upstreams[u.ID] = &Upstream{
			Info: u, ColdUntil: coldUntil, Healthy: true, InFlight: map[AttemptID]time.Time{}, Slowness: 1,
		}
		return
	}
	u.Draining = u.Draining || old.Info.Draining
	old.Info = u
	if u.ColdMS > 0 && coldUntil.After(old.ColdUntil) {
		old.ColdUntil = coldUntil
	}
}

// index lists the upstreams of each service in a fixed order.
func (s *State) index() {
	clear(s.byService)
	for _, u := range s.Upstreams {
		s.byService[u.Info.Service] = append(s.byService[u.Info.Service], u)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.Info.ID, b.Info.ID) })
		s.chooseRings(list)
	}
}

// ringSize is how many upstreams of a service an entry asks before others of
// the same failure domain. Asked that often, their connections stay in use; with
// hundreds of upstreams each probe would need a new connection otherwise.
const ringSize = 12

// chooseRings orders the upstreams by a hash that gives each entry another order.
func (s *State) chooseRings(list []*Upstream) {
	var own, others []*Upstream
	for _, u := range list {
		if u.Info.Domain == s.Config.Domain {
			own = append(own, u)
		} else {
			others = append(others, u)
		}
	}
	for _, part := range [][]*Upstream{own, others} {
		slices.SortFunc(part, func(a, b *Upstream) int {
			return cmp.Or(cmp.Compare(s.distance(a), s.distance(b)), cmp.Compare(a.Info.ID, b.Info.ID))
		})
		for i, u := range part {
			u.ring = i / ringSize
		}
	}
}

func (s *State) distance(u *Upstream) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Config.Name + "/" + u.Info.ID))
	// The hash mixes its last bytes too little for an order.
	return h.Sum64() * 0x9e3779b97f4a7c15
}

// slackShare is this entry's share of the slack of all entries.
func (s *State) slackShare() float64 { return s.Config.RetrySlack / float64(max(s.Count, minEntries)) }

// minEntries keeps the share small while the entry does not know the others.
const minEntries = 8

func (s *State) budget(service string) *retry.Window {
	w := s.budgets[service]
	if w == nil {
		w = &retry.Window{Ratio: s.Config.RetryRatio, Length: s.Config.RetryWindow, Slack: s.slackShare()}
		s.budgets[service] = w
	}
	return w
}

// upstream finds an incarnation that is still known.
func (s *State) upstream(k Key) *Upstream {
	if u := s.Upstreams[k.ID]; u != nil && u.Info.BornMS == k.BornMS {
		return u
	}
	return nil
}
