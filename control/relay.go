package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/quota"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/rollout"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/timer"
	"github.com/oriolepost/oriolepost/watcher"
)

const (
	// maxDirectEntries is how many entries follow the leader itself. A small control
	// instance that serves as many has most of its core left. The leader sends further
	// ones to relays.
	maxDirectEntries = 64
	// minRelayRetryDelay and maxRelayRetryDelay limit the pause after a failed watch of a
	// relay.
	minRelayRetryDelay = 50 * time.Millisecond
	maxRelayRetryDelay = 400 * time.Millisecond
	// relayNeededFor is how long a relay accepts entries after the leader had too many. A
	// new leader learns of the entries one relay after another.
	relayNeededFor = 6 * time.Second
)

// relay is what a control instance that does not lead has of the leader's view, which it
// passes on to entries. Its revisions are its own, so that its entries need only the
// differences after a change of the leader.
type relay struct {
	// source identifies these revisions.
	source    string
	following *peer.Following
	fleet     *fleet.Table
	view      peer.View
	// configuration is the newest one that the leader has sent.
	configuration *route.Configuration
	// quarantine is the newest list that the leader has sent.
	quarantine listedQuarantine
	// changes counts the views that the leader has sent.
	changes uint64
	// positions holds the positions of the entries that were reported to the leader, and
	// reported their names in the watch that is pending.
	positions map[string]int
	reported  []string
	// confirmedAt is when the leader last answered.
	confirmedAt timer.Stamp
	confirmed   bool
	// proven is the moment as of which this relay has everything that was acknowledged; nil
	// before the leader has proved it.
	proven *timer.Stamp
	// neededUntil is how long this relay accepts entries.
	neededUntil time.Time
	// watching is true while a watch is pending at the leader.
	watching   bool
	watchAt    time.Time
	retryDelay time.Duration
}

func newRelay(name, source string) *relay {
	return &relay{source: source, following: peer.NewFollowing(name), fleet: fleet.New(), positions: map[string]int{}, retryDelay: minRelayRetryDelay}
}

// relayAnswerMessage carries the leader's answer to the watch of this instance.
type relayAnswerMessage struct {
	response       peer.WatchResponse
	sent, received timer.Stamp
	// counts is what the watch reported.
	counts *peer.Counts
	usages *peer.Usages
	err    error
}

func (relayAnswerMessage) message() {}

// followLeader sends the next watch to the leader, unless this instance leads or does not
// know the leader.
func (t *task) followLeader(now time.Time) {
	address := t.leaderAddress()
	if t.leads() || t.relay.watching || now.Before(t.relay.watchAt) || address == "" {
		return
	}
	t.relay.watching = true
	t.relay.reported = t.watchers.Names()
	request := t.relay.following.Request
	request.Relay = &peer.Relay{Entries: t.relay.reported}
	request.Counts, request.Usages = t.rollouts.takeCollected(), t.quotas.takeCollected()
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, peer.WatchDuration(request.Followers))
		defer cancel()
		sent := timer.Now()
		response, err := t.relayPool.Call(ctx, address, request)
		update, ok := response.(peer.WatchResponse)
		if err == nil && !ok {
			err = fmt.Errorf("answer to a watch is %T", response)
		}
		select {
		case t.mailbox <- postedMessage{relayAnswerMessage{update, sent, timer.Now(), request.Counts, request.Usages, err}, time.Now()}:
		case <-t.ctx.Done():
		}
	}()
}

// takeRelayAnswer takes the leader's answer to the watch of this instance.
func (t *task) takeRelayAnswer(now time.Time, m relayAnswerMessage) {
	r := t.relay
	r.watching = false
	var view *peer.View
	err := m.err
	if t.leads() {
		return
	}
	if err == nil && m.response.Epoch < r.following.Request.Epoch {
		err = &peer.RefusedError{Code: peer.CodeNotLeader, Reason: "an older leader answered"}
	}
	if err == nil {
		view, err = r.following.Take(m.response)
	}
	if err != nil {
		t.rollouts.collect(m.counts)
		t.quotas.collect(m.usages)
		t.metrics.GetOrCreateCounter("oriolepost_watch_errors_total").Inc()
		r.watchAt = now.Add(r.retryDelay/2 + time.Duration(t.random.Int64N(int64(r.retryDelay))))
		r.retryDelay = min(2*r.retryDelay, maxRelayRetryDelay)
		return
	}
	r.retryDelay = minRelayRetryDelay
	if m.response.DigestWanted {
		return
	}
	if view != nil {
		r.apply(now, *view)
		t.discardViews()
	}
	clear(r.positions)
	for i, name := range r.reported {
		if i < len(m.response.Indexes) {
			r.positions[name] = m.response.Indexes[i]
		}
	}
	if m.response.Count > maxDirectEntries {
		r.neededUntil = now.Add(relayNeededFor)
	}
	if proven := peer.ProvenAt(m.sent, m.response); proven != nil {
		r.proven = proven
	}
	// An answer that waited while the machine was suspended confirms nothing.
	if peer.Confirms(m.sent, m.received, m.response.Followers) > 0 {
		r.confirmedAt, r.confirmed = m.received, true
	}
}

// apply applies a view of the leader.
func (r *relay) apply(now time.Time, view peer.View) {
	r.fleet.Adopt(now, view.Upstreams, view.Removed)
	if view.Configuration != nil {
		r.configuration = view.Configuration
	}
	if view.Quarantine != nil {
		r.quarantine = listedQuarantine{list: *view.Quarantine, asOf: now}
	}
	view.Upstreams, view.Removed, view.Configuration, view.Quarantine = nil, nil, nil, nil
	r.view = view
	r.changes++
}

// age returns the time since the leader last confirmed what this relay has.
func (r *relay) age() time.Duration {
	if !r.confirmed {
		return watcher.RelayLifetime
	}
	return timer.Now().Since(r.confirmedAt)
}

// relays reports whether this instance passes the leader's view on to entries: the leader
// has more entries than it serves itself, and has answered recently.
func (t *task) relays(now time.Time) bool {
	return !t.leads() && now.Before(t.relay.neededUntil) && t.relay.age() < watcher.RelayLifetime
}

// registerRelay records, at the leader, the entries that a relay has reported.
func (t *task) registerRelay(now time.Time, request peer.WatchRequest) {
	seen := t.relaysSeen[request.Entry]
	seen.at, seen.entries = now, len(request.Relay.Entries)
	t.relaysSeen[request.Entry] = seen
	for _, name := range request.Relay.Entries {
		t.roster.See(now, name, watcher.RelayedLifetime)
	}
}

// relaySeen is what the leader knows of a relay.
type relaySeen struct {
	at      time.Time
	entries int
	// ready is true once the relay knows that it is needed.
	ready bool
}

// relayFor returns the instance of the relay that an entry is to follow instead of this
// leader, or an empty string if the entry may follow the leader.
func (t *task) relayFor(now time.Time, entry string) string {
	direct := t.watchers.Len() - len(t.relaysSeen)
	if t.watchers.Has(entry) {
		direct--
	}
	if direct < maxDirectEntries {
		return ""
	}
	best, found := "", relaySeen{}
	for instance, seen := range t.relaysSeen {
		if !seen.ready || now.Sub(seen.at) >= watcher.Lifetime {
			continue
		}
		if best == "" || seen.entries < found.entries || seen.entries == found.entries && instance < best {
			best, found = instance, seen
		}
	}
	if best != "" {
		found.entries++
		t.relaysSeen[best] = found
	}
	return best
}

// sendToRelay refuses the watch of an entry that is to follow a relay.
func (t *task) sendToRelay(message watchMessage, instance string) {
	entry := message.request.Entry
	if former, ok := t.watches[entry]; ok {
		former.answer <- answer{err: &peer.RefusedError{Code: peer.CodeBusy, Reason: "a newer watch came"}}
		delete(t.watches, entry)
	}
	t.watchers.Remove(entry)
	t.metrics.GetOrCreateCounter("oriolepost_watches_sent_to_relays_total").Inc()
	message.answer <- answer{err: &peer.RefusedError{Code: peer.CodeNotLeader, Reason: "a relay answers instead", Leader: instance}}
}

// pruneFollowers forgets the entries and relays that no longer watch.
func (t *task) pruneFollowers(now time.Time) {
	t.watchers.Prune(now)
	t.roster.Prune(now)
	t.pruneAllowance(now)
	for instance, seen := range t.relaysSeen {
		if now.Sub(seen.at) >= watcher.Lifetime && !t.watchers.Has(instance) {
			delete(t.relaysSeen, instance)
		}
	}
	if relaying := t.relays(now); relaying != t.relaying {
		t.relaying = relaying
		t.log.WithFields(log.Fields{
			"change": "relay", "relays": relaying, "entries": t.relay.following.Request.Count, "followers": t.watchers.Len(), "term": t.replica.Term,
			"leader_age_ms": t.relay.age().Milliseconds(),
		}).Info("relaying of the view changed")
	}
}

// published is the view that this instance gives to those that follow it.
type published struct {
	// source is the WatchResponse.Source of the answers, and epoch the leader's term.
	source        string
	epoch         uint64
	revision      uint64
	fleet         *fleet.Table
	complete      bool
	outDomains    []string
	control       []string
	configuration *route.Configuration
	quarantine    listedQuarantine
	splits        []rollout.Split
	shares        []quota.Share
}

// published returns the view of this leader, or that of the leader that it follows.
func (t *task) published(now time.Time) published {
	if r := t.relay; !t.leads() {
		return published{
			source: r.source, epoch: r.following.Request.Epoch, revision: r.fleet.Revision + r.changes, fleet: r.fleet, complete: r.view.FleetComplete,
			outDomains: r.view.OutDomains, control: r.view.Control, configuration: r.configuration, quarantine: r.quarantine, splits: r.view.Splits, shares: r.view.Shares,
		}
	}
	return t.ownView(now)
}

// ownView returns the view that this instance has as a replica of the log.
func (t *task) ownView(now time.Time) published {
	p := published{
		epoch: t.replica.Term, revision: t.revision(), fleet: t.fleet, complete: t.fleetComplete(now),
		outDomains: slices.Sorted(maps.Keys(t.state.Catalog.OutDomains)), configuration: t.state.Catalog.Configuration, quarantine: t.relay.quarantine, splits: t.splits(now), shares: t.quotas.published,
	}
	if t.leads() {
		p.quarantine = t.ownQuarantine(now)
	}
	for _, id := range append(slices.Clone(t.replica.Members.Voters), t.replica.Members.Learners...) {
		p.control = append(p.control, replica.InstanceOf(id))
	}
	return p
}

// isSource reports whether the revisions of an entry's view are those of this instance.
func (p published) isSource(r peer.WatchRequest) bool {
	return r.Source == p.source && (p.source != "" || r.Epoch == p.epoch)
}

// outdated reports whether an entry's view differs from this one.
func (p published) outdated(r peer.WatchRequest) bool {
	return !p.isSource(r) || r.Epoch != p.epoch || r.Revision != p.revision || r.FleetComplete != p.complete
}
