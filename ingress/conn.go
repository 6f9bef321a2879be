// Package ingress speaks HTTP/1.1 to the callers.
//
// Each connection has two tasks. The reader takes requests, also those that
// were sent before the answer to an earlier one, and hands them to the entry's
// task. The writer gives the answers back in the order of the requests. What
// must not run twice starts only when everything before it on the connection
// is answered. When the caller closes the connection, the reader notices and
// the requests are given up. Requests are read strictly: what could be read in
// two ways is refused and the connection closed, so that nothing is smuggled
// to an upstream. No path is changed on the way and no redirect is sent.
//
// # Usage
//
//	s, err := ingress.Listen(ingress.Options{Address: address, Post: post, Table: table})
//	s.Drain()
package ingress

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/upstream"
)

const (
	// maxAhead is how many requests of a connection may wait for answers.
	maxAhead = 16
	// readBuffer is the size of a connection's buffer in bytes.
	readBuffer = 2048
	// idleMargin is how much longer an unused connection is kept than callers
	// are told to use it.
	idleMargin = 500 * time.Millisecond
	// firstRequestTime is how long a connection that was opened while the
	// entry stops may take to send its request.
	firstRequestTime = 700 * time.Millisecond
	// startTime is how long an entry needs at most, as a rule, to learn the
	// configuration after a start.
	startTime = 400 * time.Millisecond
	// retryShare is the part of a caller's patience after which it still comes
	// back: callers honor a third.
	retryShare = 4
)

// Exchange is a request and its answer. The entry's task gets it and must
// answer exactly once.
type Exchange struct {
	Request *Request
	// Route is the route of the request under the table of its arrival.
	Route *route.Route
	// Answer takes the answer; it has room for one.
	Answer chan upstream.Answer
	// closing is true when the connection must be closed afterwards, since
	// what follows on it can't be told.
	closing bool
	written chan struct{}
}

// Post hands messages to the entry's task.
type Post struct {
	// Arrived brings a request that has a route.
	Arrived func(*Exchange)
	// Left says that the caller of requests that are not answered is gone.
	Left func([]*Exchange)
	// Refused tells of a request that was answered here.
	Refused func(r *Request, status int, reason string)
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	server *Server
	reader *bufio.Reader
	// exchanges takes the requests from the reader to the writer.
	exchanges chan *Exchange
	// open are the exchanges that may not be answered yet; the reader's own.
	open []*Exchange
	// served is true when a request was taken.
	served bool
	// dead is closed when the writer can't write any more.
	dead chan struct{}
}

func (s *Server) serve(c net.Conn) {
	k := &conn{
		Conn: c, server: s, reader: bufio.NewReaderSize(c, readBuffer),
		exchanges: make(chan *Exchange, maxAhead), dead: make(chan struct{}),
	}
	go k.read()
	k.write()
}

// read takes requests until the connection ends, or the entry stops.
func (c *conn) read() {
	defer close(c.exchanges)
	for {
		e, err := c.next()
		if err != nil {
			c.readFailed(err)
			return
		}
		if e == nil {
			return
		}
		c.push(e)
		if e.closing {
			c.awaitClose()
			return
		}
		if !c.clear(e) {
			return
		}
	}
}

// awaitClose notices when the caller leaves before its last answer. What else
// it sends is not read as a request any more.
func (c *conn) awaitClose() {
	if c.SetReadDeadline(time.Time{}) != nil {
		return
	}
	_, err := io.Copy(io.Discard, c.reader)
	if err == nil {
		err = io.EOF
	}
	c.readFailed(err)
}

// clear waits until what follows on the connection may be read.
func (c *conn) clear(e *Exchange) bool {
	if e.Request.Rest == nil {
		return true
	}
	select {
	case <-e.written:
	case <-c.dead:
	}
	return !e.closing
}

func (c *conn) push(e *Exchange) {
	c.open = append(c.unanswered(), e)
	c.served = true
	select {
	case c.exchanges <- e:
	case <-c.dead:
	}
}

// readFailed ends the reading. A request that can't be taken is answered; a
// caller that is gone gives up what is under way.
func (c *conn) readFailed(err error) {
	var status *StatusError
	if errors.As(err, &status) {
		e := newExchange(&Request{Method: http.MethodGet, Header: http.Header{}}, nil)
		e.closing = true
		c.server.options.Post.Refused(e.Request, status.Status, status.Reason)
		e.Answer <- plain(status.Status, status.Reason)
		c.push(e)
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// The entry stops, or the connection was unused for too long.
		return
	}
	if left := c.unanswered(); len(left) > 0 {
		c.server.options.Post.Left(left)
	}
}

func newExchange(r *Request, matched *route.Route) *Exchange {
	return &Exchange{Request: r, Route: matched, Answer: make(chan upstream.Answer, 1), written: make(chan struct{})}
}

// next reads one request. It gives nil when no more are taken.
func (c *conn) next() (*Exchange, error) {
	table := c.server.options.Table()
	limits := Limits(route.Limits{})
	if table != nil {
		limits = Limits(table.Configuration.Limits)
	}
	if !c.awaitRequest(limits.IdleTimeout + idleMargin) {
		return nil, os.ErrDeadlineExceeded
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if err := c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	head, err := readHead(c.reader, limits.HeaderBytes)
	if err != nil {
		return nil, timeoutStatus(err)
	}
	r, err := parse(head, c.server.options.Names, time.Now())
	if err != nil {
		return nil, err
	}
	if err := c.readBody(r, limits); err != nil {
		return nil, timeoutStatus(err)
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return c.begin(r), nil
}

// awaitRequest waits for the first byte of a request, and reports whether one
// may come. The server wakes it when the entry stops.
func (c *conn) awaitRequest(idle time.Duration) bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	for {
		if c.server.draining.Load() {
			if c.served {
				return false
			}
			idle = min(idle, firstRequestTime)
		}
		if err := c.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return true
		}
		if c.server.draining.Load() && c.served {
			return false
		}
		_, err := c.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return true
		}
		if len(c.unanswered()) == 0 {
			return false
		}
	}
}

func (c *conn) unanswered() []*Exchange {
	var out []*Exchange
	for _, e := range c.open {
		select {
		case <-e.written:
		default:
			out = append(out, e)
		}
	}
	return out
}

func (c *conn) readBody(r *Request, limits route.Limits) error {
	if !r.HasBody {
		return nil
	}
	if r.expectsContinue() && len(c.unanswered()) == 0 {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(max(limits.HeaderTimeout, r.Patience))); err != nil {
		return err
	}
	return r.readBody(c.reader, limits.BodyBytes)
}

func timeoutStatus(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &StatusError{http.StatusRequestTimeout, "the request did not come in time"}
	}
	return err
}

// begin hands a request to the entry's task, or answers it here.
func (c *conn) begin(r *Request) *Exchange {
	e := newExchange(r, nil)
	e.closing = r.close || r.old
	// The table is looked up only now, so that a request that was read slowly
	// follows the newest one.
	table := c.server.options.Table()
	if table == nil {
		c.refuse(e, http.StatusServiceUnavailable, "no configuration yet")
		return e
	}
	matched, ok := table.Match(r.Host, r.Path)
	if !ok {
		c.refuse(e, http.StatusNotFound, "no route for this host and path")
		return e
	}
	e.Route = matched
	if !matched.Idempotent {
		for _, o := range c.unanswered() {
			select {
			case <-o.written:
			case <-c.dead:
			}
		}
	}
	header.DropPerConnection(r.Header)
	c.server.options.Post.Arrived(e)
	return e
}

func (c *conn) refuse(e *Exchange, status int, reason string) {
	if e.Request.Rest != nil {
		e.closing = true
	}
	c.server.options.Post.Refused(e.Request, status, reason)
	retryAfter := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		spread := time.Duration(rand.Int64N(int64(startTime)))
		retryAfter = min(startTime/2+spread, e.Request.Patience/retryShare)
	}
	e.Answer <- Refusal(status, reason, retryAfter)
}
