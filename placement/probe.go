package placement

import (
	"slices"
	"time"
)

const (
	// probeCount is how many upstreams are asked at a time.
	probeCount = 3
	// probePatience is how long a round of probes waits for the answers that
	// are missing: several times the way to another failure domain and back.
	probePatience = 25 * time.Millisecond
	// sweepRounds is how many rounds a sweep has at most. Nine upstreams of
	// which each is nearly full make it likely that all are.
	sweepRounds = 3
	// sweepPause is the pause after a sweep that found no place. Upstreams
	// are asked that seldom under overload, since each answer costs them time.
	sweepPause = 40 * time.Millisecond
	// loadLifetime is how long a load counts as fresh: what a machine does to a
	// request is settled when the request starts, and its pace may have changed
	// by then. Machines change their pace a few times a second.
	loadLifetime = 15 * time.Millisecond
)

// room is where the requests of a service wait for a place, and how upstreams
// are asked for one.
type room struct {
	service string
	// waiting are the requests in the order in which they get places.
	waiting []*pending
	// asked are the upstreams asked in this sweep, and pendingProbes those
	// that have not answered yet.
	asked   map[Key]bool
	pending map[Key]bool
	// rounds counts the rounds of this sweep. After the first one relaxed is
	// true, and swept at the end.
	rounds  int
	relaxed bool
	swept   bool
	// nextAt is when the next round begins at the latest.
	nextAt time.Time
	// heardAt is when an upstream last told its load.
	heardAt time.Time
}

func (s *State) room(service string) *room {
	r := s.rooms[service]
	if r == nil {
		r = &room{service: service, asked: map[Key]bool{}, pending: map[Key]bool{}}
		s.rooms[service] = r
	}
	return r
}

// scout asks upstreams for their load as long as requests wait.
func (s *State) scout(now time.Time, r *room) {
	if len(r.waiting) == 0 {
		r.rest()
		return
	}
	if now.Before(r.nextAt) && (len(r.pending) > 0 || r.swept) {
		return
	}
	s.nextRound(now, r)
}

// rest ends the sweep.
func (r *room) rest() {
	r.rounds = 0
	r.relaxed = false
	r.swept = false
	r.nextAt = time.Time{}
	clear(r.asked)
	clear(r.pending)
}

// nextRound asks the next few upstreams. When the rounds of a sweep are over,
// what was found is taken, and the next sweep begins after a pause.
func (s *State) nextRound(now time.Time, r *room) {
	if r.swept {
		r.rest()
	}
	if r.rounds > 0 {
		r.relaxed = true
		s.fill(now, r)
		if len(r.waiting) == 0 {
			r.rest()
			return
		}
	}
	asked := 0
	if r.rounds < sweepRounds {
		asked = s.askSome(now, r)
	}
	r.rounds++
	if asked > 0 {
		r.nextAt = now.Add(probePatience)
		return
	}
	r.swept = true
	s.fill(now, r)
	if len(r.waiting) == 0 {
		r.rest()
		return
	}
	r.nextAt = now.Add(sweepPause)
	clear(r.pending)
}

// askSome sends one round of probes and gives their number.
func (s *State) askSome(now time.Time, r *room) int {
	var candidates []*Upstream
	for _, u := range s.byService[r.service] {
		if s.open(now, u) && !s.fresh(now, u) && !r.asked[KeyOf(u.Info)] {
			candidates = append(candidates, u)
		}
	}
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *Upstream) int {
		return s.askOrder(now, a, r.rounds) - s.askOrder(now, b, r.rounds)
	})
	clear(r.pending)
	for _, u := range candidates[:min(probeCount, len(candidates))] {
		key := KeyOf(u.Info)
		r.asked[key] = true
		r.pending[key] = true
		if u.Probing.IsZero() {
			u.Probing = now
			s.emit(StartProbe{Upstream: u.Info, HealthPath: s.Services[u.Info.Service].HealthPath})
		}
	}
	return len(r.pending)
}

// askOrder puts upstreams into the order in which they are asked: the first
// ring of the own failure domain in the first round, the next one in the second,
// the first ring of the others in the last, so that each sweep looks beyond the
// own one however many upstreams there are. Doubtful ones are last.
func (s *State) askOrder(now time.Time, u *Upstream, round int) int {
	order := 0
	if now.Before(u.ColdUntil) || !u.Probing.IsZero() {
		order += 8
	}
	own := u.Info.Domain == s.Config.Domain
	last := round+1 >= sweepRounds
	switch {
	case own == last:
		order += 2
	case !last && u.ring != round, last && u.ring > 0:
		order++
	}
	if u.trouble(now) > doubtfulTrouble || u.slowness(now) > doubtfulSlowness {
		order += 4
	}
	return order
}

const (
	// doubtfulTrouble and doubtfulSlowness are from where on an upstream is
	// asked after the others.
	doubtfulTrouble  = 0.5
	doubtfulSlowness = 2.0
)

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
	r := s.room(u.Info.Service)
	if !e.Failed {
		r.heardAt = now
	}
	s.fill(now, r)
	delete(r.pending, e.Upstream)
	if len(r.pending) == 0 && len(r.waiting) > 0 && !r.swept {
		s.nextRound(now, r)
	}
}

func (s *State) loaded(now time.Time, u *Upstream, l Load) {
	u.Load = l
	u.LoadAt = now
	u.Since = 0
}
