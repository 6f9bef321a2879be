package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// goodCost is the cost from which on no better place is looked for.
	goodCost = 1.15
	// fairCost is the cost that is taken when the own failure domain has
	// nothing better; above it the others are asked.
	fairCost = 1.6
	// hedgeCost is the most that a second attempt beside a slow one may cost:
	// it is worth its slot only on an upstream that is nearly idle.
	hedgeCost = 2.0
	// anyCost is above the cost of every upstream that is not full.
	anyCost = 1e9
	// firstUsual is the usual time of a route before the first answer, as a
	// share of its objective.
	firstUsual = 0.4
	// defaultObjective serves routes without one.
	defaultObjective = time.Second
	// waitShare is the share of the time to spare, before an answer would be
	// late, that a request waits for a place. The rest is for upstreams that
	// turn slow. A longer wait serves no more requests under overload, only
	// later ones.
	waitShare = 0.2
	// urgentWaitShare is the same for ranks above the lowest of the service.
	urgentWaitShare = 0.3
	// shortestWait is how long a request may wait for a place even when it is
	// already late.
	shortestWait = 60 * time.Millisecond
	// blindWait is how long a request waits at most when no upstream has told
	// its load meanwhile: shorter than a probe may take.
	blindWait = 300 * time.Millisecond
	// hedgeWait is how long a place for a second attempt is looked for.
	hedgeWait = 100 * time.Millisecond
	// hopeShare is the share of the expected time that must be left at least
	// for a request to be sent at all.
	hopeShare = 0.7
)

// arrive takes a request in.
func (s *State) arrive(now time.Time, r Request) {
	p := &pending{request: r, attempts: map[AttemptID]*attempt{}, tried: map[Key]bool{}}
	s.requests[r.ID] = p
	s.budget(r.Service).First(now)
	s.lowest[r.Service] = max(s.lowest[r.Service], r.Route.Priority)
	s.place(now, p)
}

// place looks for a place for the next attempt of a request, and lets it wait
// in the room of its service until there is one.
func (s *State) place(now time.Time, p *pending) {
	if s.countOpen(now, p.request.Service) == 0 {
		s.refuse(now, p, s.nowhere(p))
		return
	}
	r := s.room(p.request.Service)
	p.placing = true
	p.late = now.Add(s.usualTime(p.request)).After(p.request.dueAt())
	p.giveUpAt = s.giveUpTime(now, p)
	r.enter(p)
	s.fill(now, r)
	s.scout(now, r)
}

// countOpen counts the upstreams of a service that may get requests.
func (s *State) countOpen(now time.Time, service string) int {
	n := 0
	for _, u := range s.byService[service] {
		if s.open(now, u) {
			n++
		}
	}
	return n
}

// nowhere tells why there is no upstream to ask.
func (s *State) nowhere(p *pending) NotRun {
	if len(s.byService[p.request.Service]) > 0 {
		return NotRun{Reason: ReasonOverload}
	}
	return NotRun{Reason: ReasonNoUpstream}
}

// giveUpTime is until when it makes sense to wait for a place.
func (s *State) giveUpTime(now time.Time, p *pending) time.Time {
	if len(p.attempts) > 0 {
		return now.Add(hedgeWait)
	}
	usual := s.usualTime(p.request)
	share := waitShare
	if p.request.Route.Priority < s.lowest[p.request.Service] {
		share = urgentWaitShare
	}
	t := p.request.Arrived.Add(time.Duration(share * float64(p.request.objective()-usual)))
	if earliest := now.Add(shortestWait); t.Before(earliest) {
		t = earliest
	}
	if latest := p.request.Deadline.Add(-usual / 2); t.After(latest) {
		t = latest
	}
	return t
}

// dueAt is until when an answer is on time.
func (r Request) dueAt() time.Time { return r.First.Add(r.objective()) }

func (r Request) objective() time.Duration {
	if r.Route.Objective > 0 {
		return r.Route.Objective
	}
	return defaultObjective
}

// usualTime is how long an upstream usually takes for such a request.
func (s *State) usualTime(r Request) time.Duration {
	if t := s.usual[r.Route.Name]; t > 0 {
		return t
	}
	return time.Duration(firstUsual * float64(r.objective()))
}

// enter puts a request into the room: higher ranks first, then those that
// came first. Second attempts come last.
func (r *room) enter(p *pending) {
	i, _ := slices.BinarySearchFunc(r.waiting, p, func(a, b *pending) int {
		return cmp.Or(cmp.Compare(len(a.attempts), len(b.attempts)), cmp.Compare(a.request.Route.Priority, b.request.Route.Priority), a.request.Arrived.Compare(b.request.Arrived), cmp.Compare(a.request.ID, b.request.ID))
	})
	r.waiting = slices.Insert(r.waiting, i, p)
}

// leave takes a request out of the room. The sweep ends with the last one: the
// next request begins with the upstreams that suit it best.
func (r *room) leave(p *pending) {
	r.waiting = slices.DeleteFunc(r.waiting, func(o *pending) bool { return o == p })
	if len(r.waiting) == 0 {
		r.rest()
	}
}

// fill gives the requests of a room, in order, the places that are known to be
// good enough.
func (s *State) fill(now time.Time, r *room) {
	for _, p := range slices.Clone(r.waiting) {
		if !p.placing {
			continue
		}
		u, cost := s.best(now, p)
		if u == nil || cost > r.acceptable(p) || s.late(now, p, cost) || p.late && !u.halfIdle() {
			continue
		}
		s.start(now, p, u)
	}
}

// late reports whether an answer would come after the objective at such a
// cost, though it could be on time elsewhere.
func (s *State) late(now time.Time, p *pending, cost float64) bool {
	usual := float64(s.usualTime(p.request))
	spare := float64(p.request.dueAt().Sub(now))
	return cost*usual > spare && spare > usual && now.Before(p.giveUpAt)
}

// giveUp ends the wait of a request: it takes what place there is, be it a
// late one, and is refused when there is none.
func (s *State) giveUp(now time.Time, p *pending) {
	if s.blind(now, p) {
		p.giveUpAt = now.Add(shortestWait)
		return
	}
	u, cost := s.best(now, p)
	expected := time.Duration(cost * float64(s.usualTime(p.request)))
	hopeless := now.Add(time.Duration(hopeShare * float64(expected))).After(p.request.Deadline)
	late := p.late || now.Add(expected).After(p.request.dueAt())
	if u == nil || hopeless || len(p.attempts) > 0 || late && !u.halfIdle() {
		s.refuse(now, p, NotRun{Reason: ReasonOverload})
		return
	}
	s.start(now, p, u)
}

// blind reports whether no upstream has told its load since the request came,
// as right after a start, when hundreds of requests and probes come at once:
// that there is no place isn't known then.
func (s *State) blind(now time.Time, p *pending) bool {
	waited := now.Sub(p.request.Arrived)
	return len(p.attempts) == 0 && waited < blindWait && now.Add(shortestWait+s.usualTime(p.request)).Before(p.request.Deadline) &&
		s.room(p.request.Service).heardAt.Before(p.request.Arrived)
}

// acceptable is the most that a place may cost at this point of the search.
func (r *room) acceptable(p *pending) float64 {
	switch {
	case len(p.attempts) > 0:
		return hedgeCost
	case r.swept:
		return anyCost
	case r.relaxed:
		return fairCost
	}
	return goodCost
}

// best finds the cheapest upstream whose load is fresh. Upstreams that the
// request was sent to already come in only when there is no other.
func (s *State) best(now time.Time, p *pending) (best *Upstream, bestCost float64) {
	list := s.byService[p.request.Service]
	again := len(p.attempts) == 0 && len(p.tried) > 0 && !slices.ContainsFunc(list, func(u *Upstream) bool {
		return !p.tried[KeyOf(u.Info)] && s.open(now, u)
	})
	for _, u := range list {
		if !s.fresh(now, u) || u.full() || !s.open(now, u) || p.tried[KeyOf(u.Info)] && !again {
			continue
		}
		if c := s.cost(now, u); best == nil || c < bestCost {
			best, bestCost = u, c
		}
	}
	return best, bestCost
}

func (s *State) fresh(now time.Time, u *Upstream) bool {
	return !u.LoadAt.IsZero() && now.Sub(u.LoadAt) <= loadLifetime
}

// refuse ends the search for a place. Attempts under way go on.
func (s *State) refuse(now time.Time, p *pending, o NotRun) {
	s.stopPlacing(p)
	if len(p.attempts) > 0 {
		return
	}
	p.outcome = merge(p.outcome, o)
	s.finish(now, p, 0)
}

func (s *State) stopPlacing(p *pending) {
	if p.placing {
		p.placing = false
		s.room(p.request.Service).leave(p)
	}
}

// start sends a request to an upstream.
func (s *State) start(now time.Time, p *pending, u *Upstream) {
	if p.sent > 0 && !s.budget(p.request.Service).Spend(now) {
		s.refuse(now, p, NotRun{Reason: ReasonBudget})
		return
	}
	s.stopPlacing(p)
	basis := Basis{
		Load: u.Load, Age: now.Sub(u.LoadAt), Cost: s.cost(now, u),
		Candidates: len(s.byService[p.request.Service]), Waited: now.Sub(p.request.Arrived),
	}
	s.nextAttempt++
	id := s.nextAttempt
	key := KeyOf(u.Info)
	expected := time.Duration(basis.Cost * float64(s.usualTime(p.request)))
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
