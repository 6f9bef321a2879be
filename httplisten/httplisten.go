// Package httplisten starts and stops the HTTP servers of an instance.
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
)

const (
	// HeaderTimeout bounds the time for a header where nobody states another.
	HeaderTimeout = 5 * time.Second
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout = time.Minute
)

// Listener is a server that listens.
type Listener struct {
	http    *http.Server
	stopped chan error
}

// counter counts the lines that the library would log: what goes wrong on
// single connections is no change of state.
type counter struct{ errors *metrics.Counter }

// Write implements io.Writer.
func (c counter) Write(line []byte) (int, error) {
	c.errors.Inc()
	return len(line), nil
}

// Start listens on an address and serves in a goroutine of its own.
func Start(address string, s *http.Server, m *metrics.Set) (*Listener, error) {
	s.ErrorLog = log.New(counter{m.GetOrCreateCounter("oriolepost_http_errors_total")}, "", 0)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	out := &Listener{http: s, stopped: make(chan error, 1)}
	go func() { out.stopped <- s.Serve(l) }()
	return out, nil
}

// Stop ends the requests gracefully. Those that outlast the context are
// aborted.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.http.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, l.http.Close())
	}
	if served := <-l.stopped; !errors.Is(served, http.ErrServerClosed) {
		err = errors.Join(err, served)
	}
	return err
}
