package control

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/watcher"
)

const (
	// heldWatchTimeout is how long watches are held while there is no leader.
	// It is several round trips, and short against an election timeout, so that
	// entries soon look for a leader elsewhere.
	heldWatchTimeout = 100 * time.Millisecond
	// fleetCompleteAfter is how long a new leader receives announcements before
	// its fleet counts as complete: the lifetime of an announcement.
	fleetCompleteAfter = fleet.AnnouncementLifetime
)

// watch keeps a watch until there is a change for it. While there is no leader
// the watch is held, so that an entry that looks for the leader learns of it
// immediately and does not retry again and again. An instance outside the voter
// group, as after the loss of its disk, can't know when there is a leader, so
// it refuses the watch. A relay answers it from the leader's view that it has.
func (t *task) watch(now time.Time, message watchMessage) {
	switch {
	case t.leads() && !t.replica.LeadingSince().IsZero():
		t.watchLeader(now, message)
	case t.relays(now) && message.request.Relay == nil && message.request.Epoch <= t.relay.following.Request.Epoch:
		t.registerWatch(now, message)
	case t.leads() || t.replica.Leader == "" && t.isMember():
		if len(t.heldWatches) == 0 {
			t.heldUntil = now.Add(heldWatchTimeout)
		}
		t.heldWatches = append(t.heldWatches, message)
	default:
		message.answer <- answer{err: t.notLeaderError()}
	}
}

// watchLeader takes a watch that comes to the leader: that of a relay, or of an entry,
// which it may send to a relay.
func (t *task) watchLeader(now time.Time, message watchMessage) {
	request := message.request
	if request.Relay != nil {
		t.registerRelay(now, request)
	} else {
		t.roster.See(now, request.Entry, watcher.Lifetime)
		if instance := t.relayFor(now, request.Entry); instance != "" {
			t.sendToRelay(message, instance)
			return
		}
	}
	t.registerWatch(now, message)
}

// releaseHeldWatches handles the held watches again once there is a leader, and
// refuses them when there is none at heldUntil.
func (t *task) releaseHeldWatches(now time.Time) {
	leaderless := t.replica.Leader == "" || t.leads() && t.replica.LeadingSince().IsZero()
	if len(t.heldWatches) == 0 || leaderless && now.Before(t.heldUntil) {
		return
	}
	held := t.heldWatches
	t.heldWatches = nil
	for _, m := range held {
		if leaderless {
			m.answer <- answer{err: t.notLeaderError()}
		} else {
			t.watch(now, m)
		}
	}
}

// registerWatch keeps a watch and refuses an earlier one of the same entry.
func (t *task) registerWatch(now time.Time, message watchMessage) {
	name := message.request.Entry
	t.takeCounts(now, message.request.Counts)
	t.takeUsages(now, message.request.Usages)
	message.request.Counts, message.request.Usages = nil, nil
	p := t.published(now)
	replaced := t.watchers.Put(now, name, p.standing(message.request), t.watchTimeout(p, message.request.Followers))
	if replaced {
		t.watches[name].answer <- answer{err: &peer.RefusedError{Code: peer.CodeBusy, Reason: "a newer watch came"}}
	}
	t.watches[name] = message
}

// standing returns what the view of an entry lacks.
func (p published) standing(r peer.WatchRequest) watcher.Standing {
	switch {
	case !p.outdated(r):
		return watcher.Current
	case !p.isSource(r):
		return watcher.Unusable
	}
	return watcher.Outdated
}

// nextWatchAnswer returns when the next watch must be answered. The zero time
// means that none is pending, or that none can be answered because a quorum must
// confirm the leader first. Without a confirmation, a leader that is cut off would
// go on answering with an outdated view. The confirmation does not exclude that
// there is a newer leader already, see [replica.Config.VoteAtStart]. Entries
// therefore discard the answer of a leader whose term is lower than that of their
// view.
func (t *task) nextWatchAnswer(now time.Time) time.Time {
	if t.leads() && t.replica.LeaseEnd(now).IsZero() {
		return time.Time{}
	}
	t.outdateWatches(now)
	return t.watchers.Next()
}

// outdateWatches tells the watchers of changes since the last call.
func (t *task) outdateWatches(now time.Time) {
	version := watchedVersion{epoch: t.relay.following.Request.Epoch, revision: t.relay.fleet.Revision + t.relay.changes}
	if t.leads() {
		version = watchedVersion{epoch: t.replica.Term, revision: t.revision(), complete: t.fleetComplete(now)}
	}
	if version != t.watched {
		t.watched = version
		t.watchers.Outdate()
	}
}

// watchedVersion identifies the content of a view.
type watchedVersion struct {
	epoch, revision uint64
	complete        bool
}

// answerWatches answers one batch of the watches for which there is a change or whose
// deadline has passed. Until a leader has committed an entry of its own term,
// it may not know everything that was acknowledged, so it answers no watch. A relay that
// has lost the leader refuses them.
func (t *task) answerWatches(now time.Time) {
	if !t.leads() && len(t.watches) > 0 && !t.relays(now) {
		t.refuseWatches()
	}
	if due := t.nextWatchAnswer(now); due.IsZero() || now.Before(due) {
		return
	}
	p := t.published(now)
	for _, name := range t.watchers.Take(now) {
		message := t.watches[name]
		message.answer <- t.watchAnswer(p, t.viewFor(now, p, message.request), message.request)
		delete(t.watches, name)
	}
}

// watchAnswer returns the answer to the watch of an entry or a relay.
func (t *task) watchAnswer(p published, view encodedView, request peer.WatchRequest) answer {
	if view.err != nil {
		return answer{err: &peer.RefusedError{Code: peer.CodeBusy, Reason: "could not encode the view: " + view.err.Error()}}
	}
	response := peer.WatchResponse{Epoch: p.epoch, Source: p.source}
	if view.digestWanted {
		response.DigestWanted = true
		return answer{response: response}
	}
	response.Revision, response.View, response.Followers = view.revision, view.data, t.watchers.Len()
	response.ProofAgeMS = t.proofAgeMS()
	switch {
	case !t.leads():
		response.AgeMS = t.relay.age().Milliseconds()
		// Without an index the entry keeps the one that it has.
		if index, known := t.relay.positions[request.Entry]; known && index >= 0 {
			response.Index, response.Count = index, t.relay.following.Request.Count
		}
	case request.Relay != nil:
		_, response.Count = t.roster.Position("")
		if seen := t.relaysSeen[request.Entry]; response.Count > maxDirectEntries {
			seen.ready = true
			t.relaysSeen[request.Entry] = seen
		}
		for _, name := range request.Relay.Entries {
			index, _ := t.roster.Position(name)
			response.Indexes = append(response.Indexes, index)
		}
	default:
		response.Index, response.Count = t.roster.Position(request.Entry)
	}
	return answer{response: response}
}

func (t *task) fleetComplete(now time.Time) bool {
	return now.Sub(t.replica.LeadingSince()) >= fleetCompleteAfter
}

// revision counts the changes of everything that entries follow.
func (t *task) revision() uint64 {
	return t.fleet.Revision + t.committedChanges + t.quarantine.Revision + t.rollouts.revision + t.quotas.revision
}

// refuseWatches refuses all pending watches, so that the entries look for the
// new leader, and forgets those that follow this instance.
func (t *task) refuseWatches() {
	for _, name := range slices.Sorted(maps.Keys(t.watches)) {
		t.watches[name].answer <- answer{err: t.notLeaderError()}
	}
	clear(t.watches)
	t.watchers.Clear()
	clear(t.relaysSeen)
}
