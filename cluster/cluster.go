// Package cluster runs a whole system in one process on loopback: voters, entry
// instances and test servers. The demonstration, the experiments, the in-process
// soak and the proofs use it.
//
// The instances are the real ones: they communicate over TCP and write to data
// folders. They only share one process; other proofs run instances as separate
// processes.
//
// # Usage
//
//	c, err := cluster.Start(cluster.Config{Instances: 5, Voters: 3, Folder: folder})
//	defer c.Stop()
package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/load"
	"github.com/oriolepost/oriolepost/node"
	"github.com/oriolepost/oriolepost/operator"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/testserver"
	"github.com/oriolepost/oriolepost/timer"
)

// Config describes a system.
type Config struct {
	// Instances is the number of instances. The first Voters+Standbys of them have
	// a data folder.
	Instances int
	// Voters is the number of voters. Standbys is the number of further
	// instances with a data folder, which are not voters at first.
	Voters   int
	Standbys int
	// Domains are the failure domains, assigned to the instances in turn; empty
	// stands for [DefaultDomains].
	Domains []string
	// Folder is the parent of the data folders.
	Folder string
	// Log gets the instances' log lines; nil drops them.
	Log log.Interface
	// Dial returns the function with which an instance dials the others, in
	// place of a TCP dial; nil stands for TCP.
	Dial func(instance string) func(context.Context, string) (net.Conn, error)
	// Policy selects a server among those that an entry holds slots of.
	Policy choice.Policy
	// Adjust changes the settings of each instance before it starts.
	Adjust func(s *settings.Settings)
}

// Cluster is a running system.
type Cluster struct {
	Config   Config
	Settings []settings.Settings
	// Nodes has an element for each instance; nil while it is stopped.
	Nodes   []*node.Node
	Servers []*testserver.Server
}

// DefaultDomains returns the failure domains of the first user's system.
func DefaultDomains() []string { return []string{"palermo", "catania", "ragusa"} }

// listenersPerInstance is the number of addresses that an instance listens on:
// caller, platform, operator and peer.
const listenersPerInstance = 4

// Start starts all instances of a system. It does not wait for a leader.
func Start(config Config) (cluster *Cluster, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start cluster: %w", err)
		}
	}()
	if len(config.Domains) == 0 {
		config.Domains = DefaultDomains()
	}
	if config.Log == nil {
		config.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	addresses, err := FreeAddresses(config.Instances * listenersPerInstance)
	if err != nil {
		return nil, err
	}
	cluster = &Cluster{Config: config, Nodes: make([]*node.Node, config.Instances)}
	for i := range config.Instances {
		cluster.Settings = append(cluster.Settings, config.instanceSettings(i, addresses))
	}
	for i := range config.Instances {
		if err := cluster.StartNode(i); err != nil {
			cluster.Stop()
			return nil, err
		}
	}
	return cluster, nil
}

// Ports are taken from below the range that the kernel uses for outgoing
// connections: an instance that restarts needs its own port again, and no outgoing
// connection must have taken it meanwhile.
const (
	firstPort = 23000
	lastPort  = 32000
)

// portsPerBlock is the number of ports in a block. A process takes its addresses
// from one block. Processes that run at the same time have different blocks, so
// that none takes an address that another has found free but does not yet listen
// on.
const portsPerBlock = 500

// portCounter selects the next port in this process's block, modulo its size.
var portCounter atomic.Int64

// portBlock is a range of ports that this process has claimed.
type portBlock struct {
	first int64
	// claim listens on the first port until the process ends.
	claim net.Listener
}

// claimPortBlock finds a port block that no other process has claimed.
var claimPortBlock = sync.OnceValues(func() (portBlock, error) {
	blocks := int64((lastPort - firstPort) / portsPerBlock)
	start := rand.Int64N(blocks)
	var err error
	for i := range blocks {
		first := firstPort + (start+i)%blocks*portsPerBlock
		var claim net.Listener
		if claim, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return portBlock{first: first, claim: claim}, nil
		}
	}
	return portBlock{}, fmt.Errorf("claim a block of loopback ports: no block has a free first port: %w", err)
})

// FreeAddresses returns n loopback addresses, as IP:port, that nobody listened on
// a moment ago. They come from the port block of this process.
func FreeAddresses(n int) (addresses []string, err error) {
	block, err := claimPortBlock()
	if err != nil {
		return nil, err
	}
	for range portsPerBlock {
		port := block.first + 1 + portCounter.Add(1)%(portsPerBlock-1)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return nil, err
		}
		if addresses = append(addresses, address); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, fmt.Errorf("found only %d of the %d free ports needed in the port block of this process", len(addresses), n)
}

// OwnHost returns a loopback IP that no other process gets from it while this one runs,
// for programs with fixed ports. It belongs to the port block of this process.
func OwnHost() (string, error) {
	block, err := claimPortBlock()
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("127.0.9.%d", 1+(block.first-firstPort)/portsPerBlock), nil
}

// instanceSettings returns the settings of instance i.
func (c Config) instanceSettings(i int, addresses []string) settings.Settings {
	instance := settings.Defaults()
	instance.Instance = c.instanceName(i)
	instance.Domain = c.Domain(i)
	own := addresses[i*listenersPerInstance:]
	instance.Listen = settings.Listen{Caller: own[0], Platform: own[1], Operator: own[2], Peer: own[3]}
	instance.PeerPlainText = true
	instance.Stop = settings.Stop{BalancerMS: 500, DeadlineMS: 5000}
	for j := range c.Voters + c.Standbys {
		instance.Control = append(instance.Control, settings.ControlInstance{
			Instance: c.instanceName(j), Domain: c.Domain(j), Voter: j < c.Voters,
			Address: addresses[j*listenersPerInstance+3],
		})
	}
	if i < c.Voters+c.Standbys {
		instance.DataFolder = filepath.Join(c.Folder, instance.Instance)
	}
	if c.Adjust != nil {
		c.Adjust(&instance)
	}
	return instance
}

// Domain returns the failure domain of instance i.
func (c Config) Domain(i int) string { return c.Domains[i%len(c.Domains)] }

// instanceName returns the name of instance i: its failure domain and its number
// there, from 1.
func (c Config) instanceName(i int) string {
	return fmt.Sprintf("%s-%d", c.Domain(i), i/len(c.Domains)+1)
}

// StartNode starts instance i, which must not be running.
func (c *Cluster) StartNode(i int) error {
	instance := c.Settings[i]
	options := node.Options{
		Policy: c.Config.Policy,
		Log:    c.Config.Log.WithFields(log.Fields{"instance": instance.Instance, "failure_domain": instance.Domain}),
	}
	if c.Config.Dial != nil {
		options.Dial = c.Config.Dial(instance.Instance)
	}
	n, err := node.Start(instance, options)
	if err != nil {
		return err
	}
	c.Nodes[i] = n
	return nil
}

// KillNode ends instance i without a graceful stop. It does nothing when the
// instance is not running.
func (c *Cluster) KillNode(i int) {
	if c.Nodes[i] != nil {
		c.Nodes[i].Kill()
		c.Nodes[i] = nil
	}
}

// StopNode stops instance i gracefully.
func (c *Cluster) StopNode(ctx context.Context, i int) error {
	n := c.Nodes[i]
	c.Nodes[i] = nil
	return n.Stop(ctx)
}

// Stop stops all test servers and kills all instances.
func (c *Cluster) Stop() {
	for _, s := range c.Servers {
		s.Stop()
	}
	c.Servers = nil
	for i := range c.Nodes {
		c.KillNode(i)
	}
}

// StartServer starts a test server that announces itself to all instances.
func (c *Cluster) StartServer(config testserver.Config) (*testserver.Server, error) {
	config.Platforms = nil
	for _, instance := range c.Settings {
		config.Platforms = append(config.Platforms, instance.Listen.Platform)
	}
	server, err := testserver.Start(config)
	if err == nil {
		c.Servers = append(c.Servers, server)
	}
	return server, err
}

// Targets returns all instances as targets of a load, also those that are stopped.
func (c *Cluster) Targets() []load.Target {
	var targets []load.Target
	for _, s := range c.Settings {
		targets = append(targets, load.Target{Caller: s.Listen.Caller, Platform: s.Listen.Platform})
	}
	return targets
}

// OperatorClient returns a client of the administration API of instance i.
func (c *Cluster) OperatorClient(i int) operator.Client {
	return operator.Client{Address: c.Settings[i].Listen.Operator}
}

// Apply replaces a service document and waits until it is in force, for up to
// [operator.DefaultWaitMS]. The change ID is made of the name and the version.
func (c *Cluster) Apply(ctx context.Context, d service.Document) (operator.Change, error) {
	id := fmt.Sprintf("%s-%d", d.Name, d.Version)
	return c.OperatorClient(0).Apply(ctx, d, operator.ChangeOptions{ChangeID: id, WaitMS: operator.DefaultWaitMS})
}

// statusPollInterval is the interval between two status requests of
// [Cluster.WaitStatus].
const statusPollInterval = 20 * time.Millisecond

// WaitStatus waits until an instance reports a status that meets a condition, and
// returns it. When the context ends, it returns the last status and an error.
func (c *Cluster) WaitStatus(ctx context.Context, condition func(peer.StatusResponse) bool) (status peer.StatusResponse, err error) {
	for {
		for i := range c.Nodes {
			if c.Nodes[i] == nil {
				continue
			}
			if status, err = c.OperatorClient(i).Status(ctx); err == nil && condition(status) {
				return status, nil
			}
		}
		if ctx.Err() != nil {
			return status, errors.Join(fmt.Errorf("the system did not reach the expected status; last status: %+v", status), ctx.Err(), err)
		}
		timer.Pause(ctx, statusPollInterval)
	}
}

// RecordedRuns returns the recorded runs of all test servers.
func (c *Cluster) RecordedRuns() []testserver.Run {
	var runs []testserver.Run
	for _, s := range c.Servers {
		runs = append(runs, s.Report().Records...)
	}
	return runs
}
