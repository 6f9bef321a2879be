// Package membership holds what servers say of themselves, and for how long
// it counts.
//
// There is no list of servers. A server announces itself to any instance,
// through the platform's balancer, again and again; an announcement is a lease
// that ends by itself. The package is part of the core.
//
// # Usage
//
//	t := membership.New()
//	change := t.Announce(now, announcement)
//	gone := t.Expire(now)
package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Lifetime is how long an announcement counts. Servers announce themselves
// several times within it.
const Lifetime = 5 * time.Second

// State is what a server says it is doing.
type State string

// The states of a server.
const (
	// StateReady means that the server takes calls, be it cold or warm.
	StateReady State = "ready"
	// StateDraining means that the server is leaving and takes no new calls.
	StateDraining State = "draining"
)

// Announcement is what a server says of itself.
type Announcement struct {
	Server  string `json:"server"`
	Service string `json:"service"`
	// Domain is the server's failure domain.
	Domain string `json:"failure_domain"`
	// Address is the host:port that takes calls.
	Address string `json:"address"`
	// BootID differs each time the server starts.
	BootID string `json:"boot_id"`
	// Sequence grows with each announcement of a boot.
	Sequence uint64 `json:"sequence"`
	// Slots is how many calls the server runs at once when warm.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// Load is the server's own count of running calls. It is stale.
	Load int `json:"load"`
}

// InvalidError says which field of an announcement is wrong.
type InvalidError struct {
	Field   string
	Value   any
	Allowed string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("announcement: field %s is %v, allowed: %s", e.Field, e.Value, e.Allowed)
}

// Check returns an [InvalidError] for the first field that is wrong.
func (a Announcement) Check() error {
	switch {
	case a.Server == "" || len(a.Server) > 63:
		return &InvalidError{"server", len(a.Server), "1 to 63 characters"}
	case a.Service == "" || len(a.Service) > 63:
		return &InvalidError{"service", len(a.Service), "1 to 63 characters"}
	case a.Domain == "" || len(a.Domain) > 63:
		return &InvalidError{"failure_domain", len(a.Domain), "1 to 63 characters"}
	case a.Address == "":
		return &InvalidError{"address", a.Address, "host:port"}
	case a.BootID == "" || len(a.BootID) > 64:
		return &InvalidError{"boot_id", len(a.BootID), "1 to 64 characters"}
	case a.Slots < 1 || a.Slots > 1000:
		return &InvalidError{"slots", a.Slots, "1 to 1000"}
	case a.State != StateReady && a.State != StateDraining:
		return &InvalidError{"state", a.State, "ready or draining"}
	}
	return nil
}

// Change says what an announcement brought.
//
//sumtype:decl
type Change interface{ change() }

// Joined means that the server was not known.
type Joined struct{}

// Rebooted means that the server is known under another boot id.
type Rebooted struct{}

// StateChanged means that the server is draining now, or takes calls again.
type StateChanged struct{}

// Renewed means that only the lease was extended.
type Renewed struct{}

// Stale means that a newer announcement of the same boot came earlier, or
// that the boot was replaced already.
type Stale struct{}

func (Joined) change()       {}
func (Rebooted) change()     {}
func (StateChanged) change() {}
func (Renewed) change()      {}
func (Stale) change()        {}

// Member is a known server.
type Member struct {
	Announcement Announcement
	// Expires is when the announcement stops counting.
	Expires time.Time
	// FormerBoots holds the boots that were replaced, newest last.
	FormerBoots []string
}

// maxFormerBoots bounds the memory of replaced boots: late announcements
// arrive within seconds, and a server does not boot this often in that time.
const maxFormerBoots = 4

// Table holds the servers by name.
type Table struct{ Members map[string]*Member }

// New returns an empty table.
func New() *Table { return &Table{Members: map[string]*Member{}} }

// Announce takes an announcement into the table.
func (t *Table) Announce(now time.Time, a Announcement) Change {
	m := t.Members[a.Server]
	if m == nil {
		t.Members[a.Server] = &Member{Announcement: a, Expires: now.Add(Lifetime)}
		return Joined{}
	}
	return m.update(now, a)
}

func (m *Member) update(now time.Time, a Announcement) Change {
	old := m.Announcement
	sameBoot := old.BootID == a.BootID
	if sameBoot && a.Sequence <= old.Sequence || slices.Contains(m.FormerBoots, a.BootID) {
		return Stale{}
	}
	m.Announcement = a
	m.Expires = now.Add(Lifetime)
	switch {
	case !sameBoot:
		m.FormerBoots = append(m.FormerBoots, old.BootID)
		m.FormerBoots = m.FormerBoots[max(0, len(m.FormerBoots)-maxFormerBoots):]
		return Rebooted{}
	case old.State != a.State:
		return StateChanged{}
	}
	return Renewed{}
}

// Expire removes the servers whose lease ended and returns their names in
// order.
func (t *Table) Expire(now time.Time) []string {
	var gone []string
	for _, name := range slices.Sorted(maps.Keys(t.Members)) {
		if !t.Members[name].Expires.After(now) {
			delete(t.Members, name)
			gone = append(gone, name)
		}
	}
	return gone
}
