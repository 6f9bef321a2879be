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
	// reportEvery is the longest pause between two reports.
	reportEvery = 400 * time.Millisecond
	// reportPause is the shortest pause between two reports.
	reportPause = 20 * time.Millisecond
	// starvedPause is the pause while calls go on waiting for slots, or while
	// servers warm up.
	starvedPause = 60 * time.Millisecond
	// maxAnnouncements bounds the announcements of one report.
	maxAnnouncements = 256
)

// reporting is the state of the exchange with the owner.
type reporting struct {
	term uint64
	seq  uint64
	// open is true while a report waits for its reply.
	open   bool
	sentAt time.Time
	full   bool
	urgent bool
	// leaving is true when the entry wants no more slots.
	leaving bool
	// warmed is true when a warming server answered since the last report.
	warmed bool
	// starved is true when calls waited at the last report already.
	starved       bool
	announcements map[string]membership.Announcement
	// lost holds the boots of servers without slots here that closed a
	// connection.
	lost map[string]string
	// borrowed holds what was seen of servers on borrowed slots.
	borrowed map[string]slot.Observation
}

// maybeReport sends a report when one is due and none is open.
func (e *Entry) maybeReport(now time.Time) {
	r := &e.reporting
	since := now.Sub(r.sentAt)
	waiting := e.waiting()
	due := since >= reportEvery
	switch {
	case r.urgent, waiting && !r.starved:
		due = since >= reportPause
	case waiting, r.warmed:
		due = since >= starvedPause
	}
	if r.open || !due {
		return
	}
	r.seq++
	r.open = true
	r.sentAt = now
	r.urgent = false
	r.warmed = false
	r.starved = waiting
	e.emit(SendReport{Report: e.report(now)})
}

func (e *Entry) waiting() bool {
	for _, s := range e.Services {
		if len(s.Queue) > 0 {
			return true
		}
	}
	return false
}

func (e *Entry) report(now time.Time) slot.Report {
	r := slot.Report{
		Entry: e.Config.Name, BootID: e.Config.BootID, Seq: e.reporting.seq,
		Full: e.reporting.full, Leaving: e.reporting.leaving, CatalogIndex: e.CatalogIndex,
		Demands: e.demands(), Lapsed: !e.leased(now),
	}
	if r.Full {
		r.Address = e.Config.Address
		r.Domain = e.Config.Domain
	}
	r.Holdings, r.Observations = e.holdings(r.Full)
	r.Announcements = e.takeAnnouncements()
	return r
}

func (e *Entry) demands() map[string]slot.Demand {
	d := map[string]slot.Demand{}
	for name, s := range e.Services {
		if s.Running+len(s.Queue) > 0 {
			d[name] = slot.Demand{InUse: s.Running, Waiting: len(s.Queue)}
		}
	}
	return d
}

func (e *Entry) holdings(full bool) ([]slot.Holding, []slot.Observation) {
	var holdings []slot.Holding
	var seen []slot.Observation
	for _, name := range slices.Sorted(maps.Keys(e.Servers)) {
		s := e.Servers[name]
		h := slot.Holding{Server: name, Slots: s.held(), InUse: s.inUse()}
		if full {
			info := s.Info
			h.Info = &info
		}
		if h.Slots > 0 || full {
			holdings = append(holdings, h)
		}
		if o, any := s.takeSeen(); any {
			seen = append(seen, o)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(e.reporting.lost)) {
		seen = append(seen, slot.Observation{Server: name, BootID: e.reporting.lost[name], Lost: true})
	}
	e.reporting.lost = map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(e.reporting.borrowed)) {
		seen = append(seen, e.reporting.borrowed[name])
	}
	e.reporting.borrowed = map[string]slot.Observation{}
	return holdings, seen
}

// takeSeen gives what was observed since the last report.
func (s *Server) takeSeen() (slot.Observation, bool) {
	o := s.Seen
	any := o != slot.Observation{}
	o.Server = s.Info.Server
	o.BootID = s.Info.BootID
	if o.Answers > 0 {
		o.MeanUS = s.seenSum.Microseconds() / int64(o.Answers)
	}
	s.Seen = slot.Observation{}
	s.seenSum = 0
	return o, any
}

func (e *Entry) announced(a membership.Announcement) {
	if e.reporting.announcements == nil {
		e.reporting.announcements = map[string]membership.Announcement{}
	}
	known, ok := e.reporting.announcements[a.Server]
	if !ok && len(e.reporting.announcements) >= maxAnnouncements {
		return
	}
	if !ok || known.BootID != a.BootID || known.Sequence < a.Sequence {
		e.reporting.announcements[a.Server] = a
	}
	s := e.Servers[a.Server]
	if a.State == membership.StateDraining || (s != nil && s.Info.BootID != a.BootID) {
		e.reporting.urgent = true
	}
	if s != nil && s.Info.BootID == a.BootID && a.State == membership.StateDraining {
		s.Info.State = a.State
	}
}

func (e *Entry) takeAnnouncements() []membership.Announcement {
	var out []membership.Announcement
	for _, name := range slices.Sorted(maps.Keys(e.reporting.announcements)) {
		out = append(out, e.reporting.announcements[name])
	}
	e.reporting.announcements = nil
	return out
}

// replyLost gives a reply up for good, so that the next report is exact.
func (e *Entry) replyLost(seq uint64) {
	if seq != e.reporting.seq {
		return
	}
	e.reporting.open = false
	e.reporting.full = true
}

// replied takes over what the owner grants.
func (e *Entry) replied(r slot.Reply) {
	if !e.reporting.open || r.Seq != e.reporting.seq || r.Term < e.reporting.term {
		return
	}
	e.reporting.open = false
	if r.Term != e.reporting.term && !e.reporting.full {
		// A new owner has not heard yet what this entry holds, so what it
		// grants does not count. It gets a full report first.
		e.reporting.term = r.Term
		e.reporting.full = true
		e.reporting.urgent = true
		return
	}
	e.reporting.term = r.Term
	e.reporting.full = false
	e.holding = true
	e.LeaseEnd = e.reporting.sentAt.Add(time.Duration(r.LeaseMS) * time.Millisecond)
	if r.Configuration != nil {
		e.configure(*r.Configuration)
	}
	e.takeGrants(r.Grants)
	for name, lenders := range r.Lenders {
		if s := e.Services[name]; s != nil {
			s.Lenders = lenders
		}
	}
}

// configure follows a newer configuration; an older one is ignored.
func (e *Entry) configure(c slot.Configuration) {
	if c.Index <= e.CatalogIndex {
		return
	}
	e.CatalogIndex = c.Index
	e.OutDomains = orEmpty(c.OutDomains)
	e.DrainedServers = orEmpty(c.DrainedServers)
	for name, d := range c.Documents {
		e.putDocument(name, d)
	}
	e.reporting.urgent = true
	e.emit(ConfigurationChanged{Index: c.Index})
}

func (e *Entry) putDocument(name string, d service.Document) {
	s := e.Services[name]
	if s == nil {
		s = &Service{Budget: retry.Budget{Tokens: d.Retry.Burst}}
		e.Services[name] = s
		e.names = slices.Sorted(maps.Keys(e.Services))
	}
	s.Document = d
}

func orEmpty(m map[string]bool) map[string]bool {
	if m == nil {
		return map[string]bool{}
	}
	return m
}

// takeGrants sets the slots of every server. Slots in use can't be given up.
func (e *Entry) takeGrants(grants []slot.Grant) {
	granted := map[string]bool{}
	for _, g := range grants {
		granted[g.Server] = true
		e.takeGrant(g)
	}
	for name, s := range e.Servers {
		if !granted[name] {
			e.reporting.urgent = e.reporting.urgent || s.free() > 0
			s.Target = 0
			e.forgetServer(s)
		}
	}
}

func (e *Entry) takeGrant(g slot.Grant) {
	s := e.Servers[g.Server]
	if s == nil {
		if g.Info == nil {
			e.reporting.full = true
			return
		}
		s = e.addServer(*g.Info)
	}
	if g.Info != nil {
		if s.Info.BootID != g.Info.BootID {
			s.Stats = choice.Stats{}
			s.ShedRun = 0
		}
		s.Info = *g.Info
	}
	s.Warming = g.Warming
	before := s.held()
	s.Target = g.Slots
	if s.held() < before {
		e.reporting.urgent = true
	}
	if s.Seen.Lost {
		// The grant is older than the loss of the connection.
		s.Target = 0
	}
	if g.Probe && s.free() > 0 {
		s.Probing++
		e.emit(SendProbe{Server: s.Info})
	}
}

// forgetServer drops a server on which nothing is held or runs.
func (e *Entry) forgetServer(s *Server) {
	if s.held() > 0 || s.Seen != (slot.Observation{}) {
		return
	}
	delete(e.Servers, s.Info.Server)
	if service := e.Services[s.Info.Service]; service != nil {
		service.Servers = slices.DeleteFunc(service.Servers, func(x *Server) bool { return x == s })
	}
}

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
