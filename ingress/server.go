package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/timer"
)

// Options are what the callers' side of an entry needs.
type Options struct {
	Address string
	Names   header.Names
	Post    Post
	// Table gives the newest routes; nil before the first configuration.
	Table   func() *route.Table
	Metrics *metrics.Set
}

// Server takes the callers' connections.
type Server struct {
	options  Options
	listener net.Listener
	draining atomic.Bool
	opened   chan net.Conn
	closed   chan net.Conn
	drain    chan struct{}
	// Done is closed when the server drains and all connections have ended.
	Done chan struct{}
}

// Listen starts to take connections.
func Listen(o Options) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen for callers on %s: %w", o.Address, err)
		}
	}()
	s = &Server{
		options: o, opened: make(chan net.Conn), closed: make(chan net.Conn),
		drain: make(chan struct{}, 1), Done: make(chan struct{}),
	}
	if s.listener, err = net.Listen("tcp", o.Address); err != nil {
		return nil, err
	}
	go s.own()
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
			timer.Pause(context.Background(), acceptPause)
			continue
		}
		s.opened <- c
		go func() {
			s.serve(c)
			s.closed <- c
		}()
	}
}

// acceptPause is the pause after a failed accept, which is mostly for want of
// descriptors.
const acceptPause = 20 * time.Millisecond

// own owns the set of connections.
func (s *Server) own() {
	conns := map[net.Conn]bool{}
	opened := s.opened
	for opened != nil || len(conns) > 0 {
		select {
		case c, ok := <-opened:
			if !ok {
				opened = nil
				continue
			}
			conns[c] = true
		case c := <-s.closed:
			delete(conns, c)
		case <-s.drain:
			s.draining.Store(true)
			for c := range conns {
				// Wakes the readers that wait for a request.
				_ = c.SetReadDeadline(time.Now())
			}
		}
	}
	close(s.Done)
}

// Drain ends connections once what was read on them is answered. New ones are
// still taken, for one request each.
func (s *Server) Drain() { s.drain <- struct{}{} }

// CloseListener takes no more connections.
func (s *Server) CloseListener() error { return s.listener.Close() }
