package quarantine

import (
	"maps"
	"slices"
	"time"
)

// OwnerEvent is an input to [Owner.Step].
//
//sumtype:decl
type OwnerEvent interface{ ownerEvent() }

// Reported reports sightings of entries.
type Reported struct{ Sightings []Sighting }

// Adopted hands over what a former leader had listed.
type Adopted struct{ Listings []Listing }

// Pruned lets the owner forget what has expired.
type Pruned struct{}

func (Reported) ownerEvent() {}
func (Adopted) ownerEvent()  {}
func (Pruned) ownerEvent()   {}

// Owner is the state of the leader. It is owned by one task.
type Owner struct {
	// Revision counts the changes of what is listed.
	Revision uint64
	records  records
	// probes holds the probes of the contents that are quarantined here, or that an entry
	// has asked for.
	probes map[Fingerprint]*probes
}

// probes is what the leader knows of the probes of a content: how many it has allowed, and
// the earliest time of the next one.
type probes struct {
	count  int
	nextAt time.Time
}

// NewOwner returns the state of a leader that knows nothing.
func NewOwner() *Owner {
	return &Owner{records: records{byFingerprint: map[Fingerprint]*record{}, limit: maxOwned}, probes: map[Fingerprint]*probes{}}
}

// Step handles one event and returns its effects.
func (o *Owner) Step(now time.Time, event OwnerEvent) []Effect {
	o.records.effects = nil
	before := o.summary()
	switch e := event.(type) {
	case Reported:
		for _, s := range e.Sightings {
			o.take(now, s)
		}
	case Adopted:
		for _, l := range e.Listings {
			o.adopt(now, l)
		}
	case Pruned:
	}
	o.records.prune(now)
	o.updateProbes(now)
	if !maps.Equal(before, o.summary()) {
		o.Revision++
	}
	return o.records.effects
}

func (o *Owner) take(now time.Time, s Sighting) {
	at := sentAt(now, s.SentAgoMS)
	if !s.Answered {
		o.records.update(now, s.Fingerprint, "crashed", func(r *record) { r.addCrash(crash{upstream: s.Upstream, sentAt: at}) })
		return
	}
	delete(o.probes, s.Fingerprint)
	if o.records.byFingerprint[s.Fingerprint] != nil {
		o.records.update(now, s.Fingerprint, "answered", func(r *record) { r.addAnswer(at) })
	}
}

func (o *Owner) adopt(now time.Time, l Listing) {
	if l.Quarantined {
		o.probes[l.Fingerprint] = &probes{count: l.Probes, nextAt: now.Add(probeDelay(l.Probes))}
	}
	o.records.update(now, l.Fingerprint, "listed", func(r *record) {
		if l.Answered {
			r.addAnswer(sentAt(now, l.AnsweredAgoMS))
		}
		for _, c := range l.Crashes {
			r.addCrash(crash{upstream: c.Upstream, sentAt: sentAt(now, c.SentAgoMS)})
		}
	})
}

// updateProbes plans the first probe of contents that have become quarantined here, or may
// be at one entry, and forgets the probes that nobody has asked for lately.
func (o *Owner) updateProbes(now time.Time) {
	for f, r := range o.records.byFingerprint {
		switch {
		case o.probes[f] == nil && len(r.crashes) >= OwnLimit:
			o.probes[f] = &probes{nextAt: now.Add(minProbeDelay)}
		case r.quarantinedAt.Equal(now) && o.probes[f].nextAt.Before(r.probeAt):
			o.probes[f].nextAt = r.probeAt
		}
	}
	maps.DeleteFunc(o.probes, func(f Fingerprint, p *probes) bool {
		return o.records.byFingerprint[f] == nil && now.Sub(p.nextAt) >= quarantineLifetime
	})
}

// listedState is what decides whether entries must be notified of a change.
type listedState struct {
	crashes  int
	answered bool
}

func (o *Owner) summary() map[Fingerprint]listedState {
	summary := map[Fingerprint]listedState{}
	for f, r := range o.records.byFingerprint {
		if r.isListed() {
			summary[f] = listedState{len(r.crashes), !r.answeredAt.IsZero()}
		}
	}
	return summary
}

// isListed reports whether all entries are notified of a content: it is quarantined, or would
// be with one more crash, or was answered, which voids crashes that entries know.
func (r *record) isListed() bool { return len(r.crashes) >= listedFrom || !r.answeredAt.IsZero() }

// Listings returns what all entries must know, ordered by fingerprint.
func (o *Owner) Listings(now time.Time) []Listing {
	var listings []Listing
	for _, f := range slices.Sorted(maps.Keys(o.records.byFingerprint)) {
		r := o.records.byFingerprint[f]
		if !r.isListed() {
			continue
		}
		l := Listing{Fingerprint: f, Quarantined: r.level() == LevelQuarantined}
		if p := o.probes[f]; p != nil {
			l.Probes = p.count
		}
		if !r.answeredAt.IsZero() {
			l.Answered, l.AnsweredAgoMS = true, now.Sub(r.answeredAt).Milliseconds()
		}
		for _, c := range r.crashes {
			l.Crashes = append(l.Crashes, Crash{Upstream: c.upstream, SentAgoMS: now.Sub(c.sentAt).Milliseconds()})
		}
		listings = append(listings, l)
	}
	return listings
}

// AllowProbe reports whether an entry may send one request with a content that it has
// quarantined, and after what time the next one may be asked for. It allows one over all
// entries. A content that is not quarantined here was quarantined by entries alone, or by
// a former leader, which may have just allowed a probe: it has to wait as well.
func (o *Owner) AllowProbe(now time.Time, f Fingerprint) (allowed bool, askAgain time.Duration) {
	p := o.probes[f]
	switch {
	case p == nil && len(o.probes) >= maxOwned:
		return false, maxProbeDelay
	case p == nil:
		o.probes[f] = &probes{nextAt: now.Add(minProbeDelay)}
		return false, minProbeDelay
	case now.Before(p.nextAt):
		return false, p.nextAt.Sub(now)
	}
	p.count++
	p.nextAt = now.Add(probeDelay(p.count))
	return true, probeDelay(p.count)
}

// Count returns the numbers of suspected and of quarantined contents.
func (o *Owner) Count() (suspected, quarantined int) { return o.records.count() }
