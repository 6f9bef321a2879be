package slot

import (
	"time"

	"github.com/oriolepost/oriolepost/membership"
)

const (
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
	paces := o.paces(r.Observations)
	for _, ob := range r.Observations {
		o.observe(now, ob, paces)
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
func (o *Owner) observe(now time.Time, ob Observation, p paces) {
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
	mean := time.Duration(ob.MeanUS) * time.Microsecond
	if s.Usual == 0 {
		s.Usual = mean
	}
	s.Slow = p[ob.Server] > d.Cold.SlowFactor*max(1, p.others(ob.Server))
	if s.Slow {
		o.chill(now, s, a, "slow")
	}
	s.Usual += time.Duration(usualWeight * float64(mean-s.Usual))
}
