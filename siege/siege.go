// Package siege runs the real program as separate processes on loopback, and
// injects faults from outside them: processes are paused, killed, stopped and
// restarted by signals, a data folder is emptied, settings change, connections
// are delayed, reset, cut one way or silenced by relays, and upstreams lose
// answers, refuse, turn slow, leave and crash. Callers, upstreams and operators
// write down what they saw, and [Judge] looks for broken promises in it.
//
// Faults are drawn from a seed; what they meet is left to the machine. Only
// processes that the siege started are ended, by their ids.
//
// # Usage
//
//	r, err := siege.Run(ctx, siege.Config{Program: "oriolepost", Seed: 1, Duration: 20 * time.Second})
//	if r.Verdict.Broken() { ... }
package siege

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/timer"
)

// Config describes a siege.
type Config struct {
	// Program is the path of the program.
	Program  string
	Seed     uint64
	Duration time.Duration
	// Entries, Control and Upstreams are how many of each there are.
	Entries, Control, Upstreams int
	// Callers is how many callers ask at the same time.
	Callers int
	// FaultEvery is the mean pause between two faults.
	FaultEvery time.Duration
}

// Defaults returns a small siege.
func Defaults() Config {
	return Config{
		Seed: 1, Duration: 20 * time.Second, Entries: 4, Control: 3, Upstreams: 9, Callers: 16, FaultEvery: 350 * time.Millisecond,
	}
}

// Result is what a siege found.
type Result struct {
	Seed    uint64         `json:"seed"`
	Faults  map[string]int `json:"faults"`
	Asked   int            `json:"asked"`
	Served  int            `json:"served"`
	NotRun  int            `json:"not_run"`
	Changes int            `json:"changes"`
	Reads   int            `json:"reads"`
	Verdict Verdict        `json:"verdict"`
	// Logs is the folder with the processes' logs; it stays when a promise was
	// broken.
	Logs string `json:"logs,omitempty"`
}

// Broken gives an error when a promise was broken.
func (r Result) Broken() error {
	if r.Verdict.Broken() {
		return fmt.Errorf("a promise was broken with seed %d: %+v, logs in %s", r.Seed, r.Verdict, r.Logs)
	}
	return nil
}

const (
	startLimit   = 20 * time.Second
	recoverLimit = 15 * time.Second
	callerPause  = 25 * time.Millisecond
	// probeRequests are asked at the end, to see whether the system is back.
	probeRequests = 40
	// drainTime, applyTime and contactTime are the users' bounds.
	drainTime   = 2 * time.Second
	applyTime   = 2 * time.Second
	contactTime = 3 * time.Second
)

// field is everything that a siege runs.
type field struct {
	config        Config
	witness       *witness
	folder        string
	ip            string
	ports         int
	seeds         []string
	entries       []*process
	control       []*process
	entryRelays   []*relay
	controlRelays []*relay
	upstreams     []*upstream
	ctx           context.Context
}

// Run runs a siege.
func Run(ctx context.Context, c Config) (r Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("siege with seed %d: %w", c.Seed, err)
		}
	}()
	folder, err := os.MkdirTemp("", "oriolepost-siege-")
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &field{config: c, witness: startWitness(), folder: folder, ctx: ctx}
	if err := f.start(); err != nil {
		f.halt()
		return Result{}, err
	}
	counts := f.storm(ctx)
	recovered := f.recovered(ctx)
	f.halt()
	r = f.result(f.witness.end(), counts, recovered)
	if !r.Verdict.Broken() {
		return r, os.RemoveAll(folder)
	}
	r.Logs = folder
	return r, nil
}

// addresses of the instances: an IP each, of a block of its own for each test
// process, and relays and upstreams on the IPs after them.
const (
	firstHost = 1
	// seedCount is how many seeds the platform gives.
	seedCount  = 3
	frontHost  = 60
	serverHost = 120
)

func (f *field) host(n int) string { return f.ip + strconv.Itoa(n) }

func (f *field) address(host int, port int) string {
	return net.JoinHostPort(f.host(host), strconv.Itoa(f.ports+port))
}

func (f *field) start() error {
	free, err := cluster.FreeAddresses(1)
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(free[0])
	if err != nil {
		return err
	}
	if f.ports, err = strconv.Atoi(port); err != nil {
		return err
	}
	pid := os.Getpid()
	f.ip = fmt.Sprintf("127.%d.%d.", 1+pid/250%250, 1+pid%250)
	if err := f.startInstances(); err != nil {
		return err
	}
	o := operator{control: f.controlFronts(), witness: f.witness, step: 1}
	limit := time.Now().Add(startLimit)
	for !o.change(f.ctx, 1) {
		if time.Now().After(limit) {
			return errors.New("the first configuration was not acknowledged")
		}
		timer.Pause(f.ctx, announceEvery)
	}
	for i := range f.config.Upstreams {
		u, err := f.newUpstream(i)
		if err != nil {
			return err
		}
		f.upstreams = append(f.upstreams, u)
	}
	timer.Pause(f.ctx, coldTime)
	return nil
}

// startInstances starts the processes, and a relay before each.
func (f *field) startInstances() error {
	domains := cluster.DefaultDomains()
	for i := range min(seedCount, f.config.Control) {
		f.seeds = append(f.seeds, f.address(firstHost+i, 1))
	}
	for i := range f.config.Control + f.config.Entries {
		d := settings.Deployment{
			Instance: fmt.Sprintf("control-%d", i+1), Domain: domains[i%len(domains)], IP: f.host(firstHost + i), PeerPort: f.ports,
			Seeds: f.seeds, FirstStart: true, LostInstances: 1, MemoryMB: 200,
			Bounds: settings.Bounds{
				Grace: stopTime, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60, ColdFactor: coldFactor, ColdSlack: coldSlack,
			},
		}
		listen := f.address(firstHost+i, 1)
		if i < f.config.Control {
			d.Control, d.DataFolder = listen, filepath.Join(f.folder, d.Instance)
		} else {
			d.Instance = fmt.Sprintf("entry-%d", i-f.config.Control+1)
			d.Caller, d.Balancer = listen, f.address(firstHost+i, 2)
		}
		r, err := startRelay(f.ctx, f.address(frontHost+i, 1), listen)
		if err != nil {
			return err
		}
		p := startProcess(f.config.Program, f.folder, d, f.witness)
		p.orders <- startOrder{}
		if i < f.config.Control {
			f.control, f.controlRelays = append(f.control, p), append(f.controlRelays, r)
		} else {
			f.entries, f.entryRelays = append(f.entries, p), append(f.entryRelays, r)
		}
	}
	return nil
}

func (f *field) controlFronts() []string {
	var out []string
	for i := range f.config.Control {
		out = append(out, f.address(frontHost+i, 1))
	}
	return out
}

// newUpstream starts the upstream with a number.
func (f *field) newUpstream(n int) (*upstream, error) {
	domains := cluster.DefaultDomains()
	port := 1 + 2*(n/100)
	host := serverHost + n%100
	return startUpstream(f.ctx, f.witness, fmt.Sprintf("upstream-%d", n), domains[n%len(domains)],
		f.address(host, port), f.address(host, port+1), f.controlFronts())
}

// callers gives the tasks that ask.
func (f *field) callers() []caller {
	var names, fronts []string
	for i, p := range f.entries {
		names = append(names, p.settings.Instance)
		fronts = append(fronts, f.address(frontHost+f.config.Control+i, 1))
	}
	var out []caller
	for i := range f.config.Callers {
		out = append(out, caller{name: fmt.Sprintf("caller-%d", i), entries: names, fronts: fronts, witness: f.witness, pause: callerPause})
	}
	return out
}

// storm lets everybody work while faults are injected, and ends all faults.
func (f *field) storm(ctx context.Context) map[string]int {
	ctx, cancel := context.WithTimeout(ctx, f.config.Duration)
	defer cancel()
	ended := make(chan struct{})
	tasks := 0
	launch := func(run func(context.Context)) {
		tasks++
		go func() {
			run(ctx)
			ended <- struct{}{}
		}()
	}
	for _, c := range f.callers() {
		launch(c.run)
	}
	for i := range uint64(2) {
		launch(operator{control: f.controlFronts(), witness: f.witness, first: 2 + i, step: 2}.run)
	}
	d := &disturber{
		siege: f, random: rand.New(rand.NewPCG(f.config.Seed, 1)), counts: map[string]int{}, controlAt: time.Now(), born: f.config.Upstreams,
	}
	launch(func(ctx context.Context) { d.run(ctx, f.config.FaultEvery) })
	for range tasks {
		<-ended
	}
	f.heal()
	return d.counts
}

// heal ends all faults.
func (f *field) heal() {
	for _, r := range append(f.entryRelays, f.controlRelays...) {
		r.take(way{})
	}
	for _, u := range f.upstreams {
		u.relay.take(way{})
	}
	for _, p := range append(f.entries, f.control...) {
		p.orders <- startOrder{}
	}
}

// recovered reports whether requests are served again, and the configuration
// can be read, soon after the faults have ended.
func (f *field) recovered(ctx context.Context) bool {
	o := operator{control: f.controlFronts(), witness: f.witness}
	c := f.callers()[0]
	limit := time.Now().Add(recoverLimit)
	for round := 0; time.Now().Before(limit); round++ {
		served := 0
		transport := &http.Transport{DisableKeepAlives: true}
		for i := range probeRequests {
			if c.ask(ctx, transport, fmt.Sprintf("end-%d-%d", round, i)) {
				served++
			}
		}
		if served >= probeRequests*9/10 && o.read(ctx) {
			return true
		}
		timer.Pause(ctx, announceEvery)
	}
	return false
}

// halt ends the processes.
func (f *field) halt() {
	for _, p := range append(f.entries, f.control...) {
		done := make(chan struct{})
		p.orders <- haltOrder{done}
		<-done
	}
}

func (f *field) result(history []Event, counts map[string]int, recovered bool) Result {
	r := Result{Seed: f.config.Seed, Faults: counts, Verdict: Judge(history, Bounds{
		Drain: drainTime, Apply: applyTime, Contact: contactTime, ColdPerSecond: coldRate*coldFactor + coldSlack,
	})}
	if !recovered {
		r.Verdict.add(&r.Verdict.NotRecovered, "not recovered %v after the last fault", recoverLimit)
	}
	for _, event := range history {
		switch e := event.(type) {
		case Asked:
			r.Asked++
		case Told:
			if e.Status < 300 {
				r.Served++
			} else if e.Status == http.StatusServiceUnavailable {
				r.NotRun++
			}
		case Acknowledged:
			r.Changes++
		case Read:
			r.Reads++
		case Ran, Leaving, Disturbed, Exited:
		}
	}
	return r
}
