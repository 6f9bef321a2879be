//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of the instances, on a loopback address of each. The metrics port is fixed by
// the program.
const (
	peerPort    = 7660
	frontPort   = 8144
	readyPort   = 8140
	controlPort = 8146
	serverPort  = 8080
	relayPort   = 8246
)

var zones = []string{"palermo", "catania", "ragusa"}

// record writes what happened to record.txt, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// instance is one process of the system.
type instance struct {
	name, ip string
	settings map[string]any
	command  *exec.Cmd
	process  *os.Process
	exited   chan error
}

// system is the system under test, as the platform starts it.
type system struct {
	record  *record
	program string
	folder  string
	prefix  string
	control []*instance
	entries []*instance
	bounds  map[string]any
}

func (s *system) ip(host int) string { return fmt.Sprintf("%s%d", s.prefix, host) }

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// freePrefix returns the first three bytes of a block of loopback addresses of which none
// is in use.
func freePrefix() string {
	for n := os.Getpid(); ; n++ {
		prefix := fmt.Sprintf("127.%d.%d.", 1+n/250%250, 1+n%250)
		l, err := net.Listen("tcp", prefix+"1:"+fmt.Sprint(controlPort))
		if err == nil {
			_ = l.Close()
			return prefix
		}
	}
}

// systems holds the systems that were started.
var systems struct {
	mu   sync.Mutex
	list []*system
}

// killAll ends the processes of all systems when a case is given up.
func killAll() {
	systems.mu.Lock()
	defer systems.mu.Unlock()
	for _, s := range systems.list {
		for _, n := range append(append([]*instance{}, s.control...), s.entries...) {
			if n.process != nil {
				_ = n.process.Kill()
			}
		}
		_ = os.RemoveAll(s.folder)
	}
}

// newSystem starts control instances and entries, one after the other in the zones.
func newSystem(r *record, program string, controls, entries int) (*system, error) {
	return newSystemWithout(r, program, controls, entries, -1)
}

// newSystemWithout does the same, and kills the control instance with an index as soon as
// its process was started.
func newSystemWithout(r *record, program string, controls, entries, lost int) (*system, error) {
	folder, err := os.MkdirTemp("", "oriolepost-review-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, program: program, folder: folder, prefix: freePrefix()}
	systems.mu.Lock()
	systems.list = append(systems.list, s)
	systems.mu.Unlock()
	s.bounds = map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
		"loss_slack_ms": 200, "config_apply_ms": 2000, "revert_slack_ms": 250, "outer_ms": 5000, "retry_budget_ratio": 0.2,
		"budget_window_s": 10, "retry_budget_slack": 60, "cold_overshoot_factor": 1.5, "slow_start_slack": 5, "evacuation_ms": 5000,
		"recovery_s": 15, "probes_per_s": 60,
	}
	var seeds []string
	for i := range controls {
		seeds = append(seeds, address(s.ip(1+i), controlPort))
	}
	for i := range controls + entries {
		n := &instance{ip: s.ip(1 + i)}
		zone := zones[i%len(zones)]
		self := map[string]any{
			"ip": n.ip, "zone": zone, "region": "sicilia", "bootstrap": true, "data_dir": nil,
			"limits": map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		}
		listen := map[string]any{}
		if i < controls {
			n.name = fmt.Sprintf("core-%s-%d", zone, 1+i/len(zones))
			self["role"], self["machine_class"], self["serves"], self["counts_in_tolerance"] = "control", "core", []string{"control"}, true
			self["data_dir"] = filepath.Join(folder, n.name+".data")
			listen["control"] = address(n.ip, controlPort)
			s.control = append(s.control, n)
		} else {
			n.name = fmt.Sprintf("front-%s-%d", zone, 1+(i-controls)/len(zones))
			self["role"], self["machine_class"], self["serves"], self["counts_in_tolerance"] = "entry", "front", []string{"front"}, false
			listen["front"], listen["readiness_address"] = address(n.ip, frontPort), address(n.ip, readyPort)
			s.entries = append(s.entries, n)
		}
		self["node_name"] = n.name
		n.settings = map[string]any{
			"self": self,
			"network": map[string]any{
				"listen": listen, "internal_ports": []int{peerPort, peerPort + 15}, "seeds": seeds,
				"zones": map[string]string{"palermo": "sicilia", "catania": "sicilia", "ragusa": "sicilia"},
			},
			"provider": map[string]any{"discovery": "registration", "entry": "vip", "heartbeat_ms": 1500, "config_mode": "highest"},
			"terms": map[string]any{
				"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places"},
				"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0}, "bounds": s.bounds,
			},
		}
	}
	for _, n := range append(append([]*instance{}, s.control...), s.entries...) {
		if err := s.start(n); err != nil {
			s.stop()
			return nil, err
		}
		if lost >= 0 && n == s.control[lost] {
			r.add("platform: %s is killed as it starts", n.name)
			s.kill(n)
		}
	}
	return s, nil
}

// start starts the process of an instance.
func (s *system) start(n *instance) error {
	path := filepath.Join(s.folder, n.name+".json")
	data, err := json.Marshal(n.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command(s.program, "serve")
	command.Env = append(os.Environ(), "ORIOLEPOST_BOOT="+path)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	n.command, n.process, n.exited = command, command.Process, make(chan error, 1)
	go func() { n.exited <- command.Wait() }()
	n.settings["self"].(map[string]any)["bootstrap"] = false
	s.record.add("platform: %s starts at %s", n.name, n.ip)
	return nil
}

// signal sends a signal to the process of an instance.
func (s *system) signal(n *instance, g syscall.Signal) {
	s.record.add("platform: %s gets %v", n.name, g)
	_ = n.command.Process.Signal(g)
}

// kill ends the process of an instance and waits for it.
func (s *system) kill(n *instance) {
	if n.command == nil {
		return
	}
	_ = n.command.Process.Signal(syscall.SIGKILL)
	<-n.exited
	n.command = nil
}

// stop ends all processes, and removes the folder unless KEEP is set.
func (s *system) stop() {
	for _, n := range append(append([]*instance{}, s.control...), s.entries...) {
		s.kill(n)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs in", s.folder)
	}
}

// call sends one call on a connection of its own and returns the status and the body; the
// status is 0 without an answer within the time. The connection is closed in any case.
func call(method, to, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// order sends an order as the operator does: to one address after the other, a second for
// each, until it is acknowledged or refused. It returns the status and when it was
// acknowledged.
func (s *system) order(what, path string, body []byte, to ...string) (int, time.Time) {
	deadline := time.Now().Add(30 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		target := to[i%len(to)]
		s.record.add("operator: sends %s to %s", what, target)
		status, answer := call(http.MethodPost, target, path, body, time.Second)
		s.record.add("operator: %s at %s: status %d %s", what, target, status, strings.TrimSpace(string(answer)))
		switch {
		case status/100 == 2, status == 400, status == 409, status == 412, status == 413, status == 422:
			return status, time.Now()
		}
		time.Sleep(time.Duration(min(i+1, 5)) * 50 * time.Millisecond)
	}
	return 0, time.Now()
}

func (s *system) controlAddresses() []string {
	var list []string
	for _, n := range s.control {
		list = append(list, address(n.ip, controlPort))
	}
	return list
}

// awaitReady waits until all entries say that they are ready.
func (s *system) awaitReady(limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for _, n := range s.entries {
		for {
			if status, _ := call(http.MethodGet, address(n.ip, readyPort), "/api/ready", nil, time.Second); status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// leader returns the control instance that leads, by its logs; nil if none is found.
func (s *system) leader() *instance {
	var found *instance
	best := -1.0
	for _, n := range s.control {
		data, _ := os.ReadFile(filepath.Join(s.folder, n.name+".log"))
		for _, line := range strings.Split(string(data), "\n") {
			var entry struct {
				Message string `json:"message"`
				Fields  struct {
					To   string  `json:"to"`
					Term float64 `json:"term"`
				} `json:"fields"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Message == "replica role changed" && entry.Fields.To == "leader" && entry.Fields.Term > best {
				best, found = entry.Fields.Term, n
			}
		}
	}
	return found
}
