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
// it refuses the watch.
func (t *task) watch(now time.Time, message watchMessage) {
	switch {
	case t.leads() && !t.replica.LeadingSince().IsZero():
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

// registerWatch keeps a watch at the leader and refuses an earlier one of the
// same entry.
func (t *task) registerWatch(now time.Time, message watchMessage) {
	name := message.request.Entry
	replaced := t.watchers.Put(now, name, t.standingOf(now, message.request), peer.WatchTimeout(message.request.Followers))
	if replaced {
		t.watches[name].answer <- answer{err: &peer.RefusedError{Code: peer.CodeBusy, Reason: "a newer watch came"}}
	}
	t.watches[name] = message
}

// standingOf returns what the view of an entry lacks.
func (t *task) standingOf(now time.Time, r peer.WatchRequest) watcher.Standing {
	switch {
	case !t.viewOutdated(now, r):
		return watcher.Current
	case r.Epoch != t.replica.Term:
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
	if t.replica.LeaseEnd(now).IsZero() {
		return time.Time{}
	}
	t.outdateWatches(now)
	return t.watchers.Next()
}

// outdateWatches tells the watchers of changes since the last call.
func (t *task) outdateWatches(now time.Time) {
	version := watchedVersion{revision: t.revision(), complete: t.fleetComplete(now)}
	if version != t.watched {
		t.watched = version
		t.watchers.Outdate()
	}
}

// watchedVersion identifies what a view without an outdated part contains.
type watchedVersion struct {
	revision uint64
	complete bool
}

// answerWatches answers one batch of the watches for which there is a change or whose
// deadline has passed. Until a leader has committed an entry of its own term,
// it may not know everything that was acknowledged, so it answers no watch.
func (t *task) answerWatches(now time.Time) {
	if !t.leads() {
		return
	}
	if due := t.nextWatchAnswer(now); due.IsZero() || now.Before(due) {
		return
	}
	for _, name := range t.watchers.Take(now) {
		view := t.viewFor(now, t.watches[name].request)
		index, count := t.watchers.Position(name)
		t.watches[name].answer <- t.watchAnswer(view, index, count)
		delete(t.watches, name)
	}
}

// watchAnswer returns the answer to the watch of the entry at an index among count
// entries.
func (t *task) watchAnswer(view encodedView, index, count int) answer {
	if view.err != nil {
		return answer{err: &peer.RefusedError{Code: peer.CodeBusy, Reason: "could not encode the view: " + view.err.Error()}}
	}
	if view.digestWanted {
		return answer{response: peer.WatchResponse{Epoch: t.replica.Term, DigestWanted: true}}
	}
	return answer{response: peer.WatchResponse{
		Epoch: t.replica.Term, Revision: view.revision, Index: index, Count: count, Followers: count, View: view.data,
	}}
}

func (t *task) fleetComplete(now time.Time) bool {
	return now.Sub(t.replica.LeadingSince()) >= fleetCompleteAfter
}

// revision counts the changes of everything that entries follow.
func (t *task) revision() uint64 { return t.fleet.Revision + t.committedChanges }

// viewOutdated reports whether an entry's view differs from the current one.
func (t *task) viewOutdated(now time.Time, r peer.WatchRequest) bool {
	return r.Epoch != t.replica.Term || r.Revision != t.revision() || r.FleetComplete != t.fleetComplete(now)
}

// refuseWatches refuses all pending watches, so that the entries look for the
// new leader, and forgets all entries.
func (t *task) refuseWatches() {
	for _, name := range slices.Sorted(maps.Keys(t.watches)) {
		t.watches[name].answer <- answer{err: t.notLeaderError()}
	}
	clear(t.watches)
	t.watchers.Clear()
}
