//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Offsets of the ports of a day from its first port. Every machine has a loopback address of
// its own, so all of them use the same ports, as on the page on deployment.
const (
	internalOffset  = 0
	internalPorts   = 16
	readinessOffset = 20
	frontOffset     = 21
	controlOffset   = 22
	serverOffset    = 23
	// metricsPort is that of the deploy file.
	metricsPort = 9464
	// program is the command of the deploy file, relative to the repository root.
	program = "target/oriolepost"
	// leadTime is the time from the start of the machines to that of the traffic. It is longer
	// than contact_ms and catch_up_s.
	leadTime = 8 * time.Second
	// firstServer is the last part of the address of the first server.
	firstServer = 100
)

// machine is one machine of the system under test.
type machine struct {
	name     string
	ip       string
	zone     string
	memoryMB int
	maxFDs   int
	control  bool
	port     int
	// internal is the first of its ports between the machines.
	internal int
	dir      string
	cmd      *exec.Cmd
	ended    chan struct{}
}

func (m *machine) at(offset int) string { return net.JoinHostPort(m.ip, strconv.Itoa(m.port+offset)) }
func (m *machine) front() string        { return m.at(frontOffset) }
func (m *machine) ready() string        { return m.at(readinessOffset) }
func (m *machine) address() string      { return m.at(controlOffset) }

// system is a small deployment: control instances and fronts.
type system struct {
	dir      string
	prefix   string
	controls []*machine
	fronts   []*machine
	port     int
}

var zones = []string{"palermo", "catania", "ragusa"}

// newSystem writes the settings of a deployment like that of the small site. It starts
// nothing.
func newSystem(controls, fronts int) (*system, error) {
	dir, err := os.MkdirTemp("", "oriolepost-review-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir}
	if err := s.findPorts(); err != nil {
		return nil, err
	}
	systems = append(systems, s)
	for i := range controls {
		s.controls = append(s.controls, &machine{name: "core-" + strconv.Itoa(i+1), ip: s.prefix + strconv.Itoa(10+i), zone: zones[i%len(zones)], memoryMB: 280, maxFDs: 4096, control: true})
	}
	for i := range fronts {
		s.fronts = append(s.fronts, &machine{name: "front-" + strconv.Itoa(i+1), ip: s.prefix + strconv.Itoa(40+i), zone: zones[i%len(zones)], memoryMB: 284, maxFDs: 4100})
	}
	for _, m := range s.machines() {
		m.port, m.internal = s.port, s.port+internalOffset
		m.dir = filepath.Join(dir, m.name)
		if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o700); err != nil {
			return nil, err
		}
		if err := s.writeSettings(m, true); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *system) machines() []*machine {
	return append(append([]*machine(nil), s.controls...), s.fronts...)
}

// writeSettings writes a settings file in the form of the page on deployment.
func (s *system) writeSettings(m *machine, bootstrap bool) error {
	var seeds []string
	for _, c := range s.controls {
		seeds = append(seeds, c.address())
	}
	listen, class, cpu := map[string]any{"front": m.front(), "readiness_address": m.ready()}, "front", 0.32
	var data any
	if m.control {
		listen, class, cpu = map[string]any{"control": m.address()}, "core", 0.24
		data = filepath.Join(m.dir, "data")
	}
	settings := map[string]any{
		"self": map[string]any{
			"node_name": m.name, "role": class, "machine_class": class, "serves": []string{class}, "ip": m.ip, "zone": m.zone, "region": "sicilia",
			"counts_in_tolerance": m.control, "bootstrap": bootstrap, "data_dir": data,
			"limits": map[string]any{"cpu_share": cpu, "cores": 1, "memory_mb": m.memoryMB, "max_fds": m.maxFDs, "link_mbps": 1000.0, "disk_mb": 256},
		},
		"network": map[string]any{
			"listen": listen, "internal_ports": []int{m.internal, m.internal + internalPorts - 1}, "seeds": seeds,
			"zones": map[string]string{"palermo": "sicilia", "catania": "sicilia", "ragusa": "sicilia"},
		},
		"provider": map[string]any{"discovery": "registration", "entry": "vip", "heartbeat_ms": 1500, "config_mode": "highest"},
		"terms": map[string]any{
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places"},
			"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
				"loss_slack_ms": 200, "config_apply_ms": 2000, "revert_slack_ms": 250, "outer_ms": 5000, "retry_budget_ratio": 0.2,
				"budget_window_s": 10, "retry_budget_slack": 60, "cold_overshoot_factor": 1.5, "slow_start_slack": 5, "evacuation_ms": 5000,
				"recovery_s": 15, "probes_per_s": 60,
			},
		},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(m.dir, "local.json"), encoded, 0o600)
}

// start starts the process of a machine. Its output goes to a file in the temporary folder.
func (s *system) start(m *machine) error {
	out, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.dir, "ORIOLEPOST_BOOT=" + filepath.Join(m.dir, "local.json")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.cmd, m.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (m *machine) signal(sig syscall.Signal) { _ = m.cmd.Process.Signal(sig) }

// running reports whether the process of the machine has not ended.
func (m *machine) running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// systems are those that were made, for the end of the harness.
var systems []*system

// findPorts chooses loopback addresses and ports that nothing listens on.
func (s *system) findPorts() error {
	for range 20 {
		s.prefix, s.port = fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250)), 20000+rand.IntN(10000)
		free := true
		for offset := range serverOffset + 1 {
			free = free && isFree(net.JoinHostPort(s.prefix+"10", strconv.Itoa(s.port+offset)))
		}
		if free && isFree(net.JoinHostPort(s.prefix+"10", strconv.Itoa(metricsPort))) {
			return nil
		}
	}
	return errors.New("no free ports")
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// stop ends all processes, and removes the temporary folder unless KEEP is set.
func (s *system) stop() {
	for _, m := range s.machines() {
		if m.cmd != nil {
			m.signal(syscall.SIGCONT)
			m.signal(syscall.SIGKILL)
			<-m.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

// startAll starts all machines, has the first configuration acknowledged, and waits until
// every front is ready.
func (s *system) startAll(configuration map[string]any) error {
	trafficAt := time.Now().Add(leadTime)
	for _, m := range s.machines() {
		if err := s.start(m); err != nil {
			return err
		}
	}
	if err := s.awaitOrder(20*time.Second, "POST", "/api/Config.Replace", configuration); err != nil {
		return err
	}
	for _, f := range s.fronts {
		if err := await(20*time.Second, func() bool { status, _ := get("http://" + f.ready() + "/api/ready"); return status == 200 }); err != nil {
			return fmt.Errorf("front %s is not ready: %w", f.name, err)
		}
	}
	time.Sleep(time.Until(trafficAt))
	return nil
}

// awaitOrder sends an order to the control instances in turn until one acknowledges it.
func (s *system) awaitOrder(limit time.Duration, method, path string, body any) error {
	i := 0
	return await(limit, func() bool {
		c := s.controls[i%len(s.controls)]
		i++
		status, _ := call(time.Second, method, "http://"+c.address()+path, body)
		return status == 200
	})
}

// await polls until a condition holds.
func await(limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return errors.New("time is up")
}

func get(url string) (int, []byte) { return call(time.Second, http.MethodGet, url, nil) }

// call sends one request on a connection of its own. The status is 0 without an answer.
func call(limit time.Duration, method, url string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return 0, nil
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil
	}
	request.Close = true
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, data
}

// route is a route of the configuration.
func routeOf(name, prefix, kind, service string, timeoutMS, targetMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "ficu95.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": targetMS, "priority": 1, "service": service, "max_attempts": attempts,
	}
}

func configurationOf(version int, routes []map[string]any, services ...string) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_path": "/health", "max_connections": 240, "protocol": "h1", "tls": false, "slow_start_s": 3.0, "warmup_per_s": 6.1,
		})
	}
	return map[string]any{
		"version": "r" + strconv.Itoa(version), "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// memoryMB returns the present and the peak resident memory of a process in MB.
func (m *machine) residentMB() (present, peak int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	value := func(name string) int {
		_, text, _ := strings.Cut(string(status), name+":")
		if fields := strings.Fields(text); len(fields) > 0 {
			kb, _ := strconv.Atoi(fields[0])
			return kb >> 10
		}
		return 0
	}
	return value("VmRSS"), value("VmHWM")
}
