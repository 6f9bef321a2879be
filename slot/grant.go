package slot

import (
	"maps"
	"math"
	"slices"
	"time"
)

// probeAfter is how long a server goes unobserved before it may be probed.
const probeAfter = 2 * time.Second

// grants computes what an entry may hold from now on. Each grant becomes the
// bound that the owner counts with until the next report.
func (o *Owner) grants(now time.Time, e *Entry) []Grant {
	held := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(o.Servers)) {
		s := o.Servers[name]
		n := s.Bounds[e.Name]
		if excess := s.promised() - o.usable(s); excess > 0 {
			n -= min(n, excess)
		}
		if e.Lapsed && now.Before(o.Quiet) {
			// Only a lease that never ended is renewed without an
			// announcement of the server to this owner.
			n = 0
		}
		held[name] = n
	}
	if !now.Before(o.Quiet) {
		for _, service := range slices.Sorted(maps.Keys(o.Catalog.Documents)) {
			o.balance(e, service, held)
		}
	}
	return o.grantsFrom(now, e, held)
}

func (o *Owner) grantsFrom(now time.Time, e *Entry, held map[string]int) []Grant {
	var grants []Grant
	for _, name := range slices.Sorted(maps.Keys(held)) {
		s := o.Servers[name]
		// A probe takes one of the entry's own slots.
		g := Grant{Server: name, Slots: held[name], Probe: held[name] > 0 && o.spendProbe(now, s)}
		g.Warming = o.warming(s)
		had := s.Bounds[e.Name]
		if g.Slots == 0 && had == 0 {
			continue
		}
		if m := o.Table.Members[name]; m != nil && e.Sent[name] != m.Announcement.BootID {
			info := m.Announcement
			g.Info = &info
			e.Sent[name] = info.BootID
		}
		// The entry may keep what it had in use, so a bound shrinks only
		// when the entry's next report says so.
		s.Bounds[e.Name] = max(had, g.Slots)
		grants = append(grants, g)
	}
	return grants
}

// warming reports whether a server's limit is to grow, for which the owner
// needs to hear of its answers soon.
func (o *Owner) warming(s *Server) bool {
	m := o.Table.Members[s.Name]
	return m != nil && s.Limit < o.fullLimit(m.Announcement)
}

// balance moves an entry towards its share of a service's slots.
func (o *Owner) balance(e *Entry, service string, held map[string]int) {
	servers := o.serversOf(service)
	share := o.share(e, service, servers)
	total := 0
	for _, s := range servers {
		total += held[s.Name]
	}
	for want := int(math.Ceil(share)); total < want; total++ {
		s := o.mostFree(servers, e, held)
		if s == nil {
			return
		}
		held[s.Name]++
	}
	if !o.anyShort(service, servers, e) {
		return
	}
	for keep := int(math.Floor(share)); total > keep; total-- {
		s := o.mostHeld(servers, e, held)
		if s == nil {
			return
		}
		held[s.Name]--
	}
}

func (o *Owner) serversOf(service string) []*Server {
	var servers []*Server
	for _, name := range slices.Sorted(maps.Keys(o.Servers)) {
		if o.serviceOf(name) == service {
			servers = append(servers, o.Servers[name])
		}
	}
	return servers
}

// share is the part of a service's slots that fits an entry's demand. Every
// entry counts as wanting one slot more than it uses.
func (o *Owner) share(e *Entry, service string, servers []*Server) float64 {
	if e.Leaving {
		return 0
	}
	slots, all := 0, 0.0
	for _, s := range servers {
		slots += o.usable(s)
	}
	for _, x := range o.Entries {
		if !x.Leaving {
			all += x.Demands[service] + 1
		}
	}
	return float64(slots) * (e.Demands[service] + 1) / all
}

// anyShort reports whether another entry holds less than its share.
func (o *Owner) anyShort(service string, servers []*Server, besides *Entry) bool {
	if besides.Leaving {
		return true
	}
	for _, x := range o.Entries {
		if x == besides || x.Leaving {
			continue
		}
		total := 0
		for _, s := range servers {
			total += s.Bounds[x.Name]
		}
		if float64(total+1) <= o.share(x, service, servers) {
			return true
		}
	}
	return false
}

// mostFree finds the server with most free slots, first in the entry's own
// failure domain.
func (o *Owner) mostFree(servers []*Server, e *Entry, held map[string]int) *Server {
	var best *Server
	bestFree, bestNear := 0, false
	for _, s := range servers {
		extra := held[s.Name] - s.Bounds[e.Name]
		free := o.usable(s) - s.promised() - max(0, extra)
		near := s.Domain == e.Domain
		if free <= 0 || (bestNear && !near) {
			continue
		}
		if best == nil || free > bestFree || (near && !bestNear) {
			best, bestFree, bestNear = s, free, near
		}
	}
	return best
}

// mostHeld finds the server to give a slot back of, first in other failure
// domains.
func (o *Owner) mostHeld(servers []*Server, e *Entry, held map[string]int) *Server {
	var best *Server
	bestNear := false
	for _, s := range servers {
		near := s.Domain == e.Domain
		if held[s.Name] == 0 || (best != nil && near && !bestNear) {
			continue
		}
		if best == nil || held[s.Name] > held[best.Name] || (!near && bestNear) {
			best, bestNear = s, near
		}
	}
	return best
}

// earnProbes adds what the documents allow since the last tick.
func (o *Owner) earnProbes(now time.Time) {
	passed := now.Sub(o.ticked).Seconds()
	for name, d := range o.Catalog.Documents {
		slots := 0
		for _, s := range o.serversOf(name) {
			slots += s.Limit
		}
		earned := time.Duration(passed * d.Measure.BudgetShare * float64(slots) * float64(time.Second))
		most := 2 * time.Duration(d.Measure.ProbeCostMS) * time.Millisecond
		o.ProbeTokens[name] = min(o.ProbeTokens[name]+earned, most)
	}
}

// spendProbe allows a probe of a server that nobody observed for a while.
func (o *Owner) spendProbe(now time.Time, s *Server) bool {
	name := o.serviceOf(s.Name)
	d, ok := o.Catalog.Documents[name]
	cost := time.Duration(d.Measure.ProbeCostMS) * time.Millisecond
	if !ok || o.usable(s) == 0 || now.Sub(s.Observed) < probeAfter || o.ProbeTokens[name] < cost {
		return false
	}
	o.ProbeTokens[name] -= cost
	s.Observed = now
	return true
}
