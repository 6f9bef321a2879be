package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/timer"
)

// Options configure the server for the callers of an entry.
type Options struct {
	Address   string
	Names     header.Names
	Callbacks Callbacks
	// Table returns the newest routing table; nil before the first configuration.
	Table func() *route.Table
	// TableConfirmed reports whether that table is known to be the newest.
	TableConfirmed func() bool
	// Configured is closed once the server has a routing table, and its keys are valid if
	// requests need one.
	Configured <-chan struct{}
	// KeysValid reports whether the keys in that table may still be relied on.
	KeysValid func() bool
	Metrics   *metrics.Set
	// Budget limits what is buffered for callers; nil means no limit.
	Budget *budget.Budget
	// MaxConns limits the open connections; zero means no limit.
	MaxConns int
}

// Server accepts the callers' connections.
type Server struct {
	options   Options
	startedAt time.Time
	listener  net.Listener
	// draining is true once the server drains; the tasks of the connections read
	// it.
	draining atomic.Bool
	// opened and closed report connections to the task that tracks them.
	opened chan *conn
	closed chan *conn
	drain  chan struct{}
	// Done is closed when the listener is closed and all connections have ended.
	Done chan struct{}
}

// Listen starts to accept connections.
func Listen(o Options) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen for callers on %s: %w", o.Address, err)
		}
	}()
	s = &Server{
		options: o, startedAt: time.Now(), opened: make(chan *conn), closed: make(chan *conn),
		drain: make(chan struct{}, 1), Done: make(chan struct{}),
	}
	if s.listener, err = net.Listen("tcp", o.Address); err != nil {
		return nil, err
	}
	go s.trackConnections()
	go s.accept()
	return s, nil
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			close(s.opened)
			return
		}
		if err != nil {
			s.options.Metrics.GetOrCreateCounter("oriolepost_caller_accept_errors_total").Inc()
			timer.Pause(context.Background(), acceptRetryDelay)
			continue
		}
		opened := s.newConn(c)
		s.opened <- opened
		go func() {
			opened.serve()
			s.closed <- opened
		}()
	}
}

// acceptRetryDelay is the pause after a failed accept. The common cause is a lack
// of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// trackConnections is the task that owns the set of open connections.
func (s *Server) trackConnections() {
	conns := map[*conn]bool{}
	opened := s.opened
	for opened != nil || len(conns) > 0 {
		select {
		case c, ok := <-opened:
			if !ok {
				opened = nil
				continue
			}
			conns[c] = true
			s.limitConns(conns, c)
		case c := <-s.closed:
			delete(conns, c)
		case <-s.drain:
			s.draining.Store(true)
			for c := range conns {
				// Interrupts the readers that wait for a request; see drainableSource.
				_ = c.SetReadDeadline(time.Now())
			}
		}
	}
	close(s.Done)
}

// Drain closes each connection once all requests that were read on it are
// answered. A request that has only been read in part is read to its end and
// served. A connection that is idle after a response is closed immediately. One on
// which no request was sent yet, or that is opened during the drain, may still send
// one request.
func (s *Server) Drain() { s.drain <- struct{}{} }

// CloseListener stops accepting connections.
func (s *Server) CloseListener() error { return s.listener.Close() }
