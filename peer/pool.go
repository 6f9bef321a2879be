package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepost/oriolepost/tcp"
)

const (
	// poolMailbox and linkMailbox bound the messages that wait.
	poolMailbox = 1024
	linkMailbox = 512
	// dialTimeout bounds the time to reach another instance: several times the
	// way between failure domains. One that is down is passed over quickly.
	dialTimeout = 150 * time.Millisecond
	// dialPause is the pause after a failed dial.
	dialPause = 40 * time.Millisecond
	// writeTimeout bounds a write to an instance that does not read.
	writeTimeout = time.Second
	// maxTimeouts is how many calls in a row may time out before the
	// connection counts as dead.
	maxTimeouts = 2
)

// Options are what peers need to talk.
type Options struct {
	// TLS is nil for plain text.
	TLS *tls.Config
	// Dial opens connections; nil means TCP. Tests put in one that cuts.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Metrics gets the counters; nil drops them.
	Metrics *metrics.Set
}

func (o Options) metrics() *metrics.Set {
	if o.Metrics == nil {
		return metrics.NewSet()
	}
	return o.Metrics
}

// Pool is a task that owns the links to other instances.
type Pool struct {
	options Options
	mailbox chan message
	ctx     context.Context
}

// message is a request on its way to a link.
type message struct {
	ctx     context.Context
	address string
	request Request
	// answer is nil for requests without a response. It has room for one.
	answer chan answer
}

type answer struct {
	response Response
	err      error
}

func (m message) fail(err error) {
	if m.answer != nil {
		m.answer <- answer{err: err}
	}
}

// NewPool starts a pool. It stops when the context ends.
func NewPool(ctx context.Context, o Options) *Pool {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	o.Metrics = o.metrics()
	p := &Pool{options: o, mailbox: make(chan message, poolMailbox), ctx: ctx}
	go p.run()
	return p
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return tcp.Dial(ctx, address, dialTimeout)
}

// Call sends a request and waits for its response or the context's end.
func (p *Pool) Call(ctx context.Context, address string, r Request) (Response, error) {
	m := message{ctx: ctx, address: address, request: r, answer: make(chan answer, 1)}
	p.post(m)
	select {
	case a := <-m.answer:
		return a.response, a.err
	case <-ctx.Done():
		return nil, &UnreachableError{Address: address, Cause: ctx.Err()}
	case <-p.ctx.Done():
		return nil, &UnreachableError{Address: address, Cause: p.ctx.Err()}
	}
}

// Notify sends a request that has no response. It may be lost.
func (p *Pool) Notify(address string, r Request) {
	p.post(message{ctx: p.ctx, address: address, request: r})
}

func (p *Pool) post(m message) {
	select {
	case p.mailbox <- m:
	default:
		p.dropped(m)
	}
}

func (p *Pool) dropped(m message) {
	p.options.Metrics.GetOrCreateCounter("oriolepost_peer_messages_dropped_total").Inc()
	m.fail(&OverloadError{Address: m.address})
}

func (p *Pool) run() {
	links := map[string]chan message{}
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-p.mailbox:
			mailbox := links[m.address]
			if mailbox == nil {
				mailbox = make(chan message, linkMailbox)
				links[m.address] = mailbox
				l := &link{address: m.address, options: p.options, timeouts: make(chan *jsonrpc2.Conn, linkMailbox)}
				go l.run(p.ctx, mailbox)
			}
			select {
			case mailbox <- m:
			default:
				p.dropped(m)
			}
		}
	}
}

// link is a task that owns the connection to one address.
type link struct {
	address  string
	options  Options
	conn     *jsonrpc2.Conn
	retryAt  time.Time
	lastErr  error
	timeouts chan *jsonrpc2.Conn
	timedOut int
}

func (l *link) run(ctx context.Context, mailbox <-chan message) {
	defer l.close()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-l.timeouts:
			l.countTimeout(c)
		case m := <-mailbox:
			l.send(ctx, m)
		}
	}
}

func (l *link) close() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// countTimeout closes a connection over which nothing comes back.
func (l *link) countTimeout(c *jsonrpc2.Conn) {
	if c != l.conn {
		return
	}
	l.timedOut++
	if l.timedOut >= maxTimeouts {
		l.options.Metrics.GetOrCreateCounter("oriolepost_peer_connections_given_up_total").Inc()
		l.close()
	}
}

func (l *link) send(ctx context.Context, m message) {
	if m.ctx.Err() != nil {
		m.fail(&UnreachableError{Address: l.address, Cause: m.ctx.Err()})
		return
	}
	if err := l.connect(ctx); err != nil {
		m.fail(&UnreachableError{Address: l.address, Cause: err})
		return
	}
	method, params, notify, err := encodeRequest(m.request)
	if err != nil {
		m.fail(err)
		return
	}
	if notify {
		l.closeOn(l.conn.Notify(m.ctx, method, params))
		return
	}
	waiter, err := l.conn.DispatchCall(m.ctx, method, params)
	if err != nil {
		l.closeOn(err)
		m.fail(&UnreachableError{Address: l.address, Cause: err})
		return
	}
	go await(l.conn, waiter, m, l.timeouts)
}

func (l *link) closeOn(err error) {
	if err != nil {
		l.close()
	}
}

// await waits for the response of one call.
func await(c *jsonrpc2.Conn, w jsonrpc2.Waiter, m message, timeouts chan<- *jsonrpc2.Conn) {
	var result rawResult
	err := w.Wait(m.ctx, &result)
	if errors.Is(err, context.DeadlineExceeded) {
		select {
		case timeouts <- c:
		default:
		}
	}
	if errors.Is(err, jsonrpc2.ErrClosed) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		m.fail(&UnreachableError{Address: m.address, Cause: err})
		return
	}
	if err != nil {
		m.fail(peerError(err))
		return
	}
	response, err := decodeResponse(m.request, result.data)
	m.answer <- answer{response: response, err: err}
}

// rawResult keeps a result undecoded.
type rawResult struct{ data []byte }

// UnmarshalJSON implements json.Unmarshaler.
func (r *rawResult) UnmarshalJSON(data []byte) error {
	r.data = append([]byte(nil), data...)
	return nil
}

// connect dials unless a connection stands or a dial failed just now.
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
	c, err := l.dial(ctx)
	if err != nil {
		l.options.Metrics.GetOrCreateCounter("oriolepost_peer_dial_errors_total").Inc()
		l.lastErr = err
		l.retryAt = time.Now().Add(dialPause)
		return err
	}
	l.timedOut = 0
	stream := jsonrpc2.NewPlainObjectStream(&countedConn{Conn: c, metrics: l.options.Metrics})
	l.conn = jsonrpc2.NewConn(ctx, stream, dispatcher{refuse}, jsonrpc2.SetLogger(silent{}))
	return nil
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := l.options.Dial(ctx, l.address)
	if err != nil || l.options.TLS == nil {
		return c, err
	}
	host, _, err := net.SplitHostPort(l.address)
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	cfg := l.options.TLS.Clone()
	cfg.ServerName = host
	verify := cfg.VerifyConnection
	cfg.VerifyConnection = func(s tls.ConnectionState) error {
		// The state lacks the name when it is an IP address.
		s.ServerName = host
		return verify(s)
	}
	secure := tls.Client(c, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return secure, nil
}

// refuse answers requests that come over an outgoing connection.
func refuse(context.Context, Request) (Response, error) {
	return nil, &RefusedError{Code: CodeMalformed, Reason: "requests go to the peer address"}
}

// countedConn counts bytes and bounds writes.
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
