// Package faultsoak runs the real program as separate processes on loopback and
// injects faults from outside them:
//
//   - Signals pause, kill, stop and restart processes.
//   - The data folder of a control instance is deleted, and the seeds in a
//     settings file change.
//   - Relays delay connections, reset them, or hold their bytes in one
//     direction or both.
//   - Upstreams lose responses, refuse requests, slow down, deregister and
//     crash.
//
// Simulated callers, upstreams and operators record what they observe as
// events. [Judge] checks these events for violated guarantees.
//
// A seed determines which faults are injected. What the system is doing when a
// fault strikes depends on the timing of the machine, so a seed does not repeat
// a run exactly. Only processes that the run itself started are ended, by their
// process ids.
//
// # Usage
//
//	r, err := faultsoak.Run(ctx, faultsoak.Config{Program: "oriolepost", Seed: 1, Duration: 20 * time.Second})
//	if r.Verdict.Broken() { ... }
package faultsoak

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

// Config describes a run.
type Config struct {
	// Program is the path of the oriolepost executable.
	Program string
	// Seed determines the faults.
	Seed uint64
	// Duration is how long faults are injected. Start and recovery come on top.
	Duration time.Duration
	// Entries, Control and Upstreams are the numbers of entries, control
	// instances and upstreams.
	Entries, Control, Upstreams int
	// Callers is the number of callers that send requests concurrently.
	Callers int
	// FaultEvery is the mean interval between two faults.
	FaultEvery time.Duration
}

// Defaults returns the configuration of a short run of a small system.
// Program is left empty.
func Defaults() Config {
	return Config{
		Seed: 1, Duration: 20 * time.Second, Entries: 4, Control: 3, Upstreams: 9, Callers: 16, FaultEvery: 350 * time.Millisecond,
	}
}

// Result is the outcome of a run. Its counts include the start of the system and
// the recovery after the last fault.
type Result struct {
	Seed uint64 `json:"seed"`
	// Faults is the number of injected faults by name.
	Faults map[string]int `json:"faults"`
	// Asked is the number of requests that callers sent.
	Asked int `json:"asked"`
	// Served is the number of complete responses with a status below 300.
	Served int `json:"served"`
	// NotRun is the number of complete responses with status 503.
	NotRun int `json:"not_run"`
	// Changes is the number of acknowledged configurations.
	Changes int `json:"changes"`
	// Reads is the number of successful reads of the configuration.
	Reads   int     `json:"reads"`
	Verdict Verdict `json:"verdict"`
	// Logs is the folder with the logs of the processes if a guarantee was
	// violated. Otherwise it is empty, and the folder is deleted. A system that
	// could not be started leaves its folder in the temporary directory.
	Logs string `json:"logs,omitempty"`
}

// Broken returns an error if a guarantee was violated.
func (r Result) Broken() error {
	if r.Verdict.Broken() {
		return fmt.Errorf("guarantee violated: seed %d: %+v, logs in %s", r.Seed, r.Verdict, r.Logs)
	}
	return nil
}

const (
	startTimeout    = 20 * time.Second
	recoveryTimeout = 15 * time.Second
	meanThinkTime   = 25 * time.Millisecond
	// recoveryRequests is the number of requests sent after the last fault to
	// check that the system serves again.
	recoveryRequests = 40
	// finalVersion is the version of the configuration that is sent after the last
	// fault. No operator reaches it.
	finalVersion = 1 << 20
	// controlName begins the names of the control instances.
	controlName = "control"
	// maxCrashed limits the crashed upstreams that wait to be replaced.
	maxCrashed = 64
	// finalProbes is the number of requests to each entry that only finalVersion
	// allows.
	finalProbes = 5
	// drainLimit, applyLimit and faultGrace are limits that the users of the
	// system set. See [Bounds].
	drainLimit = 2 * time.Second
	applyLimit = 2 * time.Second
	faultGrace = 3 * time.Second
)

// testSystem is the system under test: the processes, the relays in front of
// them, the upstreams, and the observer of the run.
type testSystem struct {
	config   Config
	observer *observer
	// folder holds the settings, logs and data folders of the processes.
	folder string
	// ipPrefix is the first three bytes of all addresses, with a dot at the end.
	ipPrefix string
	// basePort is the peer port of all instances. The other ports are the next
	// higher ones.
	basePort      int
	seeds         []string
	entries       []*process
	control       []*process
	entryRelays   []*relay
	controlRelays []*relay
	upstreams     []*upstream
	// crashed receives the upstreams that a request has crashed, which the injector
	// replaces.
	crashed chan *upstream
	// finalVersionDue is when all entries must serve by finalVersion.
	finalVersionDue time.Duration
	ctx             context.Context
}

// Run starts a system, injects faults for the configured duration, waits for
// recovery and checks the recorded events. The error reports a system that could
// not be started, or a log folder that could not be removed. Violated guarantees
// are in the result.
func Run(ctx context.Context, c Config) (r Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("fault soak with seed %d: %w", c.Seed, err)
		}
	}()
	folder, err := os.MkdirTemp("", "oriolepost-faultsoak-")
	if err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &testSystem{config: c, observer: startObserver(), folder: folder, ctx: ctx, crashed: make(chan *upstream, maxCrashed)}
	if err := s.start(); err != nil {
		s.stopProcesses()
		return Result{}, err
	}
	counts := s.runUnderFaults(ctx)
	recovered := s.waitForRecovery(ctx)
	s.probeEntries(ctx)
	s.stopProcesses()
	r = s.result(s.observer.stop(), counts, recovered)
	if !r.Verdict.Broken() {
		return r, os.RemoveAll(folder)
	}
	r.Logs = folder
	return r, nil
}

// The process that calls Run uses one /24 block of loopback addresses, which start
// derives from the process id, so that concurrent runs do not collide. Each
// instance and relay has an address of its own in the block, and each upstream
// shares one with its relay. The host constants are the last byte of the first
// address of each kind.
const (
	firstInstanceHost = 1
	// seedCount is the number of seeds that the platform lists in the settings.
	seedCount         = 3
	firstRelayHost    = 60
	firstUpstreamHost = 120
)

func (s *testSystem) hostIP(n int) string { return s.ipPrefix + strconv.Itoa(n) }

func (s *testSystem) address(host int, port int) string {
	return net.JoinHostPort(s.hostIP(host), strconv.Itoa(s.basePort+port))
}

func (s *testSystem) start() error {
	free, err := cluster.FreeAddresses(1)
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(free[0])
	if err != nil {
		return err
	}
	if s.basePort, err = strconv.Atoi(port); err != nil {
		return err
	}
	pid := os.Getpid()
	s.ipPrefix = fmt.Sprintf("127.%d.%d.", 1+pid/250%250, 1+pid%250)
	if err := s.startInstances(); err != nil {
		return err
	}
	o := operator{controlAddresses: s.controlRelayAddresses(), observer: s.observer, versionStep: 1}
	deadline := time.Now().Add(startTimeout)
	for !o.applyVersion(s.ctx, 1) {
		if time.Now().After(deadline) {
			return errors.New("no control instance acknowledged the first configuration within the start timeout of 20 s")
		}
		timer.Pause(s.ctx, announceInterval)
	}
	for i := range s.config.Upstreams {
		u, err := s.newUpstream(i)
		if err != nil {
			return err
		}
		s.upstreams = append(s.upstreams, u)
	}
	timer.Pause(s.ctx, coldTime)
	return nil
}

// startInstances starts the processes, and a relay in front of each.
func (s *testSystem) startInstances() error {
	domains := cluster.DefaultDomains()
	for i := range min(seedCount, s.config.Control) {
		s.seeds = append(s.seeds, s.address(firstInstanceHost+i, 1))
	}
	for i := range s.config.Control + s.config.Entries {
		deployment := settings.Deployment{
			Instance: fmt.Sprintf("%s-%d", controlName, i+1), Domain: domains[i%len(domains)], IP: s.hostIP(firstInstanceHost + i), PeerPort: s.basePort,
			Seeds: s.seeds, FirstStart: true, LostInstances: 1, MemoryMB: 200,
			Bounds: settings.Bounds{
				Grace: stopTimeout, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60, ColdFactor: coldFactor, ColdSlack: coldSlack,
			},
		}
		listen := s.address(firstInstanceHost+i, 1)
		if i < s.config.Control {
			deployment.Control, deployment.DataFolder = listen, filepath.Join(s.folder, deployment.Instance)
		} else {
			deployment.Instance = fmt.Sprintf("entry-%d", i-s.config.Control+1)
			deployment.Caller, deployment.Balancer = listen, s.address(firstInstanceHost+i, 2)
		}
		instanceRelay, err := startRelay(s.ctx, s.address(firstRelayHost+i, 1), listen)
		if err != nil {
			return err
		}
		instance := startProcess(s.config.Program, s.folder, deployment, s.observer)
		instance.mailbox <- startMessage{}
		if i < s.config.Control {
			s.control, s.controlRelays = append(s.control, instance), append(s.controlRelays, instanceRelay)
		} else {
			s.entries, s.entryRelays = append(s.entries, instance), append(s.entryRelays, instanceRelay)
		}
	}
	return nil
}

func (s *testSystem) controlRelayAddresses() []string {
	var out []string
	for i := range s.config.Control {
		out = append(out, s.address(firstRelayHost+i, 1))
	}
	return out
}

// newUpstream starts upstream number n behind a relay.
func (s *testSystem) newUpstream(n int) (*upstream, error) {
	domains := cluster.DefaultDomains()
	port := 1 + 2*(n/100)
	host := firstUpstreamHost + n%100
	return startUpstream(s.ctx, s.observer, s.crashed, fmt.Sprintf("upstream-%d", n), domains[n%len(domains)],
		s.address(host, port), s.address(host, port+1), s.controlRelayAddresses())
}

// newCallers returns the callers, each of which sends to all entries.
func (s *testSystem) newCallers() []caller {
	var names, relayAddresses []string
	for i, p := range s.entries {
		names = append(names, p.settings.Instance)
		relayAddresses = append(relayAddresses, s.address(firstRelayHost+s.config.Control+i, 1))
	}
	var out []caller
	for i := range s.config.Callers {
		out = append(out, caller{name: fmt.Sprintf("caller-%d", i), entries: names, relayAddresses: relayAddresses, observer: s.observer, thinkTime: meanThinkTime})
	}
	return out
}

// runUnderFaults runs callers, operators and the fault injector concurrently for
// the configured duration, then ends all faults. It returns the number of
// injected faults by name.
func (s *testSystem) runUnderFaults(ctx context.Context) map[string]int {
	ctx, cancel := context.WithTimeout(ctx, s.config.Duration)
	defer cancel()
	finished := make(chan struct{})
	tasks := 0
	launch := func(run func(context.Context)) {
		tasks++
		go func() {
			run(ctx)
			finished <- struct{}{}
		}()
	}
	for _, c := range s.newCallers() {
		launch(c.run)
	}
	for i := range uint64(2) {
		launch(operator{controlAddresses: s.controlRelayAddresses(), observer: s.observer, firstVersion: 2 + i, versionStep: 2}.run)
	}
	injector := &faultInjector{
		system: s, random: rand.New(rand.NewPCG(s.config.Seed, 1)), counts: map[string]int{}, controlFaultAt: time.Now(), upstreamNumber: s.config.Upstreams,
	}
	launch(func(ctx context.Context) { injector.run(ctx, s.config.FaultEvery) })
	for range tasks {
		<-finished
	}
	s.endFaults()
	return injector.counts
}

// endFaults restores all links, and starts the processes that are not running.
// Paused processes and the behaviour of upstreams are restored by endLater when
// the context of the run ends.
func (s *testSystem) endFaults() {
	for _, r := range append(s.entryRelays, s.controlRelays...) {
		r.setLink(link{})
	}
	for _, u := range s.upstreams {
		u.relay.setLink(link{})
	}
	var running []chan struct{}
	for _, p := range append(s.entries, s.control...) {
		c := make(chan struct{})
		p.mailbox <- startMessage{running: c}
		running = append(running, c)
	}
	for _, c := range running {
		<-c
	}
	s.observer.record(FaultsEnded{At: s.observer.now()})
}

// probeEntries sends each entry requests that only finalVersion allows, and one that
// only the first version allows. It does so as soon as all entries must serve by
// finalVersion.
func (s *testSystem) probeEntries(ctx context.Context) {
	timer.Pause(ctx, s.finalVersionDue-s.observer.now())
	sender := s.newCallers()[0]
	transport := &http.Transport{DisableKeepAlives: true}
	for i := range s.entries {
		for n := range finalProbes + 1 {
			id, version := fmt.Sprintf("probe-%d-%d", i, n), uint64(finalVersion)
			if n == finalProbes {
				version = 1
			}
			sender.sendTo(ctx, transport, i, RequestSent{ID: id, Path: versionPrefix(version) + id, Idempotent: true, Version: version})
		}
	}
}

// waitForRecovery sends rounds of recoveryRequests requests. It reports whether,
// within recoveryTimeout after the last fault, finalVersion is acknowledged, at least
// nine tenths of a round are served and the configuration can be read.
func (s *testSystem) waitForRecovery(ctx context.Context) bool {
	reader := operator{controlAddresses: s.controlRelayAddresses(), observer: s.observer}
	sender := s.newCallers()[0]
	deadline := time.Now().Add(recoveryTimeout)
	for !reader.applyVersion(ctx, finalVersion) {
		if time.Now().After(deadline) {
			return false
		}
		timer.Pause(ctx, announceInterval)
	}
	s.finalVersionDue = s.observer.now() + applyLimit + faultGrace
	for round := 0; time.Now().Before(deadline); round++ {
		served := 0
		transport := &http.Transport{DisableKeepAlives: true}
		for i := range recoveryRequests {
			if sender.send(ctx, transport, fmt.Sprintf("end-%d-%d", round, i)) {
				served++
			}
		}
		if served >= recoveryRequests*9/10 && reader.readConfiguration(ctx) {
			return true
		}
		timer.Pause(ctx, announceInterval)
	}
	return false
}

// stopProcesses kills all processes and waits for their exit.
func (s *testSystem) stopProcesses() {
	for _, p := range append(s.entries, s.control...) {
		done := make(chan struct{})
		p.mailbox <- shutdownMessage{done}
		<-done
	}
}

func (s *testSystem) result(history []Event, counts map[string]int, recovered bool) Result {
	r := Result{Seed: s.config.Seed, Faults: counts, Verdict: Judge(history, Bounds{
		Drain: drainLimit, Apply: applyLimit, FaultGrace: faultGrace, ColdPerSecond: coldRate*coldFactor + coldSlack,
	})}
	if !recovered {
		r.Verdict.add(&r.Verdict.NotRecovered, "requests were not served again within %v after the last fault", recoveryTimeout)
	}
	for _, event := range history {
		switch e := event.(type) {
		case RequestSent:
			r.Asked++
		case ResponseReceived:
			if e.Status < 300 {
				r.Served++
			} else if e.Status == http.StatusServiceUnavailable {
				r.NotRun++
			}
		case OrderAcknowledged:
			r.Changes++
		case ConfigurationRead:
			r.Reads++
		case RequestExecuted, RequestRefused, ProcessStarted, LeaveAcknowledged, FaultInjected, FaultsEnded, Failure:
		}
	}
	return r
}
