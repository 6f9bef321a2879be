package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/tcp"
)

const (
	// poolMailboxSize and linkMailboxSize limit the messages that wait for the
	// pool and for one link.
	poolMailboxSize = 1024
	linkMailboxSize = 512
	// dialTimeout limits the time to connect to another instance, including the
	// TLS handshake. It is several times the network delay between failure
	// domains, and short enough that an instance that is down is skipped quickly.
	dialTimeout = 150 * time.Millisecond
	// dialRepeatInterval is the interval between the attempts of one dial.
	dialRepeatInterval = 40 * time.Millisecond
	// dialBackoff is the time after a failed dial during which requests fail with
	// the error of that dial.
	dialBackoff = 40 * time.Millisecond
	// writeTimeout limits a write to an instance that does not read.
	writeTimeout = time.Second
	// LargeBytes is the size of a request beyond which it gets a connection of its own.
	LargeBytes = 64 << 10
	// maxTimeoutsPerConnection is the number of timed-out calls at which a
	// connection counts as dead and is closed. A response in between does not
	// reset the count; only a new connection does.
	maxTimeoutsPerConnection = 2
)

// Options configure the connections between instances.
type Options struct {
	// TLS is nil for plain text.
	TLS *tls.Config
	// Dial opens connections; nil means TCP. Tests set one that cuts connections.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Metrics receives the counters; nil discards them.
	Metrics *metrics.Set
	// Budget limits what is buffered of long messages that a server receives; nil means
	// no limit. MaxConns limits the connections of a server; zero means no limit.
	Budget   *budget.Budget
	MaxConns int
}

func (o Options) metrics() *metrics.Set {
	if o.Metrics == nil {
		return metrics.NewSet()
	}
	return o.Metrics
}

// Pool is a task that owns the links to other instances. An address has a link for large
// requests, which take long to encode, send and decode, and one for all others. Requests
// over the same link are sent one after the other.
type Pool struct {
	options Options
	mailbox chan outgoingRequest
	ctx     context.Context
}

// outgoingRequest is a request that waits for the link of its address.
type outgoingRequest struct {
	ctx     context.Context
	address string
	request Request
	// answer is nil for requests without a response. Otherwise it has capacity
	// for the one answer, so that sending it never blocks.
	answer chan answer
}

// answer is the response to a request, or the error that it ended with.
type answer struct {
	response Response
	err      error
}

func (r outgoingRequest) fail(err error) {
	if r.answer != nil {
		r.answer <- answer{err: err}
	}
}

// NewPool starts a pool that stops when the context ends.
func NewPool(ctx context.Context, o Options) *Pool {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	o.Metrics = o.metrics()
	p := &Pool{options: o, mailbox: make(chan outgoingRequest, poolMailboxSize), ctx: ctx}
	go p.run()
	return p
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcp.DialRepeated(ctx, address, dialTimeout, dialRepeatInterval)
}

// Call sends a request and waits for its response or the end of the context. The
// error is an [UnreachableError], an [OverloadError], or the [RefusedError] of
// the other instance, unless encoding or decoding failed.
func (p *Pool) Call(ctx context.Context, address string, r Request) (Response, error) {
	outgoing := outgoingRequest{ctx: ctx, address: address, request: r, answer: make(chan answer, 1)}
	p.post(outgoing)
	select {
	case a := <-outgoing.answer:
		return a.response, a.err
	case <-ctx.Done():
		return nil, &UnreachableError{Address: address, Cause: ctx.Err()}
	case <-p.ctx.Done():
		return nil, &UnreachableError{Address: address, Cause: p.ctx.Err()}
	}
}

// Notify sends a request that has no response. A lost request is not reported.
func (p *Pool) Notify(address string, r Request) {
	p.post(outgoingRequest{ctx: p.ctx, address: address, request: r})
}

func (p *Pool) post(outgoing outgoingRequest) {
	select {
	case p.mailbox <- outgoing:
	default:
		p.drop(outgoing)
	}
}

// drop counts a request that did not fit into a mailbox, and fails it.
func (p *Pool) drop(outgoing outgoingRequest) {
	p.options.Metrics.GetOrCreateCounter("oriolepost_peer_messages_dropped_total").Inc()
	outgoing.fail(&OverloadError{Address: outgoing.address})
}

// linkKey names a link: its address, and whether it is the one for large requests.
type linkKey struct {
	address string
	large   bool
}

// isLarge reports whether other requests must not wait behind a request.
func isLarge(r Request) bool {
	if m, ok := r.(ReplicaMessage); ok {
		return m.Large
	}
	return orderBytes(r) > LargeBytes
}

// orderBytes returns the size of the configuration in a request, or zero if it has none.
func orderBytes(r Request) int {
	propose, ok := r.(ProposeRequest)
	if !ok {
		return 0
	}
	put, _ := propose.Command.(record.PutConfiguration)
	return len(put.Original)
}

func (p *Pool) run() {
	links := map[linkKey]chan outgoingRequest{}
	for {
		select {
		case <-p.ctx.Done():
			return
		case outgoing := <-p.mailbox:
			key := linkKey{outgoing.address, isLarge(outgoing.request)}
			mailbox := links[key]
			if mailbox == nil {
				mailbox = make(chan outgoingRequest, linkMailboxSize)
				links[key] = mailbox
				newLink := &link{address: outgoing.address, options: p.options, timeouts: make(chan *jsonrpc2.Conn, linkMailboxSize)}
				go newLink.run(p.ctx, mailbox)
			}
			select {
			case mailbox <- outgoing:
			default:
				p.drop(outgoing)
			}
		}
	}
}

// link is a task that owns the connection to one address.
type link struct {
	address string
	options Options
	// conn is nil while there is no connection.
	conn *jsonrpc2.Conn
	// retryAt is the time before which no dial is tried. lastErr is the error of
	// the last failed dial.
	retryAt time.Time
	lastErr error
	// timeouts receives the connection of each call that timed out. timeoutCount
	// counts those of the current connection.
	timeouts     chan *jsonrpc2.Conn
	timeoutCount int
}

func (l *link) run(ctx context.Context, mailbox <-chan outgoingRequest) {
	defer l.close()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-l.timeouts:
			l.countTimeout(c)
		case outgoing := <-mailbox:
			l.send(ctx, outgoing)
		}
	}
}

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// countTimeout counts a timed-out call and closes its connection after
// maxTimeoutsPerConnection of them. Calls over an earlier connection are ignored.
func (l *link) countTimeout(c *jsonrpc2.Conn) {
	if c != l.conn {
		return
	}
	l.timeoutCount++
	if l.timeoutCount >= maxTimeoutsPerConnection {
		l.options.Metrics.GetOrCreateCounter("oriolepost_peer_connections_given_up_total").Inc()
		l.close()
	}
}

func (l *link) send(ctx context.Context, outgoing outgoingRequest) {
	if outgoing.ctx.Err() != nil {
		outgoing.fail(&UnreachableError{Address: l.address, Cause: outgoing.ctx.Err()})
		return
	}
	if err := l.connect(ctx); err != nil {
		outgoing.fail(&UnreachableError{Address: l.address, Cause: err})
		return
	}
	method, params, notify, err := encodeRequest(outgoing.request)
	if err != nil {
		outgoing.fail(err)
		return
	}
	if notify {
		l.closeOnError(l.conn.Notify(outgoing.ctx, method, params))
		return
	}
	waiter, err := l.conn.DispatchCall(outgoing.ctx, method, params)
	if err != nil {
		l.closeOnError(err)
		outgoing.fail(&UnreachableError{Address: l.address, Cause: err})
		return
	}
	go await(l.conn, waiter, outgoing, l.timeouts)
}

func (l *link) closeOnError(err error) {
	if err != nil {
		l.close()
	}
}

// await waits for the response to one request. A timeout is reported to the link
// too.
func await(conn *jsonrpc2.Conn, waiter jsonrpc2.Waiter, outgoing outgoingRequest, timeouts chan<- *jsonrpc2.Conn) {
	var result rawResult
	err := waiter.Wait(outgoing.ctx, &result)
	if errors.Is(err, context.DeadlineExceeded) {
		select {
		case timeouts <- conn:
		default:
		}
	}
	if errors.Is(err, jsonrpc2.ErrClosed) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		outgoing.fail(&UnreachableError{Address: outgoing.address, Cause: err})
		return
	}
	if err != nil {
		outgoing.fail(decodeError(err))
		return
	}
	response, err := decodeResponse(outgoing.request, result.data)
	outgoing.answer <- answer{response: response, err: err}
}

// rawResult is an undecoded result. Its type depends on the request.
type rawResult struct{ data []byte }

// UnmarshalJSON implements json.Unmarshaler.
func (r *rawResult) UnmarshalJSON(data []byte) error {
	r.data = append([]byte(nil), data...)
	return nil
}

// connect dials unless there is a connection or a dial failed less than
// dialBackoff ago.
func (l *link) connect(ctx context.Context) error {
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.close()
		default:
			return nil
		}
	}
	if time.Now().Before(l.retryAt) {
		return l.lastErr
	}
	conn, err := l.dial(ctx)
	if err != nil {
		l.options.Metrics.GetOrCreateCounter("oriolepost_peer_dial_errors_total").Inc()
		l.lastErr = err
		l.retryAt = time.Now().Add(dialBackoff)
		return err
	}
	l.timeoutCount = 0
	// A response is limited in size, but not by the budget: the instance asked for it.
	stream := newMessageStream(&countedConn{Conn: conn, metrics: l.options.Metrics}, nil)
	l.conn = jsonrpc2.NewConn(ctx, stream, dispatcher{handler: refuse}, jsonrpc2.SetLogger(discardLogger{}))
	return nil
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.options.Dial(ctx, l.address)
	if err != nil || l.options.TLS == nil {
		return conn, err
	}
	host, _, err := net.SplitHostPort(l.address)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	config := l.options.TLS.Clone()
	config.ServerName = host
	verify := config.VerifyConnection
	config.VerifyConnection = func(s tls.ConnectionState) error {
		// The library leaves the server name empty when it is an IP address.
		s.ServerName = host
		return verify(s)
	}
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return secure, nil
}

// refuse is the handler of outgoing connections, over which no requests are
// accepted.
func refuse(context.Context, Request) (Response, error) {
	return nil, &RefusedError{Code: CodeMalformed, Reason: "requests go to the peer address"}
}

// countedConn counts the bytes sent and received, and sets a timeout for each
// write.
type countedConn struct {
	net.Conn
	metrics *metrics.Set
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.GetOrCreateCounter("oriolepost_peer_received_bytes_total").Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.metrics.GetOrCreateCounter("oriolepost_peer_sent_bytes_total").Add(n)
	return n, err
}
