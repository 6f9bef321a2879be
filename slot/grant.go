package slot

import (
	"maps"
	"math"
	"slices"
	"time"
)

// minObservationAge is the minimum age of the last observation of a server
// before the server may be probed.
const minObservationAge = 2 * time.Second

// grants computes how many slots an entry may hold from now on. Until the entry's
// next report, the owner counts the slots that the entry reported as held, or the
// grant if that is larger.
func (o *Owner) grants(now time.Time, entry *Entry) []Grant {
	held := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(o.Servers)) {
		s := o.Servers[name]
		n := s.MaxHeld[entry.Name]
		// If more slots are reserved than the server can handle, the entry loses as
		// many of the excess as it holds.
		if excess := s.reserved() - o.usableSlots(s); excess > 0 {
			n -= min(n, excess)
		}
		if entry.LeaseExpired && now.Before(o.RenewOnlyUntil) {
			// While it only renews slots, the owner may know the server only
			// from entries' reports, and not yet from an announcement. It
			// therefore renews only leases that have not expired.
			n = 0
		}
		held[name] = n
	}
	if !now.Before(o.RenewOnlyUntil) {
		for _, service := range slices.Sorted(maps.Keys(o.Catalog.Documents)) {
			o.adjustToShare(entry, service, held)
		}
	}
	return o.issueGrants(now, entry, held)
}

// issueGrants turns the slots that an entry may hold into grants, and records
// them as upper bounds.
func (o *Owner) issueGrants(now time.Time, entry *Entry, held map[string]int) []Grant {
	var grants []Grant
	for _, name := range slices.Sorted(maps.Keys(held)) {
		server := o.Servers[name]
		// A probe runs on one of the entry's own slots.
		grant := Grant{Server: name, Slots: held[name], Probe: held[name] > 0 && o.spendProbeBudget(now, server)}
		grant.Warming = o.warming(server)
		previous := server.MaxHeld[entry.Name]
		if grant.Slots == 0 && previous == 0 {
			continue
		}
		if m := o.Membership.Members[name]; m != nil && entry.KnownBootIDs[name] != m.Announcement.BootID {
			info := m.Announcement
			grant.Info = &info
			entry.KnownBootIDs[name] = info.BootID
		}
		// The entry keeps slots that are in use, so the upper bound shrinks
		// only with the entry's next report.
		server.MaxHeld[entry.Name] = max(previous, grant.Slots)
		grants = append(grants, grant)
	}
	return grants
}

// warming reports whether a server's limit has yet to grow. For that the owner
// needs reports of the server's answers soon.
func (o *Owner) warming(s *Server) bool {
	m := o.Membership.Members[s.Name]
	return m != nil && s.Limit < o.fullLimit(m.Announcement)
}

// adjustToShare moves an entry towards its fair share of a service's slots. The
// entry loses slots above its share only while another entry is below its own.
func (o *Owner) adjustToShare(entry *Entry, service string, held map[string]int) {
	servers := o.serversOf(service)
	share := o.fairShare(entry, service, servers)
	total := 0
	for _, s := range servers {
		total += held[s.Name]
	}
	for want := int(math.Ceil(share)); total < want; total++ {
		s := o.serverWithMostFree(servers, entry, held)
		if s == nil {
			return
		}
		held[s.Name]++
	}
	if !o.anyBelowShare(service, servers, entry) {
		return
	}
	for keep := int(math.Floor(share)); total > keep; total-- {
		s := o.serverWithMostHeld(servers, entry, held)
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

// fairShare returns an entry's part of a service's slots, in proportion to its
// recent demand plus one slot. The added slot gives a share to an entry without
// calls. A leaving entry has no share.
func (o *Owner) fairShare(entry *Entry, service string, servers []*Server) float64 {
	if entry.Leaving {
		return 0
	}
	slots, totalDemand := 0, 0.0
	for _, s := range servers {
		slots += o.usableSlots(s)
	}
	for _, other := range o.Entries {
		if !other.Leaving {
			totalDemand += other.Demands[service] + 1
		}
	}
	return float64(slots) * (entry.Demands[service] + 1) / totalDemand
}

// anyBelowShare reports whether another entry holds at least one slot less than
// its share. For a leaving entry it is always true, so that the entry loses its
// slots.
func (o *Owner) anyBelowShare(service string, servers []*Server, except *Entry) bool {
	if except.Leaving {
		return true
	}
	for _, other := range o.Entries {
		if other == except || other.Leaving {
			continue
		}
		total := 0
		for _, s := range servers {
			total += s.MaxHeld[other.Name]
		}
		if float64(total+1) <= o.fairShare(other, service, servers) {
			return true
		}
	}
	return false
}

// serverWithMostFree returns the server with the most free slots in the entry's
// own failure domain, or in the others if that one has none. It returns nil when
// no slot is free.
func (o *Owner) serverWithMostFree(servers []*Server, entry *Entry, held map[string]int) *Server {
	var best *Server
	bestFree, bestInSameDomain := 0, false
	for _, server := range servers {
		extra := held[server.Name] - server.MaxHeld[entry.Name]
		free := o.usableSlots(server) - server.reserved() - max(0, extra)
		sameDomain := server.Domain == entry.Domain
		if free <= 0 || (bestInSameDomain && !sameDomain) {
			continue
		}
		if best == nil || free > bestFree || (sameDomain && !bestInSameDomain) {
			best, bestFree, bestInSameDomain = server, free, sameDomain
		}
	}
	return best
}

// serverWithMostHeld returns the server from which to take a slot of the entry:
// the one on which it holds most. Servers in other failure domains come first.
// It returns nil when the entry holds nothing.
func (o *Owner) serverWithMostHeld(servers []*Server, entry *Entry, held map[string]int) *Server {
	var best *Server
	bestInSameDomain := false
	for _, server := range servers {
		sameDomain := server.Domain == entry.Domain
		if held[server.Name] == 0 || (best != nil && sameDomain && !bestInSameDomain) {
			continue
		}
		if best == nil || held[server.Name] > held[best.Name] || (!sameDomain && bestInSameDomain) {
			best, bestInSameDomain = server, sameDomain
		}
	}
	return best
}

// refillProbeBudgets adds the slot time that each service's document allows for
// the time since the last tick. A budget holds at most two probes.
func (o *Owner) refillProbeBudgets(now time.Time) {
	elapsed := now.Sub(o.lastTick).Seconds()
	for name, document := range o.Catalog.Documents {
		slots := 0
		for _, s := range o.serversOf(name) {
			slots += s.Limit
		}
		earned := time.Duration(elapsed * document.Measure.BudgetShare * float64(slots) * float64(time.Second))
		maxBudget := 2 * time.Duration(document.Measure.ProbeCostMS) * time.Millisecond
		o.ProbeBudgets[name] = min(o.ProbeBudgets[name]+earned, maxBudget)
	}
}

// spendProbeBudget reports whether a server without recent observations may be
// probed, and charges the probe to the budget of its service.
func (o *Owner) spendProbeBudget(now time.Time, s *Server) bool {
	name := o.serviceOf(s.Name)
	document, described := o.Catalog.Documents[name]
	cost := time.Duration(document.Measure.ProbeCostMS) * time.Millisecond
	if !described || o.usableSlots(s) == 0 || now.Sub(s.LastObserved) < minObservationAge || o.ProbeBudgets[name] < cost {
		return false
	}
	o.ProbeBudgets[name] -= cost
	s.LastObserved = now
	return true
}
