// Package ingress is the HTTP/1.1 server for the callers.
//
// Each connection has two tasks. The reader reads requests, including pipelined
// ones, and sends them to the entry task. The writer writes the responses in
// the order of the requests. A request that must not run twice starts only when
// everything before it on the connection is answered. When the caller closes
// the connection, the reader detects that and the requests of the connection
// are canceled. While the reader waits (for other responses, or for the first
// configuration), it watches the connection, and does not detect a close behind
// more than its buffer holds. It does not detect one while a body is being
// forwarded: whoever forwards it does.
//
// Requests are parsed strictly. A request that could be understood in two ways
// is refused and the connection closed, so that no request is smuggled to an
// upstream. A target in absolute form is accepted, and forwarded as its path and
// query. Paths are forwarded unchanged and no redirects are sent.
//
// # Usage
//
//	s, err := ingress.Listen(ingress.Options{Address: address, Callbacks: callbacks, Table: table})
//	s.Drain()
package ingress

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/upstream"
	"github.com/oriolepost/oriolepost/workspace"
)

const (
	// maxPipelined is how many requests of a connection may queue while the writer
	// waits for a response.
	maxPipelined = 16
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2048
	// idleMargin is how much longer than the configured idle timeout an idle
	// connection is kept open. A request that a caller sends just before that
	// timeout still arrives.
	idleMargin = 500 * time.Millisecond
	// firstRequestTimeout is how long a connection that is opened while the entry
	// drains may take to send its request.
	firstRequestTimeout = 700 * time.Millisecond
	// configurationDelay is the time within which an entry normally receives the
	// configuration after its start. Until then requests are refused with a
	// Retry-After drawn at random from 0.5 to 1.5 times this delay.
	configurationDelay = 400 * time.Millisecond
	// retryAfterDivisor limits Retry-After to the caller's remaining time divided by it,
	// since callers honor a Retry-After of up to a third of that time. A
	// caller that sends no timeout gets no Retry-After.
	retryAfterDivisor = 4
)

// Exchange is a request and its response. The entry task receives it and must
// send exactly one response.
type Exchange struct {
	Request *Request
	// Route is the route of the request, from the routing table that was current
	// when the request had been read.
	Route *route.Route
	// Workspace is the workspace for which the request runs; nil if it runs for none.
	Workspace *workspace.Workspace
	// Response takes the response; its capacity is one. On status 0 nothing is
	// sent and the connection is closed.
	Response chan upstream.Response
	// closeAfter is true when the connection must be closed after the response:
	// the caller asked for it, the entry drains and nothing has begun to arrive behind
	// the request, or the bytes that follow can't be interpreted.
	closeAfter bool
	// unreadBytes is true when bytes may still arrive that belong to no request to
	// be served. They are read and discarded before the connection is closed.
	unreadBytes bool
	// hold is what is reserved for the request; nil while it is within the allowance.
	hold *budget.Hold
	// progress is what the reader of the connection keeps of the request.
	progress *progress
}

// Callbacks holds the functions that send messages to the entry's task.
type Callbacks struct {
	// Arrived delivers a request that has a route.
	Arrived func(*Exchange)
	// Disconnected reports unanswered requests whose caller has disconnected.
	Disconnected func([]*Exchange)
	// Refused reports a request that this package refused with a response of its
	// own.
	Refused func(r *Request, status int, reason string)
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	server *Server
	source *drainableSource
	reader *bufio.Reader
	// exchanges carries the requests from the reader to the writer.
	exchanges chan *Exchange
	// pending is the progress of the last request that was read, and of the requests before
	// it that were unanswered then. It belongs to the reader.
	pending []*progress
	// receivedRequest is true once a request was read on the connection. It
	// belongs to the reader.
	receivedRequest bool
	// writerDone is closed when the writer ends.
	writerDone chan struct{}
	// hold is that of the request that is being read; nil while it is within the
	// allowance. It belongs to the reader.
	hold *budget.Hold
	// headReserved is what is reserved for the header that is being read, in bytes. It
	// belongs to the reader.
	headReserved int
	// readingSince is the time from which a request is arriving, and idleFrom that of
	// the last response, in Unix nanoseconds; zero for none. serving is the number of
	// requests that were read and are not answered.
	readingSince, idleFrom atomic.Int64
	serving                atomic.Int32
}

func (s *Server) newConn(c net.Conn) *conn {
	source := &drainableSource{Conn: c}
	k := &conn{
		Conn: c, server: s, source: source, reader: bufio.NewReaderSize(source, readBufferBytes),
		exchanges: make(chan *Exchange, maxPipelined), writerDone: make(chan struct{}),
	}
	k.source.admitHead = k.admitHead
	k.idleFrom.Store(time.Now().UnixNano())
	return k
}

func (c *conn) serve() {
	go c.readRequests()
	c.writeResponses()
}

// readRequests reads requests until the last one, and then waits for the end of the
// connection. Once the channel of the requests is closed, the writer knows which
// response is the last.
func (c *conn) readRequests() {
	open := c.readUntilLast()
	close(c.exchanges)
	if open {
		c.awaitClose()
	}
}

// readUntilLast reads requests until the connection ends, the caller asks for a close,
// or the entry drains. It reports whether the caller may still disconnect before its
// last response is written.
func (c *conn) readUntilLast() bool {
	for {
		e, err := c.readRequest()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// The entry drains, or the connection was idle for too long. Without an
			// unanswered request the connection is closed at once. A request that
			// crosses the close stays unread, so that its caller may send it again.
			return len(c.unanswered()) > 0
		}
		if err != nil {
			c.handleReadError(err)
			return false
		}
		body, streamed := e.Request.Rest.(*streamedBody)
		c.enqueue(e)
		if streamed {
			err = c.awaitStreamedBody(e, body)
		}
		switch {
		case err != nil:
			c.handleReadError(err)
			return false
		case e.closeAfter:
			return !streamed
		}
	}
}

// enqueue passes a request to the writer, and waits while maxPipelined requests
// are queued.
func (c *conn) enqueue(e *Exchange) {
	c.pending = append(c.unanswered(), e.progress)
	c.receivedRequest = true
	c.serving.Add(1)
	c.endReading()
	select {
	case c.exchanges <- e:
	case <-c.writerDone:
		go e.discard()
	}
}

// handleReadError handles the error that ended the reading. A request that can't
// be accepted is answered with the status of the error. If the caller has
// disconnected, its unanswered requests are reported.
func (c *conn) handleReadError(err error) {
	var refused *refusedError
	hold := c.hold
	c.hold = nil
	if errors.As(err, &refused) {
		e := newExchange(refused.request, nil)
		e.hold = hold
		e.closeAfter, e.unreadBytes = true, true
		c.server.options.Callbacks.Refused(e.Request, refused.cause.Status, refused.cause.Reason)
		e.Response <- plainResponse(refused.cause.Status, refused.cause.Reason)
		c.enqueue(e)
		c.awaitRefusal()
		return
	}
	hold.Release()
	c.reportDisconnected()
}

func (c *conn) reportDisconnected() {
	var abandoned []*Exchange
	for _, p := range c.unanswered() {
		if e := p.exchange.Load(); e != nil {
			abandoned = append(abandoned, e)
		}
	}
	if len(abandoned) > 0 {
		c.server.options.Callbacks.Disconnected(abandoned)
	}
}

func newExchange(r *Request, matched *route.Route) *Exchange {
	e := &Exchange{Request: r, Route: matched, Response: make(chan upstream.Response, 1), progress: &progress{written: make(chan struct{})}}
	e.progress.exchange.Store(e)
	return e
}

// readRequest reads one request and dispatches it. It returns
// [os.ErrDeadlineExceeded] when the connection was idle for too long or the
// entry drains.
func (c *conn) readRequest() (*Exchange, error) {
	if !c.awaitRequest(c.limits().IdleTimeout + idleMargin) {
		return nil, os.ErrDeadlineExceeded
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	// The configuration may have changed while the connection was idle.
	limits := c.limits()
	now := time.Now()
	c.beginReading(now)
	if err := c.source.setDeadline(now.Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	names := c.server.options.Names
	c.source.headBytes, c.headReserved = headAllowance, 0
	head, err := readHead(c.reader, limits.HeaderBytes)
	c.source.headBytes = 0
	if err != nil {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		return nil, refusal(identify(append(head.bytes, buffered...), names), err)
	}
	if err := c.admitFields(head); err != nil {
		return nil, refusal(identify(head.bytes, names), err)
	}
	r, err := parseHead(head, names, time.Now())
	if err != nil {
		return nil, refusal(identify(head.bytes, names), err)
	}
	if err := c.admitRequest(r, head); err != nil {
		return nil, err
	}
	if err := c.readBody(r, limits, c.bodyTimeout(r, limits)); err != nil {
		return nil, refusal(r, err)
	}
	if r.Rest == nil {
		c.hold.Arrived()
	}
	if err := c.source.setDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return c.dispatch(r)
}

// limits returns the limits of the newest configuration.
func (c *conn) limits() route.Limits {
	if table := c.server.options.Table(); table != nil {
		return limitsWithDefaults(table.Configuration.Limits)
	}
	return limitsWithDefaults(route.Limits{})
}

// bodyTimeout returns the time for the buffered part of the body: the caller timeout,
// or that of the route if the caller sends none, but at least the header timeout. With
// a budget, that of the route is the most: a caller could name a day.
func (c *conn) bodyTimeout(r *Request, limits route.Limits) time.Duration {
	timeout := r.CallerTimeout
	table := c.server.options.Table()
	if limited := c.server.options.Budget != nil; table != nil && (timeout == 0 || limited) {
		if matched, ok := table.Match(r.Host, r.Path); ok && (timeout == 0 || matched.Timeout > 0 && matched.Timeout < timeout) {
			timeout = matched.Timeout
		}
	}
	return max(limits.HeaderTimeout, timeout)
}

// readBody reads the buffered part of the body within a time. If the caller asks for
// 100 Continue and has not sent any of the body, it is sent first, once all earlier
// requests are answered: responses keep the order of the requests.
func (c *conn) readBody(r *Request, limits route.Limits, timeout time.Duration) error {
	if !r.HasBody {
		return nil
	}
	if err := r.checkLength(limits.BodyBytes); err != nil {
		return err
	}
	if r.expectsContinue() && c.reader.Buffered() == 0 {
		if err := c.awaitResponses(); err != nil {
			return err
		}
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	if err := c.source.setDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	r.bodyTimeout = timeout
	return r.readBody(c.reader, limits)
}

// refusedError is the error for a request that can't be accepted. request holds
// what is known of it.
type refusedError struct {
	request *Request
	cause   *StatusError
}

// Error implements error.
func (e *refusedError) Error() string { return e.cause.Reason }

// refusal returns the error with which a request that could not be read is refused.
// An exceeded read deadline is answered with status 408. Errors of the connection
// are returned unchanged.
func refusal(request *Request, err error) error {
	var statusErr *StatusError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusedError{request, &StatusError{http.StatusRequestTimeout, "the request did not come in time"}}
	case errors.As(err, &statusErr):
		return &refusedError{request, statusErr}
	}
	return err
}
