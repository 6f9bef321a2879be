package faultsoak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/timer"
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

// stopProcesses kills all processes and waits for their exit.
func (s *testSystem) stopProcesses() {
	for _, p := range append(s.entries, s.control...) {
		done := make(chan struct{})
		p.mailbox <- shutdownMessage{done}
		<-done
	}
}
