// Package upstream is the HTTP/1.1 client for the upstreams. A connection
// carries one request at a time.
//
// A response is accepted only if it is complete, well formed, echoes the ID of
// the request and carries the signature of the upstream. A refusal and a failure that
// promises nothing may omit the signature; see [Claim]. A response with status 300 or
// above may omit the ID if it is the first on its connection: on a connection that was
// used before, a response without an ID may be a late copy of an earlier one. For the
// same reason, a request that was refused or failed is sent once more on another
// connection; see [Conn.Accepts]. After anything else the connection is not used
// again, because bytes that remain on it can't be assigned to a request; nor is it
// after a long response that is streamed. Each connection is owned by one task at a
// time.
//
// # Usage
//
//	c, err := upstream.Dial(ctx, address)
//	c.OnNotice = report
//	response, outcome := c.Exchange(ctx, names, request)
//	if c.Reusable() { keep(c) }
//	if kept.Accepts(id) && kept.Alive(now) { use(kept) }
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/tcp"
)

const (
	// dialTimeout is the limit for opening a connection. It is several times the
	// network delay between failure domains, and shorter than the time until a
	// lost SYN packet is sent again.
	dialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the upstream
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 6 * time.Second
	// idleTimeoutRatio is the share of the upstream's Keep-Alive timeout for
	// which an idle connection is used. The rest allows for network delay: 1.5 s
	// of a timeout of 10 s.
	idleTimeoutRatio = 0.85
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2048
	// maxRepeatableIDs is the number of refused or failed requests after which the
	// connection is not used again.
	maxRepeatableIDs = 64
)

// Conn is a connection to an upstream.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// source limits what reader takes from the connection.
	source *limitedSource
	// used is true once a request or a probe was sent. From then on, the response
	// to an earlier request may arrive in place of a later one.
	used bool
	// repeatable holds the IDs of the requests that were refused or failed on this
	// connection, and so may be sent once more.
	repeatable []string
	// broken is true when the connection must not be used for another request.
	broken bool
	// idleTimeout is how long the connection may stay idle after idleSince.
	idleTimeout time.Duration
	idleSince   time.Time
	// OnNotice is called when an upstream says something about itself, as soon as the
	// header of the response is read, also if the response is then skipped or cut.
	OnNotice func(placement.Notice)
	// misdirected is true once a response has shown that another upstream has the
	// address.
	misdirected bool
}

// Dial opens a connection to an upstream's address, given as host:port.
func Dial(ctx context.Context, address string) (*Conn, error) {
	c, err := tcp.Dial(ctx, address, dialTimeout)
	if err != nil {
		return nil, err
	}
	source := &limitedSource{source: c}
	return &Conn{
		Conn: c, reader: bufio.NewReaderSize(source, readBufferBytes), source: source,
		idleTimeout: defaultIdleTimeout, idleSince: time.Now(),
	}, nil
}

// Reusable reports whether the connection may carry another request.
func (c *Conn) Reusable() bool { return !c.broken }

// Accepts reports whether the connection may carry a request: whether its response
// can be distinguished from a late copy of an earlier one. It can't if a request with that ID
// was refused or failed on this connection before.
func (c *Conn) Accepts(id string) bool {
	return !c.used || id != "" && !slices.Contains(c.repeatable, id)
}

// Alive reports whether an idle connection can be used: it is still open, its
// idle timeout has not passed, and the upstream has sent nothing on it since
// its last response.
func (c *Conn) Alive(now time.Time) bool {
	if c.broken || c.reader.Buffered() > 0 || now.Sub(c.idleSince) >= c.idleTimeout {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = peekErr == syscall.EAGAIN
	})
	return err == nil && noData
}

// markIdle records that the connection is idle from now on, and takes the idle
// timeout from the upstream's Keep-Alive header if it is given there.
func (c *Conn) markIdle(keepAlive string) {
	c.idleSince = time.Now()
	for _, parameter := range strings.Split(keepAlive, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(parameter), "timeout=")
		seconds, err := strconv.Atoi(value)
		if ok && err == nil {
			c.idleTimeout = time.Duration(idleTimeoutRatio * float64(seconds) * float64(time.Second))
		}
	}
}
