package ingress

import (
	"sync/atomic"
	"time"
)

// progress tells the reader of a connection whether a request is answered. It does not keep
// the request, whose body may be large, beyond its response: the connection may be idle for
// long after that.
type progress struct {
	// exchange is nil once the writer has finished with the response.
	exchange atomic.Pointer[Exchange]
	// written is closed when the writer has finished with the response, at writtenAt.
	written   chan struct{}
	writtenAt time.Time
}

// end records that the writer has finished with the response.
func (p *progress) end(now time.Time) {
	p.writtenAt = now
	p.exchange.Store(nil)
	close(p.written)
}

// idleSince returns the time of the last response: now while a request is unanswered,
// and zero when no request was read.
func (c *conn) idleSince() time.Time {
	if len(c.unanswered()) > 0 {
		return time.Now()
	}
	var last time.Time
	for _, p := range c.pending {
		if p.writtenAt.After(last) {
			last = p.writtenAt
		}
	}
	return last
}

// unanswered returns the requests whose response is not written yet.
func (c *conn) unanswered() []*progress {
	var unwritten []*progress
	for _, p := range c.pending {
		select {
		case <-p.written:
		default:
			unwritten = append(unwritten, p)
		}
	}
	return unwritten
}
