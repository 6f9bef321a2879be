package control

import (
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
)

const (
	// forwardTime is how long announcements are gathered for the leader. It
	// delays the news of an upstream by as much; with a thousand upstreams the
	// leader gets some ten messages a second from each instance instead of
	// hundreds in all.
	forwardTime = 100 * time.Millisecond
	// renewalForwardTime is the same for announcements that bring nothing new:
	// short against the lifetime of an announcement.
	renewalForwardTime = 400 * time.Millisecond
	// forwardWholeEvery is how often an upstream's announcement is passed on
	// whole though it brings nothing new: one that did may have been lost on its
	// way to the leader.
	forwardWholeEvery = 8
	// maxGathered bounds the announcements that wait for a leader. Upstreams
	// announce themselves again.
	maxGathered = 4096
)

// announce takes an announcement into the fleet. One that upstreams repeat is
// acknowledged at once, with or without a leader: it binds nobody. A farewell is
// committed before it is acknowledged, so that it outlives this leader.
func (t *task) announce(now time.Time, m announceMail) []replica.Effect {
	u := m.request.Upstream
	u.Sequence = m.request.Sequence
	if m.request.Leaving {
		if known := t.fleet.Members[u.ID]; known != nil && u.BornMS == 0 {
			u.BornMS = known.BornMS
		}
	} else if !u.Draining {
		m.answer <- answer{response: peer.Nothing{}}
		t.renewOne(now, m.request)
		return nil
	}
	if !t.leads() {
		m.answer <- answer{err: t.notLeader()}
		return nil
	}
	if !m.request.Leaving {
		t.take(now, u)
	}
	if born, retired := t.fleet.Retired[u.ID]; retired && u.BornMS <= born {
		m.answer <- answer{response: peer.Nothing{}}
		return nil
	}
	data, err := encode(record.Retire{Upstream: u.ID, BornMS: u.BornMS})
	if err != nil {
		m.answer <- answer{err: err}
		return nil
	}
	return t.propose(now, data, proposal{answer: m.answer})
}

// renewOne takes an announcement that is acknowledged already. Who does not
// lead passes it on.
func (t *task) renewOne(now time.Time, r peer.AnnounceRequest) {
	u := r.Upstream
	u.Sequence = r.Sequence
	news := t.take(now, u)
	if t.leads() {
		return
	}
	due := now.Add(forwardTime)
	if !news && t.recorded(u) && u.Sequence%forwardWholeEvery != 0 {
		t.heard = append(t.heard, u.ID)
		due = now.Add(renewalForwardTime)
	} else if len(t.gathered) < maxGathered {
		t.gathered = append(t.gathered, r)
	}
	if t.gatherUntil.IsZero() || due.Before(t.gatherUntil) {
		t.gatherUntil = due
	}
}

// recorded reports whether the log has an incarnation, so that the leader
// knows it, too.
func (t *task) recorded(u fleet.Upstream) bool {
	known, ok := t.state.Catalog.Upstreams[u.ID]
	return ok && known.BornMS == u.BornMS
}

// renew takes the announcements that another instance gathered.
func (t *task) renew(now time.Time, m renewMail) {
	if !t.leads() {
		return
	}
	for _, r := range m.request.Announcements {
		u := r.Upstream
		u.Sequence = r.Sequence
		t.take(now, u)
	}
	t.fleet.Renew(now, m.request.Heard)
}

// forward sends the leader what was gathered for it.
func (t *task) forward(now time.Time) {
	if t.gatherUntil.IsZero() || now.Before(t.gatherUntil) {
		return
	}
	leader := replica.InstanceOf(t.replica.Leader)
	if leader == "" {
		t.heard = nil
		t.gatherUntil = now.Add(forwardTime)
		return
	}
	if !t.leads() {
		t.pool.Notify(PeerAddress(leader, t.settings.PeerPort), peer.RenewRequest{Announcements: t.gathered, Heard: t.heard})
	}
	t.gathered, t.heard = nil, nil
	t.gatherUntil = time.Time{}
}

// enroll records incarnations. Nobody waits for it: until it is committed,
// only the leader knows the upstreams.
func (t *task) enroll(now time.Time, list []fleet.Upstream) []replica.Effect {
	data, err := encode(record.Enroll{Upstreams: list})
	if err != nil {
		t.log.WithError(err).WithField("upstreams", len(list)).Error("upstreams not recorded")
		return nil
	}
	t.enrolling = true
	return t.propose(now, data, proposal{enrolls: true})
}

// recordSoon has upstreams that are new recorded together with others.
func (t *task) recordSoon(now time.Time) {
	if due := now.Add(recordTime); due.Before(t.recordAt) {
		t.recordAt = due
	}
}

// take enters an announcement, logs what it changed, and reports whether it
// changed anything.
func (t *task) take(now time.Time, u fleet.Upstream) bool {
	change := ""
	reason := ""
	switch c := t.fleet.Announce(now, u).(type) {
	case fleet.Joined:
		change = "joined"
		t.recordSoon(now)
	case fleet.Updated:
		change = "updated"
	case fleet.Stale:
		change, reason = "stale", c.Reason
	case fleet.Repeated, fleet.Renewed:
		return false
	}
	t.metrics.GetOrCreateCounter(`oriolepost_announcements_total{change="` + change + `"}`).Inc()
	t.log.WithFields(log.Fields{
		"change": "upstream", "what": change, "reason": reason, "upstream": u.ID, "service": u.Service, "address": u.Address,
		"born_ms": u.BornMS, "sequence": u.Sequence, "draining": u.Draining, "cold_ms": u.ColdMS, "revision": t.fleet.Revision,
	}).Info("upstream announced")
	return change != "stale"
}
