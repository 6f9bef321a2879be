package workspace

import "time"

// Lease limits for how long an entry may rely on the keys that it knows. Failure: a key is
// revoked while the entry, its relay or the leader that it follows is cut off or
// suspended, and would go on admitting requests with it.
//
// A lease starts at the moment as of which a leader with a proven majority had everything
// that was acknowledged. A key that was revoked before that moment is not in the
// entry's directory any more. One that is revoked later must be refused no earlier than
// Revocation after its acknowledgement, which is after the start of the lease.
type Lease struct {
	// Revocation is the time after the acknowledgement of a revocation from which on no
	// request with the key may be admitted. Zero means that there is no limit.
	Revocation time.Duration
}

// clockMargin is the part of the time of revocation that is left unused. It covers the
// difference in speed between two clocks, and the time between the check of the lease and
// the sending of the request.
const clockMargin = 0.05

// Length returns how long the lease lasts.
func (l Lease) Length() time.Duration {
	return l.Revocation - time.Duration(clockMargin*float64(l.Revocation))
}

// Valid reports whether a lease that started an age ago still lasts. The age includes the
// time for which the machine was suspended.
func (l Lease) Valid(age time.Duration) bool { return l.Revocation == 0 || age < l.Length() }
