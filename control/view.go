package control

import (
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/route"
)

// encodedView is a full view or the changes up to a revision, as sent to
// entries.
type encodedView struct {
	data      []byte
	revision  uint64
	encodedAt time.Time
	// digestWanted is true when the entry has to send its digest first.
	digestWanted bool
	// err is set when the view could not be encoded. Without data and error the
	// entry's view is up to date.
	err error
}

// fullViewLifetime is how long an encoded full view is reused for entries that
// connect one after another. It may lack the newest changes; the entries get
// those as differences. Encoding a full view with hundreds of upstreams takes a
// small control instance about 15 ms, and after a change of the leader all entries
// need one.
const fullViewLifetime = 150 * time.Millisecond

// discardViews forgets all encoded views.
func (t *task) discardViews() {
	clear(t.fullViews)
	clear(t.comparisons)
	clear(t.differences)
}

// viewFor returns what an entry lacks, encoded once for all entries that lack
// the same.
func (t *task) viewFor(now time.Time, p published, request peer.WatchRequest) encodedView {
	if !p.outdated(request) {
		return encodedView{revision: p.revision}
	}
	if p.needsComparison(request) {
		return t.compare(now, p, request)
	}
	key := request
	key.Entry, key.Index, key.Count, key.Followers, key.Relay, key.Counts, key.Usages = "", 0, 0, 0, nil, nil, nil
	if known, ok := t.differences[key]; ok && now.Sub(known.encodedAt) <= fullViewLifetime {
		return known
	}
	view := p.view(now, request.Version, request.Quarantine)
	view.Upstreams, view.Removed = p.fleet.ChangesSince(now, request.FleetRevision)
	if len(t.differences) >= maxDifferences {
		clear(t.differences)
	}
	t.differences[key] = t.encodeView(now, p, view)
	return t.differences[key]
}

// maxDifferences limits the encoded differences that are kept. Most entries lack the
// same.
const maxDifferences = 64

// fullViewFor returns the full view, without a configuration that the entry has
// already.
func (t *task) fullViewFor(now time.Time, p published, version route.OptionalVersion) encodedView {
	known := p.configuration == nil || !version.OlderThan(p.configuration.Version)
	key := fullViewKey{source: p.source, known: known}
	if cached := t.fullViews[key]; cached.data != nil && now.Sub(cached.encodedAt) <= fullViewLifetime {
		return cached
	}
	t.metrics.GetOrCreateCounter("oriolepost_whole_views_total").Inc()
	view := p.view(now, version, "")
	view.Full = true
	view.Upstreams, _ = p.fleet.ChangesSince(now, 0)
	t.fullViews[key] = t.encodeView(now, p, view)
	return t.fullViews[key]
}

// fullViewKey identifies an encoded full view: its source, and whether it lacks the
// configuration, for entries that have that already.
type fullViewKey struct {
	source string
	known  bool
}

// copySource is the source of copies of the view from an instance that does not lead.
const copySource = "copy"

// copiedView returns the view of which entries that start take a copy.
func (t *task) copiedView(now time.Time) published {
	p := t.ownView(now)
	if !t.leads() {
		p.source, p.complete = copySource, false
	}
	return p
}

// maxCopyWait is how long a request for a copy waits for a leader. It is shorter than
// the time for which entries wait.
const maxCopyWait = 300 * time.Millisecond

// heldCopy is a request for a copy that waits for a leader and a configuration.
type heldCopy struct {
	message copyMessage
	until   time.Time
}

// giveCopy takes a request for a copy of the view, whether this instance leads or not.
// The request waits until the copy is current. After a power loss, hundreds of entries
// ask before there is a leader. An instance outside the voter group refuses it.
func (t *task) giveCopy(now time.Time, message copyMessage) {
	if !t.isMember() {
		message.answer <- answer{err: t.notLeaderError()}
		return
	}
	t.heldCopies = append(t.heldCopies, heldCopy{message: message, until: now.Add(maxCopyWait)})
}

// isCopyCurrent reports whether a copy of the view has a configuration, and everything
// that was committed up to this instance's last contact with the leader, which is at most
// an election timeout ago. A leader needs a quorum that has answered it, since there may
// be a newer one otherwise.
func (t *task) isCopyCurrent(now time.Time) bool {
	if t.state.Catalog.Configuration == nil {
		return false
	}
	if t.leads() {
		return !t.replica.LeaseEnd(now).IsZero()
	}
	return t.replica.KnowsCommitted()
}

// releaseHeldCopies answers the waiting requests for a copy once that is possible, and
// refuses those that have waited long enough.
func (t *task) releaseHeldCopies(now time.Time) {
	held := t.heldCopies
	t.heldCopies = nil
	for _, h := range held {
		switch {
		case t.isCopyCurrent(now):
			view := t.fullViewFor(now, t.copiedView(now), route.OptionalVersion{})
			h.message.answer <- answer{response: peer.CopyResponse{View: view.data}, err: view.err}
		case now.Before(h.until):
			t.heldCopies = append(t.heldCopies, h)
		default:
			h.message.answer <- answer{err: &peer.RefusedError{Code: peer.CodeBusy, Reason: "the copy may be outdated, or has no configuration yet"}}
		}
	}
}

func (t *task) encodeView(now time.Time, p published, v peer.View) encodedView {
	data, err := peer.EncodeView(v)
	if err != nil {
		t.log.WithError(err).WithField("revision", p.revision).Error("could not encode the view for entries")
	}
	return encodedView{data: data, revision: p.revision, encodedAt: now, err: err}
}

// needsComparison reports whether the revisions do not tell what an entry lacks.
// This is so when the entry follows another instance, when the entry's revision is
// ahead, or when it lacks removals that the table no longer knows. It is also so when
// the fleet has become complete and the entry does not keep a mirror, from which it
// then drops what this leader does not know.
func (p published) needsComparison(r peer.WatchRequest) bool {
	return !p.isSource(r) || !r.Compares && r.FleetComplete != p.complete ||
		r.Revision > p.revision || !p.fleet.KnowsRemovalsSince(r.FleetRevision)
}

// compare returns the full view for an entry that has none yet, or that can't send
// a digest. Any other entry gets the buckets in which its digest differs. After a
// change of the leader nearly all of them agree, whereas hundreds of full views would
// keep a small control instance busy for seconds.
func (t *task) compare(now time.Time, p published, request peer.WatchRequest) encodedView {
	switch {
	case request.Digest == "" && (request.Epoch == 0 || !request.Compares):
		return t.fullViewFor(now, p, request.Version)
	case request.Digest == "":
		return encodedView{digestWanted: true}
	}
	digest, err := peer.DecodeDigest(request.Digest)
	if err != nil {
		t.log.WithError(err).WithField("entry", request.Entry).Error("could not decode the digest of an entry; it gets the full view")
		return t.fullViewFor(now, p, request.Version)
	}
	key := comparison{digest: request.Digest, version: request.Version, quarantine: request.Quarantine}
	if known, ok := t.comparisons[key]; ok && known.revision == p.revision && now.Sub(known.encodedAt) <= fullViewLifetime {
		return known
	}
	buckets := p.fleet.Digest.Differing(digest)
	if len(buckets) > maxComparedBuckets {
		return t.fullViewFor(now, p, request.Version)
	}
	view := p.view(now, request.Version, request.Quarantine)
	view.Buckets, view.Upstreams = buckets, p.fleet.Bucketed(now, buckets)
	view.Removed = retiredIn(p.fleet, buckets)
	if len(t.comparisons) >= maxComparisons {
		clear(t.comparisons)
	}
	t.comparisons[key] = t.encodeView(now, p, view)
	return t.comparisons[key]
}

// retiredIn returns the sorted ids, in the given buckets, of upstreams that have
// left and are no longer in the fleet. Until the fleet is complete, an entry keeps
// those that the leader does not list, and must not keep these.
func retiredIn(table *fleet.Table, buckets []int) []string {
	var retired []string
	for id, retirement := range table.Retired {
		if table.Members[id] == nil && retirement.Concerns(table.Services) && slices.Contains(buckets, fleet.BucketOf(id)) {
			retired = append(retired, id)
		}
	}
	slices.Sort(retired)
	return retired
}

// comparison identifies the view for all entries with the same digest, version and
// quarantine.
type comparison struct {
	digest     string
	version    route.OptionalVersion
	quarantine string
}

// maxComparedBuckets is the number of differing buckets above which an entry gets the
// full view. That is encoded once for all entries, whereas entries that differ in many
// buckets seldom differ in the same.
const maxComparedBuckets = fleet.DigestBuckets / 2

// maxComparisons limits the encoded comparisons that are kept. Most entries have the
// same digest.
const maxComparisons = 64

// view returns a view without upstreams, with the configuration if it is newer than the
// entry's, and with the quarantine if the entry has another one.
func (p published) view(now time.Time, version route.OptionalVersion, quarantine string) peer.View {
	view := peer.View{Quarantine: p.quarantine.view(now, quarantine), FleetRevision: p.fleet.Revision, FleetComplete: p.complete, OutDomains: p.outDomains, Control: p.control, Splits: p.splits, Shares: p.shares}
	if p.configuration != nil && version.OlderThan(p.configuration.Version) {
		view.Configuration = p.configuration
	}
	return view
}
