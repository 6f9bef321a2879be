package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/connlimit"
	"github.com/oriolepost/oriolepost/timer"
)

// Handler handles the requests of other instances. Each request with a response
// is handled in a goroutine of its own. Requests without a response are handled
// one after the other, in the order in which they arrive over a connection, so
// the handler must not block on those.
type Handler func(ctx context.Context, r Request) (Response, error)

// Server is a task that accepts and owns the connections of other instances.
type Server struct {
	listener net.Listener
	handler  Handler
	metrics  *metrics.Set
	budget   *budget.Budget
	done     chan struct{}
}

// Listen starts a server at an address (IP:port). It stops when the context ends.
func Listen(ctx context.Context, address string, options Options, handler Handler) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen for peers on %s: %w", address, err)
		}
	}()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	listener = connlimit.Listen(listener, options.MaxConns, options.metrics(), "oriolepost_peer_connections_evicted_total")
	if options.TLS != nil {
		listener = tls.NewListener(listener, options.TLS)
	}
	s = &Server{listener: listener, handler: handler, metrics: options.metrics(), budget: options.Budget, done: make(chan struct{})}
	accepted := make(chan net.Conn)
	go s.accept(ctx, accepted)
	go s.run(ctx, accepted)
	return s, nil
}

// Done returns a channel that is closed when the server has stopped and all its
// connections are closed.
func (s *Server) Done() <-chan struct{} { return s.done }

func (s *Server) accept(ctx context.Context, accepted chan<- net.Conn) {
	defer close(accepted)
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.metrics.GetOrCreateCounter("oriolepost_peer_accept_errors_total").Inc()
			timer.Pause(ctx, acceptRetryDelay)
			continue
		}
		select {
		case accepted <- conn:
		case <-ctx.Done():
			_ = conn.Close()
		}
	}
}

// acceptRetryDelay is the pause after a failed accept. The common cause is a lack of file
// descriptors, which lasts.
const acceptRetryDelay = 20 * time.Millisecond

// run owns the connections. When the context ends, it closes the listener and
// all connections.
func (s *Server) run(ctx context.Context, accepted <-chan net.Conn) {
	defer close(s.done)
	conns := map[*jsonrpc2.Conn]bool{}
	disconnected := make(chan *jsonrpc2.Conn)
	stop := ctx.Done()
	for accepted != nil || len(conns) > 0 {
		select {
		case conn, ok := <-accepted:
			if !ok {
				accepted = nil
				continue
			}
			rpc := s.serve(ctx, conn)
			conns[rpc] = true
			go func() {
				<-rpc.DisconnectNotify()
				disconnected <- rpc
			}()
		case rpc := <-disconnected:
			delete(conns, rpc)
		case <-stop:
			stop = nil
			_ = s.listener.Close()
			for rpc := range conns {
				_ = rpc.Close()
			}
		}
	}
}

func (s *Server) serve(ctx context.Context, c net.Conn) *jsonrpc2.Conn {
	stream := newMessageStream(&countedConn{Conn: c, metrics: s.metrics}, s.budget)
	return jsonrpc2.NewConn(ctx, stream, dispatcher{handler: s.handler, stream: stream}, jsonrpc2.SetLogger(discardLogger{}))
}

// dispatcher decodes requests, passes them to the handler, and sends the
// responses.
type dispatcher struct {
	handler Handler
	// stream is that of the connection; nil on outgoing ones.
	stream *messageStream
}

// Handle implements jsonrpc2.Handler.
func (d dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, rpcRequest *jsonrpc2.Request) {
	hold := d.stream.takeHold()
	if rpcRequest.Notif {
		defer hold.Release()
		if request, err := decodeRequest(rpcRequest.Method, params(rpcRequest)); err == nil {
			_, _ = d.handler(ctx, request)
		}
		return
	}
	go func() {
		defer hold.Release()
		result, err := d.respond(ctx, rpcRequest)
		if err != nil {
			_ = conn.ReplyWithError(ctx, rpcRequest.ID, encodeError(err))
			return
		}
		_ = conn.Reply(ctx, rpcRequest.ID, result)
	}()
}

func (d dispatcher) respond(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	request, err := decodeRequest(r.Method, params(r))
	if err != nil {
		return nil, err
	}
	response, err := d.handler(ctx, request)
	if err != nil {
		return nil, err
	}
	return encodeResponse(response)
}

func params(r *jsonrpc2.Request) []byte {
	if r.Params == nil {
		return nil
	}
	return *r.Params
}

// discardLogger discards the library's log lines. Failed dials and accepts, and
// connections that are closed after timeouts, are counted instead.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...interface{}) {}
