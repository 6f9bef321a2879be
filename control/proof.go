package control

import (
	"time"

	"github.com/oriolepost/oriolepost/timer"
)

// proofAge returns how long ago this instance had everything that was acknowledged, at
// most; false if it can't prove that. The leader proves it by a majority of voters that has
// answered a message of this leader, sent after the last suspension of the machine: at
// that moment no other leader had acknowledged anything. A relay has the leader's proof.
func (t *task) proofAge() (age time.Duration, proven bool) {
	now := timer.Now()
	if !t.leads() {
		if t.relay.proven == nil {
			return 0, false
		}
		return now.Since(*t.relay.proven), true
	}
	t.suspensions.Check(now)
	leaseEnd := t.replica.LeaseEnd(now.Steady)
	ackedAt := leaseEnd.Add(maxClockDrift - electionTimeout)
	if leaseEnd.IsZero() || !ackedAt.After(t.suspensions.EndedAt) {
		return 0, false
	}
	return now.Steady.Sub(ackedAt), true
}

// proofAgeMS returns the age of the proof for an answer to a watch: whole milliseconds,
// rounded up, and zero without a proof.
func (t *task) proofAgeMS() int64 {
	if t.settings.Bounds.Revocation == 0 {
		return 0
	}
	age, proven := t.proofAge()
	if !proven {
		return 0
	}
	return age.Milliseconds() + 1
}
