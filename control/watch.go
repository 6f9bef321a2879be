package control

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/replica"
)

const (
	// watchPause is how long a watch without news waits for its answer. Two
	// answers in a second show a lost leader in time for the 2 s in which a
	// change must be in force. With hundreds of entries it grows by
	// watchPauseEach for each, up to longestWatchPause: below the 700 ms after
	// which an entry gives a try up.
	watchPause        = 450 * time.Millisecond
	watchPauseEach    = 2 * time.Millisecond
	longestWatchPause = 500 * time.Millisecond
	// gatherTime is how long changes are gathered before entries are told again,
	// all at the same time, so that what they lack is the same and is encoded
	// once. It grows by gatherTimeEach for each entry, up to longestGatherTime:
	// short against the 2 s in which a change must be in force.
	gatherTime        = 120 * time.Millisecond
	gatherTimeEach    = 1500 * time.Microsecond
	longestGatherTime = 400 * time.Millisecond
	// holdTime is how long watches are held while there is no leader: several
	// round trips, and short against an election timeout, so that entries soon
	// look elsewhere.
	holdTime = 100 * time.Millisecond
	// entryLifetime is how long an entry counts after its last watch.
	entryLifetime = 2 * time.Second
	// settleTime is how long a new leader listens before its fleet counts as
	// complete: the lifetime of an announcement.
	settleTime = fleet.Lifetime
)

// watcher is what the leader knows of an entry.
type watcher struct {
	seen time.Time
	// waiting is the watch that is not answered yet; nil when there is none.
	waiting *watchMail
	// due is when it is answered at the latest.
	due time.Time
}

// watch keeps a watch until there is news for it. While there is no leader it
// is held, so that entries that look for one learn of it at once and don't ask
// again and again. An instance that belongs to no system, as after the loss of
// its disk, can't tell when there is one.
func (t *task) watch(now time.Time, m watchMail) {
	switch {
	case t.leads() && !t.replica.LeadingSince().IsZero():
		t.keepWatch(now, m)
	case t.leads() || t.replica.Leader == "" && !t.unformed():
		if len(t.held) == 0 {
			t.heldUntil = now.Add(holdTime)
		}
		t.held = append(t.held, m)
	default:
		m.answer <- answer{err: t.notLeader()}
	}
}

// releaseHeld takes the held watches up again when there is a leader, and
// refuses them when none has come.
func (t *task) releaseHeld(now time.Time) {
	leaderless := t.replica.Leader == "" || t.leads() && t.replica.LeadingSince().IsZero()
	if len(t.held) == 0 || leaderless && now.Before(t.heldUntil) {
		return
	}
	held := t.held
	t.held = nil
	for _, m := range held {
		if leaderless {
			m.answer <- answer{err: t.notLeader()}
		} else {
			t.watch(now, m)
		}
	}
}

// keepWatch keeps a watch at the leader, in place of an earlier one of the entry.
func (t *task) keepWatch(now time.Time, m watchMail) {
	w := t.watchers[m.request.Entry]
	if w == nil {
		w = &watcher{}
		t.watchers[m.request.Entry] = w
	}
	if w.waiting != nil {
		w.waiting.answer <- answer{err: &peer.RefusedError{Code: peer.CodeBusy, Reason: "a newer watch came"}}
	}
	w.seen = now
	w.waiting = &m
	w.due = now.Add(clamp(time.Duration(len(t.watchers))*watchPauseEach, watchPause, longestWatchPause))
}

func clamp(d, least, most time.Duration) time.Duration { return min(max(d, least), most) }

// nextWatchDue is when the next watch must be answered; the zero time means
// that none can be, since a quorum has to answer first.
func (t *task) nextWatchDue(now time.Time) time.Time {
	var next time.Time
	if t.replica.LeaseEnd(now).IsZero() {
		return next
	}
	for _, w := range t.watchers {
		if w.waiting == nil {
			continue
		}
		if due := t.dueAt(now, w); next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// dueAt is when a watch is answered. An entry that follows another leader, or
// none, has nothing to go by and is told at once.
func (t *task) dueAt(now time.Time, w *watcher) time.Time {
	switch {
	case !t.changed(now, w.waiting.request):
		return w.due
	case w.waiting.request.Epoch != t.replica.Term || t.tellAt.Before(w.seen):
		return w.seen
	}
	return t.tellAt
}

// answerWatches answers the watches for which there is news, or which waited
// long enough. Before it has committed an entry of its own term a leader may
// not know what was acknowledged, so it tells nothing.
func (t *task) answerWatches(now time.Time) {
	if !t.leads() || len(t.watchers) == 0 {
		return
	}
	if due := t.nextWatchDue(now); due.IsZero() || now.Before(due) {
		return
	}
	names := t.liveEntries(now)
	encoded := map[peer.WatchRequest]encodedView{}
	news := false
	for i, name := range names {
		w := t.watchers[name]
		if w.waiting == nil || now.Before(t.dueAt(now, w)) {
			continue
		}
		news = news || w.waiting.request.Epoch == t.replica.Term && t.changed(now, w.waiting.request)
		v := t.viewFor(now, w.waiting.request, encoded)
		w.waiting.answer <- answer{response: peer.WatchResponse{
			Epoch: t.replica.Term, Revision: v.revision, Index: i, Count: len(names), View: v.view,
		}}
		w.waiting = nil
		w.seen = now
	}
	if news {
		t.tellAt = now.Add(clamp(time.Duration(len(names))*gatherTimeEach, gatherTime, longestGatherTime))
	}
}

// liveEntries lists the entries that watch, and forgets the others.
func (t *task) liveEntries(now time.Time) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(t.watchers)) {
		if now.Sub(t.watchers[name].seen) < entryLifetime {
			names = append(names, name)
		} else if t.watchers[name].waiting == nil {
			delete(t.watchers, name)
		}
	}
	return names
}

func (t *task) settled(now time.Time) bool {
	return now.Sub(t.replica.LeadingSince()) >= settleTime
}

// revision counts the changes of everything that entries follow.
func (t *task) revision() uint64 { return t.fleet.Revision + t.committed }

// changed reports whether an entry's view is not the newest.
func (t *task) changed(now time.Time, r peer.WatchRequest) bool {
	return r.Epoch != t.replica.Term || r.Revision != t.revision() || r.Settled != t.settled(now)
}

// encodedView is what an entry is told: the changes up to a revision.
type encodedView struct {
	view     []byte
	revision uint64
	at       time.Time
}

// wholeViewLifetime is how long an encoded view of everything serves entries
// that come one by one, though it lacks the newest changes: they get those as
// differences. Encoding one takes a small control instance some 15 ms with
// hundreds of upstreams, and after a change of the leader all entries come.
const wholeViewLifetime = 150 * time.Millisecond

// viewFor gives what an entry lacks, encoded once for all entries that lack the
// same.
func (t *task) viewFor(now time.Time, r peer.WatchRequest, encoded map[peer.WatchRequest]encodedView) encodedView {
	if !t.changed(now, r) {
		return encodedView{revision: t.revision()}
	}
	if t.lacksAll(now, r) {
		return t.wholeViewFor(now, r.Version)
	}
	lack := r
	lack.Entry, lack.Index, lack.Count = "", 0, 0
	if known, ok := encoded[lack]; ok {
		return known
	}
	encoded[lack] = t.encodeView(now, t.view(now, lack))
	return encoded[lack]
}

// wholeViewFor gives everything, but for a configuration that is known.
func (t *task) wholeViewFor(now time.Time, version uint64) encodedView {
	c := t.state.Catalog.Configuration
	known := c == nil || c.Version <= version
	if w := t.wholeViews[known]; w.view != nil && now.Sub(w.at) <= wholeViewLifetime {
		return w
	}
	t.metrics.GetOrCreateCounter("oriolepost_whole_views_total").Inc()
	t.wholeViews[known] = t.encodeView(now, t.view(now, peer.WatchRequest{Version: version}))
	return t.wholeViews[known]
}

func (t *task) encodeView(now time.Time, v peer.View) encodedView {
	data, err := peer.EncodeView(v)
	if err != nil {
		t.log.WithError(err).WithField("revision", t.revision()).Error("view not sent")
	}
	return encodedView{view: data, revision: t.revision(), at: now}
}

// lacksAll reports whether an entry follows another leader, or lacks removals
// that are forgotten.
func (t *task) lacksAll(now time.Time, r peer.WatchRequest) bool {
	return r.Epoch != t.replica.Term || r.Settled != t.settled(now) || r.Revision > t.revision() ||
		!t.fleet.Complete(r.FleetRevision)
}

// view gives the changes since the entry's view, or everything when the entry
// follows another leader.
func (t *task) view(now time.Time, r peer.WatchRequest) peer.View {
	since := r.FleetRevision
	full := t.lacksAll(now, r)
	if full {
		since = 0
	}
	v := peer.View{
		FleetRevision: t.fleet.Revision, Full: full, Settled: t.settled(now),
		OutDomains: slices.Sorted(maps.Keys(t.state.Catalog.OutDomains)),
	}
	v.Upstreams, v.Removed = t.fleet.Since(now, since)
	if full {
		v.Removed = nil
	}
	for _, id := range append(slices.Clone(t.replica.Members.Voters), t.replica.Members.Learners...) {
		v.Control = append(v.Control, replica.InstanceOf(id))
	}
	if c := t.state.Catalog.Configuration; c != nil && c.Version > r.Version {
		v.Configuration = c
	}
	return v
}

// refuseWatches sends the entries to another instance.
func (t *task) refuseWatches() {
	for name, w := range t.watchers {
		if w.waiting != nil {
			w.waiting.answer <- answer{err: t.notLeader()}
		}
		delete(t.watchers, name)
	}
}
