package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/oriolepost/oriolepost/httplisten"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/settings"
)

// Options are what the callers' side of an entry needs.
type Options struct {
	Instance string
	// Domain is the failure domain of the instance.
	Domain string
	// Boot differs each time the instance starts.
	Boot    string
	Address string
	// Mailbox belongs to the task that owns the entry's state.
	Mailbox chan<- Message
	// Propose commits a command of the ledger.
	Propose func(ctx context.Context, c record.Command) (record.Result, error)
	HTTP    settings.HTTP
	Metrics *metrics.Set
	Tracer  trace.Tracer
}

// Server takes the callers' calls.
type Server struct {
	options  Options
	listener *httplisten.Listener
	nextID   atomic.Uint64
	running  atomic.Int64
	// draining asks callers to close their connections with each answer.
	draining atomic.Bool
	// states tells the task that owns the unused connections of changes.
	states      chan connState
	closeUnused func()
	// done is closed when the server has stopped.
	done chan struct{}
}

// connState is a change of a caller's connection.
type connState struct {
	conn  net.Conn
	state http.ConnState
}

// Listen starts to take calls.
func Listen(o Options) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen for callers: %w", err)
		}
	}()
	s = &Server{options: o, states: make(chan connState), done: make(chan struct{})}
	stopping := make(chan struct{})
	s.closeUnused = sync.OnceFunc(func() { close(stopping) })
	go ownUnused(s.states, stopping, s.done)
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	s.listener, err = httplisten.Start(o.Address, &http.Server{
		Handler:           mux,
		MaxHeaderBytes:    o.HTTP.MaxHeaderBytes,
		ReadHeaderTimeout: settings.Milliseconds(o.HTTP.HeaderMS),
		IdleTimeout:       settings.Milliseconds(o.HTTP.IdleMS),
		ConnState: func(c net.Conn, state http.ConnState) {
			select {
			case s.states <- connState{c, state}:
			case <-s.done:
			}
		},
	}, o.Metrics)
	return s, err
}

// ownUnused owns the connections over which no request has come yet. The
// library's own graceful stop would wait five seconds for each of them.
func ownUnused(states <-chan connState, stopping, done <-chan struct{}) {
	unused := map[net.Conn]bool{}
	for {
		select {
		case s := <-states:
			if s.state == http.StateNew {
				unused[s.conn] = true
			} else {
				delete(unused, s.conn)
			}
		case <-done:
			return
		case <-stopping:
			stopping = nil
			for c := range unused {
				_ = c.Close()
			}
		}
	}
}

// Drain asks callers, with each answer, to close their connections.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop ends the calls gracefully and then closes the listener. Calls that
// outlast the context are aborted.
func (s *Server) Stop(ctx context.Context) error {
	s.closeUnused()
	defer close(s.done)
	return s.listener.Stop(ctx)
}

// Running counts the calls that are not over.
func (s *Server) Running() int64 { return s.running.Load() }

func (s *Server) count(name string) { s.options.Metrics.GetOrCreateCounter(name).Inc() }

func (s *Server) observe(name string, d time.Duration) {
	s.options.Metrics.GetOrCreateHistogram(name).Update(d.Seconds())
}
