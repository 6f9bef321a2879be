package slot

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/service"
)

const (
	// slowAnswers is how many answers a report needs for its mean to count.
	slowAnswers = 3
	// usualWeight is the weight of a report in the usual service time.
	usualWeight = 0.05
	// demandDecay is how much of an entry's earlier demand still counts.
	demandDecay = 0.8
)

// report takes an entry's report and answers it.
func (o *Owner) report(now time.Time, r Report) {
	e := o.Entries[r.Entry]
	if e != nil && e.BootID == r.BootID && r.Seq <= e.Seq {
		return
	}
	if e != nil && e.BootID != r.BootID {
		o.dropEntry(e)
		e = nil
	}
	if e == nil {
		e = o.addEntry(r)
	}
	o.updateEntry(now, e, r)
	for _, a := range r.Announcements {
		o.announce(now, a)
	}
	o.takeHoldings(now, e, r)
	for _, ob := range r.Observations {
		o.observe(now, ob)
	}
	o.answer(now, e, r)
	if r.Leaving && len(r.Holdings) == 0 {
		delete(o.Entries, e.Name)
		o.emit(EntryChanged{Entry: e.Name, From: "leaving", To: "left"})
	}
}

func (o *Owner) addEntry(r Report) *Entry {
	e := &Entry{
		Name: r.Entry, BootID: r.BootID, Demands: map[string]float64{},
		Idle: map[string]int{}, Sent: map[string]string{},
	}
	o.Entries[r.Entry] = e
	o.emit(EntryChanged{Entry: r.Entry, From: "unknown", To: "leased"})
	return e
}

func (o *Owner) updateEntry(now time.Time, e *Entry, r Report) {
	e.Seq = r.Seq
	e.Expires = now.Add(LeaseTime + MaxDrift)
	e.Leaving = r.Leaving
	e.Lapsed = r.Lapsed
	e.CatalogIndex = r.CatalogIndex
	if r.Full {
		e.Address = r.Address
		e.Domain = r.Domain
		e.Sent = map[string]string{}
	}
	for name := range o.Catalog.Documents {
		d := r.Demands[name]
		e.Demands[name] = max(demandDecay*e.Demands[name], float64(d.InUse+d.Waiting))
		e.Idle[name] = 0
	}
}

// announce takes a server's announcement. A server that the new owner does
// not know begins with as many slots as its holders report.
func (o *Owner) announce(now time.Time, a membership.Announcement) {
	if a.Check() != nil {
		return
	}
	change := o.Table.Announce(now, a)
	s := o.Servers[a.Server]
	switch change.(type) {
	case membership.Stale, membership.Renewed:
		return
	case membership.Joined:
		if s == nil {
			s = &Server{Name: a.Server, Service: a.Service, Domain: a.Domain, Bounds: map[string]int{}}
			o.Servers[a.Server] = s
		}
		s.Limit = 0
		o.chill(now, s, a, "joined")
		s.Limit = max(s.Limit, min(s.promised(), o.fullLimit(a)))
		o.emit(ServerChanged{Server: a.Server, Domain: a.Domain, From: "unknown", To: string(a.State)})
	case membership.Rebooted:
		s.Usual = 0
		o.chill(now, s, a, "rebooted")
	case membership.StateChanged:
		o.emit(ServerChanged{Server: a.Server, Domain: a.Domain, From: "announced", To: string(a.State)})
		o.followOrders(now, s)
		o.pokeHolders(a.Server)
	}
}

// takeHoldings sets the bounds to what the entry reports. A new owner adopts
// servers that it does not know yet from their holders.
func (o *Owner) takeHoldings(now time.Time, e *Entry, r Report) {
	for _, s := range o.Servers {
		delete(s.Bounds, e.Name)
	}
	for _, h := range r.Holdings {
		adopt := h.Info != nil && now.Before(o.Quiet)
		if o.Servers[h.Server] == nil && adopt {
			o.announce(now, *h.Info)
		}
		s := o.Servers[h.Server]
		if s == nil {
			continue
		}
		s.Bounds[e.Name] = h.Slots
		if h.Info != nil {
			e.Sent[h.Server] = h.Info.BootID
		}
		if adopt && o.bootOf(h.Server) == h.Info.BootID {
			full := o.fullLimit(o.Table.Members[h.Server].Announcement)
			s.Limit = min(max(s.Limit, s.promised()), full)
		}
		e.Idle[o.serviceOf(h.Server)] += h.Slots - h.InUse
	}
}

func (o *Owner) bootOf(server string) string {
	if m := o.Table.Members[server]; m != nil {
		return m.Announcement.BootID
	}
	return ""
}

// observe looks for signs that a server turned cold.
func (o *Owner) observe(now time.Time, ob Observation) {
	m := o.Table.Members[ob.Server]
	s := o.Servers[ob.Server]
	if m == nil || s == nil || ob.BootID != m.Announcement.BootID {
		return
	}
	a := m.Announcement
	d := o.Catalog.Documents[a.Service]
	switch {
	case ob.Lost:
		o.chill(now, s, a, "connection_lost")
	case ob.ShedRun >= d.Cold.Sheds:
		o.chill(now, s, a, "shedding")
	}
	if ob.Answers == 0 {
		return
	}
	s.Observed = now
	s.Answers += ob.Answers
	o.observeTime(now, s, ob, a, d)
}

func (o *Owner) observeTime(now time.Time, s *Server, ob Observation, a membership.Announcement, d service.Document) {
	mean := time.Duration(ob.MeanUS) * time.Microsecond
	if s.Usual == 0 {
		s.Usual = mean
	}
	s.Slow = ob.Answers >= slowAnswers && float64(mean) > d.Cold.SlowFactor*float64(s.Usual)
	if s.Slow {
		o.chill(now, s, a, "slow")
	}
	s.Usual += time.Duration(usualWeight * float64(mean-s.Usual))
}

// answer grants slots and tells what the entry lacks.
func (o *Owner) answer(now time.Time, e *Entry, r Report) {
	reply := Reply{Term: o.Term, Seq: r.Seq, LeaseMS: LeaseTime.Milliseconds()}
	reply.Configuration = o.missingConfiguration(e)
	reply.Grants = o.grants(now, e)
	reply.Lenders = o.lenders(e)
	o.emit(SendReply{Entry: e.Name, Reply: reply})
}

// missingConfiguration gives the documents that changed since the entry's
// index, and all orders, which are few.
func (o *Owner) missingConfiguration(e *Entry) *Configuration {
	if e.CatalogIndex >= o.Catalog.Index {
		return nil
	}
	c := &Configuration{
		Index: o.Catalog.Index, Documents: map[string]service.Document{},
		OutDomains: maps.Clone(o.Catalog.OutDomains), DrainedServers: maps.Clone(o.Catalog.DrainedServers),
	}
	for name, d := range o.Catalog.Documents {
		if o.Catalog.ChangedAt[name] > e.CatalogIndex {
			c.Documents[name] = d
		}
	}
	return c
}

// lendersPerReply bounds the lenders that a reply names for a service.
const lendersPerReply = 3

// lenders names the entries with most idle slots, for each service of which
// the entry itself is short.
func (o *Owner) lenders(e *Entry) map[string][]Lender {
	var out map[string][]Lender
	for name := range o.Catalog.Documents {
		if e.Idle[name] > 1 {
			continue
		}
		idle := o.mostIdle(name, e)
		if len(idle) == 0 {
			continue
		}
		if out == nil {
			out = map[string][]Lender{}
		}
		for _, x := range idle {
			out[name] = append(out[name], Lender{Entry: x.Name, Address: x.Address})
		}
	}
	return out
}

func (o *Owner) mostIdle(service string, besides *Entry) []*Entry {
	others := slices.Collect(maps.Values(o.Entries))
	others = slices.DeleteFunc(others, func(x *Entry) bool {
		return x == besides || x.Idle[service] < 1 || x.Address == ""
	})
	slices.SortFunc(others, func(a, b *Entry) int {
		if d := b.Idle[service] - a.Idle[service]; d != 0 {
			return d
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return others[:min(len(others), lendersPerReply)]
}
