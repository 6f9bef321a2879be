//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// server is a sound server of a service.
type server struct {
	system  *system
	id      string
	service string
	zone    string
	address string
	born    int64
	running atomic.Int64
	ran     atomic.Int64
	http    *http.Server
	stop    chan struct{}
	// other ends the heartbeats of another writer; nil without one.
	other chan struct{}
}

// serve starts a server that takes 20 ms for a request.
func (s *system) serve(id, service, zone string) (*server, error) {
	s.addresses++
	v := &server{
		system: s, id: id, service: service, zone: zone, address: fmt.Sprintf("%s.%d:8080", s.network, 100+s.addresses),
		born: time.Now().UnixMilli(), stop: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", v.address)
	if err != nil {
		return nil, err
	}
	v.http = &http.Server{Handler: v, IdleTimeout: 10 * time.Second}
	go func() { _ = v.http.Serve(listener) }()
	s.note("server %s of %s runs at %s, born %d", id, service, v.address, v.born)
	return v, nil
}

// ServeHTTP implements http.Handler.
func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, target := r.Header.Get("Oriolepost-Request-Id"), r.Header.Get("Oriolepost-Target-Instance")
	w.Header().Set("Oriolepost-Instance-Id", v.id)
	w.Header().Set("Oriolepost-Server-Load", fmt.Sprintf("%d,0,6,100", v.running.Load()))
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if id != "" {
		w.Header().Set("Oriolepost-Request-Id", id)
	}
	switch {
	case target != "" && target != v.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Oriolepost-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.running.Add(1)
	v.ran.Add(1)
	time.Sleep(20 * time.Millisecond)
	v.running.Add(-1)
	w.Header().Set("Oriolepost-Response-Signature", "s."+id)
	_, _ = io.WriteString(w, v.service+" "+id+"\n")
}

// heartbeat returns the body of a heartbeat.
func heartbeat(service, address, zone, state string, born int64, sequence int) string {
	return fmt.Sprintf(`{"address":"%s","born":%d,"info":{"service":"%s","version":"v1","zone":"%s","max_concurrency":6},`+
		`"status":{"state":"%s","sequence":%d,"slow_start_ms":0}}`, address, born, service, zone, state, sequence)
}

// announce sends heartbeats for this server to the control addresses in turn, in the name of
// its service and with its start, or in those of another writer.
func (v *server) announce(service string, born int64, at []*machine, stop <-chan struct{}) {
	go func() {
		for sequence := 1; ; sequence++ {
			m := at[sequence%len(at)]
			status, answer := v.system.operator(m, http.MethodPost, "/api/Instances.Heartbeat/"+v.id, heartbeat(service, v.address, v.zone, "ready", born, sequence))
			if sequence <= 3 || status != http.StatusOK {
				v.system.note("heartbeat %d of %s as %s, born %d, to %s: %d %s", sequence, v.id, service, born, m.name, status, strings.TrimSpace(answer))
			}
			select {
			case <-time.After(1500 * time.Millisecond):
			case <-stop:
				return
			}
		}
	}()
}

// request sends a safe request to a front as a client does, and returns the status.
func (s *system) request(front *machine, path string) (status int, answer string) {
	s.requests++
	id := fmt.Sprintf("%016x", s.requests)
	request, err := http.NewRequest(http.MethodGet, "http://"+front.frontAddr()+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "a.example"
	request.Header.Set("Oriolepost-Request-Id", id)
	request.Header.Set("Oriolepost-Deadline-Ms", "1500")
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	if response.StatusCode == http.StatusOK && response.Header.Get("Oriolepost-Response-Signature") == "" {
		return 0, "a success without a signature"
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

// otherWriter starts the heartbeats of another writer: an agent that knows the server under
// another service, and takes its own start for that of the server.
func (v *server) otherWriter(at []*machine) {
	v.other = make(chan struct{})
	v.announce("archive", v.born+60_000, at, v.other)
}

func (v *server) endOtherWriter() {
	if v.other != nil {
		close(v.other)
		v.other = nil
		v.system.note("the other writer sends no more for %s", v.id)
	}
}

// namedAsLeaving sends one heartbeat of that writer, with the state draining.
func (v *server) namedAsLeaving(at []*machine) bool {
	return within(4*time.Second, func() bool {
		status, answer := v.system.operator(at[0], http.MethodPost, "/api/Instances.Heartbeat/"+v.id, heartbeat("archive", v.address, v.zone, "draining", v.born+60_000, 1))
		v.system.note("heartbeat of the other writer for %s as archive, draining, born %d: %d %s", v.id, v.born+60_000, status, strings.TrimSpace(answer))
		return status == http.StatusOK
	})
}
