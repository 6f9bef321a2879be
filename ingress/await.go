package ingress

import (
	"errors"
	"io"
	"os"
	"time"
)

// awaitRequest waits for the first byte of a request. It returns false when no
// further request is to be read: the connection was idle for too long with all
// requests answered, or the entry drains. While the entry drains, a connection on
// which no request was read yet may still send one. After a read error
// awaitRequest returns true, and the next read returns the error.
func (c *conn) awaitRequest(idle time.Duration) bool {
	if c.skipEmptyLines(); c.reader.Buffered() > 0 {
		return true
	}
	idleEnd := time.Now().Add(idle)
	drainSeen := false
	for {
		if c.server.draining.Load() && !drainSeen {
			if c.receivedRequest {
				return false
			}
			drainSeen = true
			if end := time.Now().Add(firstRequestTimeout); end.Before(idleEnd) {
				idleEnd = end
			}
		}
		if err := c.source.setInterruptibleDeadline(idleEnd); err != nil {
			return true
		}
		// A drain that began before the deadline was set has not interrupted the wait.
		if c.server.draining.Load() && !drainSeen {
			continue
		}
		if err := c.peekRequest(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
		if time.Now().Before(idleEnd) {
			continue
		}
		// The idle time begins with the last response.
		idleEnd = c.idleSince().Add(idle)
		if !time.Now().Before(idleEnd) {
			return false
		}
	}
}

// peekRequest waits for a byte that is not part of an empty line. Empty lines do not
// begin a request, and so do not start its header timeout.
func (c *conn) peekRequest() error {
	for {
		if c.source.evicted.Load() {
			// The next read returns that the deadline is exceeded.
			c.awaitWritten(c.unanswered())
			return errEvicted
		}
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		if c.skipEmptyLines(); c.reader.Buffered() > 0 {
			return nil
		}
	}
}

// errEvicted ends the wait for a request on a connection that is to be closed in favor
// of others.
var errEvicted = errors.New("the connection is closed in favor of others")

// skipEmptyLines discards empty lines that were received before a request.
func (c *conn) skipEmptyLines() {
	for c.reader.Buffered() >= 2 {
		if line, err := c.reader.Peek(2); err != nil || string(line) != "\r\n" {
			return
		}
		if _, err := c.reader.Discard(2); err != nil {
			return
		}
	}
}

// awaitClose detects that the caller disconnects before its last response is
// written. Whatever the caller still sends is discarded, and not read as a
// request.
func (c *conn) awaitClose() {
	if c.source.setDeadline(time.Time{}) != nil {
		return
	}
	_, err := io.Copy(io.Discard, c.reader)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.source.evicted.Load() {
		// The requests that were read are still answered.
		c.awaitWritten(c.unanswered())
		return
	}
	if err == nil {
		err = io.EOF
	}
	c.handleReadError(err)
}

// awaitRefusal detects that the caller disconnects before a refusal is written behind
// other responses. The read deadline of the writer, which discards unread bytes after
// the refusal, ends the wait, and a drain does not.
func (c *conn) awaitRefusal() {
	for len(c.unanswered()) > 0 {
		if c.source.evicted.Load() {
			c.awaitWritten(c.unanswered())
			return
		}
		if c.source.setInterruptibleDeadline(time.Time{}) != nil {
			return
		}
		if len(c.unanswered()) == 0 {
			// The writer may have set its deadline before.
			_ = c.source.setInterruptibleDeadline(time.Now().Add(lingerTimeout))
			return
		}
		if _, err := io.Copy(io.Discard, c.reader); !errors.Is(err, os.ErrDeadlineExceeded) {
			c.reportDisconnected()
			return
		}
	}
}

// awaitStreamedBody waits until the response to a request with a streamed body is written,
// since the next bytes on the connection may belong to that body. It returns the error of the
// connection if the caller disconnects after the end of the body.
func (c *conn) awaitStreamedBody(e *Exchange, body *streamedBody) error {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.awaitWritten([]*progress{e.progress})
	}()
	select {
	case <-body.ended:
		return c.watchUntil(written)
	case <-written:
		return nil
	}
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
// more than fits there goes unnoticed. The rest of a body may be read after it, so a drain
// interrupts the reads only until it returns.
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
		_ = c.source.setDeadline(time.Time{})
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
