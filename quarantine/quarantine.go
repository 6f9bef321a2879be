// Package quarantine decides which contents are kept from upstreams because they crash
// them.
//
// Load pattern: a request with a certain content crashes each upstream that runs it. It
// comes again and again, from other callers and at other entries, and is sent to another
// upstream after each failure. A few such requests a second end dozens of upstreams, with
// everything that they were running.
//
// A content is known by its fingerprint only. An attempt whose connection broke is a
// crash: the upstream's incarnation may have ended because of the content. The other
// requests that the upstream was running are suspects as well, but they hardly ever
// recur, or get responses.
//
//   - A [Holder] is the part at an entry. It records the crashes of the entry's own
//     attempts, and what the leader lists. A content is refused with [OwnLimit] crashed
//     incarnations at the entry itself, or [TotalLimit] over all entries.
//   - An [Owner] is the part at the leader of the control instances. It merges what the
//     entries report, lists what all of them must know, and allows single probes.
//
// A response shows that a content does not crash every upstream. It voids all crashes
// whose attempts were sent before the answered one. This one rule holds at entries and at
// the leader. Messages have ages instead of times, since clocks differ.
//
// The package is part of the core. Its events and effects are sealed interfaces.
//
// # Usage
//
//	h := quarantine.NewHolder()
//	for _, effect := range h.Step(now, quarantine.Crashed{Fingerprint: f, Upstream: u, SentAt: t}) { perform(effect) }
//	if h.Quarantined(now, f) { refuse() }
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// OwnLimit is the number of distinct incarnations whose crash at one entry
	// quarantines a content there. It is below TotalLimit, as the entry may be
	// disconnected, and as a request with its retry alone exposes two upstreams.
	OwnLimit = 2
	// TotalLimit is the number of distinct incarnations whose crash quarantines a content
	// at all entries.
	TotalLimit = 3
	// listedFrom is the number of crashed incarnations from which all entries are notified
	// of a content: with one more it is quarantined.
	listedFrom = 2
	// suspectLifetime and quarantineLifetime are the times since the last crash after
	// which a suspect and a quarantined content are forgotten. The second is longer than
	// maxProbeDelay, so that a content that still comes is probed before.
	suspectLifetime    = time.Minute
	quarantineLifetime = 20 * time.Minute
	// minProbeDelay is the time from the quarantine to the first probe. The delay
	// doubles with each probe, up to maxProbeDelay.
	minProbeDelay = 30 * time.Second
	maxProbeDelay = 10 * time.Minute
	// maxHeld and maxOwned limit the contents at an entry and at the leader.
	maxHeld  = 256
	maxOwned = 1024
	// maxCrashes limits the crashes that are kept of one content.
	maxCrashes = 4
)

// Fingerprint identifies a content: a hash of the method, the host, the target and the
// body of a request.
type Fingerprint string

// Incarnation identifies one incarnation of an upstream.
type Incarnation struct {
	ID      string `json:"id"`
	StartMS int64  `json:"start_ms"`
}

// Sighting is one crash of an upstream under a content, or one response to the content,
// as sent between instances.
type Sighting struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Upstream is the incarnation that crashed. It is not set with Answered.
	Upstream Incarnation `json:"upstream"`
	// Answered is true if an attempt with the content got a response without failure.
	Answered bool `json:"answered,omitempty"`
	// SentAgoMS is the time since the attempt was sent.
	SentAgoMS int64 `json:"sent_ago_ms"`
}

// Listing is what the leader tells all entries of one content.
type Listing struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Crashes     []Crash     `json:"crashes,omitempty"`
	Quarantined bool        `json:"quarantined,omitempty"`
	// AnsweredAgoMS is set if Answered: the time since the newest answered attempt was
	// sent.
	Answered      bool  `json:"answered,omitempty"`
	AnsweredAgoMS int64 `json:"answered_ago_ms,omitempty"`
	// Probes is the number of probes that were allowed.
	Probes int `json:"probes,omitempty"`
}

// Crash is one crash in a [Listing].
type Crash struct {
	Upstream  Incarnation `json:"upstream"`
	SentAgoMS int64       `json:"sent_ago_ms"`
}

// Aged returns listings that were received some time ago with the ages that they have
// now.
func Aged(listings []Listing, by time.Duration) []Listing {
	aged := slices.Clone(listings)
	for i := range aged {
		aged[i].AnsweredAgoMS += by.Milliseconds()
		aged[i].Crashes = slices.Clone(aged[i].Crashes)
		for j := range aged[i].Crashes {
			aged[i].Crashes[j].SentAgoMS += by.Milliseconds()
		}
	}
	return aged
}

// sentAt returns the time of an age in milliseconds. Ages that no record can have are
// limited, as they would overflow.
func sentAt(now time.Time, agoMS int64) time.Time {
	return now.Add(-time.Duration(min(max(agoMS, 0), quarantineLifetime.Milliseconds())) * time.Millisecond)
}

// Level says what is known of a content.
type Level string

// The levels.
const (
	// LevelNone means that nothing is held against the content.
	LevelNone Level = "none"
	// LevelSuspected means that fewer upstreams have crashed under it than quarantine
	// it.
	LevelSuspected   Level = "suspected"
	LevelQuarantined Level = "quarantined"
)

// Effect is an action that the caller of a Step method has to perform.
//
//sumtype:decl
type Effect interface{ effect() }

// Report sends sightings to the leader.
type Report struct{ Sightings []Sighting }

// LevelChanged reports that a content is suspected of a second crash, quarantined or
// released, for the log.
type LevelChanged struct {
	Fingerprint Fingerprint
	From, To    Level
	// Crashes is the number of incarnations that crashed, and Reason why the level
	// changed: crashed, listed, answered, expired or displaced.
	Crashes int
	Reason  string
}

func (Report) effect()       {}
func (LevelChanged) effect() {}

// crash is a crash with the time at which the attempt was sent.
type crash struct {
	upstream Incarnation
	sentAt   time.Time
	// own is true at an entry for a crash of its own attempt.
	own bool
}

// record is what is known of one content.
type record struct {
	crashes []crash
	// answeredAt is when the newest attempt that got a response was sent; zero if none
	// got one.
	answeredAt time.Time
	// listed is true if the leader has quarantined the content, and listedEpoch the term
	// of the leader that listed it; zero if none did. Both are used at entries only.
	listed      bool
	listedEpoch uint64
	// quarantinedAt is when the content was quarantined; zero if it is not.
	quarantinedAt time.Time
	// probeAt is the earliest time at which an entry asks for a probe.
	probeAt time.Time
}

// addCrash adds a crash, unless it is known or void. It returns whether it is new.
func (r *record) addCrash(c crash) bool {
	if c.sentAt.Before(r.answeredAt) {
		return false
	}
	for i, known := range r.crashes {
		if known.upstream == c.upstream {
			r.crashes[i].own = known.own || c.own
			// The estimate of an age is never too long, so the earliest time is the best.
			if c.sentAt.Before(known.sentAt) {
				r.crashes[i].sentAt = c.sentAt
			}
			return c.own && !known.own
		}
	}
	if len(r.crashes) >= maxCrashes {
		r.crashes = r.crashes[1:]
	}
	r.crashes = append(r.crashes, c)
	return true
}

// addAnswer voids the crashes whose attempts were sent before an answered one. It returns
// whether there were any.
func (r *record) addAnswer(sentAt time.Time) bool {
	if sentAt.After(r.answeredAt) {
		r.answeredAt = sentAt
	}
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return c.sentAt.Before(r.answeredAt) })
	return len(r.crashes) < before
}

// lastCrashAt is the time of the newest crash, or of the newest answer without one.
func (r *record) lastCrashAt() time.Time {
	last := r.answeredAt
	for _, c := range r.crashes {
		if c.sentAt.After(last) {
			last = c.sentAt
		}
	}
	return last
}

func (r *record) ownCrashes() int {
	n := 0
	for _, c := range r.crashes {
		if c.own {
			n++
		}
	}
	return n
}

// level returns the present level of the content.
func (r *record) level() Level {
	switch {
	case r.listed, r.ownCrashes() >= OwnLimit, len(r.crashes) >= TotalLimit:
		return LevelQuarantined
	case len(r.crashes) > 0:
		return LevelSuspected
	}
	return LevelNone
}

func (r *record) expired(now time.Time) bool {
	lifetime := suspectLifetime
	if r.level() == LevelQuarantined {
		lifetime = quarantineLifetime
	}
	return now.Sub(r.lastCrashAt()) >= lifetime
}

// updateQuarantine records since when the content is quarantined, and when it may be
// probed next.
func (r *record) updateQuarantine(now time.Time) {
	switch quarantined := r.level() == LevelQuarantined; {
	case !quarantined:
		r.quarantinedAt, r.probeAt = time.Time{}, time.Time{}
	case r.quarantinedAt.IsZero():
		r.quarantinedAt, r.probeAt = now, now.Add(minProbeDelay)
	}
}

// probeDelay returns the time to the next probe after a number of probes.
func probeDelay(probes int) time.Duration {
	delay := minProbeDelay
	for range probes {
		delay = min(2*delay, maxProbeDelay)
	}
	return delay
}

// records holds the records of a holder or an owner by fingerprint.
type records struct {
	byFingerprint map[Fingerprint]*record
	limit         int
	effects       []Effect
}

// get returns the record of a content, which it creates if necessary.
func (r *records) get(f Fingerprint) *record {
	known := r.byFingerprint[f]
	if known == nil {
		known = &record{}
		r.byFingerprint[f] = known
	}
	return known
}

// update applies a change to the record of a content, and emits the change of its level.
func (r *records) update(now time.Time, f Fingerprint, reason string, change func(*record)) {
	content := r.get(f)
	from, before := content.level(), len(content.crashes)
	change(content)
	content.updateQuarantine(now)
	to := content.level()
	if from != to && (from == LevelQuarantined || to == LevelQuarantined) || to == LevelSuspected && before < listedFrom && len(content.crashes) >= listedFrom {
		r.effects = append(r.effects, LevelChanged{Fingerprint: f, From: from, To: to, Crashes: len(content.crashes), Reason: reason})
	}
}

// prune removes expired records, and the oldest ones beyond the limit: first those that
// are not quarantined, since a burst of crashes must not release a quarantined content.
func (r *records) prune(now time.Time) {
	var expired []Fingerprint
	for f, content := range r.byFingerprint {
		if content.expired(now) {
			expired = append(expired, f)
		}
	}
	slices.Sort(expired)
	for _, f := range expired {
		r.remove(f, "expired")
	}
	excess := len(r.byFingerprint) - r.limit
	if excess <= 0 {
		return
	}
	candidates := make([]candidate, 0, len(r.byFingerprint))
	for f, content := range r.byFingerprint {
		candidates = append(candidates, candidate{f, content.level() == LevelQuarantined, content.lastCrashAt()})
	}
	slices.SortFunc(candidates, compareCandidates)
	for _, c := range candidates[:excess] {
		r.remove(c.fingerprint, "displaced")
	}
}

// candidate is a record that may be removed.
type candidate struct {
	fingerprint Fingerprint
	quarantined bool
	lastCrashAt time.Time
}

// compareCandidates orders records by how soon they are removed.
func compareCandidates(a, b candidate) int {
	if a.quarantined != b.quarantined {
		if a.quarantined {
			return 1
		}
		return -1
	}
	return cmp.Or(a.lastCrashAt.Compare(b.lastCrashAt), cmp.Compare(a.fingerprint, b.fingerprint))
}

func (r *records) remove(f Fingerprint, reason string) {
	content := r.byFingerprint[f]
	if content.level() == LevelQuarantined {
		r.effects = append(r.effects, LevelChanged{Fingerprint: f, From: LevelQuarantined, To: LevelNone, Crashes: len(content.crashes), Reason: reason})
	}
	delete(r.byFingerprint, f)
}

// count returns the numbers of suspected and of quarantined contents.
func (r *records) count() (suspected, quarantined int) {
	for _, content := range r.byFingerprint {
		switch content.level() {
		case LevelSuspected:
			suspected++
		case LevelQuarantined:
			quarantined++
		case LevelNone:
		}
	}
	return suspected, quarantined
}
