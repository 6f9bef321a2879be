package peer

import (
	"time"

	"github.com/oriolepost/oriolepost/timer"
)

const (
	// Two answers a second to each entry reveal a lost leader in time for the 2 s in
	// which a change must be in force. With hundreds of entries, as many answers would
	// take half of a small leader's core.
	minWatchTimeout      = 450 * time.Millisecond
	watchTimeoutPerEntry = 2500 * time.Microsecond
	maxWatchTimeout      = 1100 * time.Millisecond
	// watchAnswerMargin is how much longer than WatchTimeout an entry waits for an
	// answer.
	watchAnswerMargin = 250 * time.Millisecond
)

// WatchTimeout returns after what time a watch without changes is answered. The entry says
// in the watch how many entries follow the instance, so that both wait for the same time.
func WatchTimeout(entries int) time.Duration {
	return min(max(time.Duration(entries)*watchTimeoutPerEntry, minWatchTimeout), maxWatchTimeout)
}

// WatchDuration returns how long an entry among a number of entries waits for the
// answer to a watch, with the search for the leader.
func WatchDuration(entries int) time.Duration { return WatchTimeout(entries) + 2*watchAnswerMargin }

// Confirms returns how long an entry's view counts as the newest after the answer to a
// watch: until the next answer is overdue. An answer that took longer than a watch lasts
// confirms nothing: the machine was suspended, and the answer has waited to be read.
func Confirms(sent, received timer.Stamp, entries int) time.Duration {
	lasts := WatchDuration(entries)
	if received.Since(sent) > lasts {
		return 0
	}
	return lasts
}

// ConfirmsRelayed returns the same, counted from the leader's answer to a relay, if that
// had come an age before the relay's answer. It is never longer than the leader of many
// entries takes itself.
func ConfirmsRelayed(sent, received timer.Stamp, entries int, age time.Duration) time.Duration {
	confirms := Confirms(sent, received, entries)
	if confirms == 0 || age == 0 {
		return confirms
	}
	return min(confirms+age, maxWatchTimeout+2*watchAnswerMargin)
}

// ProvenAt returns the moment as of which the sender of a watch, with the answer to it, has
// everything that was acknowledged; nil if the answer proves nothing. The answer was
// written no earlier than the watch was sent, so the proof is no older than its age before
// that. How long the answer was on its way does not count.
func ProvenAt(sent timer.Stamp, response WatchResponse) *timer.Stamp {
	if response.ProofAgeMS <= 0 {
		return nil
	}
	proven := sent.Before(time.Duration(response.ProofAgeMS) * time.Millisecond)
	return &proven
}
