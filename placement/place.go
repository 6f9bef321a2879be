package placement

import (
	"maps"
	"slices"
	"time"
)

const (
	// probeCount is how many upstreams are asked for one request.
	probeCount = 3
	// probePatience is how long a request waits for the first answers: several
	// times the way to another failure domain and back.
	probePatience = 25 * time.Millisecond
	// probeRounds is how often upstreams are asked before a request is sent
	// without, or refused.
	probeRounds = 4
	// loadLifetime is how long a load counts as fresh. Machines change their
	// pace a few times a second.
	loadLifetime = 40 * time.Millisecond
	// goodCost is the cost from which on no better place is looked for.
	goodCost = 1.15
	// fairCost is the cost above which other failure domains are asked.
	fairCost = 1.6
	// firstUsual is the usual time of a route before the first answer, as a
	// share of its objective.
	firstUsual = 0.4
	// defaultObjective serves routes without one.
	defaultObjective = time.Second
)

func (s *State) arrive(now time.Time, r Request) {
	p := &pending{request: r, attempts: map[AttemptID]*attempt{}, tried: map[Key]bool{}}
	s.requests[r.ID] = p
	s.budget(r.Service).First(now)
	s.place(now, p)
}

// place begins to look for a place for the next attempt of a request.
func (s *State) place(now time.Time, p *pending) {
	p.placing = true
	p.rounds = 0
	p.asked = map[Key]bool{}
	s.ask(now, p)
}

// candidates lists the upstreams that the request may go to; those that it
// was sent to already come in only when there is no other.
func (s *State) candidates(now time.Time, p *pending) []*Upstream {
	var fresh, tried []*Upstream
	for _, u := range s.byService[p.request.Service] {
		switch {
		case !s.open(now, u):
		case p.tried[KeyOf(u.Info)]:
			tried = append(tried, u)
		default:
			fresh = append(fresh, u)
		}
	}
	if len(fresh) == 0 && len(p.attempts) == 0 {
		return tried
	}
	return fresh
}

// ask sends the next round of probes. The first round stays in the own
// failure domain if there are upstreams.
func (s *State) ask(now time.Time, p *pending) {
	candidates := s.candidates(now, p)
	if len(candidates) == 0 {
		s.noPlace(now, p)
		return
	}
	if u := s.best(now, p, candidates); u != nil && s.cost(now, u) <= goodCost {
		s.start(now, p, u, len(candidates))
		return
	}
	p.rounds++
	p.placingAt = now
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *Upstream) int { return s.askOrder(now, p, a) - s.askOrder(now, p, b) })
	asked := 0
	for _, u := range candidates {
		if asked >= probeCount {
			break
		}
		if s.fresh(now, u) || p.asked[KeyOf(u.Info)] && !u.Probing.IsZero() {
			continue
		}
		asked++
		p.asked[KeyOf(u.Info)] = true
		if u.Probing.IsZero() {
			u.Probing = now
			s.emit(StartProbe{Upstream: u.Info, HealthPath: s.Services[u.Info.Service].HealthPath})
		}
	}
	if asked == 0 {
		s.settle(now, p, true)
	}
}

// askOrder puts upstreams of the own failure domain first, and those asked
// already last.
func (s *State) askOrder(now time.Time, p *pending, u *Upstream) int {
	order := 0
	if p.asked[KeyOf(u.Info)] {
		order += 8
	}
	if now.Before(u.ColdUntil) {
		order += 4
	}
	if u.Info.Domain != s.Config.Domain {
		order++
	}
	if u.Trouble > 0.5 || u.Slowness > 2 {
		order += 2
	}
	return order
}

func (s *State) fresh(now time.Time, u *Upstream) bool {
	return !u.LoadAt.IsZero() && now.Sub(u.LoadAt) <= loadLifetime
}

// best finds the cheapest upstream whose load is fresh.
func (s *State) best(now time.Time, _ *pending, candidates []*Upstream) *Upstream {
	var best *Upstream
	bestCost := 0.0
	for _, u := range candidates {
		if !s.fresh(now, u) || u.full() {
			continue
		}
		if c := s.cost(now, u); best == nil || c < bestCost {
			best, bestCost = u, c
		}
	}
	return best
}

// settle decides whether the answers so far are enough to place a request. It
// is late when the patience for this round has ended.
func (s *State) settle(now time.Time, p *pending, late bool) {
	candidates := s.candidates(now, p)
	best := s.best(now, p, candidates)
	waiting := 0
	for k := range p.asked {
		if u := s.upstream(k); u != nil && !u.Probing.IsZero() {
			waiting++
		}
	}
	cost := 0.0
	if best != nil {
		cost = s.cost(now, best)
	}
	switch {
	case best != nil && cost <= goodCost:
		s.start(now, p, best, len(candidates))
	case waiting > 0 && !late:
	case best != nil && (cost <= fairCost || p.rounds >= probeRounds || len(p.asked) >= len(candidates)):
		s.startOrRefuse(now, p, best, cost, len(candidates))
	case p.rounds < probeRounds:
		s.ask(now, p)
	default:
		s.noPlace(now, p)
	}
}

// startOrRefuse sends a request to the best place unless its answer would come
// too late there.
func (s *State) startOrRefuse(now time.Time, p *pending, u *Upstream, cost float64, candidates int) {
	expected := time.Duration(cost * float64(s.usualTime(p.request)))
	if now.Add(expected / 2).After(p.request.Deadline) {
		s.refuse(now, p, NotRun{Reason: ReasonOverload})
		return
	}
	s.start(now, p, u, candidates)
}

// noPlace ends a request, or this attempt to repeat it.
func (s *State) noPlace(now time.Time, p *pending) {
	reason := ReasonNoUpstream
	if len(s.byService[p.request.Service]) > 0 {
		reason = ReasonOverload
	}
	s.refuse(now, p, NotRun{Reason: reason})
}

// refuse ends the search for a place. Attempts under way go on.
func (s *State) refuse(now time.Time, p *pending, o NotRun) {
	p.placing = false
	if len(p.attempts) > 0 {
		return
	}
	p.outcome = merge(p.outcome, o)
	s.finish(now, p, 0)
}

// usualTime is how long an upstream usually takes for such a request.
func (s *State) usualTime(r Request) time.Duration {
	if t := s.usual[r.Route.Name]; t > 0 {
		return t
	}
	objective := r.Route.Objective
	if objective == 0 {
		objective = defaultObjective
	}
	return time.Duration(firstUsual * float64(objective))
}

func (s *State) start(now time.Time, p *pending, u *Upstream, candidates int) {
	if p.sent > 0 && !s.budget(p.request.Service).Spend(now) {
		s.refuse(now, p, NotRun{Reason: ReasonOverload})
		return
	}
	basis := Basis{Load: u.Load, Age: now.Sub(u.LoadAt), Cost: s.cost(now, u), Candidates: candidates}
	s.nextAttempt++
	id := s.nextAttempt
	key := KeyOf(u.Info)
	expected := time.Duration(basis.Cost * float64(s.usualTime(p.request)))
	p.placing = false
	p.attempts[id] = &attempt{upstream: key, began: now, expected: expected}
	p.tried[key] = true
	p.made++
	p.sent++
	s.owners[id] = p.request.ID
	u.InFlight[id] = now
	u.Since++
	if now.Before(u.ColdUntil) {
		u.coldSent = append(u.coldSent, now)
	}
	p.hedgeAt = s.hedgeTime(now, p, expected)
	s.emit(StartAttempt{
		Request: p.request.ID, Attempt: id, Upstream: u.Info, Deadline: p.request.Deadline,
		Repeat: p.made > 1, Basis: basis,
	})
}

// probed takes the answer to a probe, and places the requests that wait for it.
func (s *State) probed(now time.Time, e Probed) {
	u := s.upstream(e.Upstream)
	if u == nil {
		return
	}
	u.Probing = time.Time{}
	switch {
	case e.Failed:
		s.avoid(now, u, 1)
	case !e.Healthy:
		u.Healthy = false
		u.AvoidUntil = now.Add(unhealthyPause)
	default:
		u.Healthy = true
		s.loaded(now, u, e.Load)
		if e.Cold > 0 {
			u.ColdUntil = now.Add(e.Cold)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if p := s.requests[id]; p != nil && p.placing && p.asked[e.Upstream] {
			s.settle(now, p, false)
		}
	}
}

func (s *State) loaded(now time.Time, u *Upstream, l Load) {
	u.Load = l
	u.LoadAt = now
	u.Since = 0
}
