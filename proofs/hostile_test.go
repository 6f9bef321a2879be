package proofs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/platform"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/settings"
)

const (
	// crowdDuration is how long the clients of a crowd are watched. It exceeds
	// the time in which the untouched code took in all that they send.
	crowdDuration = 4 * time.Second
	// bodyBytes is the size of the largest body that an entry buffers whole.
	bodyBytes = 256 << 10
	// largeBytes is the size of the response to /large, which is buffered whole.
	largeBytes = 250 << 10
	// upstreamSlots is more than the requests of any crowd, so that none waits
	// for a slot.
	upstreamSlots = 4000
	// slowServiceTime is the service time of /slow. The bodies that were read stay in
	// memory for that time.
	slowServiceTime = 5 * time.Second
)

// hostileTurn holds one element while a scenario with a crowd runs. Two at once would
// compete for processor time and memory.
var hostileTurn = make(chan struct{}, 1)

// hostileVerbs returns the commands of the scenarios in testdata/hostile.
func hostileVerbs() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"deployment": writeDeployment,
		"limits":     writeLimits,
		"upstream":   runUpstream,
		"crowd":      runCrowd,
		"enlarge":    enlargeConfiguration,
	}
}

func takeTurn(ts *testscript.TestScript) {
	hostileTurn <- struct{}{}
	ts.Defer(func() { <-hostileTurn })
}

// deployment MEMORY_MB MAX_FDS writes control.json and entry.json, the platform's
// settings files of a control instance and an entry. Each gets a loopback address of
// its own, since the port of the metrics is fixed.
func writeDeployment(ts *testscript.TestScript, _ bool, args []string) {
	takeTurn(ts)
	memoryMB, err := strconv.Atoi(args[0])
	ts.Check(err)
	maxFDs, err := strconv.Atoi(args[1])
	ts.Check(err)
	first := int(machines.Add(machinesPerDeployment)) - machinesPerDeployment
	address := func(variable string, machine int) string {
		_, port, err := net.SplitHostPort(ts.Getenv(variable))
		ts.Check(err)
		return net.JoinHostPort(loopback(first+machine), port)
	}
	control := settings.Deployment{
		Instance: "control", Domain: "palermo", IP: loopback(first + 1), Control: address("A1", 1), FirstStart: true, DataFolder: ts.MkAbs("data"),
	}
	entry := settings.Deployment{Instance: "entry", Domain: "palermo", IP: loopback(first + 2), Caller: address("A2", 2), Balancer: address("A3", 2)}
	_, port, err := net.SplitHostPort(ts.Getenv("A4"))
	ts.Check(err)
	for _, d := range []settings.Deployment{control, entry} {
		d.PeerPort, err = strconv.Atoi(port)
		ts.Check(err)
		d.Seeds, d.MemoryMB, d.MaxFDs = []string{control.Control}, memoryMB, maxFDs
		d.Bounds = settings.Bounds{Grace: 6 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60, ColdFactor: 1.5, ColdSlack: 5}
		data, err := platform.EncodeSettings(d)
		ts.Check(err)
		ts.Check(os.WriteFile(ts.MkAbs(d.Instance+".json"), data, 0o600))
	}
	setLimits(ts, args[0], args[1])
	ts.Setenv("CONTROL", control.Control)
	ts.Setenv("ENTRY", entry.Caller)
	ts.Setenv("PEER", net.JoinHostPort(control.IP, port))
	ts.Setenv("UPSTREAM", address("A5", 3))
}

// machines counts the machines of all deployments. A deployment has three: a control
// instance, an entry and an upstream.
var machines atomic.Int32

const machinesPerDeployment = 3

// loopback returns the address of a machine of this test process.
func loopback(machine int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, machine)
}

// limits FILE MEMORY_MB MAX_FDS adds the limits to a settings file of our own form.
func writeLimits(ts *testscript.TestScript, _ bool, args []string) {
	takeTurn(ts)
	text := strings.TrimSuffix(strings.TrimSpace(ts.ReadFile(args[0])), "}")
	text += fmt.Sprintf(`,"limits":{"memory_mb":%s,"max_fds":%s}}`, args[1], args[2])
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
	setLimits(ts, args[1], args[2])
}

// setLimits keeps the limits of the settings, which the command crowd checks.
func setLimits(ts *testscript.TestScript, memoryMB, maxFDs string) {
	ts.Setenv("MEMORY_MB", memoryMB)
	ts.Setenv("MAX_FDS", maxFDs)
}

// upstream runs an upstream at $UPSTREAM until the scenario ends, configures its
// routes, and waits until an ordinary request is answered. The routes are safe, so
// that requests are pipelined.
func runUpstream(ts *testscript.TestScript, _ bool, _ []string) {
	ctx, cancel := context.WithCancel(context.Background())
	ts.Defer(cancel)
	info := fleet.Upstream{Version: "v1", ID: "u1", Service: "booking", Address: ts.Getenv("UPSTREAM"), Domain: "palermo", Slots: upstreamSlots, StartMS: time.Now().UnixMilli()}
	server := &http.Server{Handler: upstreamHandler(info.ID), ReadHeaderTimeout: awaitTimeout}
	listener, err := net.Listen("tcp", info.Address)
	ts.Check(err)
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	configuration, err := platform.ConfigureCall(hostileConfiguration())
	ts.Check(err)
	control := ts.Getenv("CONTROL")
	go announce(ctx, control, info)
	awaitStatus(ts, "configuration", func() int { return send(control, configuration) })
	awaitStatus(ts, "ordinary request", func() int { return ordinary(ts) })
}

func hostileConfiguration() route.Configuration {
	return route.Configuration{
		Version: 1,
		Limits:  route.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []route.Route{{
			Name: "all", Host: "booking", Prefix: "/", Idempotent: true, Timeout: 20 * time.Second, Objective: time.Second, MaxAttempts: 2,
			Services: []route.WeightedService{{Service: "booking", Weight: 1}},
		}},
		Services: []route.Service{{Name: "booking", HealthPath: "/health", MaxConnections: upstreamSlots}},
	}
}

// enlarge BYTES replaces the configuration by one whose order has about that size. Its
// further routes have no requests.
func enlargeConfiguration(ts *testscript.TestScript, _ bool, args []string) {
	size, err := strconv.Atoi(args[0])
	ts.Check(err)
	c := hostileConfiguration()
	c.Version = 2
	const nameBytes = 2000
	for i := range size / nameBytes {
		r := c.Routes[0]
		r.Name, r.Host = strings.Repeat("n", nameBytes)+strconv.Itoa(i), fmt.Sprintf("h%d", i)
		c.Routes = append(c.Routes, r)
	}
	configuration, err := platform.ConfigureCall(c)
	ts.Check(err)
	awaitStatus(ts, "configuration", func() int { return send(ts.Getenv("CONTROL"), configuration) })
}

func upstreamHandler(id string) http.HandlerFunc {
	large := bytes.Repeat([]byte("x"), largeBytes)
	var busy atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		names := platform.HeaderNames()
		// The load report: busy slots, queued requests, slots, and slowdown in percent.
		w.Header().Set(names.Load, fmt.Sprintf("%d,0,%d,100", busy.Add(1), upstreamSlots))
		defer busy.Add(-1)
		w.Header().Set(names.Upstream, id)
		w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
		w.Header().Set(names.Signature, "signed")
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		switch r.URL.Path {
		case "/slow":
			t := time.NewTimer(slowServiceTime)
			defer t.Stop()
			select {
			case <-t.C:
			case <-r.Context().Done():
			}
		case "/large":
			_, _ = w.Write(large)
		}
	}
}

// announce sends heartbeats until the context ends.
func announce(ctx context.Context, control string, u fleet.Upstream) {
	ticker := time.NewTicker(400 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		u.Sequence++
		if c, err := platform.AnnounceCall(u); err == nil {
			send(control, c)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func send(address string, c platform.Call) int {
	status, _ := request(c.Method, "http://"+address+c.Path, string(c.Body), map[string]string{"Connection": "close"})
	return status
}

// ordinary sends one ordinary request through the entry, or the instance of our own
// interface, and returns its status.
func ordinary(ts *testscript.TestScript) int {
	address, path := ts.Getenv("ENTRY"), "/"
	if address == "" {
		address = ts.Getenv("CALLER1")
	}
	status, _ := request(http.MethodGet, "http://"+address+path, "", map[string]string{
		"Host": "booking", "Connection": "close", platform.HeaderNames().RequestID: "ordinary-1",
	})
	return status
}

func awaitStatus(ts *testscript.TestScript, what string, status func() int) {
	last := 0
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); waitPollInterval() {
		if last = status(); last == http.StatusOK {
			return
		}
	}
	ts.Fatalf("%s: last status %d, want 200", what, last)
}

// processName returns the name of the settings file of a process.
func processName(pid int, args []string) string {
	environment, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid))
	if err != nil {
		return args[len(args)-1]
	}
	for variable := range strings.SplitSeq(string(environment), "\x00") {
		if path, ok := strings.CutPrefix(variable, platform.SettingsVariable+"="); ok && path != "" {
			return filepath.Base(path)
		}
	}
	return args[len(args)-1]
}

func openFDs(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemoryKB returns the peak resident memory of a process; 0 if it has ended.
func peakMemoryKB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, value, _ := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(value)
	if len(fields) == 0 {
		return 0
	}
	n, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}
	return n
}
