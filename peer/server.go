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

// Handler answers the requests of other instances. It is called for each
// request that wants a response in a goroutine of its own, and for the others
// in the order in which they arrive, so it must not block on those.
type Handler func(ctx context.Context, r Request) (Response, error)

// Server is a task that accepts the other instances' connections.
type Server struct {
	listener net.Listener
	handler  Handler
	metrics  *metrics.Set
	done     chan struct{}
}

// Listen starts a server. It stops when the context ends.
func Listen(ctx context.Context, address string, o Options, h Handler) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen for peers on %s: %w", address, err)
		}
	}()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if o.TLS != nil {
		l = tls.NewListener(l, o.TLS)
	}
	s = &Server{listener: l, handler: h, metrics: o.metrics(), done: make(chan struct{})}
	accepted := make(chan net.Conn)
	go s.accept(ctx, accepted)
	go s.run(ctx, accepted)
	return s, nil
}

// Done is closed when all connections are closed.
func (s *Server) Done() <-chan struct{} { return s.done }

func (s *Server) accept(ctx context.Context, accepted chan<- net.Conn) {
	defer close(accepted)
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.metrics.GetOrCreateCounter("oriolepost_peer_accept_errors_total").Inc()
			continue
		}
		select {
		case accepted <- c:
		case <-ctx.Done():
			_ = c.Close()
		}
	}
}

// run owns the connections until the context ends.
func (s *Server) run(ctx context.Context, accepted <-chan net.Conn) {
	defer close(s.done)
	conns := map[*jsonrpc2.Conn]bool{}
	gone := make(chan *jsonrpc2.Conn)
	stop := ctx.Done()
	for accepted != nil || len(conns) > 0 {
		select {
		case c, ok := <-accepted:
			if !ok {
				accepted = nil
				continue
			}
			rpc := s.serve(ctx, c)
			conns[rpc] = true
			go func() {
				<-rpc.DisconnectNotify()
				gone <- rpc
			}()
		case rpc := <-gone:
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
	return jsonrpc2.NewConn(ctx, stream, dispatcher{s.handler}, jsonrpc2.SetLogger(silent{}))
}

// dispatcher hands requests to the handler.
type dispatcher struct{ handler Handler }

// Handle implements jsonrpc2.Handler.
func (d dispatcher) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Notif {
		if request, err := decodeRequest(r.Method, params(r)); err == nil {
			_, _ = d.handler(ctx, request)
		}
		return
	}
	go func() {
		result, err := d.respond(ctx, r)
		if err != nil {
			_ = c.ReplyWithError(ctx, r.ID, wireError(err))
			return
		}
		_ = c.Reply(ctx, r.ID, result)
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

// silent drops the library's log lines: lost connections are counted.
type silent struct{}

// Printf implements jsonrpc2.Logger.
func (silent) Printf(string, ...interface{}) {}
