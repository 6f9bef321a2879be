// Package platformhttp serves the HTTP interface for the platform that the
// instances run on. The platform has a load balancer of its own in front of the
// instances. It asks for readiness here, and forwards the announcements of
// servers. Liveness and metrics are served on the same address.
//
//	GET  /ready        200 when calls should be sent here, else 503
//	GET  /live         200 while the process serves requests
//	GET  /metrics      all metrics in the Prometheus text format
//	POST /v1/announce  a server's announcement; 200 when it was accepted
//
// # Usage
//
//	s, err := platformhttp.Listen(platformhttp.Options{Address: address, Announce: announce})
package platformhttp

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
	// maxAnnouncementBytes is the maximum size of an announcement.
	maxAnnouncementBytes = 16 << 10
)

// Options configure the platform's interface of an instance.
type Options struct {
	Address string
	// Announce delivers an announcement to the instance. It returns false when
	// the instance is not ready or too busy to accept it.
	Announce func(ctx context.Context, a membership.Announcement) bool
	Metrics  *metrics.Set
	// Limits limit the connections and what is buffered of announcements.
	Limits httplisten.Limits
}

// Server serves the platform's requests.
type Server struct {
	options  Options
	listener *httplisten.Listener
	ready    atomic.Bool
}

// Listen starts the server. Until SetReady is called it reports that the
// instance is not ready.
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
	s.listener, err = httplisten.StartLimited(o.Address, &http.Server{Handler: mux, ReadHeaderTimeout: httplisten.HeaderTimeout, ReadTimeout: httplisten.HeaderTimeout, IdleTimeout: httplisten.IdleTimeout}, o.Metrics, o.Limits)
	return s, err
}

// SetReady sets whether the platform's load balancer should send calls to this
// instance.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Ready reports whether the platform's load balancer should send calls to this
// instance.
func (s *Server) Ready() bool { return s.ready.Load() }

// Stop closes the listener and waits for the requests in progress, up to the
// end of the context.
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
	data, hold, err := httplisten.ReadBody(w, r, maxAnnouncementBytes, s.options.Limits.Budget)
	if err != nil {
		writeError(w, httplisten.BodyStatus(err), err)
		return
	}
	defer hold.Release()
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
