package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/jsonrpc2"
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
	if options.TLS != nil {
		listener = tls.NewListener(listener, options.TLS)
	}
	s = &Server{listener: listener, handler: handler, metrics: options.metrics(), done: make(chan struct{})}
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
			continue
		}
		select {
		case accepted <- conn:
		case <-ctx.Done():
			_ = conn.Close()
		}
	}
}

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
	stream := jsonrpc2.NewPlainObjectStream(&countedConn{Conn: c, metrics: s.metrics})
	return jsonrpc2.NewConn(ctx, stream, dispatcher{s.handler}, jsonrpc2.SetLogger(discardLogger{}))
}

// dispatcher decodes requests, passes them to the handler, and sends the
// responses.
type dispatcher struct{ handler Handler }

// Handle implements jsonrpc2.Handler.
func (d dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, rpcRequest *jsonrpc2.Request) {
	if rpcRequest.Notif {
		if request, err := decodeRequest(rpcRequest.Method, params(rpcRequest)); err == nil {
			_, _ = d.handler(ctx, request)
		}
		return
	}
	go func() {
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
