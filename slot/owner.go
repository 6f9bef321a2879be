package slot

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/membership"
)

// Owner decides who holds which slots. One task owns it.
type Owner struct {
	// Term is the term in which this owner grants; zero means it does not.
	Term uint64
	// Quiet is until when slots are only renewed.
	Quiet   time.Time
	Catalog *catalog.Catalog
	Table   *membership.Table
	Servers map[string]*Server
	Entries map[string]*Entry
	// ProbeTokens is the slot time that probes of a service may still take.
	ProbeTokens map[string]time.Duration
	ticked      time.Time
	// configured is the index of the newest catalog that entries were told of.
	configured uint64
	effects    []Effect
}

// Server is the owner's view of a server.
type Server struct {
	Name    string
	Service string
	// Domain is the server's failure domain.
	Domain string
	// Limit is how many calls the server bears now.
	Limit int
	// GrowAt is when the limit may grow by one.
	GrowAt time.Time
	// Out is true while orders or the server itself keep calls away.
	Out bool
	// Answers counts the answers since the last growth.
	Answers int
	// Usual is the usual service time by the server's own past.
	Usual time.Duration
	// Slow is true while the server needs much longer than usual.
	Slow bool
	// Observed is when an entry last saw an answer.
	Observed time.Time
	// Bounds is how many slots each entry may hold.
	Bounds map[string]int
	// Orphans are slots whose holder disappeared.
	Orphans []Orphan
}

// Orphan is a number of slots that may still be in use until a time.
type Orphan struct {
	Slots int
	Until time.Time
}

// Entry is the owner's view of an entry instance.
type Entry struct {
	Name    string
	BootID  string
	Address string
	Domain  string
	Seq     uint64
	// Expires is when the entry's lease has certainly ended.
	Expires time.Time
	Leaving bool
	// Lapsed is true when the entry's lease had ended when it reported.
	Lapsed bool
	// CatalogIndex is the configuration that the entry confirmed.
	CatalogIndex uint64
	// Demands is the recent demand by service, decaying.
	Demands map[string]float64
	// Idle counts the unused slots by service.
	Idle map[string]int
	// Sent holds the boot ids of the servers that the entry knows.
	Sent map[string]string
}

// NewOwner returns an owner that grants nothing until it leads.
func NewOwner() *Owner {
	o := &Owner{Catalog: catalog.New()}
	o.reset()
	return o
}

func (o *Owner) reset() {
	o.Term = 0
	o.Table = membership.New()
	o.Servers = map[string]*Server{}
	o.Entries = map[string]*Entry{}
	o.ProbeTokens = map[string]time.Duration{}
}

// Step handles one event.
func (o *Owner) Step(now time.Time, event Event) []Effect {
	o.effects = nil
	switch e := event.(type) {
	case Led:
		o.reset()
		o.Term = e.Term
		o.Quiet = e.Quiet
		o.ticked = now
	case Deposed:
		o.reset()
	case Configured:
		o.configure(now, e.Catalog)
	case Reported:
		if o.Term != 0 {
			o.report(now, e.Report)
		}
	case Ticked:
		if o.Term != 0 {
			o.tick(now)
		}
	}
	return o.effects
}

func (o *Owner) emit(e Effect) { o.effects = append(o.effects, e) }

// configure follows a new catalog and pokes every entry, since each of them
// has to confirm it.
func (o *Owner) configure(now time.Time, c *catalog.Catalog) {
	o.Catalog = c
	for _, name := range slices.Sorted(maps.Keys(o.Servers)) {
		o.followOrders(now, o.Servers[name])
	}
	if c.Index <= o.configured {
		return
	}
	o.configured = c.Index
	for _, name := range slices.Sorted(maps.Keys(o.Entries)) {
		o.emit(Poke{Entry: name})
	}
}

func (o *Owner) tick(now time.Time) {
	for _, name := range o.Table.Expire(now) {
		o.emit(ServerChanged{Server: name, From: "announced", To: "gone"})
		o.pokeHolders(name)
	}
	for _, name := range slices.Sorted(maps.Keys(o.Entries)) {
		if e := o.Entries[name]; !e.Expires.After(now) {
			o.dropEntry(e)
			o.emit(EntryChanged{Entry: name, From: "leased", To: "expired"})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.Servers)) {
		o.tickServer(now, o.Servers[name])
	}
	o.earnProbes(now)
	o.ticked = now
}

func (o *Owner) tickServer(now time.Time, s *Server) {
	s.Orphans = slices.DeleteFunc(s.Orphans, func(p Orphan) bool { return !p.Until.After(now) })
	m := o.Table.Members[s.Name]
	if m == nil {
		if s.promised() == 0 {
			delete(o.Servers, s.Name)
		}
		return
	}
	o.followOrders(now, s)
	o.grow(now, s, m.Announcement)
}

// followOrders notices when a server leaves and when it returns. One that
// returns may have turned cold while nobody called it.
func (o *Owner) followOrders(now time.Time, s *Server) {
	m := o.Table.Members[s.Name]
	if m == nil {
		return
	}
	out := o.out(m.Announcement)
	if s.Out && !out {
		o.chill(now, s, m.Announcement, "returned")
	}
	s.Out = out
}

// out reports whether a server is kept from calls.
func (o *Owner) out(a membership.Announcement) bool {
	return a.State == membership.StateDraining || o.Catalog.OutDomains[a.Domain] || o.Catalog.DrainedServers[a.Server]
}

// grow raises the limit of a warming server by one step, provided that it
// answered calls in the meantime, and did so at its usual pace.
func (o *Owner) grow(now time.Time, s *Server, a membership.Announcement) {
	full := o.fullLimit(a)
	switch cold := min(o.Catalog.Documents[a.Service].Cold.Slots, full); {
	case s.Limit > full:
		s.Limit = full
	case s.Limit < cold:
		// The server announced itself before its service was described.
		s.Limit = cold
		s.GrowAt = now.Add(o.Catalog.Documents[a.Service].ColdHold())
	case s.Limit == full || now.Before(s.GrowAt) || s.Answers == 0 || s.Slow:
	default:
		s.Limit++
		s.Answers = 0
		s.GrowAt = now.Add(o.Catalog.Documents[a.Service].ColdStep())
		if s.Limit == full {
			o.emit(ServerChanged{Server: s.Name, Domain: a.Domain, From: "cold", To: "warm"})
		}
	}
}

func (o *Owner) fullLimit(a membership.Announcement) int {
	return min(a.Slots, o.Catalog.Documents[a.Service].Limits.SlotsPerServer)
}

// chill puts a server back to the cold limit.
func (o *Owner) chill(now time.Time, s *Server, a membership.Announcement, why string) {
	d := o.Catalog.Documents[a.Service]
	cold := min(d.Cold.Slots, o.fullLimit(a))
	s.GrowAt = now.Add(d.ColdHold())
	s.Answers = 0
	if s.Limit <= cold {
		s.Limit = cold
		return
	}
	o.emit(ServerChanged{Server: s.Name, Domain: a.Domain, From: fmt.Sprintf("limit_%d", s.Limit), To: "cold_" + why})
	s.Limit = cold
	o.pokeHolders(s.Name)
}

func (o *Owner) pokeHolders(server string) {
	s := o.Servers[server]
	if s == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.Bounds)) {
		o.emit(Poke{Entry: name})
	}
}

// dropEntry turns an entry's slots into orphans, since calls that it started
// may still run.
func (o *Owner) dropEntry(e *Entry) {
	for _, s := range o.Servers {
		n := s.Bounds[e.Name]
		delete(s.Bounds, e.Name)
		if n == 0 {
			continue
		}
		longest := o.Catalog.Documents[o.serviceOf(s.Name)].MaxDeadline()
		s.Orphans = append(s.Orphans, Orphan{Slots: n, Until: e.Expires.Add(longest)})
	}
	delete(o.Entries, e.Name)
}

func (o *Owner) serviceOf(server string) string {
	if s := o.Servers[server]; s != nil {
		return s.Service
	}
	return ""
}

// promised counts the slots that may be in use.
func (s *Server) promised() int {
	n := 0
	for _, b := range s.Bounds {
		n += b
	}
	for _, p := range s.Orphans {
		n += p.Slots
	}
	return n
}

// usable is how many calls a server may get now; zero when it leaves, when
// its failure domain is out, or when its announcement ended.
func (o *Owner) usable(s *Server) int {
	m := o.Table.Members[s.Name]
	if m == nil || o.out(m.Announcement) {
		return 0
	}
	if _, described := o.Catalog.Documents[s.Service]; !described {
		return 0
	}
	return s.Limit
}

// InForce reports whether every entry that may send calls follows the
// configuration of an index.
func (o *Owner) InForce(now time.Time, index uint64) bool {
	if o.Term == 0 || now.Before(o.Quiet) || o.Catalog.Index < index {
		return false
	}
	for _, e := range o.Entries {
		if e.CatalogIndex < index {
			return false
		}
	}
	return true
}
