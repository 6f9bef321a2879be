package quarantine

import (
	"maps"
	"slices"
	"time"
)

// HolderEvent is an input to [Holder.Step].
//
//sumtype:decl
type HolderEvent interface{ holderEvent() }

// Crashed reports that the connection of an attempt of this entry broke after the request
// was sent.
type Crashed struct {
	Fingerprint Fingerprint
	Upstream    Incarnation
	// SentAt is when the attempt was started.
	SentAt time.Time
}

// Answered reports that an attempt of this entry got a response without failure.
type Answered struct {
	Fingerprint Fingerprint
	SentAt      time.Time
}

// Listed reports what the leader lists. Epoch is its term.
type Listed struct {
	Epoch    uint64
	Listings []Listing
}

// LeaderChanged reports that the entry follows a leader that may know nothing yet.
type LeaderChanged struct{}

// ProbeAsked reports that the leader was asked for a probe, or has answered, and after
// what time it may be asked again.
type ProbeAsked struct {
	Fingerprint Fingerprint
	AskAgain    time.Duration
}

// Checked lets the holder forget what has expired.
type Checked struct{}

func (Crashed) holderEvent()       {}
func (Answered) holderEvent()      {}
func (Listed) holderEvent()        {}
func (LeaderChanged) holderEvent() {}
func (ProbeAsked) holderEvent()    {}
func (Checked) holderEvent()       {}

// maxAnswers limits the contents of which an entry remembers a response, so that a crash
// that is reported later does not count if the content was answered meanwhile.
const maxAnswers = 256

// Holder is the state of one entry. It is owned by one task.
type Holder struct {
	records records
	// answers holds, for contents without a record, when the newest answered attempt
	// was sent. answerOrder has them in the order in which they were added.
	answers     map[Fingerprint]time.Time
	answerOrder []Fingerprint
}

// NewHolder returns the state of an entry that knows nothing.
func NewHolder() *Holder {
	return &Holder{records: records{byFingerprint: map[Fingerprint]*record{}, limit: maxHeld}, answers: map[Fingerprint]time.Time{}}
}

// Step handles one event and returns its effects.
func (h *Holder) Step(now time.Time, event HolderEvent) []Effect {
	h.records.effects = nil
	switch e := event.(type) {
	case Crashed:
		h.crashed(now, e)
	case Answered:
		if h.records.byFingerprint[e.Fingerprint] == nil {
			h.rememberAnswer(e)
			return nil
		}
		h.answered(now, e)
	case Listed:
		h.listed(now, e)
	case LeaderChanged:
		if sightings := h.held(now); len(sightings) > 0 {
			h.records.effects = append(h.records.effects, Report{sightings})
		}
	case ProbeAsked:
		if known := h.records.byFingerprint[e.Fingerprint]; known != nil {
			known.probeAt = now.Add(e.AskAgain)
		}
	case Checked:
	}
	h.records.prune(now)
	return h.records.effects
}

// Quarantined reports whether requests with a content must not be sent.
func (h *Holder) Quarantined(now time.Time, f Fingerprint) bool {
	known := h.records.byFingerprint[f]
	return known != nil && known.level() == LevelQuarantined && !known.expired(now)
}

// MayRepeat reports whether a request may be sent once more after some of its attempts
// crashed upstreams. A content that has crashed others must not be sent again.
func (h *Holder) MayRepeat(now time.Time, f Fingerprint, crashed int) bool {
	known := h.records.byFingerprint[f]
	return known == nil || known.expired(now) || known.level() != LevelQuarantined && len(known.crashes) <= crashed
}

// ProbeDue reports whether the leader may be asked for a probe of a quarantined content.
func (h *Holder) ProbeDue(now time.Time, f Fingerprint) bool {
	known := h.records.byFingerprint[f]
	return known != nil && known.level() == LevelQuarantined && !now.Before(known.probeAt)
}

// Count returns the numbers of suspected and of quarantined contents.
func (h *Holder) Count() (suspected, quarantined int) { return h.records.count() }

func (h *Holder) crashed(now time.Time, e Crashed) {
	isNew := false
	if e.SentAt.Before(h.answers[e.Fingerprint]) {
		return
	}
	h.records.update(now, e.Fingerprint, "crashed", func(r *record) {
		isNew = r.addCrash(crash{upstream: e.Upstream, sentAt: e.SentAt, own: true})
	})
	if isNew {
		h.report(Sighting{Fingerprint: e.Fingerprint, Upstream: e.Upstream, SentAgoMS: now.Sub(e.SentAt).Milliseconds()})
	}
}

// answered voids earlier crashes. The leader learns of it only if it may hold something
// against the content, which it does if this entry does.
func (h *Holder) answered(now time.Time, e Answered) {
	voided := false
	h.records.update(now, e.Fingerprint, "answered", func(r *record) {
		if voided = r.addAnswer(e.SentAt); voided && len(r.crashes) == 0 {
			r.listed = false
		}
	})
	if voided {
		h.report(Sighting{Fingerprint: e.Fingerprint, Answered: true, SentAgoMS: now.Sub(e.SentAt).Milliseconds()})
	}
}

func (h *Holder) rememberAnswer(e Answered) {
	known, found := h.answers[e.Fingerprint]
	if !found {
		if len(h.answerOrder) >= maxAnswers {
			delete(h.answers, h.answerOrder[0])
			h.answerOrder = h.answerOrder[1:]
		}
		h.answerOrder = append(h.answerOrder, e.Fingerprint)
	}
	if e.SentAt.After(known) {
		h.answers[e.Fingerprint] = e.SentAt
	}
}

func (h *Holder) report(s Sighting) {
	h.records.effects = append(h.records.effects, Report{[]Sighting{s}})
}

// listed takes the leader's list. What the same leader had listed before and lists no
// more was released. What another leader had listed is kept, since a new leader may not
// know it yet.
func (h *Holder) listed(now time.Time, e Listed) {
	listed := map[Fingerprint]bool{}
	for _, l := range e.Listings {
		listed[l.Fingerprint] = true
		h.takeListing(now, e.Epoch, l)
	}
	for _, f := range slices.Sorted(maps.Keys(h.records.byFingerprint)) {
		if h.records.byFingerprint[f].listedEpoch != e.Epoch || listed[f] {
			continue
		}
		h.records.update(now, f, "listed", func(r *record) {
			r.listed, r.listedEpoch = false, 0
			r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return !c.own })
		})
	}
}

func (h *Holder) takeListing(now time.Time, epoch uint64, l Listing) {
	answeredAt, wasAnswered := h.answers[l.Fingerprint]
	voided := false
	h.records.update(now, l.Fingerprint, "listed", func(r *record) {
		r.listedEpoch = epoch
		if l.Answered {
			r.addAnswer(sentAt(now, l.AnsweredAgoMS))
		}
		for _, c := range l.Crashes {
			r.addCrash(crash{upstream: c.Upstream, sentAt: sentAt(now, c.SentAgoMS)})
		}
		if wasAnswered {
			voided = r.addAnswer(answeredAt)
		}
		r.listed = l.Quarantined && len(r.crashes) > 0
	})
	if voided {
		h.report(Sighting{Fingerprint: l.Fingerprint, Answered: true, SentAgoMS: now.Sub(answeredAt).Milliseconds()})
	}
}

// held returns everything that a new leader needs.
func (h *Holder) held(now time.Time) []Sighting {
	var sightings []Sighting
	for _, f := range slices.Sorted(maps.Keys(h.records.byFingerprint)) {
		for _, c := range h.records.byFingerprint[f].crashes {
			sightings = append(sightings, Sighting{Fingerprint: f, Upstream: c.upstream, SentAgoMS: now.Sub(c.sentAt).Milliseconds()})
		}
	}
	return sightings
}
