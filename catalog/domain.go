package catalog

import "maps"

// MaxDomainChanges is the maximum number of failure domains whose last change is kept. It
// is far above the number of failure domains, and bounds what orders with arbitrary names
// add to each snapshot.
const MaxDomainChanges = 256

// DomainChanges holds the log index of the last change of each failure domain, so that a
// delayed order is not applied on top of a newer one. A repeated order that leaves a domain
// as it was counts as a change: a delayed order must not undo it either.
type DomainChanges struct {
	Index map[string]uint64 `json:"index,omitempty"`
	// Forgotten is the highest index that was dropped from Index. A domain without an
	// index may have been changed then.
	Forgotten uint64 `json:"forgotten,omitempty"`
}

// last returns the index of the last change of a domain, or a later one.
func (d *DomainChanges) last(domain string) uint64 {
	if index, ok := d.Index[domain]; ok {
		return index
	}
	return d.Forgotten
}

func (d *DomainChanges) set(domain string, index uint64) {
	if d.Index == nil {
		d.Index = map[string]uint64{}
	}
	d.Index[domain] = index
	if len(d.Index) <= MaxDomainChanges {
		return
	}
	oldest := domain
	for other, at := range d.Index {
		if at < d.Index[oldest] {
			oldest = other
		}
	}
	d.Forgotten = max(d.Forgotten, d.Index[oldest])
	delete(d.Index, oldest)
}

func (d *DomainChanges) clone() DomainChanges {
	return DomainChanges{Index: maps.Clone(d.Index), Forgotten: d.Forgotten}
}
