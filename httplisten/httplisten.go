// Package httplisten starts and stops the HTTP servers of an instance.
//
// Errors of single connections are counted in a metric instead of logged. A
// stop waits for the requests in progress until its context ends, and then aborts
// them.
//
// # Usage
//
//	l, err := httplisten.Start(address, &http.Server{Handler: mux}, set)
//	...
//	err = l.Stop(ctx)
package httplisten

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepost/oriolepost/connlimit"
)

const (
	// HeaderTimeout is the default limit for reading the header of a request.
	HeaderTimeout = 5 * time.Second
	// IdleTimeout is the default limit for the time between two requests on a
	// connection.
	IdleTimeout = time.Minute
)

// Listener is an HTTP server that is listening.
type Listener struct {
	http *http.Server
	// serveResult receives the error with which the server ended.
	serveResult chan error
}

// errorCounter counts the lines that net/http would log. An error on a single
// connection does not change the state of the instance, so it is not logged.
type errorCounter struct{ errors *metrics.Counter }

// Write implements io.Writer.
func (c errorCounter) Write(line []byte) (int, error) {
	c.errors.Inc()
	return len(line), nil
}

// Start listens on an address and serves requests in a new goroutine. Errors
// of connections are counted in m.
func Start(address string, s *http.Server, m *metrics.Set) (*Listener, error) {
	return StartLimited(address, s, m, Limits{})
}

// StartLimited is [Start] with limits on the connections.
func StartLimited(address string, s *http.Server, m *metrics.Set, limits Limits) (*Listener, error) {
	s.ErrorLog = log.New(errorCounter{m.GetOrCreateCounter("oriolepost_http_errors_total")}, "", 0)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if limits.WriteTimeout > 0 {
		s.WriteTimeout = limits.WriteTimeout
	}
	if limits.MaxConns > 0 {
		if s.MaxHeaderBytes == 0 {
			s.MaxHeaderBytes = maxHeaderBytes
		}
		trackActivity(s)
		limitHeaders(s, limits.Budget)
		l = connlimit.Listen(l, limits.MaxConns, m, "oriolepost_http_connections_evicted_total")
	}
	listener := &Listener{http: s, serveResult: make(chan error, 1)}
	go func() { listener.serveResult <- s.Serve(l) }()
	return listener, nil
}

// Stop closes the listener and waits for the requests in progress. Requests
// that are still running when the context ends are aborted.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, l.http.Close())
	}
	if served := <-l.serveResult; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}
