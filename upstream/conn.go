// Package upstream speaks HTTP/1.1 to the upstreams, over connections that
// serve one request at a time.
//
// An answer counts only when it is whole, well formed and bears the request's
// id. A connection on which anything else was seen is closed and never used
// again, since bytes that are left on it belong to no request. Each connection
// is owned by one task at a time.
//
// # Usage
//
//	c, err := upstream.Dial(ctx, address)
//	answer, outcome := c.Exchange(ctx, request)
//	if c.Reusable() { keep(c) }
package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/oriolepost/oriolepost/tcp"
)

const (
	// dialTimeout bounds opening a connection: several times the way between
	// failure domains, and less than a lost opening packet takes.
	dialTimeout = 250 * time.Millisecond
	// defaultIdle is how long an unused connection is kept when the upstream
	// does not tell its own limit.
	defaultIdle = 6 * time.Second
	// idleShare is the share of the upstream's limit that is used. The rest is
	// for the way: a second and a half of the usual ten.
	idleShare = 0.85
	// readBuffer is the size of a connection's buffer in bytes.
	readBuffer = 2048
)

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// broken is true when the connection must not be used again.
	broken bool
	// idleLimit is how long it may stay unused, since idleSince.
	idleLimit time.Duration
	idleSince time.Time
}

// Dial opens a connection.
func Dial(ctx context.Context, address string) (*Conn, error) {
	c, err := tcp.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer), idleLimit: defaultIdle, idleSince: time.Now()}, nil
}

// Reusable reports whether the connection may serve another request.
func (c *Conn) Reusable() bool { return !c.broken }

// Alive reports whether an unused connection still stands and is silent.
func (c *Conn) Alive(now time.Time) bool {
	if c.broken || c.reader.Buffered() > 0 || now.Sub(c.idleSince) >= c.idleLimit {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peeked := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = peeked == syscall.EAGAIN
	})
	return err == nil && silent
}

// rest notes that the connection is unused from now on, and what the upstream
// says of its limit for that.
func (c *Conn) rest(keepAlive string) {
	c.idleSince = time.Now()
	for _, part := range strings.Split(keepAlive, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		seconds, err := strconv.Atoi(value)
		if ok && err == nil {
			c.idleLimit = time.Duration(idleShare * float64(seconds) * float64(time.Second))
		}
	}
}
