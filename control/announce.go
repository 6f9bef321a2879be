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
	// forwardDelay is how long announcements are collected before they are sent
	// to the leader. The leader learns of a changed upstream that much later.
	// With a thousand upstreams it gets about ten messages a second from each
	// instance, instead of hundreds of messages a second in all.
	forwardDelay = 100 * time.Millisecond
	// renewalForwardDelay applies instead when all collected announcements only
	// extend a lifetime. It is short against the lifetime of an announcement.
	renewalForwardDelay = 400 * time.Millisecond
	// fullForwardEvery makes every eighth announcement of an upstream be
	// forwarded in full although it changes nothing: an earlier one that did
	// change something may have been lost on its way to the leader.
	fullForwardEvery = 8
	// standbyFullForwardEvery replaces it at a standby, which does not know whether the
	// log contains the upstream. It is the number of announcements in a lifetime.
	standbyFullForwardEvery = 4
	// maxPendingAnnouncements limits the announcements that wait to be sent to
	// the leader. Further ones are dropped, since upstreams announce themselves
	// again.
	maxPendingAnnouncements = 4096
)

// announce handles an upstream's announcement. A periodic announcement is
// acknowledged immediately, with or without a leader, because nothing has to be
// durable for it. When the upstream drains or deregisters, this is committed
// before it is acknowledged, so that it outlives this leader.
func (t *task) announce(now time.Time, message announceMessage) []replica.Effect {
	upstream := message.request.Upstream
	upstream.Sequence = message.request.Sequence
	if message.request.Leaving {
		upstream.Service = ""
		if known := t.fleet.Members[upstream.ID]; known != nil && upstream.StartMS == 0 {
			upstream.StartMS = known.StartMS
		}
	} else if !upstream.Draining {
		message.answer <- answer{response: peer.Nothing{}}
		t.applyAndForward(now, message.request)
		return nil
	}
	if !t.leads() {
		message.answer <- answer{err: t.notLeaderError()}
		return nil
	}
	if !message.request.Leaving {
		t.applyAnnouncement(now, upstream)
	}
	if t.fleet.Retired[upstream.ID].Includes(upstream) {
		message.answer <- answer{response: peer.Nothing{}}
		return nil
	}
	// That an upstream drains holds forever for this service of its id, also for earlier
	// incarnations. A deregistration names no service, and holds for all of them.
	data, err := encode(record.Retire{Upstream: upstream.ID, Service: upstream.Service, StartMS: upstream.StartMS})
	if err != nil {
		message.answer <- answer{err: err}
		return nil
	}
	return t.propose(now, data, pendingProposal{answer: message.answer})
}

// findIncarnation answers with the newest incarnation of an upstream that this instance
// knows, from announcements, from the log or from the leader's view. A deregistration
// without a start time is bound to it.
func (t *task) findIncarnation(message incarnationMessage) {
	startMS := t.state.Catalog.Upstreams[message.upstream].StartMS
	for _, table := range []*fleet.Table{t.fleet, t.relay.fleet} {
		if member := table.Members[message.upstream]; member != nil {
			startMS = max(startMS, member.StartMS)
		}
	}
	if startMS == 0 && !t.leads() {
		message.answer <- answer{err: t.notLeaderError()}
		return
	}
	message.answer <- answer{response: peer.IncarnationResponse{StartMS: startMS}}
}

// applyAndForward applies an announcement that has been acknowledged already.
// An instance that is not the leader also queues it for the leader.
func (t *task) applyAndForward(now time.Time, request peer.AnnounceRequest) {
	upstream := request.Upstream
	upstream.Sequence = request.Sequence
	change := t.applyAnnouncement(now, upstream)
	if t.leads() {
		return
	}
	due := now.Add(forwardDelay)
	if onlyRenews(change) && !t.mustForwardFully(upstream) {
		t.pendingRenewals = append(t.pendingRenewals, upstream.ID)
		due = now.Add(renewalForwardDelay)
	} else if len(t.pendingAnnouncements) < maxPendingAnnouncements {
		t.pendingAnnouncements = append(t.pendingAnnouncements, request)
	}
	if t.forwardAt.IsZero() || due.Before(t.forwardAt) {
		t.forwardAt = due
	}
}

// onlyRenews reports whether an announcement can be forwarded as an id whose lifetime is
// extended. One that was refused can't: the id belongs to another incarnation, which may
// have ended.
func onlyRenews(change fleet.Change) bool {
	switch change.(type) {
	case fleet.Renewed, fleet.Repeated:
		return true
	case fleet.Joined, fleet.Updated, fleet.Stale, fleet.Unnamed:
		return false
	}
	return false
}

// mustForwardFully reports whether an announcement that changes nothing is forwarded
// in full.
func (t *task) mustForwardFully(u fleet.Upstream) bool {
	if !t.isMember() {
		return u.Sequence%standbyFullForwardEvery == 0
	}
	return !t.isRecorded(u) || u.Sequence%fullForwardEvery == 0
}

// isRecorded reports whether the log contains an incarnation, so that the
// leader knows it as well.
func (t *task) isRecorded(u fleet.Upstream) bool {
	known, ok := t.state.Catalog.Upstreams[u.ID]
	return ok && known.SameIncarnation(u)
}

// applyForwarded applies the announcements that another instance collected.
// Only the leader does so.
func (t *task) applyForwarded(now time.Time, m renewMessage) {
	if !t.leads() {
		return
	}
	for _, r := range m.request.Announcements {
		u := r.Upstream
		u.Sequence = r.Sequence
		t.applyAnnouncement(now, u)
	}
	t.fleet.Renew(now, m.request.Renewed)
}

// forwardPending sends the collected announcements to the leader when they are
// due. While no leader is known, it drops the pending renewals and keeps the
// announcements for the next attempt. An instance that has become the leader
// drops both, since it has applied them already.
func (t *task) forwardPending(now time.Time) {
	if t.forwardAt.IsZero() || now.Before(t.forwardAt) {
		return
	}
	address := t.leaderAddress()
	if address == "" {
		t.pendingRenewals = nil
		t.forwardAt = now.Add(forwardDelay)
		return
	}
	if !t.leads() {
		t.pool.Notify(address, peer.RenewRequest{Announcements: t.pendingAnnouncements, Renewed: t.pendingRenewals})
	}
	t.pendingAnnouncements, t.pendingRenewals = nil, nil
	t.forwardAt = time.Time{}
}

// leaderAddress returns the leader's address, or an empty string if it is not known. A
// standby gets no messages of the log. It uses the instance that answered its last join
// request; what it sends to a former leader is lost until the next join request, which
// is sooner than the announcements expire.
func (t *task) leaderAddress() string {
	if t.replica.Leader != "" {
		return PeerAddress(t.leaderInstance(), t.settings.PeerPort)
	}
	if t.joined && !t.isMember() {
		return t.leaderClient.Address()
	}
	return ""
}

// enroll proposes a command that records incarnations. No caller waits for it.
// Until it is committed, only the leader and the instances that received the
// announcements know these upstreams.
func (t *task) enroll(now time.Time, list []fleet.Upstream) []replica.Effect {
	data, err := encode(record.Enroll{Upstreams: list})
	if err != nil {
		t.log.WithError(err).WithField("upstreams", len(list)).Error("could not encode the command that records upstreams")
		return nil
	}
	t.enrolling = true
	return t.propose(now, data, pendingProposal{enrolls: true})
}

// scheduleRecording schedules the recording of a new upstream after
// recordDelay, so that several are recorded by one command.
func (t *task) scheduleRecording(now time.Time) {
	if due := now.Add(recordDelay); due.Before(t.recordAt) {
		t.recordAt = due
	}
}

// unnamedLogInterval limits the log lines about announcements for services that the
// configuration does not name: their writer sends one every 1.5 s for each upstream.
const unnamedLogInterval = 5 * time.Second

// applyAnnouncement applies an announcement to the fleet and returns the change. It logs
// changes and refused announcements.
func (t *task) applyAnnouncement(now time.Time, upstream fleet.Upstream) fleet.Change {
	change := t.fleet.Announce(now, upstream)
	event, reason, logged := "", "", true
	switch change := change.(type) {
	case fleet.Joined:
		event = "joined"
		t.scheduleRecording(now)
	case fleet.Updated:
		event = "updated"
	case fleet.Stale:
		event, reason = "stale", change.Reason
	case fleet.Unnamed:
		event, reason = "unnamed", "the configuration does not name the service, and the id or the address belongs to one that it names"
		if logged = !now.Before(t.unnamedLogAt); logged {
			t.unnamedLogAt = now.Add(unnamedLogInterval)
		}
	case fleet.Repeated, fleet.Renewed:
		return change
	}
	t.metrics.GetOrCreateCounter(`oriolepost_announcements_total{change="` + event + `"}`).Inc()
	if logged {
		t.log.WithFields(log.Fields{
			"change": "upstream", "event": event, "reason": reason, "upstream": upstream.ID, "service": upstream.Service, "address": upstream.Address,
			"start_ms": upstream.StartMS, "sequence": upstream.Sequence, "draining": upstream.Draining, "cold_ms": upstream.ColdMS, "revision": t.fleet.Revision,
		}).Info("upstream announced")
	}
	return change
}
