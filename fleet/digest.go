package fleet

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// DigestBuckets is the number of buckets of a [Digest]. With a thousand upstreams,
// a bucket holds about four.
const DigestBuckets = 256

// Digest summarizes a set of upstreams. Each bucket holds the XOR of the hashes of
// the upstreams whose ids fall into it, so that two tables that differ in a few
// upstreams differ in a few buckets. The time for which an upstream stays cold is
// not part of it: it passes without a change of the table.
type Digest [DigestBuckets]uint32

// BucketOf returns the bucket of an upstream's id.
func BucketOf(id string) int { return int(xxhash.Sum64String(id) % DigestBuckets) }

// hash returns the hash of what entries follow of an upstream.
func (u Upstream) hash() uint32 {
	h := xxhash.New()
	for _, field := range []string{
		u.ID, u.Service, u.Address, u.Domain, strconv.Itoa(u.Slots), strconv.FormatInt(u.StartMS, 10), strconv.FormatBool(u.Draining),
	} {
		_, _ = h.WriteString(field)
		_, _ = h.Write([]byte{0})
	}
	// Without a version the hash is that of instances that do not know versions, so that
	// an upgrade does not make whole fleets differ.
	if u.Version != "" {
		_, _ = h.WriteString(u.Version)
	}
	return uint32(h.Sum64())
}

// toggle adds a hash to the bucket of an id, or removes it if it is included.
func (d *Digest) toggle(id string, hash uint32) { d[BucketOf(id)] ^= hash }

// Differing returns the buckets in which two digests differ, in ascending order.
func (d Digest) Differing(other Digest) []int {
	var buckets []int
	for i := range d {
		if d[i] != other[i] {
			buckets = append(buckets, i)
		}
	}
	return buckets
}
