//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a sound server of the users: it checks that a request is for it, runs it, and
// signs its answer.
type server struct {
	record  *record
	id      string
	service string
	zone    string
	address string
	born    int64
	control []string

	http    *http.Server
	running atomic.Int64
	stop    chan struct{}
	once    sync.Once
	// ran is called for each request that begins to run.
	ran func(s *server, r *http.Request, body []byte)
}

// newServer starts a server at an address and its heartbeats.
func newServer(r *record, id, service, zone, at string, control []string, ran func(*server, *http.Request, []byte)) (*server, error) {
	s := &server{
		record: r, id: id, service: service, zone: zone, address: at, born: time.Now().UnixMilli(), control: control,
		stop: make(chan struct{}), ran: ran,
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	if control != nil {
		go s.beat()
	}
	r.add("server %s of %s in %s starts at %s", id, service, zone, at)
	return s, nil
}

func (s *server) end() {
	s.once.Do(func() {
		close(s.stop)
		_ = s.http.Close()
	})
}

// heartbeat returns the body of a heartbeat.
func (s *server) heartbeat(sequence int) map[string]any {
	return map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "max_concurrency": 6},
		"status": map[string]any{"state": "ready", "sequence": sequence, "slow_start_ms": 0},
	}
}

func (s *server) beat() {
	for sequence := 1; ; sequence++ {
		body, _ := json.Marshal(s.heartbeat(sequence))
		for i := range s.control {
			to := s.control[(sequence+i)%len(s.control)]
			if status, _ := call(http.MethodPost, to, "/api/Instances.Heartbeat/"+s.id, body, time.Second); status/100 == 2 {
				break
			}
		}
		select {
		case <-s.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Oriolepost-Instance-Id", s.id)
	h.Set("Oriolepost-Server-Load", fmt.Sprintf("%d,0,6,100", s.running.Load()))
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("Oriolepost-Request-Id")
	h.Set("Oriolepost-Request-Id", id)
	if target := r.Header.Get("Oriolepost-Target-Instance"); target != "" && target != s.id {
		h.Set("Oriolepost-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.running.Add(1) > 6 {
		s.running.Add(-1)
		h.Set("Oriolepost-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.ran(s, r, body)
	time.Sleep(20 * time.Millisecond)
	h.Set("Oriolepost-Response-Signature", "sig."+id)
	_, _ = fmt.Fprintf(w, "%s of %s answers %s\n", s.id, s.service, id)
}

// configuration returns a configuration with a route for each service: /NAME/ goes to the
// service NAME.
func configuration(version int, routeType string, services ...string) []byte {
	c := map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	var routes, list []map[string]any
	for _, name := range services {
		routes = append(routes, map[string]any{
			"name": "route-" + name, "host": "rounds.example", "path_prefix": "/" + name + "/", "route_type": routeType, "timeout_ms": 2500,
			"target_latency_ms": 800, "priority": 1, "service": name, "max_attempts": 2,
		})
		list = append(list, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 240, "protocol": "h1", "tls": false, "slow_start_s": 3.0, "warmup_per_s": 6.1,
		})
	}
	c["routes"], c["services"] = routes, list
	data, _ := json.Marshal(c)
	return data
}
