package entry

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/retry"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/slot"
)

const (
	// maxReportInterval is the interval between reports when nothing calls for an
	// earlier one.
	maxReportInterval = 400 * time.Millisecond
	// minReportInterval is the minimum interval between two reports.
	minReportInterval = 20 * time.Millisecond
	// waitingReportInterval is the interval between reports while calls still wait
	// for slots after a report, or while warming servers answer.
	waitingReportInterval = 60 * time.Millisecond
	// maxAnnouncements limits the announcements in one report.
	maxAnnouncements = 256
)

// reporting is the state of the exchange of reports and replies with the slot
// owner.
type reporting struct {
	// term is the highest term of a slot owner that a reply has carried.
	term uint64
	// seq is the sequence number of the last report.
	seq uint64
	// replyPending is true while the last report waits for its reply.
	replyPending bool
	// sentAt is when the last report was sent.
	sentAt time.Time
	// fullReportNeeded is true when the next report must be a full one, since the
	// slot owner may not know exactly what this entry holds.
	fullReportNeeded bool
	// urgent is true when the next report is due minReportInterval after the last
	// one.
	urgent bool
	// leaving is true when the entry shuts down and wants no more slots.
	leaving bool
	// warmingAnswered is true when a warming server has answered since the last
	// report.
	warmingAnswered bool
	// reportedWaiting is true when calls already waited at the last report.
	reportedWaiting bool
	// announcements holds the newest announcement of each server since the last
	// report.
	announcements map[string]membership.Announcement
	// lostConnections holds the boot ids of servers without slots here that
	// closed a connection since the last report.
	lostConnections map[string]string
	// borrowedObservations holds what was observed since the last report on
	// servers on which this entry holds no slot.
	borrowedObservations map[string]slot.Observation
}

// sendReportIfDue sends a report if one is due and no reply is pending.
func (e *Entry) sendReportIfDue(now time.Time) {
	state := &e.reporting
	sinceLast := now.Sub(state.sentAt)
	waiting := e.hasQueuedCalls()
	due := sinceLast >= maxReportInterval
	switch {
	case state.urgent, waiting && !state.reportedWaiting:
		due = sinceLast >= minReportInterval
	case waiting, state.warmingAnswered:
		due = sinceLast >= waitingReportInterval
	}
	if state.replyPending || !due {
		return
	}
	state.seq++
	state.replyPending = true
	state.sentAt = now
	state.urgent = false
	state.warmingAnswered = false
	state.reportedWaiting = waiting
	e.emit(SendReport{Report: e.buildReport(now)})
}

// hasQueuedCalls reports whether a call waits for a slot.
func (e *Entry) hasQueuedCalls() bool {
	for _, s := range e.Services {
		if len(s.Queue) > 0 {
			return true
		}
	}
	return false
}

// buildReport returns the next report and clears the observations and the
// announcements that it contains.
func (e *Entry) buildReport(now time.Time) slot.Report {
	report := slot.Report{
		Entry: e.Config.Name, BootID: e.Config.BootID, Seq: e.reporting.seq,
		Full: e.reporting.fullReportNeeded, Leaving: e.reporting.leaving, CatalogIndex: e.CatalogIndex,
		Demands: e.demands(), LeaseExpired: !e.leased(now),
	}
	if report.Full {
		report.Address = e.Config.Address
		report.Domain = e.Config.Domain
	}
	report.Holdings, report.Observations = e.holdings(report.Full)
	report.Announcements = e.takeAnnouncements()
	return report
}

// demands returns the running and the waiting calls of each service that has any.
func (e *Entry) demands() map[string]slot.Demand {
	d := map[string]slot.Demand{}
	for name, s := range e.Services {
		if s.Running+len(s.Queue) > 0 {
			d[name] = slot.Demand{InUse: s.Running, Queued: len(s.Queue)}
		}
	}
	return d
}

// holdings returns the slots held at each server, and takes the observations
// since the last report. A full report describes every known server.
func (e *Entry) holdings(full bool) ([]slot.Holding, []slot.Observation) {
	var holdings []slot.Holding
	var observations []slot.Observation
	for _, name := range slices.Sorted(maps.Keys(e.Servers)) {
		server := e.Servers[name]
		holding := slot.Holding{Server: name, Slots: server.heldSlots(), InUse: server.slotsInUse()}
		if full {
			info := server.Info
			holding.Info = &info
		}
		if holding.Slots > 0 || full {
			holdings = append(holdings, holding)
		}
		if o, any := server.takeObservation(); any {
			observations = append(observations, o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(e.reporting.lostConnections)) {
		observations = append(observations, slot.Observation{Server: name, BootID: e.reporting.lostConnections[name], ConnectionLost: true})
	}
	e.reporting.lostConnections = map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(e.reporting.borrowedObservations)) {
		observations = append(observations, e.reporting.borrowedObservations[name])
	}
	e.reporting.borrowedObservations = map[string]slot.Observation{}
	return holdings, observations
}

// takeObservation returns what was observed of the server since the last report,
// and whether that is anything, and clears it.
func (s *Server) takeObservation() (slot.Observation, bool) {
	observation := s.Observed
	any := observation != slot.Observation{}
	observation.Server = s.Info.Server
	observation.BootID = s.Info.BootID
	if observation.Answers > 0 {
		observation.MeanServiceTimeUS = s.serviceTimeSum.Microseconds() / int64(observation.Answers)
	}
	s.Observed = slot.Observation{}
	s.serviceTimeSum = 0
	return observation, any
}

// announced keeps a server's announcement for the next report. It replaces the
// kept one if it has a higher sequence or another boot id. A server that drains or
// has restarted makes the report urgent; one that drains gets no new calls. Once
// announcements of maxAnnouncements servers are kept, those of further servers are
// dropped until the next report.
func (e *Entry) announced(announcement membership.Announcement) {
	if e.reporting.announcements == nil {
		e.reporting.announcements = map[string]membership.Announcement{}
	}
	known, ok := e.reporting.announcements[announcement.Server]
	if !ok && len(e.reporting.announcements) >= maxAnnouncements {
		return
	}
	if !ok || known.BootID != announcement.BootID || known.Sequence < announcement.Sequence {
		e.reporting.announcements[announcement.Server] = announcement
	}
	server := e.Servers[announcement.Server]
	if announcement.State == membership.StateDraining || (server != nil && server.Info.BootID != announcement.BootID) {
		e.reporting.urgent = true
	}
	if server != nil && server.Info.BootID == announcement.BootID && announcement.State == membership.StateDraining {
		server.Info.State = announcement.State
	}
}

// takeAnnouncements returns the announcements since the last report, sorted by
// server, and clears them.
func (e *Entry) takeAnnouncements() []membership.Announcement {
	var out []membership.Announcement
	for _, name := range slices.Sorted(maps.Keys(e.reporting.announcements)) {
		out = append(out, e.reporting.announcements[name])
	}
	e.reporting.announcements = nil
	return out
}

// abandonReply gives up waiting for the reply to the report with this sequence
// number; if it still arrives, it is ignored. The next report is a full one, so
// that the slot owner knows exactly what this entry holds.
func (e *Entry) abandonReply(seq uint64) {
	if seq != e.reporting.seq {
		return
	}
	e.reporting.replyPending = false
	e.reporting.fullReportNeeded = true
}

// replied applies the slot owner's reply: the lease, the configuration, the
// grants and the lenders. It ignores a reply that is not the one to the last
// report, or that is of an earlier term.
func (e *Entry) replied(reply slot.Reply) {
	if !e.reporting.replyPending || reply.Seq != e.reporting.seq || reply.Term < e.reporting.term {
		return
	}
	e.reporting.replyPending = false
	if reply.Term != e.reporting.term && !e.reporting.fullReportNeeded {
		// The leader has changed. The new slot owner does not know yet what
		// this entry holds, so its grants are ignored. It gets a full report
		// first.
		e.reporting.term = reply.Term
		e.reporting.fullReportNeeded = true
		e.reporting.urgent = true
		return
	}
	e.reporting.term = reply.Term
	e.reporting.fullReportNeeded = false
	e.leaseHeld = true
	e.LeaseEnd = e.reporting.sentAt.Add(time.Duration(reply.LeaseMS) * time.Millisecond)
	if reply.Configuration != nil {
		e.applyConfiguration(*reply.Configuration)
	}
	e.applyGrants(reply.Grants)
	for name, lenders := range reply.Lenders {
		if s := e.Services[name]; s != nil {
			s.Lenders = lenders
		}
	}
}

// applyConfiguration applies a newer configuration; an older one is ignored.
func (e *Entry) applyConfiguration(configuration slot.Configuration) {
	if configuration.Index <= e.CatalogIndex {
		return
	}
	e.CatalogIndex = configuration.Index
	e.OutDomains = orEmpty(configuration.OutDomains)
	e.DrainedServers = orEmpty(configuration.DrainedServers)
	for name, d := range configuration.Documents {
		e.putDocument(name, d)
	}
	e.reporting.urgent = true
	e.emit(ConfigurationChanged{Index: configuration.Index})
}

// putDocument sets a service's document. A new service starts with a full retry
// budget.
func (e *Entry) putDocument(name string, d service.Document) {
	s := e.Services[name]
	if s == nil {
		s = &Service{Budget: retry.Budget{Tokens: d.Retry.Burst}}
		e.Services[name] = s
		e.serviceNames = slices.Sorted(maps.Keys(e.Services))
	}
	s.Document = d
}

func orEmpty(m map[string]bool) map[string]bool {
	if m == nil {
		return map[string]bool{}
	}
	return m
}

// applyGrants sets the granted slots of every server, zero for a server without a
// grant. Slots in use remain held until they are free.
func (e *Entry) applyGrants(grants []slot.Grant) {
	granted := map[string]bool{}
	for _, g := range grants {
		granted[g.Server] = true
		e.applyGrant(g)
	}
	for name, s := range e.Servers {
		if !granted[name] {
			e.reporting.urgent = e.reporting.urgent || s.freeSlots() > 0
			s.GrantedSlots = 0
			e.removeUnusedServer(s)
		}
	}
}

// applyGrant sets the granted slots of one server, and sends a probe if the slot
// owner allows one and a slot is free.
func (e *Entry) applyGrant(grant slot.Grant) {
	server := e.Servers[grant.Server]
	if server == nil {
		if grant.Info == nil {
			e.reporting.fullReportNeeded = true
			return
		}
		server = e.addServer(*grant.Info)
	}
	if grant.Info != nil {
		if server.Info.BootID != grant.Info.BootID {
			server.Stats = choice.Stats{}
			server.ConsecutiveSheds = 0
		}
		server.Info = *grant.Info
	}
	server.Warming = grant.Warming
	heldBefore := server.heldSlots()
	server.GrantedSlots = grant.Slots
	if server.heldSlots() < heldBefore {
		e.reporting.urgent = true
	}
	if server.Observed.ConnectionLost {
		// The slot owner made this grant before it knew that the server closed
		// a connection.
		server.GrantedSlots = 0
	}
	if grant.Probe && server.freeSlots() > 0 {
		server.RunningProbes++
		e.emit(SendProbe{Server: server.Info})
	}
}

// removeUnusedServer removes a server at which no slot is held or in use and of
// which there is nothing to report.
func (e *Entry) removeUnusedServer(s *Server) {
	if s.heldSlots() > 0 || s.Observed != (slot.Observation{}) {
		return
	}
	delete(e.Servers, s.Info.Server)
	if service := e.Services[s.Info.Service]; service != nil {
		service.Servers = slices.DeleteFunc(service.Servers, func(x *Server) bool { return x == s })
	}
}

// addServer adds a server that has no slots yet.
func (e *Entry) addServer(info membership.Announcement) *Server {
	s := &Server{Info: info, Running: map[call.AttemptID]time.Time{}}
	e.Servers[info.Server] = s
	if service := e.Services[info.Service]; service != nil {
		service.Servers = append(service.Servers, s)
		slices.SortFunc(service.Servers, func(a, b *Server) int {
			return strings.Compare(a.Info.Server, b.Info.Server)
		})
	}
	return s
}
