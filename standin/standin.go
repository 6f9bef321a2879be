// Package standin is a server of our own that behaves like the users' servers:
// it has slots and connections, starts cold, sheds, drains, straggles, fails,
// reports its load late, and records every run.
//
// The answer to a call is the call's own body, so that a load tool can check
// the whole of it. A run is recorded when it begins, with the number of calls
// that ran at that moment and the number that the server could bear, so a
// verdict on limits does not depend on what the system says of itself.
//
// One task owns the state; the HTTP handlers ask it for a slot and tell it of
// the end. Faults are set by messages, or over HTTP:
//
//	POST /oriolepost/standin  {"fault":"straggle","factor":10}
//	GET  /oriolepost/standin  counters of the runs
//
// # Usage
//
//	s, err := standin.Start(standin.Config{Name: "chart-1", Service: "records"})
//	s.Set(standin.Straggle{Factor: 10})
//	report := s.Stop()
package standin

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

// Config describes a stand-in.
type Config struct {
	Name    string `json:"server"`
	Service string `json:"service"`
	Domain  string `json:"failure_domain"`
	// Address is IP:port to listen on; port 0 picks one.
	Address string `json:"address"`
	// Platforms are the platform addresses to announce to, in turn.
	Platforms []string `json:"platforms"`
	// Slots is how many calls run at once when warm.
	Slots int `json:"slots"`
	// Connections bounds the open connections.
	Connections int `json:"connections"`
	// ServiceMS is the mean service time.
	ServiceMS float64 `json:"service_ms"`
	// Spread is the standard deviation of the logarithm of the service time.
	Spread float64 `json:"spread"`
	// ColdMS is how long a server stays cold after its start; a cold server
	// bears ColdSlots calls and falls over under more.
	ColdMS    int64 `json:"cold_ms"`
	ColdSlots int   `json:"cold_slots"`
	// FallMS is how long a server that fell over stays away.
	FallMS int64 `json:"fall_ms"`
	// DistanceUS is the way between failure domains, one way.
	DistanceUS int64 `json:"distance_us"`
	// AnnounceMS is the pause between two announcements.
	AnnounceMS int64 `json:"announce_ms"`
	// StaleMS is the age of the load in announcements and probes.
	StaleMS int64 `json:"stale_ms"`
	// RecordFile gets the runs as JSON lines; empty keeps them in memory only.
	RecordFile string `json:"record_file"`
	Seed       uint64 `json:"seed"`
}

// Defaults gives the server of the brief: 6 slots and 250 connections.
func Defaults() Config {
	return Config{
		Name: "server-1", Service: "booking", Domain: "palermo", Address: "127.0.0.1:0",
		Slots: 6, Connections: 250, ServiceMS: 10, Spread: 0.4,
		ColdMS: 3000, ColdSlots: 1, FallMS: 1000, AnnounceMS: 500, StaleMS: 200, Seed: 1,
	}
}

// Fault is what is wrong with a server.
//
//sumtype:decl
type Fault interface{ fault() }

// Healthy ends all faults.
type Healthy struct{}

// Straggle multiplies the service time.
type Straggle struct{ Factor float64 }

// FailFast answers 500 at once.
type FailFast struct{}

// Reset runs the call and closes the connection without an answer.
type Reset struct{}

// Cut closes the connection in the middle of the answer's body.
type Cut struct{}

// Late answers after a delay.
type Late struct{ Delay time.Duration }

// Lie reports no load whatever runs.
type Lie struct{}

// Chill makes a warm server cold again without notice.
type Chill struct{}

// Reboot closes all connections and starts cold with a new boot id.
type Reboot struct{}

// Drain announces that the server leaves; it still answers what comes.
type Drain struct{}

// ShedAll sheds every call.
type ShedAll struct{}

func (Healthy) fault()  {}
func (Straggle) fault() {}
func (FailFast) fault() {}
func (Reset) fault()    {}
func (Cut) fault()      {}
func (Late) fault()     {}
func (Lie) fault()      {}
func (Chill) fault()    {}
func (Reboot) fault()   {}
func (Drain) fault()    {}
func (ShedAll) fault()  {}

// Run is the record of one run of a call.
type Run struct {
	Server string `json:"server"`
	// Call is the caller's own identity of the call.
	Call string `json:"call"`
	// Key is the idempotency key, if there is one.
	Key    string    `json:"key,omitempty"`
	Method string    `json:"method"`
	At     time.Time `json:"at"`
	// Running counts the calls that ran, this one included.
	Running int `json:"running"`
	// Bears is how many calls the server could bear at that moment.
	Bears int `json:"bears"`
	// Draining is true when the server had announced that it leaves.
	Draining bool `json:"draining,omitempty"`
}

// Report sums up what a stand-in saw.
type Report struct {
	Server string `json:"server"`
	// Runs counts the calls that began to run.
	Runs int `json:"runs"`
	// Offered counts the calls that arrived.
	Offered int `json:"offered"`
	// Shed counts the calls that were turned away.
	Shed int `json:"shed"`
	// OverLimit counts the arrivals beyond what the server could bear.
	OverLimit int `json:"over_limit"`
	// ColdOverLimit counts those of them that met a cold server.
	ColdOverLimit int `json:"cold_over_limit"`
	// Falls counts how often the server fell over.
	Falls  int `json:"falls"`
	Probes int `json:"probes"`
	// BusyMS is the slot time of all runs, ProbeMS that of all probes.
	BusyMS  float64 `json:"busy_ms"`
	ProbeMS float64 `json:"probe_ms"`
	// LastRun is when the last run began.
	LastRun time.Time `json:"last_run"`
	Records []Run     `json:"records,omitempty"`
}

// Server is a running stand-in.
type Server struct {
	Config   Config
	http     *http.Server
	listener net.Listener
	mailbox  chan message
	cancel   context.CancelFunc
	done     chan struct{}
}

// Start starts a stand-in.
func Start(c Config) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start stand-in %s: %w", c.Name, err)
		}
	}()
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, err
	}
	c.Address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s = &Server{
		Config: c, listener: listener, mailbox: make(chan message, mailboxRoom),
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
	go s.announceAll(ctx)
	return s, nil
}

// Address is where the stand-in takes calls.
func (s *Server) Address() string { return s.Config.Address }

// Set sets a fault.
func (s *Server) Set(f Fault) {
	done := make(chan struct{})
	if s.post(setFault{fault: f, done: done}) {
		<-done
	}
}

// Report gives what the stand-in saw so far.
func (s *Server) Report() Report {
	answer := make(chan Report, 1)
	if !s.post(askReport{answer: answer}) {
		return Report{Server: s.Config.Name}
	}
	return <-answer
}

// Stop stops the stand-in and gives what it saw.
func (s *Server) Stop() Report {
	r := s.Report()
	_ = s.http.Close()
	s.cancel()
	<-s.done
	return r
}

// post gives the task a message unless it has ended.
func (s *Server) post(m message) bool {
	select {
	case s.mailbox <- m:
		return true
	case <-s.done:
		return false
	}
}

func newBootID() string {
	var b [6]byte
	// The reader of the standard library never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// serviceTime draws a service time with a long tail.
func (c Config) serviceTime(r *mathrand.Rand) time.Duration {
	x := math.Exp(c.Spread*r.NormFloat64() - c.Spread*c.Spread/2)
	return time.Duration(c.ServiceMS * x * float64(time.Millisecond))
}
