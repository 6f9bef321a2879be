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
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

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
