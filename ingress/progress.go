package ingress

import (
	"errors"
	"os"
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

// awaitResponses waits until all requests that were read are answered. It returns the error
// of the connection if the caller disconnects before.
func (c *conn) awaitResponses() error {
	waiting := c.unanswered()
	if len(waiting) == 0 {
		return nil
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		c.awaitWritten(waiting)
	}()
	return c.watchUntil(answered)
}

// awaitWritten waits until requests are answered or the writer has ended.
func (c *conn) awaitWritten(requests []*progress) {
	for _, p := range requests {
		select {
		case <-p.written:
		case <-c.writerDone:
		}
	}
}

// watchUntil waits until done is closed. It returns the error of the connection if the caller
// disconnects before. What the caller sends meanwhile stays in the buffer; a disconnect behind
// more than fits there goes unnoticed.
func (c *conn) watchUntil(done <-chan struct{}) error {
	stop, interrupterDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(interrupterDone)
		select {
		case <-done:
			_ = c.SetReadDeadline(time.Now())
		case <-stop:
		}
	}()
	defer func() {
		close(stop)
		<-interrupterDone
	}()
	for c.reader.Buffered() < c.reader.Size() {
		if err := c.source.setInterruptibleDeadline(time.Time{}); err != nil {
			return err
		}
		select {
		case <-done:
			return nil
		default:
		}
		if c.source.ended() {
			break
		}
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
	<-done
	return nil
}
