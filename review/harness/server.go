//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// server is a stand-in for a server of the users. It follows the page on the protocol: it
// runs what it gets, signs its answers, and tells its load.
type server struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	sequence                   atomic.Uint64
	running                    atomic.Int32
	draining                   atomic.Bool
	http                       *http.Server
	listener                   net.Listener
	handler                    func(s *server, w http.ResponseWriter, r *http.Request)
	stop                       context.CancelFunc
}

// startServer starts a server and its heartbeats.
func (s *system) startServer(n int, service string, slots int, handler func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	v := &server{
		id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zones[n%len(zones)], address: net.JoinHostPort(s.prefix+strconv.Itoa(firstServer+n), strconv.Itoa(s.port+serverOffset)),
		slots: slots, born: time.Now().UnixMilli(), handler: handler,
	}
	var err error
	if v.listener, err = net.Listen("tcp", v.address); err != nil {
		return nil, err
	}
	v.http = &http.Server{Handler: v, IdleTimeout: 10 * time.Second}
	go func() { _ = v.http.Serve(v.listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = func() { cancel(); _ = v.http.Close() }
	go v.beat(ctx, s)
	return v, nil
}

func (v *server) beat(ctx context.Context, s *system) {
	for i := 0; ctx.Err() == nil; i++ {
		c := s.controls[i%len(s.controls)]
		status, _ := call(time.Second, http.MethodPost, "http://"+c.address()+"/api/Instances.Heartbeat/"+v.id, v.heartbeat())
		if status != 200 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (v *server) heartbeat() map[string]any {
	state := "ready"
	if v.draining.Load() {
		state = "draining"
	}
	return map[string]any{
		"address": v.address, "born": v.born,
		"info":   map[string]any{"service": v.service, "version": "v1", "zone": v.zone, "max_concurrency": v.slots},
		"status": map[string]any{"state": state, "sequence": v.sequence.Add(1), "slow_start_ms": 0},
	}
}

// ServeHTTP implements http.Handler.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Oriolepost-Instance-Id", v.id)
	h.Set("Oriolepost-Server-Load", fmt.Sprintf("%d,0,%d,100", v.running.Load(), v.slots))
	if r.URL.Path == "/health" {
		if v.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Oriolepost-Request-Id")
	h.Set("Oriolepost-Request-Id", id)
	if target := r.Header.Get("Oriolepost-Target-Instance"); target != "" && target != v.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// A request whose body did not come whole is not run.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if int(v.running.Add(1)) > v.slots {
		v.running.Add(-1)
		h.Set("Oriolepost-Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer v.running.Add(-1)
	h.Set("Oriolepost-Response-Signature", "3e1b.07."+id)
	v.handler(v, w, r)
}

// plain answers at once.
func plain(_ *server, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done\n") }
