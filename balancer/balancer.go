// Package balancer answers the platform that the instances run on: readiness
// for its balancer, liveness, metrics, and the servers' announcements, which
// come through that balancer too.
//
//	GET  /ready        200 when calls should be sent here, else 503
//	GET  /live         200 while the process serves
//	GET  /metrics      all counters in the Prometheus text format
//	POST /v1/announce  a server's announcement; 200 when it was taken
//
// # Usage
//
//	s, err := balancer.Listen(balancer.Options{Address: address, Announce: announce})
package balancer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepost/oriolepost/httplisten"
	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/membership"
)

const (
	// maxAnnouncement bounds an announcement in bytes.
	maxAnnouncement = 16 << 10
)

// Options are what the platform's side of an instance needs.
type Options struct {
	Address string
	// Announce passes an announcement on; false means that the instance is
	// too busy to take it.
	Announce func(ctx context.Context, a membership.Announcement) bool
	Metrics  *metrics.Set
}

// Server answers the platform.
type Server struct {
	options  Options
	listener *httplisten.Listener
	ready    atomic.Bool
}

// Listen starts to answer. The instance is not ready at first.
func Listen(o Options) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen for the platform: %w", err)
		}
	}()
	s = &Server{options: o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", s.serveReady)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "live\n") })
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.HandleFunc("POST /v1/announce", s.serveAnnounce)
	s.listener, err = httplisten.Start(o.Address, &http.Server{Handler: mux, ReadHeaderTimeout: httplisten.HeaderTimeout, ReadTimeout: httplisten.HeaderTimeout, IdleTimeout: httplisten.IdleTimeout}, o.Metrics)
	return s, err
}

// SetReady says whether the balancer should send calls.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready reports whether the balancer should send calls.
func (s *Server) Ready() bool { return s.ready.Load() }

// Stop closes the listener.
func (s *Server) Stop(ctx context.Context) error {
	return s.listener.Stop(ctx)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		writeText(w, http.StatusServiceUnavailable, "not ready\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	s.options.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (s *Server) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return
	}
	var a membership.Announcement
	if err := jsonform.DecodeStrict("announcement", data, &a); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if err := a.Check(); err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	if !s.options.Announce(r.Context(), a) {
		writeError(w, http.StatusServiceUnavailable, errors.New("instance is busy"))
		return
	}
	writeText(w, http.StatusOK, `{"accepted":true}`+"\n")
}

func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(struct {
		Error string `json:"error"`
	}{err.Error()})
}
