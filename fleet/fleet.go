// Package fleet holds the table of upstreams that announced themselves, each
// with its current incarnation, and computes the changes that entries follow.
// An incarnation is one run of an upstream, identified by its start time.
//
// No list of upstreams is configured. Each upstream announces itself
// repeatedly, to any control instance. An announcement may be late, forged or
// from an incarnation that has ended. Announcements are therefore ordered by
// start time first and by sequence number second. The package is part of the
// core.
//
// # Usage
//
//	t := fleet.New()
//	t.Announce(now, announcement)
//	t.Remove(t.Expired(now))
//	changed, removed := t.ChangesSince(now, revision)
package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/service"
)

// AnnouncementLifetime is how long an announcement is valid. It spans four
// announcements, which upstreams send every 1.5 s.
const AnnouncementLifetime = 6 * time.Second

// maxRemovals limits the removals that the table remembers. They are needed to
// bring an older view up to date by its differences. A view that lacks a
// forgotten removal is replaced as a whole.
const maxRemovals = 4096

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Version is the version of the upstream's software. It is empty in logs and
	// snapshots written before it was recorded.
	Version string `json:"version,omitempty"`
	// Address is the IP:port that accepts requests.
	Address string `json:"address"`
	// Domain is the upstream's failure domain.
	Domain string `json:"failure_domain"`
	// Slots is the number of requests that the upstream handles at a time.
	Slots int `json:"slots"`
	// StartMS is the start time in Unix milliseconds. It distinguishes the
	// incarnations that share an id or an address.
	StartMS int64 `json:"born_ms"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"-"`
	Draining bool   `json:"draining,omitempty"`
	// ColdMS is the remaining time for which the upstream is cold, in
	// milliseconds.
	ColdMS int64 `json:"cold_ms,omitempty"`
	// Revision is the table's revision at the last change of this upstream.
	Revision uint64 `json:"-"`
}

// Validate returns a [service.FieldError] for the first invalid field.
func (u Upstream) Validate() error {
	switch {
	case u.ID == "":
		return fieldError("id", `""`, "the upstream's id")
	case u.Service == "":
		return fieldError("service", `""`, "a service")
	case u.Domain == "":
		return fieldError("failure_domain", `""`, "a failure domain")
	case u.Slots < 1 || u.Slots > maxSlots:
		return fieldError("slots", u.Slots, fmt.Sprintf("1 to %d", maxSlots))
	case u.ColdMS < 0 || u.ColdMS > maxColdMS:
		return fieldError("cold_ms", u.ColdMS, fmt.Sprintf("0 to %d", maxColdMS))
	case u.StartMS <= 0:
		return fieldError("born_ms", u.StartMS, "a Unix time in milliseconds")
	}
	if err := ValidateStart(u.StartMS); err != nil {
		return err
	}
	if !validAddress(u.Address) {
		return fieldError("address", fmt.Sprintf("%q", u.Address), "IP:port")
	}
	return nil
}

// ValidateStart returns a [service.FieldError] for a start time in the far future. Such an
// incarnation would count as newer than every other one of its id or its address.
func ValidateStart(startMS int64) error {
	if startMS > maxStartMS {
		return fieldError("born_ms", startMS, fmt.Sprintf("%d at most", int64(maxStartMS)))
	}
	return nil
}

const (
	// maxPort is the highest TCP port.
	maxPort = 65535
	// maxSlots and maxColdMS are far above what any upstream has, and low enough for sums
	// over a fleet. maxStartMS is the end of the year 9999.
	maxSlots   = 1_000_000
	maxColdMS  = 24 * 60 * 60 * 1000
	maxStartMS = 253402300799999
)

// validAddress reports whether an address is an IPv4 address with a port.
func validAddress(address string) bool {
	host, port, ok := strings.Cut(address, ":")
	parts := strings.Split(host, ".")
	if n, err := strconv.Atoi(port); !ok || err != nil || n < 1 || n > maxPort || len(parts) != 4 {
		return false
	}
	return !slices.ContainsFunc(parts, func(part string) bool {
		_, err := strconv.ParseUint(part, 10, 8)
		return err != nil
	})
}

// Member is an upstream with the table's own data about it.
type Member struct {
	Upstream
	// LastContact is the time of the last announcement or renewal.
	LastContact time.Time
	ColdUntil   time.Time
}

// Removal records that an upstream was removed, and at which revision.
type Removal struct {
	ID       string
	Revision uint64
}

// Table holds the upstreams by id. It is owned by one task.
type Table struct {
	Members  map[string]*Member
	Removals []Removal
	Revision uint64
	// Retired holds, by id, the incarnations that deregistered or announced that they drain.
	Retired map[string]Retirement
	// Digest is the digest of the members.
	Digest Digest
	// Services are the services that the configuration in force names.
	Services Services
	// byAddress maps an address to the id of the member that has it. No two
	// members have the same address.
	byAddress map[string]string
}

// New returns an empty table.
func New() *Table {
	return &Table{Members: map[string]*Member{}, Retired: map[string]Retirement{}, byAddress: map[string]string{}}
}

// Change is the effect of an announcement on the table.
//
//sumtype:decl
type Change interface{ change() }

// Joined means that this incarnation was not known before.
type Joined struct{}

// Updated means that something changed that entries act on.
type Updated struct{}

// Renewed means that only the lifetime was extended.
type Renewed struct{}

// Repeated means that this announcement, or a newer one, was received before.
// Upstreams send the same announcement to several control instances.
type Repeated struct{}

// Stale means that the announcement comes from an incarnation that a newer one
// has replaced, at the same id or the same address.
type Stale struct{ Reason string }

// Unnamed means that the announcement is for a service that the configuration does not
// name, and has the id or the address of an upstream of a service that it names.
type Unnamed struct{}

func (Joined) change()   {}
func (Updated) change()  {}
func (Renewed) change()  {}
func (Repeated) change() {}
func (Stale) change()    {}
func (Unnamed) change()  {}

// Announce applies an announcement to the table.
func (t *Table) Announce(now time.Time, upstream Upstream) Change {
	if t.Retired[upstream.ID].Includes(upstream) {
		upstream.Draining = true
	}
	old := t.Members[upstream.ID]
	outranks := old == nil || t.Services.Outranks(upstream, old.Upstream)
	switch {
	case old != nil && t.Services.Outranks(old.Upstream, upstream):
		return t.refusal(upstream, old, "an older incarnation of this id")
	case !outranks && upstream.Sequence <= old.Sequence:
		return Repeated{}
	}
	if holder := t.outrankingHolder(upstream); holder != nil {
		return t.refusal(upstream, holder, "the address belongs to a newer incarnation")
	}
	coldUntil := now.Add(time.Duration(upstream.ColdMS) * time.Millisecond)
	if outranks {
		t.put(&Member{Upstream: upstream, LastContact: now, ColdUntil: coldUntil})
		return Joined{}
	}
	old.LastContact = now
	upstream.Draining = upstream.Draining || old.Draining
	same := old.Address == upstream.Address && old.Service == upstream.Service && old.Version == upstream.Version && old.Domain == upstream.Domain &&
		old.Slots == upstream.Slots && old.Draining == upstream.Draining
	colder := upstream.ColdMS > 0 && coldUntil.After(old.ColdUntil.Add(coldEndTolerance))
	if same && !colder {
		old.Sequence = upstream.Sequence
		return Renewed{}
	}
	t.put(&Member{Upstream: upstream, LastContact: now, ColdUntil: coldUntil})
	return Updated{}
}

// coldEndTolerance is the tolerance for the end of a cold period. The end is
// computed from the time at which an announcement is received, and the delay of
// announcements varies by less than this. A new end counts as a change only if it
// is later than the known one by more than the tolerance.
const coldEndTolerance = 400 * time.Millisecond

func (t *Table) put(m *Member) {
	if old := t.Members[m.ID]; old != nil {
		t.freeAddress(old)
		t.Digest.toggle(m.ID, old.hash())
	}
	t.Digest.toggle(m.ID, m.hash())
	t.Revision++
	m.Revision = t.Revision
	t.Members[m.ID] = m
	t.byAddress[m.Address] = m.ID
}

// freeAddress removes the address entry of a member, unless another member has
// the address by now.
func (t *Table) freeAddress(m *Member) {
	if t.byAddress[m.Address] == m.ID {
		delete(t.byAddress, m.Address)
	}
}

// refusal returns the change for an announcement that a member outranks.
func (t *Table) refusal(u Upstream, m *Member, reason string) Change {
	if t.Services.Name(m.Service) && !t.Services.Name(u.Service) {
		return Unnamed{}
	}
	return Stale{Reason: reason}
}

// outrankingHolder returns the other member that has the address of an upstream, if it
// takes precedence. Otherwise that member is removed.
func (t *Table) outrankingHolder(u Upstream) *Member {
	id, taken := t.byAddress[u.Address]
	if !taken || id == u.ID {
		return nil
	}
	if holder := t.Members[id]; t.Services.Outranks(holder.Upstream, u) {
		return holder
	}
	t.remove(id)
	return nil
}

func (t *Table) remove(id string) {
	t.freeAddress(t.Members[id])
	t.Digest.toggle(id, t.Members[id].hash())
	delete(t.Members, id)
	t.Revision++
	t.Removals = append(t.Removals, Removal{ID: id, Revision: t.Revision})
	if over := len(t.Removals) - maxRemovals; over > 0 {
		t.Removals = slices.Delete(t.Removals, 0, over)
	}
}

// Retirement holds, by service, the start time of the newest incarnation of an upstream that
// is retired. The empty service stands for all of them.
type Retirement map[string]int64

// Includes reports whether an incarnation is retired.
func (r Retirement) Includes(u Upstream) bool {
	return len(r) > 0 && u.StartMS <= max(r[""], r[u.Service])
}

// Concerns reports whether incarnations of a service that the configuration names are
// retired, or those of all services.
func (r Retirement) Concerns(services Services) bool {
	for service := range r {
		if service == "" || services.Name(service) {
			return true
		}
	}
	return false
}

// Retire marks an incarnation of an upstream, and all earlier ones of the service, as
// draining for good. An empty service stands for all of them. What an announcement says
// holds for the service that it names only: its writer may be another one than that of
// the upstream, and the configuration may not name either service yet.
func (t *Table) Retire(id, service string, startMS int64) {
	if t.Retired[id] == nil {
		t.Retired[id] = Retirement{}
	}
	t.Retired[id][service] = max(t.Retired[id][service], startMS)
	if m := t.Members[id]; m != nil && t.Retired[id].Includes(m.Upstream) && !m.Draining {
		t.Digest.toggle(id, m.hash())
		m.Draining = true
		t.Digest.toggle(id, m.hash())
		t.Revision++
		m.Revision = t.Revision
	}
}

// Expired returns the sorted ids of the upstreams whose announcements have
// expired.
func (t *Table) Expired(now time.Time) []string {
	var expired []string
	for id, m := range t.Members {
		if now.Sub(m.LastContact) >= AnnouncementLifetime {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// Remove removes upstreams. Unknown ids are ignored.
func (t *Table) Remove(ids []string) {
	for _, id := range ids {
		if t.Members[id] != nil {
			t.remove(id)
		}
	}
}

// Restore adds an upstream from the replicated log, unless the same incarnation is known,
// or one that takes precedence has its id or its address.
func (t *Table) Restore(now time.Time, u Upstream) {
	if old := t.Members[u.ID]; old != nil && !t.Services.Outranks(u, old.Upstream) || t.outrankingHolder(u) != nil {
		return
	}
	if t.Retired[u.ID].Includes(u) {
		u.Draining = true
	}
	t.put(&Member{Upstream: u, LastContact: now, ColdUntil: now})
}

// Adopt takes over changes of another table, whatever this one has.
func (t *Table) Adopt(now time.Time, changed []Upstream, removed []string) {
	t.Remove(removed)
	for _, u := range changed {
		t.put(&Member{Upstream: u, LastContact: now, ColdUntil: now.Add(time.Duration(u.ColdMS) * time.Millisecond)})
	}
}

// Renew extends the lifetime of upstreams, as an announcement received now
// does.
func (t *Table) Renew(now time.Time, ids []string) {
	for _, id := range ids {
		if m := t.Members[id]; m != nil {
			m.LastContact = now
		}
	}
}

// RenewAll extends the lifetime of all upstreams, as announcements received now
// do. A new leader calls it because it can't know which announcements its
// predecessor received.
func (t *Table) RenewAll(now time.Time) {
	for _, m := range t.Members {
		m.LastContact = now
	}
}

// ChangesSince returns the upstreams that changed after a revision, each with
// its remaining cold time, and the ids of the upstreams removed after it.
func (t *Table) ChangesSince(now time.Time, revision uint64) (changed []Upstream, removed []string) {
	for _, m := range t.Members {
		if m.Revision > revision {
			u := m.Upstream
			u.ColdMS = max(0, m.ColdUntil.Sub(now).Milliseconds())
			changed = append(changed, u)
		}
	}
	slices.SortFunc(changed, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range t.Removals {
		if r.Revision > revision && t.Members[r.ID] == nil {
			removed = append(removed, r.ID)
		}
	}
	return changed, removed
}

// Bucketed returns the upstreams in the given buckets of the digest, and those that
// are cold, which the digest does not show. They are ordered by id.
func (t *Table) Bucketed(now time.Time, buckets []int) []Upstream {
	var list []Upstream
	var wanted [DigestBuckets]bool
	for _, b := range buckets {
		wanted[b] = true
	}
	for _, m := range t.Members {
		if m.ColdUntil.After(now) || wanted[BucketOf(m.ID)] {
			u := m.Upstream
			u.ColdMS = max(0, m.ColdUntil.Sub(now).Milliseconds())
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// KnowsRemovalsSince reports whether the table still remembers all removals
// after a revision.
func (t *Table) KnowsRemovalsSince(revision uint64) bool {
	return len(t.Removals) < maxRemovals || t.Removals[0].Revision <= revision+1
}

// fieldError returns the error for an invalid field of an announcement.
func fieldError(field string, value any, allowed string) error {
	return &service.FieldError{Document: "announcement", Field: field, Value: value, Allowed: allowed}
}
