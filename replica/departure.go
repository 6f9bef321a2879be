package replica

import (
	"slices"
	"time"
)

// Load pattern: instances are stopped as planned, one alone or several in turn or at the same
// time. Some are back with their disks a second later, others are removed for good. Which it is
// nobody knows at the stop, and the next disk may be lost right after it.

// Departures decides when the replicas that are about to stop may do so. It belongs to the
// leader. A new leader knows none: those that stop repeat their requests.
type Departures struct {
	// Lifetime is how long a request is valid. A replica that was only restarted is then a
	// voter like any other.
	Lifetime time.Duration
	// StandbysKnownAfter is the time after an election from which the leader has heard of all
	// standbys.
	StandbysKnownAfter time.Duration
	requestedAt        map[string]time.Time
}

// Request records that a replica is about to stop.
func (d *Departures) Request(now time.Time, id string) {
	if d.requestedAt == nil {
		d.requestedAt = map[string]time.Time{}
	}
	d.requestedAt[id] = now
}

// Leaving returns the IDs of the replicas that are about to stop, for [MembershipPlan.Leaving].
// It forgets the requests that are no longer valid.
func (d *Departures) Leaving(now time.Time) map[string]bool {
	leaving := map[string]bool{}
	for id, at := range d.requestedAt {
		if now.Sub(at) > d.Lifetime {
			delete(d.requestedAt, id)
			continue
		}
		leaving[id] = true
	}
	return leaving
}

// MayStop reports whether a replica may stop: the committed members do not list it as a voter,
// or nobody can take its vote. A leader that no quorum has confirmed can't know.
func (d *Departures) MayStop(now time.Time, r *Replica, target int, standbys []Identity, id string) bool {
	members := r.Members
	switch {
	case r.LeaseEnd(now).IsZero() || r.ChangingMembers():
		return false
	case !slices.Contains(members.Voters, id):
		return true
	case len(members.Voters) > target || len(members.Learners) > 0:
		return false
	}
	leaving := d.Leaving(now)
	canReplace := func(s Identity) bool {
		return !leaving[s.ReplicaID] && !slices.Contains(members.Voters, s.ReplicaID)
	}
	return !slices.ContainsFunc(standbys, canReplace) && now.Sub(r.LeadingSince()) >= d.StandbysKnownAfter
}
