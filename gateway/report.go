package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/timer"
)

const (
	// reportTimeout limits one attempt to report. It is longer than the time for which a
	// relay waits for the leader.
	reportTimeout = 500 * time.Millisecond
	// minReportBackoff is the pause after a failed attempt. It doubles up to
	// maxReportBackoff.
	minReportBackoff = 50 * time.Millisecond
	maxReportBackoff = 800 * time.Millisecond
	// reportMailboxSize limits the reports that wait for the task, and maxPendingSightings
	// the sightings that wait for the leader. An entry holds no more.
	reportMailboxSize   = 256
	maxPendingSightings = 1024
)

// reportTask reports crashes to the control instance that the entry follows, as soon as
// they are seen: a content may crash three upstreams within a watch. It has one request
// under way at a time, and repeats it until the leader has it.
type reportTask struct {
	ctx     context.Context
	pool    *peer.Pool
	leader  *peer.LeaderClient
	metrics *metrics.Set
	mailbox chan timedReport
	pending []timedReport
}

// timedReport is a report with the time as of which its ages are.
type timedReport struct {
	sightings []quarantine.Sighting
	asOf      time.Time
}

func newReportTask(ctx context.Context, pool *peer.Pool, leader *peer.LeaderClient, set *metrics.Set) *reportTask {
	return &reportTask{ctx: ctx, pool: pool, leader: leader, metrics: set, mailbox: make(chan timedReport, reportMailboxSize)}
}

// post hands sightings over without waiting. If the mailbox is full they are dropped: the
// entry still acts on them, and reports them again to the next leader.
func (t *reportTask) post(now time.Time, sightings []quarantine.Sighting) {
	select {
	case t.mailbox <- timedReport{sightings, now}:
	default:
		t.metrics.GetOrCreateCounter("oriolepost_quarantine_report_errors_total").Inc()
	}
}

func (t *reportTask) run() {
	backoff := minReportBackoff
	for t.receive() {
		t.metrics.GetOrCreateCounter("oriolepost_quarantine_reports_total").Inc()
		err := t.send()
		var refused *peer.RefusedError
		// An instance of an earlier version does not know the request.
		if err == nil || errors.As(err, &refused) && refused.Code == peer.CodeMalformed {
			t.pending, backoff = nil, minReportBackoff
			continue
		}
		t.metrics.GetOrCreateCounter("oriolepost_quarantine_report_errors_total").Inc()
		timer.Pause(t.ctx, backoff)
		backoff = min(2*backoff, maxReportBackoff)
	}
}

// receive waits until there is something to report, and takes everything that waits. It
// returns false after the context has ended.
func (t *reportTask) receive() bool {
	if len(t.pending) == 0 {
		select {
		case r := <-t.mailbox:
			t.pending = append(t.pending, r)
		case <-t.ctx.Done():
		}
	}
	for t.ctx.Err() == nil {
		select {
		case r := <-t.mailbox:
			t.pending = append(t.pending, r)
		default:
			return true
		}
	}
	return false
}

// send reports the newest sightings that wait, with their present ages.
func (t *reportTask) send() error {
	ctx, cancel := context.WithTimeout(t.ctx, reportTimeout)
	defer cancel()
	var request peer.SuspectRequest
	now := time.Now()
	for _, r := range t.pending {
		for _, s := range r.sightings {
			s.SentAgoMS += now.Sub(r.asOf).Milliseconds()
			request.Sightings = append(request.Sightings, s)
		}
	}
	request.Sightings = request.Sightings[max(0, len(request.Sightings)-maxPendingSightings):]
	_, err := t.pool.Call(ctx, t.leader.Address(), request)
	return err
}
