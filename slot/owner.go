package slot

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/membership"
)

// Owner is the slot owner: it decides which entry holds which slots. A single
// task owns it.
type Owner struct {
	// Term is the term in which this owner grants slots. Zero means that it
	// grants none, because it does not lead.
	Term uint64
	// RenewOnlyUntil is the time before which slots are only renewed, since
	// an earlier owner's grants may still be in use.
	RenewOnlyUntil time.Time
	Catalog        *catalog.Catalog
	Membership     *membership.Table
	Servers        map[string]*Server
	Entries        map[string]*Entry
	// ProbeBudgets holds, by service, the slot time that probes may still
	// take.
	ProbeBudgets map[string]time.Duration
	lastTick     time.Time
	// notifiedIndex is the index of the newest catalog for which reports were
	// requested from the entries.
	notifiedIndex uint64
	effects       []Effect
}

// Server is the owner's view of a server.
type Server struct {
	Name    string
	Service string
	// Domain is the server's failure domain.
	Domain string
	// Limit is the number of concurrent calls that the server can handle now.
	Limit int
	// GrowAt is the earliest time at which the limit may grow by one.
	GrowAt time.Time
	// OutOfService is true while the server is draining, or while an order
	// drains it or takes its failure domain out of service.
	OutOfService bool
	// AnswersSinceGrowth counts the answers since the limit last grew or the
	// server was marked cold.
	AnswersSinceGrowth int
	// ExpectedTime is the moving average of the server's own service times,
	// zero before the first answer of a boot.
	ExpectedTime time.Duration
	// Slow is true when the last observation marked the server cold because
	// its service time was too far above the expected one.
	Slow bool
	// LastObserved is when an entry last reported an answer, or when the last
	// probe was allowed.
	LastObserved time.Time
	// MaxHeld holds, by entry, the most slots that the entry may hold.
	MaxHeld map[string]int
	// OrphanedLeases holds the slots of entries that disappeared.
	OrphanedLeases []OrphanedLease
}

// OrphanedLease is a number of slots that may still be in use although the
// entry that held them disappeared.
type OrphanedLease struct {
	Slots int
	// FreeAt is the time at which the last call on these slots is certainly
	// over.
	FreeAt time.Time
}

// Entry is the owner's view of an entry instance.
type Entry struct {
	Name    string
	BootID  string
	Address string
	Domain  string
	// Seq is the sequence number of the last report.
	Seq uint64
	// Expires is the time at which the entry's lease has certainly ended,
	// with clock drift included.
	Expires time.Time
	Leaving bool
	// LeaseExpired is true when the entry's lease had ended when it sent its last
	// report.
	LeaseExpired bool
	// CatalogIndex is the index of the configuration that the entry
	// confirmed.
	CatalogIndex uint64
	// Demands holds the recent demand in slots by service, decaying with each
	// report.
	Demands map[string]float64
	// IdleSlots counts the unused slots by service at the last report.
	IdleSlots map[string]int
	// KnownBootIDs holds, by server, the boot id of the announcement that the
	// entry has.
	KnownBootIDs map[string]string
}

// NewOwner returns an owner that grants nothing until it leads.
func NewOwner() *Owner {
	o := &Owner{Catalog: catalog.New()}
	o.reset()
	return o
}

func (o *Owner) reset() {
	o.Term = 0
	o.Membership = membership.New()
	o.Servers = map[string]*Server{}
	o.Entries = map[string]*Entry{}
	o.ProbeBudgets = map[string]time.Duration{}
}

// Step handles one event and returns its effects in order.
func (o *Owner) Step(now time.Time, event Event) []Effect {
	o.effects = nil
	switch e := event.(type) {
	case BecameLeader:
		o.reset()
		o.Term = e.Term
		o.RenewOnlyUntil = e.RenewOnlyUntil
		o.lastTick = now
	case LostLeadership:
		o.reset()
	case CatalogChanged:
		o.applyCatalog(now, e.Catalog)
	case ReportReceived:
		if o.Term != 0 {
			o.handleReport(now, e.Report)
		}
	case Ticked:
		if o.Term != 0 {
			o.tick(now)
		}
	}
	return o.effects
}

func (o *Owner) emit(e Effect) { o.effects = append(o.effects, e) }

// applyCatalog follows a new catalog. It requests a report from every entry,
// since each of them has to confirm the catalog.
func (o *Owner) applyCatalog(now time.Time, c *catalog.Catalog) {
	o.Catalog = c
	for _, name := range slices.Sorted(maps.Keys(o.Servers)) {
		o.updateOutOfService(now, o.Servers[name])
	}
	if c.Index <= o.notifiedIndex {
		return
	}
	o.notifiedIndex = c.Index
	for _, name := range slices.Sorted(maps.Keys(o.Entries)) {
		o.emit(RequestReport{Entry: name})
	}
}

func (o *Owner) tick(now time.Time) {
	for _, name := range o.Membership.Expire(now) {
		o.emit(ServerChanged{Server: name, From: "announced", To: "gone"})
		o.requestReports(name)
	}
	for _, name := range slices.Sorted(maps.Keys(o.Entries)) {
		if e := o.Entries[name]; !e.Expires.After(now) {
			o.removeEntry(e)
			o.emit(EntryChanged{Entry: name, From: "leased", To: "expired"})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.Servers)) {
		o.tickServer(now, o.Servers[name])
	}
	o.refillProbeBudgets(now)
	o.lastTick = now
}

func (o *Owner) tickServer(now time.Time, s *Server) {
	s.OrphanedLeases = slices.DeleteFunc(s.OrphanedLeases, func(p OrphanedLease) bool { return !p.FreeAt.After(now) })
	m := o.Membership.Members[s.Name]
	if m == nil {
		if s.reserved() == 0 {
			delete(o.Servers, s.Name)
		}
		return
	}
	o.updateOutOfService(now, s)
	o.growLimit(now, s, m.Announcement)
}

// updateOutOfService records whether a server is out of service. A server that
// returns is marked cold, since it may have turned cold while it got no calls.
func (o *Owner) updateOutOfService(now time.Time, s *Server) {
	m := o.Membership.Members[s.Name]
	if m == nil {
		return
	}
	out := o.outOfService(m.Announcement)
	if s.OutOfService && !out {
		o.markCold(now, s, m.Announcement, "returned")
	}
	s.OutOfService = out
}

// outOfService reports whether a server must get no calls: it is draining, or
// an order drained it or took its failure domain out of service.
func (o *Owner) outOfService(a membership.Announcement) bool {
	return a.State == membership.StateDraining || o.Catalog.OutDomains[a.Domain] || o.Catalog.DrainedServers[a.Server]
}

// growLimit raises the limit of a warming server by one slot. The server must
// have answered calls since the last increase, and must not be slow. A limit
// outside the range from the cold limit to the full limit is first brought into
// that range.
func (o *Owner) growLimit(now time.Time, server *Server, announcement membership.Announcement) {
	full := o.fullLimit(announcement)
	switch cold := min(o.Catalog.Documents[announcement.Service].Cold.Slots, full); {
	case server.Limit > full:
		server.Limit = full
	case server.Limit < cold:
		// The server announced itself before its service had a document.
		server.Limit = cold
		server.GrowAt = now.Add(o.Catalog.Documents[announcement.Service].ColdHold())
	case server.Limit == full || now.Before(server.GrowAt) || server.AnswersSinceGrowth == 0 || server.Slow:
	default:
		server.Limit++
		server.AnswersSinceGrowth = 0
		server.GrowAt = now.Add(o.Catalog.Documents[announcement.Service].ColdStep())
		if server.Limit == full {
			o.emit(ServerChanged{Server: server.Name, Domain: announcement.Domain, From: "cold", To: "warm"})
		}
	}
}

// fullLimit returns the limit of a warm server.
func (o *Owner) fullLimit(a membership.Announcement) int {
	return min(a.Slots, o.Catalog.Documents[a.Service].Limits.SlotsPerServer)
}

// markCold sets a server back to the cold limit. The reason becomes part of the
// reported state.
func (o *Owner) markCold(now time.Time, server *Server, announcement membership.Announcement, reason string) {
	document := o.Catalog.Documents[announcement.Service]
	cold := min(document.Cold.Slots, o.fullLimit(announcement))
	server.GrowAt = now.Add(document.ColdHold())
	server.AnswersSinceGrowth = 0
	if server.Limit <= cold {
		server.Limit = cold
		return
	}
	o.emit(ServerChanged{Server: server.Name, Domain: announcement.Domain, From: fmt.Sprintf("limit_%d", server.Limit), To: "cold_" + reason})
	server.Limit = cold
	o.requestReports(server.Name)
}

// requestReports requests an immediate report from every entry that may hold
// slots on a server.
func (o *Owner) requestReports(server string) {
	s := o.Servers[server]
	if s == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.MaxHeld)) {
		o.emit(RequestReport{Entry: name})
	}
}

// removeEntry removes an entry and turns its slots into orphaned leases, since
// calls that it started may still run.
func (o *Owner) removeEntry(entry *Entry) {
	for _, s := range o.Servers {
		slots := s.MaxHeld[entry.Name]
		delete(s.MaxHeld, entry.Name)
		if slots == 0 {
			continue
		}
		maxDeadline := o.Catalog.Documents[o.serviceOf(s.Name)].MaxDeadline()
		s.OrphanedLeases = append(s.OrphanedLeases, OrphanedLease{Slots: slots, FreeAt: entry.Expires.Add(maxDeadline)})
	}
	delete(o.Entries, entry.Name)
}

func (o *Owner) serviceOf(server string) string {
	if s := o.Servers[server]; s != nil {
		return s.Service
	}
	return ""
}

// reserved counts the slots that are granted or may still be in use.
func (s *Server) reserved() int {
	n := 0
	for _, b := range s.MaxHeld {
		n += b
	}
	for _, p := range s.OrphanedLeases {
		n += p.Slots
	}
	return n
}

// usableSlots returns the number of concurrent calls that a server may get now.
// It is zero when the server is out of service, when its announcement expired,
// or when its service has no document.
func (o *Owner) usableSlots(s *Server) int {
	m := o.Membership.Members[s.Name]
	if m == nil || o.outOfService(m.Announcement) {
		return 0
	}
	if _, described := o.Catalog.Documents[s.Service]; !described {
		return 0
	}
	return s.Limit
}

// InForce reports whether every entry that may send calls follows the
// configuration of an index, or a newer one.
func (o *Owner) InForce(now time.Time, index uint64) bool {
	if o.Term == 0 || now.Before(o.RenewOnlyUntil) || o.Catalog.Index < index {
		return false
	}
	for _, e := range o.Entries {
		if e.CatalogIndex < index {
			return false
		}
	}
	return true
}
