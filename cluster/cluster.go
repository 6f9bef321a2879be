// Package cluster runs a whole system in one process on loopback: voters, entry
// instances and stand-in servers. The demonstration, the experiments, the soak
// and the proofs use it.
//
// The instances are real: they talk over TCP and write to data folders. Only
// the processes are missing, which separate proofs start.
//
// # Usage
//
//	c, err := cluster.Start(cluster.Config{Entries: 5, Folder: folder})
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
	"github.com/oriolepost/oriolepost/standin"
	"github.com/oriolepost/oriolepost/timer"
)

// Config describes a system.
type Config struct {
	// Entries is the number of instances; the first Voters of them have disks.
	Entries int
	// Voters is the number of voters, Standbys that of further disks.
	Voters   int
	Standbys int
	// Domains are the failure domains, used in turn.
	Domains []string
	// Folder holds the data folders.
	Folder string
	// Log gets the instances' log lines; nil drops them.
	Log log.Interface
	// Dial replaces TCP between instances, by the name of the one that dials.
	Dial func(instance string) func(context.Context, string) (net.Conn, error)
	// Policy picks among held slots.
	Policy choice.Policy
	// Adjust changes the settings of each instance.
	Adjust func(s *settings.Settings)
}

// Cluster is a running system.
type Cluster struct {
	Config   Config
	Settings []settings.Settings
	// Nodes holds nil for instances that are stopped.
	Nodes   []*node.Node
	Servers []*standin.Server
}

// DefaultDomains are the failure domains of the first user.
func DefaultDomains() []string { return []string{"palermo", "catania", "ragusa"} }

// listenersPerInstance is how many addresses an instance listens on.
const listenersPerInstance = 4

// Start starts all instances of a system.
func Start(c Config) (cluster *Cluster, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start cluster: %w", err)
		}
	}()
	if len(c.Domains) == 0 {
		c.Domains = DefaultDomains()
	}
	if c.Log == nil {
		c.Log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	}
	addresses, err := FreeAddresses(c.Entries * listenersPerInstance)
	if err != nil {
		return nil, err
	}
	cluster = &Cluster{Config: c, Nodes: make([]*node.Node, c.Entries)}
	for i := range c.Entries {
		cluster.Settings = append(cluster.Settings, c.instance(i, addresses))
	}
	for i := range c.Entries {
		if err := cluster.StartNode(i); err != nil {
			cluster.Stop()
			return nil, err
		}
	}
	return cluster, nil
}

// Addresses are taken below the ports that the kernel gives to outgoing
// connections, since an instance that restarts needs its own again.
const (
	firstPort = 23000
	lastPort  = 32000
)

// blockPorts is how many ports one process takes its addresses from. Other
// processes that run at the same time have blocks of their own, so that none
// takes an address that another has found free but does not yet listen on.
const blockPorts = 1000

// nextPort counts through the ports of this process's block.
var nextPort atomic.Int64

// claimBlock finds a block that no other process has. The listener on its first
// port is the claim; it is held until the process ends.
var claimBlock = sync.OnceValues(func() (first int64, err error) {
	blocks := int64((lastPort - firstPort) / blockPorts)
	start := rand.Int64N(blocks)
	for i := range blocks {
		first = firstPort + (start+i)%blocks*blockPorts
		if _, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return first, nil
		}
	}
	return 0, fmt.Errorf("claim a block of ports: %w", err)
})

// FreeAddresses finds loopback addresses that nobody listens on.
func FreeAddresses(n int) (addresses []string, err error) {
	first, err := claimBlock()
	if err != nil {
		return nil, err
	}
	for range blockPorts {
		port := first + 1 + nextPort.Add(1)%(blockPorts-1)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, err
		}
		if addresses = append(addresses, address); len(addresses) == n {
			return addresses, nil
		}
	}
	return nil, fmt.Errorf("only %d of %d ports are free", len(addresses), n)
}

// instance makes the settings of one instance.
func (c Config) instance(i int, addresses []string) settings.Settings {
	s := settings.Defaults()
	s.Instance = c.name(i)
	s.Domain = c.Domain(i)
	a := addresses[i*listenersPerInstance:]
	s.Listen = settings.Listen{Caller: a[0], Platform: a[1], Operator: a[2], Peer: a[3]}
	s.PeerPlainText = true
	s.Stop = settings.Stop{BalancerMS: 500, DeadlineMS: 5000}
	for j := range c.Voters + c.Standbys {
		s.Control = append(s.Control, settings.ControlInstance{
			Instance: c.name(j), Domain: c.Domain(j), Voter: j < c.Voters,
			Address: addresses[j*listenersPerInstance+3],
		})
	}
	if i < c.Voters+c.Standbys {
		s.DataFolder = filepath.Join(c.Folder, s.Instance)
	}
	if c.Adjust != nil {
		c.Adjust(&s)
	}
	return s
}

// Domain is the failure domain of the instance with a number.
func (c Config) Domain(i int) string { return c.Domains[i%len(c.Domains)] }

func (c Config) name(i int) string {
	return fmt.Sprintf("%s-%d", c.Domain(i), i/len(c.Domains)+1)
}

// StartNode starts an instance that is not running.
func (c *Cluster) StartNode(i int) error {
	s := c.Settings[i]
	o := node.Options{
		Policy: c.Config.Policy,
		Log:    c.Config.Log.WithFields(log.Fields{"instance": s.Instance, "failure_domain": s.Domain}),
	}
	if c.Config.Dial != nil {
		o.Dial = c.Config.Dial(s.Instance)
	}
	n, err := node.Start(s, o)
	if err != nil {
		return err
	}
	c.Nodes[i] = n
	return nil
}

// KillNode ends an instance without a graceful stop.
func (c *Cluster) KillNode(i int) {
	if c.Nodes[i] != nil {
		c.Nodes[i].Kill()
		c.Nodes[i] = nil
	}
}

// StopNode stops an instance gracefully.
func (c *Cluster) StopNode(ctx context.Context, i int) error {
	n := c.Nodes[i]
	c.Nodes[i] = nil
	return n.Stop(ctx)
}

// Stop ends everything that runs.
func (c *Cluster) Stop() {
	for _, s := range c.Servers {
		s.Stop()
	}
	c.Servers = nil
	for i := range c.Nodes {
		c.KillNode(i)
	}
}

// StartServer starts a stand-in that announces itself to all instances.
func (c *Cluster) StartServer(s standin.Config) (*standin.Server, error) {
	s.Platforms = nil
	for _, x := range c.Settings {
		s.Platforms = append(s.Platforms, x.Listen.Platform)
	}
	server, err := standin.Start(s)
	if err == nil {
		c.Servers = append(c.Servers, server)
	}
	return server, err
}

// Targets lists the running instances for a load.
func (c *Cluster) Targets() []load.Target {
	var targets []load.Target
	for _, s := range c.Settings {
		targets = append(targets, load.Target{Caller: s.Listen.Caller, Platform: s.Listen.Platform})
	}
	return targets
}

// Operator gives a client of an instance's administration API.
func (c *Cluster) Operator(i int) operator.Client {
	return operator.Client{Address: c.Settings[i].Listen.Operator}
}

// Apply puts a document in force.
func (c *Cluster) Apply(ctx context.Context, d service.Document) (operator.Change, error) {
	id := fmt.Sprintf("%s-%d", d.Name, d.Version)
	return c.Operator(0).Apply(ctx, d, operator.ChangeOptions{ChangeID: id, WaitMS: operator.DefaultWaitMS})
}

// waitPause is the pause between two looks at a condition.
const waitPause = 20 * time.Millisecond

// WaitStatus waits until the state of the system fits.
func (c *Cluster) WaitStatus(ctx context.Context, fits func(peer.StatusResponse) bool) (s peer.StatusResponse, err error) {
	for {
		for i := range c.Nodes {
			if c.Nodes[i] == nil {
				continue
			}
			if s, err = c.Operator(i).Status(ctx); err == nil && fits(s) {
				return s, nil
			}
		}
		if ctx.Err() != nil {
			return s, errors.Join(fmt.Errorf("the state did not come: %+v", s), ctx.Err(), err)
		}
		timer.Pause(ctx, waitPause)
	}
}

// Runs gathers the records of all stand-ins.
func (c *Cluster) Runs() []standin.Run {
	var runs []standin.Run
	for _, s := range c.Servers {
		runs = append(runs, s.Report().Records...)
	}
	return runs
}
