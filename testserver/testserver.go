// Package testserver is a test server. It behaves like the users' upstream servers:
// it has a limited number of slots and connections, starts cold, sheds load,
// drains, straggles, fails, reports its load with a delay, and records every run
// of a call.
//
// The response body is the request body, so that the load generator can check
// that a response is complete and belongs to its call. A run is recorded when it
// begins, with the number of calls running at that moment and the capacity of the
// server. A verdict on limits therefore does not depend on what the load balancer
// reports about itself.
//
// One task owns the state. The HTTP handlers request a slot from it and notify it
// when the run ends. Faults are set with [Server.SetFault] or over HTTP:
//
//	POST /oriolepost/standin  {"fault":"straggle","factor":10}
//	GET  /oriolepost/standin  counters of the runs
//
// # Usage
//
//	s, err := testserver.Start(testserver.Config{Name: "chart-1", Service: "records"})
//	s.SetFault(testserver.Straggle{Factor: 10})
//	report := s.Stop()
package testserver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"math"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Config describes a test server.
type Config struct {
	Name    string `json:"server"`
	Service string `json:"service"`
	Domain  string `json:"failure_domain"`
	// Address is the IP:port to listen on. Port 0 selects a free port.
	Address string `json:"address"`
	// Platforms are the platform addresses to announce to, used in turn.
	Platforms []string `json:"platforms"`
	// Slots is the number of calls that a warm server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections. Further
	// connections are closed.
	Connections int `json:"connections"`
	// ServiceMS is the mean service time.
	ServiceMS float64 `json:"service_ms"`
	// Spread is the standard deviation of the logarithm of the service time.
	Spread float64 `json:"spread"`
	// ColdMS is the time after a start during which the server is cold. A cold
	// server can run ColdSlots calls concurrently and crashes under more.
	ColdMS    int64 `json:"cold_ms"`
	ColdSlots int   `json:"cold_slots"`
	// DowntimeMS is the time for which a crashed server stays down: it closes
	// the connection of each call and does not announce itself.
	DowntimeMS int64 `json:"fall_ms"`
	// NetworkDelayUS is the one-way network delay between failure domains.
	NetworkDelayUS int64 `json:"distance_us"`
	// AnnounceMS is the interval between two announcements.
	AnnounceMS int64 `json:"announce_ms"`
	// StaleMS is the age of the load in announcements and in responses to
	// probes.
	StaleMS int64 `json:"stale_ms"`
	// RecordFile receives the runs as JSON lines. If it is empty, they are kept
	// in memory only.
	RecordFile string `json:"record_file"`
	Seed       uint64 `json:"seed"`
}

// Defaults returns a server with 6 slots and 250 connections, the limits of the
// users' servers.
func Defaults() Config {
	return Config{
		Name: "server-1", Service: "booking", Domain: "palermo", Address: "127.0.0.1:0",
		Slots: 6, Connections: 250, ServiceMS: 10, Spread: 0.4,
		ColdMS: 3000, ColdSlots: 1, DowntimeMS: 1000, AnnounceMS: 500, StaleMS: 200, Seed: 1,
	}
}

// Fault is a fault that is injected into a server.
//
//sumtype:decl
type Fault interface{ fault() }

// Healthy ends the current fault and a drain.
type Healthy struct{}

// Straggle multiplies the service time by Factor.
type Straggle struct{ Factor float64 }

// FailFast responds with status 500 without waiting for the service time.
type FailFast struct{}

// Reset runs the call and closes the connection without a response.
type Reset struct{}

// TruncateResponse closes the connection before the response body is complete.
type TruncateResponse struct{}

// DelayResponse delays each response after its run has ended.
type DelayResponse struct{ Delay time.Duration }

// ReportZeroLoad reports a load of 0, however many calls are running.
type ReportZeroLoad struct{}

// TurnCold makes a warm server cold again. The boot ID does not change, so the
// announcements do not show it.
type TurnCold struct{}

// Reboot closes all connections and starts the server again, cold and with a
// new boot ID.
type Reboot struct{}

// Drain announces that the server is leaving. The server still runs the calls
// that it receives. Every other fault except [TurnCold] ends the drain.
type Drain struct{}

// ShedAll sheds every call.
type ShedAll struct{}

func (Healthy) fault()          {}
func (Straggle) fault()         {}
func (FailFast) fault()         {}
func (Reset) fault()            {}
func (TruncateResponse) fault() {}
func (DelayResponse) fault()    {}
func (ReportZeroLoad) fault()   {}
func (TurnCold) fault()         {}
func (Reboot) fault()           {}
func (Drain) fault()            {}
func (ShedAll) fault()          {}

// Run is the record of one run of a call.
type Run struct {
	Server string `json:"server"`
	// Call is the caller's own ID of the call.
	Call string `json:"call"`
	// Key is the idempotency key, or empty.
	Key    string    `json:"key,omitempty"`
	Method string    `json:"method"`
	At     time.Time `json:"at"`
	// Running is the number of calls that were running, including this one.
	Running int `json:"running"`
	// Capacity is the number of calls that the server could run concurrently at
	// that moment.
	Capacity int `json:"bears"`
	// Draining is true if the server was draining. Its announcements say so from
	// the next one on.
	Draining bool `json:"draining,omitempty"`
}

// Report holds the counters and records of a test server.
type Report struct {
	Server string `json:"server"`
	// Runs is the number of calls that began to run.
	Runs int `json:"runs"`
	// Offered is the number of calls that arrived while the server was up.
	Offered int `json:"offered"`
	// Shed is the number of calls that were shed.
	Shed int `json:"shed"`
	// OverLimit is the number of calls that arrived when the server was at
	// capacity.
	OverLimit int `json:"over_limit"`
	// ColdOverLimit is the number of those calls that arrived at a cold server.
	ColdOverLimit int `json:"cold_over_limit"`
	// Crashes is the number of crashes under overload.
	Crashes int `json:"falls"`
	Probes  int `json:"probes"`
	// BusyMS is the slot time of all runs that have ended, ProbeMS that of all
	// probes.
	BusyMS  float64 `json:"busy_ms"`
	ProbeMS float64 `json:"probe_ms"`
	// LastRun is the time when the last run began.
	LastRun time.Time `json:"last_run"`
	Records []Run     `json:"records,omitempty"`
}

// Server is a running test server.
type Server struct {
	Config   Config
	http     *http.Server
	listener net.Listener
	mailbox  chan message
	cancel   context.CancelFunc
	done     chan struct{}
}

// Start starts a test server.
func Start(config Config) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start test server %s: %w", config.Name, err)
		}
	}()
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, err
	}
	config.Address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s = &Server{
		Config: config, listener: listener, mailbox: make(chan message, mailboxCapacity),
		cancel: cancel, done: make(chan struct{}),
	}
	t, err := newTask(ctx, s)
	if err != nil {
		cancel()
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /oriolepost/standin", s.serveFault)
	mux.HandleFunc("GET /oriolepost/standin", s.serveReport)
	mux.HandleFunc("GET /oriolepost/load", s.serveProbe)
	mux.HandleFunc("/", s.serveCall)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, ConnState: t.connState}
	go t.run()
	go func() { _ = s.http.Serve(listener) }()
	go s.runAnnouncements(ctx)
	return s, nil
}

// Address returns the host:port that takes calls.
func (s *Server) Address() string { return s.Config.Address }

// SetFault sets a fault and returns when it is in effect.
func (s *Server) SetFault(f Fault) {
	done := make(chan struct{})
	if s.send(setFault{fault: f, done: done}) {
		<-done
	}
}

// Report returns the counters and records so far.
func (s *Server) Report() Report {
	reply := make(chan Report, 1)
	if !s.send(getReport{reply: reply}) {
		return Report{Server: s.Config.Name}
	}
	return <-reply
}

// Stop stops the test server and returns its counters and records.
func (s *Server) Stop() Report {
	r := s.Report()
	_ = s.http.Close()
	s.cancel()
	<-s.done
	return r
}

// send sends a message to the task. It reports false if the task has ended.
func (s *Server) send(m message) bool {
	select {
	case s.mailbox <- m:
		return true
	case <-s.done:
		return false
	}
}

func newBootID() string {
	var b [6]byte
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// serviceTime returns a random service time from a log-normal distribution,
// which has a long tail.
func (c Config) serviceTime(r *mathrand.Rand) time.Duration {
	x := math.Exp(c.Spread*r.NormFloat64() - c.Spread*c.Spread/2)
	return time.Duration(c.ServiceMS * x * float64(time.Millisecond))
}
