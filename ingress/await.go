package ingress

import (
	"errors"
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
