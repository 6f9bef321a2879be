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
	"slices"
	"time"
)

// AnnouncementLifetime is how long an announcement is valid. It spans four
// announcements, which upstreams send every 1.5 s.
const AnnouncementLifetime = 6 * time.Second

// maxRemovals limits the removals that the table remembers. They are needed to
// bring an older view up to date by its differences. A view that lacks a
// forgotten removal is replaced as a whole.
const maxRemovals = 4096

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
