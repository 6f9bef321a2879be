package control

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/peer"
)

const (
	// Changes are collected for notifyIntervalPerEntry for each entry, at least
	// minNotifyInterval and at most maxNotifyInterval, before entries are
	// notified again. All entries are notified at the same time, so that they
	// lack the same changes, which are encoded once. The maximum is short
	// against the 2 s in which a change must be in force.
	minNotifyInterval      = 120 * time.Millisecond
	notifyIntervalPerEntry = 1500 * time.Microsecond
	maxNotifyInterval      = 700 * time.Millisecond
	// heldWatchTimeout is how long watches are held while there is no leader.
	// It is several round trips, and short against an election timeout, so that
	// entries soon look for a leader elsewhere.
	heldWatchTimeout = 100 * time.Millisecond
	// entryLifetime is how long an entry is counted after its last watch, or
	// after the answer to it.
	entryLifetime = 2 * time.Second
	// fleetCompleteAfter is how long a new leader receives announcements before
	// its fleet counts as complete: the lifetime of an announcement.
	fleetCompleteAfter = fleet.AnnouncementLifetime
)

// watcher is the leader's state of one entry.
type watcher struct {
	// lastSeen is the time of the entry's last watch, or of the answer to it.
	lastSeen time.Time
	// pending is the entry's unanswered watch, or nil.
	pending *watchMessage
	// deadline is when the pending watch is answered at the latest.
	deadline time.Time
}

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
	entry := t.watchers[message.request.Entry]
	if entry == nil {
		entry = &watcher{}
		t.watchers[message.request.Entry] = entry
	}
	if entry.pending != nil {
		entry.pending.answer <- answer{err: &peer.RefusedError{Code: peer.CodeBusy, Reason: "a newer watch came"}}
	}
	entry.lastSeen = now
	entry.pending = &message
	entry.deadline = now.Add(peer.WatchTimeout(len(t.watchers)))
}

func clamp(d, minimum, maximum time.Duration) time.Duration { return min(max(d, minimum), maximum) }

// nextWatchAnswer returns when the next watch must be answered. The zero time
// means that none is pending, or that none can be answered because a quorum must
// confirm the leader first. Without a confirmation, a leader that is cut off would
// go on answering with an outdated view. The confirmation does not exclude that
// there is a newer leader already, see [replica.Config.VoteAtStart]. Entries
// therefore discard the answer of a leader whose term is lower than that of their
// view.
func (t *task) nextWatchAnswer(now time.Time) time.Time {
	var next time.Time
	if t.replica.LeaseEnd(now).IsZero() {
		return next
	}
	for _, watcher := range t.watchers {
		if watcher.pending == nil {
			continue
		}
		if due := t.answerAt(now, watcher); next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// answerAt returns when a watch is answered. An entry that follows another
// leader, or none, has no usable view and is answered immediately. Any other entry
// whose view is outdated is answered at notifyAt, or immediately if notifyAt was
// before its watch.
func (t *task) answerAt(now time.Time, w *watcher) time.Time {
	switch {
	case !t.viewOutdated(now, w.pending.request):
		return w.deadline
	case w.pending.request.Epoch != t.replica.Term || t.notifyAt.Before(w.lastSeen):
		return w.lastSeen
	}
	return t.notifyAt
}

// answerWatches answers the watches for which there is a change or whose
// deadline has passed. Until a leader has committed an entry of its own term,
// it may not know everything that was acknowledged, so it answers no watch.
func (t *task) answerWatches(now time.Time) {
	if !t.leads() || len(t.watchers) == 0 {
		return
	}
	if due := t.nextWatchAnswer(now); due.IsZero() || now.Before(due) {
		return
	}
	names := t.liveEntries(now)
	encoded := map[peer.WatchRequest]encodedView{}
	changed := false
	for i, name := range names {
		watcher := t.watchers[name]
		if watcher.pending == nil || now.Before(t.answerAt(now, watcher)) {
			continue
		}
		changed = changed || watcher.pending.request.Epoch == t.replica.Term && t.viewOutdated(now, watcher.pending.request)
		view := t.viewFor(now, watcher.pending.request, encoded)
		watcher.pending.answer <- t.watchAnswer(view, i, len(names))
		watcher.pending = nil
		watcher.lastSeen = now
	}
	if changed {
		t.notifyAt = now.Add(clamp(time.Duration(len(names))*notifyIntervalPerEntry, minNotifyInterval, maxNotifyInterval))
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
		Epoch: t.replica.Term, Revision: view.revision, Index: index, Count: count, View: view.data,
	}}
}

// liveEntries returns the sorted names of the entries seen within entryLifetime.
// It deletes the others, unless they have a pending watch.
func (t *task) liveEntries(now time.Time) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(t.watchers)) {
		if now.Sub(t.watchers[name].lastSeen) < entryLifetime {
			names = append(names, name)
		} else if t.watchers[name].pending == nil {
			delete(t.watchers, name)
		}
	}
	return names
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
	for name, w := range t.watchers {
		if w.pending != nil {
			w.pending.answer <- answer{err: t.notLeaderError()}
		}
		delete(t.watchers, name)
	}
}
