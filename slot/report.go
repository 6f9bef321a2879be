package slot

import (
	"time"

	"github.com/oriolepost/oriolepost/membership"
)

const (
	// expectedTimeWeight is the weight of one report in a server's expected
	// service time.
	expectedTimeWeight = 0.05
	// demandDecay is the factor by which an entry's earlier demand decays
	// with each report.
	demandDecay = 0.8
)

// handleReport applies an entry's report and answers it. A report that is not
// newer than the last one of the same boot gets no answer.
func (o *Owner) handleReport(now time.Time, report Report) {
	entry := o.Entries[report.Entry]
	if entry != nil && entry.BootID == report.BootID && report.Seq <= entry.Seq {
		return
	}
	if entry != nil && entry.BootID != report.BootID {
		o.removeEntry(entry)
		entry = nil
	}
	if entry == nil {
		entry = o.addEntry(report)
	}
	o.updateEntry(now, entry, report)
	for _, a := range report.Announcements {
		o.handleAnnouncement(now, a)
	}
	o.applyHoldings(now, entry, report)
	slowdown := o.measureSlowdowns(report.Observations)
	for _, ob := range report.Observations {
		o.handleObservation(now, ob, slowdown)
	}
	o.sendReply(now, entry, report)
	if report.Leaving && len(report.Holdings) == 0 {
		delete(o.Entries, entry.Name)
		o.emit(EntryChanged{Entry: entry.Name, From: "leaving", To: "left"})
	}
}

func (o *Owner) addEntry(r Report) *Entry {
	e := &Entry{
		Name: r.Entry, BootID: r.BootID, Demands: map[string]float64{},
		IdleSlots: map[string]int{}, KnownBootIDs: map[string]string{},
	}
	o.Entries[r.Entry] = e
	o.emit(EntryChanged{Entry: r.Entry, From: "unknown", To: "leased"})
	return e
}

func (o *Owner) updateEntry(now time.Time, entry *Entry, report Report) {
	entry.Seq = report.Seq
	entry.Expires = now.Add(LeaseDuration + MaxClockDrift)
	entry.Leaving = report.Leaving
	entry.LeaseExpired = report.LeaseExpired
	entry.CatalogIndex = report.CatalogIndex
	if report.Full {
		entry.Address = report.Address
		entry.Domain = report.Domain
		entry.KnownBootIDs = map[string]string{}
	}
	for name := range o.Catalog.Documents {
		demand := report.Demands[name]
		entry.Demands[name] = max(demandDecay*entry.Demands[name], float64(demand.InUse+demand.Queued))
		entry.IdleSlots[name] = 0
	}
}

// handleAnnouncement applies a server's announcement. A server that joins
// starts at the cold limit, or with the slots that are reserved on it if these
// are more, but at most with its full limit.
func (o *Owner) handleAnnouncement(now time.Time, announcement membership.Announcement) {
	if announcement.Check() != nil {
		return
	}
	change := o.Membership.Announce(now, announcement)
	server := o.Servers[announcement.Server]
	switch change.(type) {
	case membership.Stale, membership.Renewed:
		return
	case membership.Joined:
		if server == nil {
			server = &Server{Name: announcement.Server, Service: announcement.Service, Domain: announcement.Domain, MaxHeld: map[string]int{}}
			o.Servers[announcement.Server] = server
		}
		server.Limit = 0
		o.markCold(now, server, announcement, "joined")
		server.Limit = max(server.Limit, min(server.reserved(), o.fullLimit(announcement)))
		o.emit(ServerChanged{Server: announcement.Server, Domain: announcement.Domain, From: "unknown", To: string(announcement.State)})
	case membership.Rebooted:
		server.ExpectedTime = 0
		o.markCold(now, server, announcement, "rebooted")
	case membership.StateChanged:
		o.emit(ServerChanged{Server: announcement.Server, Domain: announcement.Domain, From: "announced", To: string(announcement.State)})
		o.updateOutOfService(now, server)
		o.requestReports(announcement.Server)
	}
}

// applyHoldings sets the entry's upper bounds to the slots that it reports.
// While a new owner only renews slots, it also adopts servers that it does not
// know yet, and raises their limit to the slots that their holders report, at
// most to the full limit.
func (o *Owner) applyHoldings(now time.Time, entry *Entry, report Report) {
	for _, server := range o.Servers {
		delete(server.MaxHeld, entry.Name)
	}
	for _, holding := range report.Holdings {
		adopt := holding.Info != nil && now.Before(o.RenewOnlyUntil)
		if o.Servers[holding.Server] == nil && adopt {
			o.handleAnnouncement(now, *holding.Info)
		}
		server := o.Servers[holding.Server]
		if server == nil {
			continue
		}
		server.MaxHeld[entry.Name] = holding.Slots
		if holding.Info != nil {
			entry.KnownBootIDs[holding.Server] = holding.Info.BootID
		}
		if adopt && o.bootIDOf(holding.Server) == holding.Info.BootID {
			full := o.fullLimit(o.Membership.Members[holding.Server].Announcement)
			server.Limit = min(max(server.Limit, server.reserved()), full)
		}
		entry.IdleSlots[o.serviceOf(holding.Server)] += holding.Slots - holding.InUse
	}
}

func (o *Owner) bootIDOf(server string) string {
	if m := o.Membership.Members[server]; m != nil {
		return m.Announcement.BootID
	}
	return ""
}

// handleObservation marks a server cold on a sign that it turned cold: it
// closed a connection, shed too many calls in a row, or is slow. It also
// updates the server's expected service time.
func (o *Owner) handleObservation(now time.Time, observation Observation, slowdown slowdowns) {
	member := o.Membership.Members[observation.Server]
	server := o.Servers[observation.Server]
	if member == nil || server == nil || observation.BootID != member.Announcement.BootID {
		return
	}
	announcement := member.Announcement
	document := o.Catalog.Documents[announcement.Service]
	switch {
	case observation.ConnectionLost:
		o.markCold(now, server, announcement, "connection_lost")
	case observation.ConsecutiveSheds >= document.Cold.Sheds:
		o.markCold(now, server, announcement, "shedding")
	}
	if observation.Answers == 0 {
		return
	}
	server.LastObserved = now
	server.AnswersSinceGrowth += observation.Answers
	mean := time.Duration(observation.MeanServiceTimeUS) * time.Microsecond
	if server.ExpectedTime == 0 {
		server.ExpectedTime = mean
	}
	server.Slow = slowdown[observation.Server] > document.Cold.SlowFactor*max(1, slowdown.medianOfOthers(observation.Server))
	if server.Slow {
		o.markCold(now, server, announcement, "slow")
	}
	server.ExpectedTime += time.Duration(expectedTimeWeight * float64(mean-server.ExpectedTime))
}
