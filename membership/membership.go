// Package membership holds what servers announce about themselves, and expires
// announcements that are not renewed.
//
// There is no configured list of servers. A server announces itself repeatedly
// to any instance, through the platform's balancer. An announcement is a lease
// that ends by itself. The package is part of the core.
//
// # Usage
//
//	t := membership.New()
//	change := t.Announce(now, announcement)
//	expired := t.Expire(now)
package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// AnnouncementLifetime is the time after which an announcement expires. Servers
// announce themselves several times within it.
const AnnouncementLifetime = 5 * time.Second

// State is the state that a server announces.
type State string

// The states of a server.
const (
	// StateReady means that the server takes calls, whether cold or warm.
	StateReady State = "ready"
	// StateDraining means that the server is leaving and takes no new calls.
	StateDraining State = "draining"
)

// Announcement is the description that a server sends of itself.
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
	// Slots is the number of calls that the server runs concurrently when
	// warm.
	Slots int   `json:"slots"`
	State State `json:"state"`
	// Load is the server's own count of running calls when it sent the
	// announcement, so it may be as old as [AnnouncementLifetime].
	Load int `json:"load"`
}

// InvalidError names the invalid field of an announcement, its value and what
// is allowed. For a field whose length is limited, Value is the length.
type InvalidError struct {
	Field   string
	Value   any
	Allowed string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("announcement: field %s is %v, allowed: %s", e.Field, e.Value, e.Allowed)
}

// Check returns an [InvalidError] for the first invalid field.
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

// Change is the effect of an announcement on the table.
//
//sumtype:decl
type Change interface{ change() }

// Joined means that the server was not in the table.
type Joined struct{}

// Rebooted means that the server was in the table with another boot id.
type Rebooted struct{}

// StateChanged means that the server started to drain, or takes calls again.
type StateChanged struct{}

// Renewed means that only the lease was extended.
type Renewed struct{}

// Stale means that the announcement was ignored: the same or a newer one of its
// boot arrived earlier, or another boot replaced this one.
type Stale struct{}

func (Joined) change()       {}
func (Rebooted) change()     {}
func (StateChanged) change() {}
func (Renewed) change()      {}
func (Stale) change()        {}

// Member is a server in the table.
type Member struct {
	Announcement Announcement
	// Expires is the time at which the announcement expires.
	Expires time.Time
	// FormerBootIDs holds the ids of the boots that were replaced, newest
	// last.
	FormerBootIDs []string
}

// maxFormerBootIDs limits the stored former boot ids of a server. Late
// announcements arrive within seconds, and a server does not boot this often in
// that time.
const maxFormerBootIDs = 4

// Table holds the servers by name.
type Table struct{ Members map[string]*Member }

// New returns an empty table.
func New() *Table { return &Table{Members: map[string]*Member{}} }

// Announce adds or updates the server of an announcement and returns what
// changed.
func (t *Table) Announce(now time.Time, a Announcement) Change {
	m := t.Members[a.Server]
	if m == nil {
		t.Members[a.Server] = &Member{Announcement: a, Expires: now.Add(AnnouncementLifetime)}
		return Joined{}
	}
	return m.update(now, a)
}

func (m *Member) update(now time.Time, announcement Announcement) Change {
	previous := m.Announcement
	sameBoot := previous.BootID == announcement.BootID
	if sameBoot && announcement.Sequence <= previous.Sequence || slices.Contains(m.FormerBootIDs, announcement.BootID) {
		return Stale{}
	}
	m.Announcement = announcement
	m.Expires = now.Add(AnnouncementLifetime)
	switch {
	case !sameBoot:
		m.FormerBootIDs = append(m.FormerBootIDs, previous.BootID)
		m.FormerBootIDs = m.FormerBootIDs[max(0, len(m.FormerBootIDs)-maxFormerBootIDs):]
		return Rebooted{}
	case previous.State != announcement.State:
		return StateChanged{}
	}
	return Renewed{}
}

// Expire removes the servers whose lease ended and returns their names, sorted.
func (t *Table) Expire(now time.Time) []string {
	var expired []string
	for _, name := range slices.Sorted(maps.Keys(t.Members)) {
		if !t.Members[name].Expires.After(now) {
			delete(t.Members, name)
			expired = append(expired, name)
		}
	}
	return expired
}
