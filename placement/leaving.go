package placement

import (
	"slices"
	"time"
)

// An upstream that leaves says so in its responses. Load pattern: a release or a
// smaller fleet ends upstreams one after the other, while this entry is out of
// contact with the control instances or has an old view. Until the view catches up,
// the responses are the only source that says which upstreams are about to end, and
// requests sent to them are lost.

// maxLeaving limits the announcements that are kept. It is several times the number
// of upstreams that end on a day of many releases.
const maxLeaving = 8192

// Leaving holds the incarnations that have announced in a response that they leave.
// An announcement is final: views differ in age, and none of them takes it back. It
// is kept after the upstream was removed, as an older view may list it again.
type Leaving struct {
	Marked map[Key]bool
	// Order holds the incarnations in the order of their announcements. Beyond
	// maxLeaving, the oldest are forgotten.
	Order []Key
}

// Mark adds an incarnation. It returns false if it was marked before.
func (l *Leaving) Mark(k Key) bool {
	if l.Marked[k] {
		return false
	}
	l.Marked[k] = true
	l.Order = append(l.Order, k)
	if len(l.Order) > maxLeaving {
		delete(l.Marked, l.Order[0])
		l.Order = slices.Delete(l.Order, 0, 1)
	}
	return true
}

// IsLeaving reports whether an incarnation has announced in a response that it leaves.
func (s *State) IsLeaving(k Key) bool { return s.leaving.Marked[k] }

// handleNotice applies what an upstream said about itself in a response. An
// incarnation that the view does not list, or no longer lists, is marked as well.
func (s *State) handleNotice(now time.Time, k Key, n Notice) {
	if n.Limit.Stated {
		s.recordLimit(now, k, n.Limit)
	}
	if !n.Leaving {
		s.startRest(now, k, n)
		return
	}
	if !s.leaving.Mark(k) {
		return
	}
	leaving := UpstreamLeaving{Upstream: k}
	if u := s.upstream(k); u != nil {
		u.leaving, leaving.Service = true, u.Info.Service
	}
	s.emit(leaving)
	if _, restricted := s.splits[leaving.Service]; restricted {
		// It may have been the last one that kept other versions from getting requests.
		s.rebuildIndex()
	}
	s.refuseWaiting(now, leaving.Service)
}

// refuseWaiting refuses the queued requests of a service once none of its upstreams
// is eligible: waiting would only use up the time that their callers have left.
func (s *State) refuseWaiting(now time.Time, service string) {
	q := s.queues[service]
	if q == nil || len(q.waiting) == 0 || s.countEligible(now, service) > 0 {
		return
	}
	for _, pending := range slices.Clone(q.waiting) {
		s.refuse(now, pending, s.noUpstreamAvailable(now, pending))
	}
}

// allLeaving reports whether a service has upstreams, and all of them have announced
// in a response that they leave.
func (s *State) allLeaving(service string) bool {
	list := s.byService[service]
	return len(list) > 0 && !slices.ContainsFunc(list, func(u *Upstream) bool { return !u.leaving })
}
