package ingress

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// drainableSource reads from a caller's connection. Drain interrupts the reads of
// all connections by a read deadline in the past. A read that may not be
// interrupted, as in the middle of a request, goes on until its own deadline. It is
// owned by the task that reads from the connection.
type drainableSource struct {
	net.Conn
	// end is the deadline of the current read; zero means none.
	end time.Time
	// interruptible is true while the reader waits for a request to begin.
	interruptible bool
	// evicted is true once the connection is to be closed in favor of others. Then the
	// read deadline ends every read, also in the middle of a request.
	evicted atomic.Bool
	// finished is true once the last response is written. Then the read deadline ends every
	// read of the connection's reader, also one in the middle of a body, and the writer
	// discards what still arrives.
	finished atomic.Bool
	// headBytes is how much more of a header may be read before admitHead is called;
	// zero outside a header.
	headBytes int
	admitHead func() error
}

// setDeadline sets the deadline for reads that Drain must not interrupt.
func (s *drainableSource) setDeadline(end time.Time) error {
	s.end, s.interruptible = end, false
	return s.applyDeadline()
}

// setInterruptibleDeadline sets the deadline for reads that Drain interrupts.
func (s *drainableSource) setInterruptibleDeadline(end time.Time) error {
	s.end, s.interruptible = end, true
	return s.applyDeadline()
}

// applyDeadline sets the deadline of the current read. After an eviction or the last response
// it is in the past.
func (s *drainableSource) applyDeadline() error {
	err := s.SetReadDeadline(s.end)
	if err == nil && s.ended() {
		return s.SetReadDeadline(time.Now())
	}
	return err
}

// ended reports whether nothing more is read on the connection.
func (s *drainableSource) ended() bool { return s.evicted.Load() || s.finished.Load() }

// countHead asks for the bytes of a header that is longer than the allowance.
func (s *drainableSource) countHead(n int) error {
	s.headBytes -= n
	if s.headBytes > 0 {
		return nil
	}
	s.headBytes = 0
	return s.admitHead()
}

// evict interrupts the current read, and every later one.
func (s *drainableSource) evict() {
	s.evicted.Store(true)
	_ = s.SetReadDeadline(time.Now())
}

// finish interrupts the current read, and every later one, after the last response.
func (s *drainableSource) finish() {
	s.finished.Store(true)
	_ = s.SetReadDeadline(time.Now())
}

// Read implements io.Reader.
func (s *drainableSource) Read(p []byte) (int, error) {
	for {
		n, err := s.Conn.Read(p)
		interrupted := errors.Is(err, os.ErrDeadlineExceeded) && (s.end.IsZero() || time.Now().Before(s.end))
		if n > 0 && s.headBytes > 0 {
			if headErr := s.countHead(n); headErr != nil {
				return n, headErr
			}
		}
		if n > 0 || !interrupted || s.interruptible || s.ended() {
			return n, err
		}
		if err := s.applyDeadline(); err != nil {
			return 0, err
		}
	}
}
