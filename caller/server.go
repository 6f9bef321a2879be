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

// Options are the settings and dependencies of a Server.
type Options struct {
	Instance string
	// Domain is the failure domain of the instance.
	Domain string
	// BootID is an id that differs each time the instance starts.
	BootID  string
	Address string
	// Mailbox is that of the task that owns the entry's state.
	Mailbox chan<- Message
	// Propose commits a command of the idempotency ledger and returns its result.
	Propose func(ctx context.Context, c record.Command) (record.Result, error)
	HTTP    settings.HTTP
	Metrics *metrics.Set
	Tracer  trace.Tracer
	// Limits limit the connections and what is buffered of bodies.
	Limits httplisten.Limits
}

// Server accepts and serves the calls of callers.
type Server struct {
	options  Options
	listener *httplisten.Listener
	nextID   atomic.Uint64
	running  atomic.Int64
	// draining is true when every response asks the caller to close its
	// connection.
	draining atomic.Bool
	// connStates carries changes of connections to the task that owns the new
	// connections.
	connStates chan connState
	// closeNewConnections makes that task close them.
	closeNewConnections func()
	// done is closed when the server has stopped.
	done chan struct{}
}

// connState is the new state of a caller's connection.
type connState struct {
	conn  net.Conn
	state http.ConnState
}

// Listen starts a server at the address of the options.
func Listen(options Options) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen for callers: %w", err)
		}
	}()
	s = &Server{options: options, connStates: make(chan connState), done: make(chan struct{})}
	stopping := make(chan struct{})
	s.closeNewConnections = sync.OnceFunc(func() { close(stopping) })
	go trackNewConnections(s.connStates, stopping, s.done)
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	s.listener, err = httplisten.StartLimited(options.Address, &http.Server{
		Handler:           mux,
		MaxHeaderBytes:    options.HTTP.MaxHeaderBytes,
		ReadHeaderTimeout: settings.Milliseconds(options.HTTP.HeaderMS),
		IdleTimeout:       settings.Milliseconds(options.HTTP.IdleMS),
		ConnState: func(c net.Conn, state http.ConnState) {
			select {
			case s.connStates <- connState{c, state}:
			case <-s.done:
			}
		},
	}, options.Metrics, options.Limits)
	return s, err
}

// trackNewConnections owns the connections over which no request has arrived yet,
// and closes them when stopping is closed. The graceful shutdown of net/http would
// wait until each of them is five seconds old.
func trackNewConnections(states <-chan connState, stopping, done <-chan struct{}) {
	newConnections := map[net.Conn]bool{}
	for {
		select {
		case s := <-states:
			if s.state == http.StateNew {
				newConnections[s.conn] = true
			} else {
				delete(newConnections, s.conn)
			}
		case <-done:
			return
		case <-stopping:
			stopping = nil
			for c := range newConnections {
				_ = c.Close()
			}
		}
	}
}

// Drain makes each response ask the caller to close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop shuts the server down gracefully: it closes the listener and waits for the
// running calls. Calls that are not complete when the context ends are aborted.
func (s *Server) Stop(ctx context.Context) error {
	s.closeNewConnections()
	defer close(s.done)
	return s.listener.Stop(ctx)
}

// Running returns the number of calls that are not complete, including results
// that are still being stored.
func (s *Server) Running() int64 { return s.running.Load() }

func (s *Server) count(name string) { s.options.Metrics.GetOrCreateCounter(name).Inc() }

func (s *Server) observe(name string, d time.Duration) {
	s.options.Metrics.GetOrCreateHistogram(name).Update(d.Seconds())
}
