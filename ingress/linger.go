package ingress

import (
	"errors"
	"math"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTimeout and maxLingerBytes limit the reading of unread bytes before the
	// connection is closed.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// closeMode is how a connection is closed after its last response. Closing a connection resets
// it if bytes are unread or still arrive, and what was not delivered of the response is lost.
//
//sumtype:decl
type closeMode interface{ closeMode() }

// closeAtOnce closes the connection: the caller sends nothing more, or the write failed.
type closeAtOnce struct{}

// discardRest discards what the caller still sends of a request that is not served, within
// lingerTimeout and maxLingerBytes.
type discardRest struct{}

// awaitDelivery discards what the caller still sends until it has the response: on a
// connection that the entry closes while it drains, a sound caller may send further requests
// until it reads that.
type awaitDelivery struct{}

func (closeAtOnce) closeMode()   {}
func (discardRest) closeMode()   {}
func (awaitDelivery) closeMode() {}

// closeModeAfter returns how the connection is closed after the last response.
func (c *conn) closeModeAfter(e *Exchange) closeMode {
	callerCloses := e.Request.close || e.Request.http10
	switch {
	case c.server.draining.Load() && !callerCloses && !c.source.evicted.Load():
		return awaitDelivery{}
	case e.unreadBytes:
		return discardRest{}
	}
	return closeAtOnce{}
}

// linger discards what the caller still sends, before the connection is closed.
func (c *conn) linger(mode closeMode) {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if _, atOnce := mode.(closeAtOnce); atOnce || !ok {
		return
	}
	c.source.finish()
	if halfCloser.CloseWrite() != nil {
		return
	}
	switch mode.(type) {
	case discardRest:
		c.discardUntil(time.Now().Add(lingerTimeout), maxLingerBytes)
	case awaitDelivery:
		for end := time.Now().Add(writeTimeout); time.Now().Before(end) && !c.delivered(); {
			if !c.discardUntil(time.Now().Add(deliveryInterval), math.MaxInt) {
				return
			}
		}
		c.discardUntil(time.Now().Add(lingerTimeout), math.MaxInt)
	case closeAtOnce:
	}
}

// deliveryInterval is the interval at which a connection is asked whether its response is
// delivered.
const deliveryInterval = 20 * time.Millisecond

// discardUntil reads and discards until a time, but not much more than limit bytes. It returns
// false if the caller has closed the connection.
func (c *conn) discardUntil(end time.Time, limit int) bool {
	buffer := make([]byte, streamBufferBytes)
	for discarded := 0; discarded < limit && time.Now().Before(end); {
		if c.SetReadDeadline(end) != nil {
			return false
		}
		n, err := c.Read(buffer)
		// The reader of the connection may have ended this read too.
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		discarded += n
	}
	return true
}

// delivered reports whether the caller's machine has acknowledged all that was written, the
// end of the connection included. It is true where that can't be asked.
func (c *conn) delivered() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	unacknowledged := 0
	err = raw.Control(func(fd uintptr) {
		if n, queueErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); queueErr == nil {
			unacknowledged = n
		}
	})
	return err != nil || unacknowledged == 0
}
