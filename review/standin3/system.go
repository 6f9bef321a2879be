//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
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

// The ports are the same on all machines, as on the platform.
const (
	controlPort  = 8146
	frontPort    = 8144
	readyPort    = 8140
	internalPort = 7660
)

// system is the platform: it starts and ends machines, and records what happens.
type system struct {
	trouble bool
	folder  string
	// network is the first part of the loopback addresses.
	network  string
	record   *os.File
	began    time.Time
	mutex    sync.Mutex
	machines []*machine
	// addresses and requests count the servers and the requests of clients.
	addresses int
	requests  int
}

// machine is a machine with one process. A core machine has a data folder.
type machine struct {
	system  *system
	name    string
	zone    string
	ip      string
	core    bool
	process *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

func newSystem(record string, trouble bool) (*system, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &system{trouble: trouble, folder: folder, record: file, began: time.Now()}
	for range 50 {
		s.network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
		probe, err := net.Listen("tcp", fmt.Sprintf("%s.11:%d", s.network, internalPort))
		if err == nil {
			return s, probe.Close()
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// note writes a line to the record, with the time since the start.
func (s *system) note(format string, args ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(s.record, line)
	_, _ = io.WriteString(os.Stdout, line)
}

// close ends all processes that were started.
func (s *system) close() {
	for _, m := range s.machines {
		m.kill()
	}
	_ = os.RemoveAll(s.folder)
}

func (s *system) add(name, zone string, core bool) *machine {
	m := &machine{system: s, name: name, zone: zone, ip: fmt.Sprintf("%s.%d", s.network, 11+len(s.machines)), core: core}
	s.machines = append(s.machines, m)
	return m
}

func (m *machine) dataFolder() string   { return filepath.Join(m.system.folder, m.name+"-data") }
func (m *machine) controlAddr() string  { return fmt.Sprintf("%s:%d", m.ip, controlPort) }
func (m *machine) frontAddr() string    { return fmt.Sprintf("%s:%d", m.ip, frontPort) }
func (m *machine) logPath() string      { return filepath.Join(m.system.folder, m.name+".log") }
func (m *machine) settingsPath() string { return filepath.Join(m.system.folder, m.name+".json") }

// writeSettings writes the settings file, with the bounds of the small deployments.
func (m *machine) writeSettings(first bool, seeds []*machine) error {
	listen := map[string]any{"front": m.frontAddr(), "readiness_address": fmt.Sprintf("%s:%d", m.ip, readyPort)}
	class, serves, folder := "front", "front", any(nil)
	limits := map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}
	if m.core {
		listen = map[string]any{"control": m.controlAddr()}
		class, serves, folder = "core", "control", m.dataFolder()
		limits = map[string]any{"cpu_share": 0.24, "cores": 1, "memory_mb": 280, "max_fds": 4096, "link_mbps": 1000.0, "disk_mb": 256}
	}
	var addresses []string
	for _, s := range seeds {
		addresses = append(addresses, s.controlAddr())
	}
	data, err := json.MarshalIndent(map[string]any{
		"self": map[string]any{
			"node_name": m.name, "role": serves, "machine_class": class, "serves": []string{serves}, "ip": m.ip, "zone": m.zone, "region": "sicilia",
			"counts_in_tolerance": m.core, "bootstrap": first, "data_dir": folder, "limits": limits,
		},
		"network": map[string]any{
			"listen": listen, "internal_ports": []int{internalPort, internalPort + 15}, "seeds": addresses,
			"zones": map[string]string{"palermo": "sicilia", "catania": "sicilia", "ragusa": "sicilia"},
		},
		"provider": map[string]any{"discovery": "registration", "entry": "vip", "heartbeat_ms": 1500, "config_mode": "highest"},
		"terms": map[string]any{
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "health", "places"},
			"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
				"loss_slack_ms": 200, "config_apply_ms": 2000, "revert_slack_ms": 250, "outer_ms": 5000, "retry_budget_ratio": 0.2,
				"budget_window_s": 10, "retry_budget_slack": 60, "cold_overshoot_factor": 1.5, "slow_start_slack": 5, "evacuation_ms": 5000,
				"recovery_s": 15, "probes_per_s": 60,
			},
		},
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.settingsPath(), data, 0o600)
}

// start starts the process with the command of the deploy file. first is true when the whole
// system starts for the first time.
func (m *machine) start(first bool, seeds ...*machine) error {
	if err := m.writeSettings(first, seeds); err != nil {
		return err
	}
	if m.core {
		if err := os.MkdirAll(m.dataFolder(), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(m.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process = exec.Command("target/oriolepost", "serve")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.system.folder, "LANG=C", "ORIOLEPOST_BOOT=" + m.settingsPath()}
	m.process.Stdout, m.process.Stderr = log, log
	if err := m.process.Start(); err != nil {
		return err
	}
	m.system.note("%s starts at %s (process %d, first start: %v)", m.name, m.ip, m.process.Process.Pid, first)
	m.log, m.ended = log, make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		_ = p.Wait()
		close(ended)
	}(m.process, m.ended)
	return nil
}

func (m *machine) running() bool {
	if m.process == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// kill ends the process at once, as a loss of power does.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	if m.running() {
		_ = m.process.Process.Kill()
		m.system.note("%s is killed", m.name)
	}
	<-m.ended
	_ = m.log.Close()
	m.process = nil
}

// terminate sends SIGTERM, and SIGKILL after the grace period.
func (m *machine) terminate(grace time.Duration) {
	m.system.note("%s gets SIGTERM", m.name)
	_ = m.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.ended:
		m.system.note("%s has ended", m.name)
	case <-time.After(grace):
	}
	m.kill()
}

// loseDisk empties the data folder of a machine that does not run.
func (m *machine) loseDisk() error {
	m.system.note("%s loses its disk", m.name)
	return os.RemoveAll(m.dataFolder())
}

// operator calls a control address as the platform's operator does: a new connection for each
// call, and a second for the response.
func (s *system) operator(m *machine, method, path, body string) (status int, answer string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+m.controlAddr()+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(data)
}

// configuration returns a small valid configuration.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":"r%d","routes":[{"name":"r-a","host":"a.example","path_prefix":"/a/","route_type":"safe","timeout_ms":2000,`+
		`"target_latency_ms":600,"priority":1,"service":"booking","max_attempts":2},{"name":"r-b","host":"a.example","path_prefix":"/b/",`+
		`"route_type":"unsafe","timeout_ms":2500,"target_latency_ms":800,"priority":1,"service":"booking","max_attempts":2}],`+
		`"services":[{"name":"booking","health_path":"/health","max_connections":240,"protocol":"h1","tls":false,"slow_start_s":3.0,"warmup_per_s":6.1}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version)
}

// configure sends a version to one control address after the other until it is acknowledged.
func (s *system) configure(limit time.Duration, version int, at ...*machine) error {
	return s.configureWith(limit, version, configuration(version), at...)
}

// configureWith does the same with the text of a configuration.
func (s *system) configureWith(limit time.Duration, version int, text string, at ...*machine) error {
	i := 0
	acknowledged := within(limit, func() bool {
		m := at[i%len(at)]
		i++
		status, answer := s.operator(m, http.MethodPost, "/api/Config.Replace", text)
		s.note("operator sends r%d to %s: %d %s", version, m.name, status, strings.TrimSpace(answer))
		return status == http.StatusOK
	})
	if !acknowledged {
		return fmt.Errorf("version r%d was not acknowledged", version)
	}
	return nil
}

// read asks one control address for the newest configuration, and returns its version; empty
// without a response of status 200.
func (s *system) read(m *machine) string {
	status, answer := s.operator(m, http.MethodGet, "/api/Config.Read", "")
	var read struct {
		Version string `json:"version"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(answer), &read) != nil {
		read.Version = "unreadable"
	}
	if status == http.StatusOK {
		answer = "version " + read.Version
	}
	s.note("operator reads at %s: %d %s", m.name, status, strings.TrimSpace(answer))
	return read.Version
}
