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
	// change must be in force.
	watchPause = 450 * time.Millisecond
	// gatherTime is how long changes are gathered between two answers to an
	// entry: when hundreds of upstreams start, each is told in one of a few
	// answers. It is short against the 2 s in which a change must be in force.
	gatherTime = 120 * time.Millisecond
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
	// due is when it is answered at the latest, earliest when at the earliest.
	due      time.Time
	earliest time.Time
}

// watch keeps a watch until there is news for it.
func (t *task) watch(now time.Time, m watchMail) {
	if !t.leads() || t.replica.LeadingSince().IsZero() {
		m.answer <- answer{err: t.notLeader()}
		return
	}
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
	w.due = now.Add(watchPause)
}

// nextWatchDue is when the next watch must be answered; the zero time means
// that none can be, since a quorum has to answer first.
func (t *task) nextWatchDue() time.Time {
	var next time.Time
	if t.replica.LeaseEnd(time.Now()).IsZero() {
		return next
	}
	for _, w := range t.watchers {
		if w.waiting == nil {
			continue
		}
		due := w.due
		if t.changed(time.Now(), w.waiting.request) {
			due = w.earliest
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// answerWatches answers the watches for which there is news, or which waited
// long enough. Before it has committed an entry of its own term a leader may
// not know what was acknowledged, so it tells nothing.
func (t *task) answerWatches(now time.Time) {
	if !t.leads() || len(t.watchers) == 0 || t.replica.LeaseEnd(now).IsZero() {
		return
	}
	names := t.liveEntries(now)
	encoded := map[peer.WatchRequest][]byte{}
	for i, name := range names {
		w := t.watchers[name]
		if w.waiting == nil || now.Before(w.earliest) || now.Before(w.due) && !t.news(now, w.waiting.request, len(names)) {
			continue
		}
		w.waiting.answer <- answer{response: peer.WatchResponse{
			Epoch: t.replica.Term, Revision: t.revision(), Index: i, Count: len(names),
			View: t.encodedView(now, w.waiting.request, encoded),
		}}
		w.waiting = nil
		w.seen = now
		w.earliest = now.Add(gatherTime)
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

func (t *task) news(now time.Time, r peer.WatchRequest, count int) bool {
	return t.changed(now, r) || r.Count != count
}

// changed reports whether an entry's view is not the newest.
func (t *task) changed(now time.Time, r peer.WatchRequest) bool {
	return r.Epoch != t.replica.Term || r.Revision != t.revision() || r.Settled != t.settled(now)
}

// encodedView encodes what an entry lacks, once for all entries that lack the
// same.
func (t *task) encodedView(now time.Time, r peer.WatchRequest, encoded map[peer.WatchRequest][]byte) []byte {
	if !t.changed(now, r) {
		return nil
	}
	lack := r
	lack.Entry, lack.Index, lack.Count = "", 0, 0
	if data, ok := encoded[lack]; ok {
		return data
	}
	data, err := peer.EncodeView(t.view(now, lack))
	if err != nil {
		t.log.WithError(err).WithField("revision", t.revision()).Error("view not sent")
		return nil
	}
	encoded[lack] = data
	return data
}

// view gives the changes since the entry's view, or everything when the entry
// follows another leader.
func (t *task) view(now time.Time, r peer.WatchRequest) peer.View {
	settled := t.settled(now)
	full := r.Epoch != t.replica.Term || r.Settled != settled || r.Revision > t.revision()
	since := r.FleetRevision
	if full || !t.fleet.Complete(since) {
		full, since = true, 0
	}
	v := peer.View{
		FleetRevision: t.fleet.Revision, Full: full, Settled: settled,
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
