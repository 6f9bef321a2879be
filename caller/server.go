package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.opentelemetry.io/otel/trace"

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
	options Options
	http    *http.Server
	nextID  atomic.Uint64
	running atomic.Int64
	stopped chan error
}

// Listen starts to take calls.
func Listen(o Options) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen for callers: %w", err)
		}
	}()
	listener, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, err
	}
	s = &Server{options: o, stopped: make(chan error, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{
		Handler:           mux,
		MaxHeaderBytes:    o.HTTP.MaxHeaderBytes,
		ReadHeaderTimeout: settings.Milliseconds(o.HTTP.HeaderMS),
		IdleTimeout:       settings.Milliseconds(o.HTTP.IdleMS),
		ErrorLog:          nil,
	}
	go func() { s.stopped <- s.http.Serve(listener) }()
	return s, nil
}

// Stop ends the calls gracefully and then closes the listener. Calls that
// outlast the context are aborted.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, s.http.Close())
	}
	if served := <-s.stopped; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}

// Running counts the calls that are not over.
func (s *Server) Running() int64 { return s.running.Load() }

func (s *Server) count(name string) { s.options.Metrics.GetOrCreateCounter(name).Inc() }

func (s *Server) observe(name string, d time.Duration) {
	s.options.Metrics.GetOrCreateHistogram(name).Update(d.Seconds())
}
