package ingress

import (
	"time"
)

// After a start, an entry gets its first configuration within some tenths of a second. Load
// pattern: all instances start again after a loss of power, and callers come back before the
// configuration does. Each of them has one retry at most. A request that is refused now
// uses it up, and comes back late or not at all, whereas one that is held for a moment is
// served in time. An entry that gets no configuration is cut off or alone, and refuses at
// once from startPeriod on.

const (
	// startPeriod is the time after the start of the server in which requests wait for the
	// first configuration.
	startPeriod = 2 * time.Second
	// maxStartWait and startWaitDivisor limit the wait of a request: to a part of the caller
	// timeout, so that there is time for another try elsewhere.
	maxStartWait     = 800 * time.Millisecond
	startWaitDivisor = 3
)

// startWait returns how long a request may wait for the first configuration.
func startWait(sinceStart, sinceArrival, callerTimeout time.Duration) time.Duration {
	limit := min(maxStartWait, callerTimeout/startWaitDivisor) - sinceArrival
	return max(0, min(limit, startPeriod-sinceStart))
}

// awaitConfiguration holds a request until this entry can route it, or until its time to
// wait is up. It returns the error of the connection if the caller disconnects before.
func (c *conn) awaitConfiguration(r *Request) error {
	select {
	case <-c.server.options.Configured:
		return nil
	default:
	}
	wait := startWait(time.Since(c.server.startedAt), time.Since(r.Received), r.CallerTimeout)
	if wait == 0 {
		return nil
	}
	c.server.options.Metrics.GetOrCreateCounter("oriolepost_requests_held_at_start_total").Inc()
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		expired := time.NewTimer(wait)
		defer expired.Stop()
		select {
		case <-c.server.options.Configured:
		case <-expired.C:
		case <-c.writerDone:
		}
	}()
	return c.watchUntil(waited)
}
