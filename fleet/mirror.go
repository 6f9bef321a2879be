package fleet

import (
	"maps"
	"slices"
)

// Mirror is what an entry knows of a control instance's table: the digest of the
// upstreams that it got from there. With it, the entry can change over to another
// leader by the differences alone. It is owned by one task.
type Mirror struct {
	Digest Digest
	hashes map[string]uint32
	// unconfirmed holds the ids that the entry has from former leaders, and that the
	// present one does not know. It may learn of them until its fleet is complete.
	unconfirmed map[string]bool
}

// NewMirror returns an empty mirror.
func NewMirror() *Mirror { return &Mirror{hashes: map[string]uint32{}, unconfirmed: map[string]bool{}} }

// Put adds or replaces upstreams.
func (m *Mirror) Put(list []Upstream) {
	for _, u := range list {
		m.remove(u.ID)
		hash := u.hash()
		m.hashes[u.ID] = hash
		m.Digest.toggle(u.ID, hash)
	}
}

// Remove removes upstreams. Unknown ids are ignored.
func (m *Mirror) Remove(ids []string) {
	for _, id := range ids {
		m.remove(id)
	}
}

func (m *Mirror) remove(id string) {
	if hash, known := m.hashes[id]; known {
		m.Digest.toggle(id, hash)
		delete(m.hashes, id)
		delete(m.unconfirmed, id)
	}
}

// Compare marks the ids that are in one of the buckets and not in a leader's list as
// unconfirmed, and no others. A nil slice of buckets stands for all of them. The list
// must be put afterwards.
func (m *Mirror) Compare(buckets []int, list []Upstream) {
	clear(m.unconfirmed)
	listed := map[string]bool{}
	for _, u := range list {
		listed[u.ID] = true
	}
	for id := range m.hashes {
		if !listed[id] && (buckets == nil || slices.Contains(buckets, BucketOf(id))) {
			m.unconfirmed[id] = true
		}
	}
}

// Unconfirmed returns the sorted ids that the leader still does not know. They are to
// be removed once its fleet is complete.
func (m *Mirror) Unconfirmed() []string { return slices.Sorted(maps.Keys(m.unconfirmed)) }
