// Package fleet holds the upstreams as they announce themselves, each by its
// incarnation, and the view of them that entries follow.
//
// There is no list of upstreams from outside. An upstream announces itself
// again and again, to any control instance. Announcements may be late, forged
// or of an incarnation that has ended: they are ordered by start time first
// and by sequence second. The package is part of the core.
//
// # Usage
//
//	t := fleet.New()
//	t.Announce(now, announcement)
//	t.Remove(t.Expired(now))
//	changed := t.Since(revision)
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

// Lifetime is how long an announcement counts: four announcements at 1.5 s.
const Lifetime = 6 * time.Second

// maxRemoved bounds the removals that are remembered for views of the past.
const maxRemoved = 4096

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Address is the IP:port that takes requests.
	Address string `json:"address"`
	Domain  string `json:"failure_domain"`
	Slots   int    `json:"slots"`
	// BornMS is the Unix time of its start in milliseconds; it tells the
	// incarnations of one id and of one address apart.
	BornMS int64 `json:"born_ms"`
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64 `json:"-"`
	Draining bool   `json:"draining,omitempty"`
	// ColdMS is how much longer the upstream is cold, in milliseconds.
	ColdMS int64 `json:"cold_ms,omitempty"`
	// Revision is the revision of the table at the last change.
	Revision uint64 `json:"-"`
}

// Check returns a [service.FieldError] for the first field that is wrong.
func (u Upstream) Check() error {
	switch {
	case u.ID == "":
		return wrong("id", `""`, "the upstream's id")
	case u.Service == "":
		return wrong("service", `""`, "a service")
	case u.Domain == "":
		return wrong("failure_domain", `""`, "a failure domain")
	case u.Slots < 1:
		return wrong("slots", u.Slots, "1 or more")
	case u.ColdMS < 0:
		return wrong("cold_ms", u.ColdMS, "0 or more")
	case u.BornMS <= 0:
		return wrong("born_ms", u.BornMS, "a Unix time in milliseconds")
	}
	if !validAddress(u.Address) {
		return wrong("address", fmt.Sprintf("%q", u.Address), "IP:port")
	}
	return nil
}

// maxPort is the highest TCP port.
const maxPort = 65535

// validAddress reports whether an address is an IPv4 address with a port.
func validAddress(address string) bool {
	host, port, ok := strings.Cut(address, ":")
	parts := strings.Split(host, ".")
	if n, err := strconv.Atoi(port); !ok || err != nil || n < 1 || n > maxPort || len(parts) != 4 {
		return false
	}
	return !slices.ContainsFunc(parts, func(p string) bool {
		_, err := strconv.ParseUint(p, 10, 8)
		return err != nil
	})
}

// Member is an upstream with what the table knows besides.
type Member struct {
	Upstream
	Heard     time.Time
	ColdUntil time.Time
}

// Removal remembers that an upstream was removed.
type Removal struct {
	ID       string
	Revision uint64
}

// Table holds the upstreams by id. One task owns it.
type Table struct {
	Members  map[string]*Member
	Removed  []Removal
	Revision uint64
	// Retired holds the start times of incarnations that said that they leave.
	Retired map[string]int64
	// byAddress names the member that has an address: no two have the same.
	byAddress map[string]string
}

// New returns an empty table.
func New() *Table {
	return &Table{Members: map[string]*Member{}, Retired: map[string]int64{}, byAddress: map[string]string{}}
}

// Change says what an announcement brought.
//
//sumtype:decl
type Change interface{ change() }

// Joined means that this incarnation was not known.
type Joined struct{}

// Updated means that something that entries act on has changed.
type Updated struct{}

// Renewed means that only the lifetime was extended.
type Renewed struct{}

// Repeated means that this announcement, or a newer one, came earlier: callers
// repeat it at several control instances.
type Repeated struct{}

// Stale means that a newer incarnation came earlier.
type Stale struct{ Reason string }

func (Joined) change()   {}
func (Updated) change()  {}
func (Renewed) change()  {}
func (Repeated) change() {}
func (Stale) change()    {}

// Announce takes an announcement into the table.
func (t *Table) Announce(now time.Time, u Upstream) Change {
	if born, retired := t.Retired[u.ID]; retired && u.BornMS <= born {
		u.Draining = true
	}
	old := t.Members[u.ID]
	switch {
	case old != nil && u.BornMS < old.BornMS:
		return Stale{Reason: "an older incarnation of this id"}
	case old != nil && u.BornMS == old.BornMS && u.Sequence <= old.Sequence:
		return Repeated{}
	case t.addressTaken(u):
		return Stale{Reason: "the address belongs to a newer incarnation"}
	}
	coldUntil := now.Add(time.Duration(u.ColdMS) * time.Millisecond)
	if old == nil || old.BornMS != u.BornMS {
		t.put(&Member{Upstream: u, Heard: now, ColdUntil: coldUntil})
		return Joined{}
	}
	old.Heard = now
	u.Draining = u.Draining || old.Draining
	same := old.Address == u.Address && old.Service == u.Service && old.Domain == u.Domain &&
		old.Slots == u.Slots && old.Draining == u.Draining
	colder := u.ColdMS > 0 && coldUntil.After(old.ColdUntil.Add(coldSlack))
	if same && !colder {
		old.Sequence = u.Sequence
		return Renewed{}
	}
	t.put(&Member{Upstream: u, Heard: now, ColdUntil: coldUntil})
	return Updated{}
}

// coldSlack is how much later a cold time may end than announced before
// without being news: the delay of an announcement varies by less.
const coldSlack = 400 * time.Millisecond

func (t *Table) put(m *Member) {
	if old := t.Members[m.ID]; old != nil {
		t.freeAddress(old)
	}
	t.Revision++
	m.Revision = t.Revision
	t.Members[m.ID] = m
	t.byAddress[m.Address] = m.ID
}

// freeAddress forgets who has a member's address, unless another has it by now.
func (t *Table) freeAddress(m *Member) {
	if t.byAddress[m.Address] == m.ID {
		delete(t.byAddress, m.Address)
	}
}

// addressTaken reports whether a younger incarnation has the address, and
// removes the older one that had it.
func (t *Table) addressTaken(u Upstream) bool {
	id, taken := t.byAddress[u.Address]
	if !taken || id == u.ID {
		return false
	}
	if t.Members[id].BornMS > u.BornMS {
		return true
	}
	t.remove(id)
	return false
}

func (t *Table) remove(id string) {
	t.freeAddress(t.Members[id])
	delete(t.Members, id)
	t.Revision++
	t.Removed = append(t.Removed, Removal{ID: id, Revision: t.Revision})
	if over := len(t.Removed) - maxRemoved; over > 0 {
		t.Removed = slices.Delete(t.Removed, 0, over)
	}
}

// Retire marks an incarnation, and all before it, as leaving.
func (t *Table) Retire(id string, bornMS int64) {
	t.Retired[id] = max(t.Retired[id], bornMS)
	if m := t.Members[id]; m != nil && m.BornMS <= bornMS && !m.Draining {
		m.Draining = true
		t.Revision++
		m.Revision = t.Revision
	}
}

// Expired lists the upstreams that were not heard of for too long, in order.
func (t *Table) Expired(now time.Time) []string {
	var gone []string
	for id, m := range t.Members {
		if now.Sub(m.Heard) >= Lifetime {
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	return gone
}

// Remove drops upstreams.
func (t *Table) Remove(ids []string) {
	for _, id := range ids {
		if t.Members[id] != nil {
			t.remove(id)
		}
	}
}

// Restore takes an upstream from the records, unless it is known already or a
// younger one has its address.
func (t *Table) Restore(now time.Time, u Upstream) {
	if old := t.Members[u.ID]; old != nil && old.BornMS >= u.BornMS || t.addressTaken(u) {
		return
	}
	if born, retired := t.Retired[u.ID]; retired && u.BornMS <= born {
		u.Draining = true
	}
	t.put(&Member{Upstream: u, Heard: now, ColdUntil: now})
}

// Renew counts upstreams as just heard of.
func (t *Table) Renew(now time.Time, ids []string) {
	for _, id := range ids {
		if m := t.Members[id]; m != nil {
			m.Heard = now
		}
	}
}

// Refresh counts all upstreams as just heard of. A new leader does so, since
// it can't know what its predecessor heard.
func (t *Table) Refresh(now time.Time) {
	for _, m := range t.Members {
		m.Heard = now
	}
}

// Since lists what changed after a revision: upstreams with the cold time that
// is left, and the ids of those removed.
func (t *Table) Since(now time.Time, revision uint64) (changed []Upstream, removed []string) {
	for _, m := range t.Members {
		if m.Revision > revision {
			u := m.Upstream
			u.ColdMS = max(0, m.ColdUntil.Sub(now).Milliseconds())
			changed = append(changed, u)
		}
	}
	slices.SortFunc(changed, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range t.Removed {
		if r.Revision > revision && t.Members[r.ID] == nil {
			removed = append(removed, r.ID)
		}
	}
	return changed, removed
}

// Complete reports whether the removals after a revision are still known.
func (t *Table) Complete(revision uint64) bool {
	return len(t.Removed) < maxRemoved || t.Removed[0].Revision <= revision+1
}

// wrong tells which field of the announcement is wrong.
func wrong(field string, value any, allowed string) error {
	return &service.FieldError{Document: "announcement", Field: field, Value: value, Allowed: allowed}
}
