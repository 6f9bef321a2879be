package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/fleet"
)

// handleView applies a view from the leader of the control instances. Upstreams
// that the view names as removed are dropped. Upstreams that it does not list
// are dropped only if it is full and its fleet complete.
func (s *State) handleView(now time.Time, v ViewReceived) {
	s.outDomains = v.OutDomains
	s.setSplits(v.Splits)
	if v.Services != nil {
		s.Services = v.Services
		s.serviceNames = fleet.Services{}
		for name := range v.Services {
			s.serviceNames[name] = true
		}
	}
	listed := map[string]bool{}
	for _, u := range v.Upstreams {
		listed[u.ID] = true
		s.updateUpstream(now, u)
	}
	if v.Full && v.FleetComplete {
		for id := range s.Upstreams {
			if !listed[id] {
				v.Removed = append(v.Removed, id)
			}
		}
	}
	slices.Sort(v.Removed)
	for _, id := range v.Removed {
		if u := s.Upstreams[id]; u != nil && !listed[id] {
			s.emit(UpstreamRemoved{KeyOf(u.Info)})
			delete(s.Upstreams, id)
		}
	}
	s.rebuildIndex()
}

// updateUpstream adds or updates an upstream. An incarnation that the known one outranks is
// ignored, and one that outranks it replaces it, by the same rule as at the control instances:
// an entry that kept another incarnation than these would never use theirs. An incarnation
// that drains does not return to service.
func (s *State) updateUpstream(now time.Time, u fleet.Upstream) {
	old := s.Upstreams[u.ID]
	if old != nil && s.serviceNames.Outranks(old.Info, u) {
		return
	}
	coldUntil := now.Add(time.Duration(u.ColdMS) * time.Millisecond)
	if old == nil || !old.Info.SameIncarnation(u) {
		if old != nil {
			s.emit(UpstreamRemoved{KeyOf(old.Info)})
		}
		s.Upstreams[u.ID] = &Upstream{
			Info: u, ColdUntil: coldUntil, Healthy: true, InFlight: map[AttemptID]time.Time{}, MeasuredSlowdown: 1,
			leaving: s.IsLeaving(KeyOf(u)), rest: s.rests[KeyOf(u)], limit: s.limits[KeyOf(u)],
		}
		return
	}
	u.Draining = u.Draining || old.Info.Draining
	old.Info = u
	if u.ColdMS > 0 && coldUntil.After(old.ColdUntil) {
		old.ColdUntil = coldUntil
	}
}

// rebuildIndex rebuilds the list of the upstreams of each service, ordered by
// id, and their subsets.
func (s *State) rebuildIndex() {
	clear(s.byService)
	domains := map[string]bool{}
	for _, u := range s.Upstreams {
		domains[u.Info.Domain] = true
		s.byService[u.Info.Service] = append(s.byService[u.Info.Service], u)
	}
	s.domainCount = len(domains)
	for service, list := range s.byService {
		list = s.splitByVersion(service, list)
		s.byService[service] = list
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.Info.ID, b.Info.ID) })
		s.assignSubsets(list)
	}
}

// subsetSize is the number of upstreams of a service that an entry prefers to
// probe, in its own failure domain and in all others together. A small subset
// is probed often enough to keep its connections in use. With hundreds of
// upstreams and no subsets, each probe would need a new connection.
const subsetSize = 12

// assignSubsets orders the upstreams of a service by a hash that differs from
// entry to entry, so that the entries prefer different upstreams. Those of the
// own failure domain and those of all others are numbered separately.
func (s *State) assignSubsets(list []*Upstream) {
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
			return cmp.Or(cmp.Compare(s.hashRank(a), s.hashRank(b)), cmp.Compare(a.Info.ID, b.Info.ID))
		})
		for i, u := range part {
			u.subset = i / subsetSize
		}
	}
}

func (s *State) hashRank(u *Upstream) uint64 {
	return s.hash(u.Info.ID)
}
