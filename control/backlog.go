package control

import (
	"fmt"
	"time"

	"github.com/apex/log"
)

const (
	// lateAfter is how long a message may wait before the task counts as late. Two such
	// delays in a row, of a heartbeat and of its answer, fill an election timeout.
	lateAfter = 200 * time.Millisecond
	// lateLogInterval limits the log lines about a task that stays late.
	lateLogInterval = time.Second
)

// postedMessage is a message in the mailbox, with the time at which it was posted.
type postedMessage struct {
	message  message
	postedAt time.Time
}

// backlog measures how long messages wait for the task. A task that is late sends its
// heartbeats late and answers watches after the entries have given up, although its
// machine runs.
type backlog struct {
	// longestWait and handled describe the time since the last log line. handled counts
	// the messages by their types.
	longestWait time.Duration
	handled     map[string]int
	logAt       time.Time
}

// recordWait counts a message that the task takes from its mailbox.
func (t *task) recordWait(now time.Time, m postedMessage) {
	wait := now.Sub(m.postedAt)
	t.metrics.GetOrCreateHistogram("oriolepost_control_message_wait_seconds").Update(wait.Seconds())
	t.backlog.handled[fmt.Sprintf("%T", m.message)]++
	t.backlog.longestWait = max(t.backlog.longestWait, wait)
}

// logLateness logs that messages have waited for too long, and starts to measure anew.
func (t *task) logLateness(now time.Time) {
	if now.Before(t.backlog.logAt) {
		return
	}
	if t.backlog.longestWait >= lateAfter {
		t.log.WithFields(log.Fields{
			"change": "late", "wait_ms": t.backlog.longestWait.Milliseconds(), "handled": t.backlog.handled, "waiting": len(t.mailbox),
			"watches": t.watchers.Len(), "held_watches": len(t.heldWatches), "held_copies": len(t.heldCopies),
			"role": string(t.replica.Role), "term": t.replica.Term,
		}).Warn("the control task is late")
	}
	t.backlog = backlog{handled: map[string]int{}, logAt: now.Add(lateLogInterval)}
}
