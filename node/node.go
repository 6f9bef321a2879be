// Package node runs one instance. It starts the tasks that the settings ask for,
// and shuts them down gracefully.
//
// Every instance is an entry. An instance with a data folder also runs the voter
// task. The voter task owns the replicated log, the data folder and the state
// machine. While its instance is the leader, it also owns the slots and leases
// them to the entries.
//
// Tasks own their state and communicate by messages. Their mailboxes have a fixed
// size. When a mailbox is full, calls wait for it. Messages between replicas are
// dropped, because the replicas send them again. Announcements to the entry task
// and requests to the voter task are refused. Each of these cases has a counter.
// Peers' requests to the entry task wait, without a counter.
//
// # Usage
//
//	n, err := node.Start(settings, node.Options{Log: logger})
//	...
//	err = n.Stop(ctx)
package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/oriolepost/oriolepost/admission"
	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/caller"
	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/httplisten"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/operator"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/platformhttp"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/search"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/telemetry"
	"github.com/oriolepost/oriolepost/timer"
)

// Options are the dependencies of an instance, besides its settings.
type Options struct {
	Log log.Interface
	// Dial replaces TCP between instances. Tests use it to cut connections.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Policy chooses one of the held slots for a call; nil means
	// choice.Expected.
	Policy choice.Policy
}

// Node is a running instance.
type Node struct {
	Settings settings.Settings
	Metrics  *metrics.Set

	log      log.Interface
	cancel   context.CancelFunc
	entry    *entryTask
	voter    *voterTask
	folder   *disk.Folder
	caller   *caller.Server
	platform *platformhttp.Server
	operator *operator.Server
	peers    *peer.Server
	// callerLimits limit what callers take, and adminLimits what arrives at each other
	// address.
	callerLimits httplisten.Limits
	adminLimits  httplisten.Limits
	tracer       trace.Tracer
	stopTracer   func(context.Context) error
	// ready carries the readiness from the entry task to the HTTP server for the
	// platform.
	ready chan bool
	// failed receives the error that ended the voter task.
	failed chan error
	// voterDone is closed when the voter task has ended, or at the start if there
	// is none.
	voterDone chan struct{}
}

// randomID returns a new identity for a boot or for a data folder.
func randomID() string {
	var b [8]byte
	// The standard library's reader never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Start starts an instance with its listeners. On an error it closes what it had
// started.
func Start(instanceSettings settings.Settings, options Options) (started *Node, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		Settings: instanceSettings, Metrics: metrics.NewSet(), log: options.Log, cancel: cancel,
		ready: make(chan bool, 16), failed: make(chan error, 1), voterDone: make(chan struct{}),
	}
	defer func() {
		if err != nil {
			cancel()
			n.closeAfterFailure()
			err = fmt.Errorf("start instance %s: %w", instanceSettings.Instance, err)
		}
	}()
	if n.tracer, n.stopTracer, err = telemetry.Tracer(instanceSettings); err != nil {
		return nil, err
	}
	limits := admission.LimitsOf(instanceSettings.Limits.MemoryMB, instanceSettings.Limits.MaxFDs)
	reservations := budget.Start(ctx, limits, n.Metrics, n.log)
	n.callerLimits = httplisten.Limits{MaxConns: limits.Conns, Budget: reservations}
	n.adminLimits = httplisten.Limits{MaxConns: limits.AdminConns, Budget: reservations}
	peerOptions := peer.Options{Dial: options.Dial, Metrics: n.Metrics, Budget: reservations, MaxConns: limits.AdminConns}
	if instanceSettings.PeerTLS != nil {
		if peerOptions.TLS, err = peer.TLSConfig(*instanceSettings.PeerTLS); err != nil {
			return nil, err
		}
	}
	pool := peer.NewPool(ctx, peerOptions)
	leader := peer.NewLeaderClient(pool, controlAddresses(instanceSettings))
	n.startEntry(ctx, pool, leader, options)
	if err := n.startVoter(ctx, pool, leader); err != nil {
		return nil, err
	}
	if n.peers, err = peer.Listen(ctx, instanceSettings.Listen.Peer, peerOptions, n.handlePeer); err != nil {
		return nil, err
	}
	if err := n.listen(ctx, leader); err != nil {
		return nil, err
	}
	n.log.WithFields(log.Fields{"change": "instance", "from": "stopped", "to": "started"}).Info("instance started")
	return n, nil
}

func controlAddresses(s settings.Settings) []search.Instance {
	var addresses []search.Instance
	for _, c := range s.Control {
		addresses = append(addresses, search.Instance{Name: c.Instance, Address: c.Address})
	}
	return addresses
}

func (n *Node) startEntry(ctx context.Context, pool *peer.Pool, leader *peer.LeaderClient, options Options) {
	cfg := entry.Config{
		Name: n.Settings.Instance, BootID: randomID(), Address: n.Settings.Listen.Peer,
		Domain: n.Settings.Domain, Policy: options.Policy,
	}
	if cfg.Policy == nil {
		cfg.Policy = choice.Expected{}
	}
	n.entry = newEntryTask(ctx, cfg, pool, leader)
	n.entry.metrics = n.Metrics
	n.entry.log = n.log
	n.entry.ready = n.ready
	go n.entry.run()
}

func (n *Node) startVoter(ctx context.Context, pool *peer.Pool, leader *peer.LeaderClient) (err error) {
	if n.Settings.DataFolder == "" {
		close(n.voterDone)
		return nil
	}
	if n.folder, err = disk.Open(n.Settings.DataFolder, n.Settings.Instance, randomID()); err != nil {
		close(n.voterDone)
		return err
	}
	n.voter, err = newVoterTask(ctx, n.Settings, n.folder, pool, leader)
	if err != nil {
		close(n.voterDone)
		return err
	}
	n.voter.metrics = n.Metrics
	n.voter.log = n.log
	go func() {
		defer close(n.voterDone)
		if err := n.voter.run(); err != nil {
			n.log.WithError(err).Error("voter task failed; this instance must stop")
			n.failed <- err
		}
	}()
	return nil
}

func (n *Node) listen(ctx context.Context, leader *peer.LeaderClient) (err error) {
	instanceSettings := n.Settings
	platformLimits := n.adminLimits
	if platformLimits.MaxConns > 0 {
		platformLimits.WriteTimeout = httplisten.WriteTimeout
	}
	n.platform, err = platformhttp.Listen(platformhttp.Options{
		Address: instanceSettings.Listen.Platform, Announce: n.announce, Metrics: n.Metrics, Limits: platformLimits,
	})
	if err != nil {
		return err
	}
	go n.forwardReadiness(ctx)
	n.operator, err = operator.Listen(operator.Options{
		Address: instanceSettings.Listen.Operator, Tokens: instanceSettings.OperatorTokens, Leader: leader, Metrics: n.Metrics, Limits: n.adminLimits,
	})
	if err != nil {
		return err
	}
	n.caller, err = caller.Listen(caller.Options{
		Instance: instanceSettings.Instance, Domain: instanceSettings.Domain, BootID: n.entry.core.Config.BootID, Address: instanceSettings.Listen.Caller,
		Mailbox: n.entry.callerMailbox, HTTP: instanceSettings.HTTP, Metrics: n.Metrics, Tracer: n.tracer, Limits: n.callerLimits,
		Propose: func(ctx context.Context, c record.Command) (record.Result, error) {
			return propose(ctx, leader, c)
		},
	})
	return err
}

// propose sends a command to the leader, which commits it, and returns its
// result.
func propose(ctx context.Context, leader *peer.LeaderClient, c record.Command) (record.Result, error) {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	response, err := leader.Call(ctx, peer.ProposeRequest{Command: c, TraceParent: carrier["traceparent"]})
	if err != nil {
		return nil, err
	}
	proposed, ok := response.(peer.ProposeResponse)
	if !ok {
		return nil, fmt.Errorf("propose: unexpected response %T", response)
	}
	return proposed.Result, nil
}

// announce passes a server's announcement to the entry task, which forwards it to
// the slot owner. It returns false if the announcement is refused. An instance
// that is not ready refuses announcements, so that the server tries another
// instance.
func (n *Node) announce(ctx context.Context, a membership.Announcement) bool {
	if !n.platform.Ready() {
		return false
	}
	select {
	case n.entry.mailbox <- entryMessage{event: entry.AnnouncementReceived{Announcement: a}}:
		return true
	case <-ctx.Done():
		return false
	default:
		n.Metrics.GetOrCreateCounter("oriolepost_announcements_refused_total").Inc()
		return false
	}
}

func (n *Node) forwardReadiness(ctx context.Context) {
	for {
		select {
		case ready := <-n.ready:
			n.platform.SetReady(ready)
		case <-ctx.Done():
			return
		}
	}
}

// Failed returns the channel that receives the error, such as a failed disk,
// after which the instance must be stopped.
func (n *Node) Failed() <-chan error { return n.failed }

// stopPollInterval is the interval between two checks of a condition during the
// graceful shutdown.
const stopPollInterval = 20 * time.Millisecond

// Stop shuts the instance down gracefully. First it reports to the platform's
// balancer that the instance is not ready; calls that still arrive are served.
// Then the entry releases its slots as their calls end, a leader transfers
// leadership, and the data folder is closed.
func (n *Node) Stop(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("stop instance %s: %w", n.Settings.Instance, err)
		}
	}()
	n.log.WithFields(log.Fields{"change": "instance", "from": "started", "to": "stopping"}).Info("instance stopping")
	n.entry.post(entryMessage{event: entry.ShutdownStarted{}})
	n.caller.Drain()
	timer.Pause(ctx, settings.Milliseconds(n.Settings.Stop.BalancerMS))
	ctx, cancel := context.WithTimeout(ctx, settings.Milliseconds(n.Settings.Stop.DeadlineMS))
	defer cancel()
	err = n.caller.Stop(ctx)
	n.waitFor(ctx, func() bool { return n.caller.Running() == 0 })
	n.entry.post(entryMessage{event: entry.LeaveStarted{}})
	n.waitFor(ctx, n.entryIdle)
	n.waitFor(ctx, n.requestLeadershipTransfer)
	err = errors.Join(err, n.operator.Stop(ctx), n.platform.Stop(ctx))
	n.cancel()
	<-n.peers.Done()
	<-n.voterDone
	if n.folder != nil {
		err = errors.Join(err, n.folder.Close())
	}
	err = errors.Join(err, n.stopTracer(ctx))
	n.log.WithFields(log.Fields{"change": "instance", "from": "stopping", "to": "stopped"}).Info("instance stopped")
	return err
}

// waitFor polls a condition until it holds or the context ends.
func (n *Node) waitFor(ctx context.Context, condition func() bool) {
	for ctx.Err() == nil && !condition() {
		timer.Pause(ctx, stopPollInterval)
	}
}

// entryIdle reports whether the entry has no running calls and has released all
// its slots. It also returns true once the entry task has ended.
func (n *Node) entryIdle() bool {
	answer := make(chan bool, 1)
	if !n.entry.post(entryMessage{idleAnswer: answer}) {
		return true
	}
	select {
	case idle := <-answer:
		return idle
	case <-n.entry.ctx.Done():
		return true
	}
}

// requestLeadershipTransfer asks the voter to transfer leadership if it is the
// leader, and reports whether no transfer is needed any more. An only voter keeps
// its leadership.
func (n *Node) requestLeadershipTransfer() bool {
	if n.voter == nil || len(n.Settings.Voters()) == 1 {
		return true
	}
	done := make(chan bool, 1)
	if n.voter.post(transferMessage{done: done}) != nil {
		return false
	}
	select {
	case transferred := <-done:
		return transferred
	case <-n.voterDone:
		return true
	}
}

// closeAfterFailure closes what Start had started before it failed.
func (n *Node) closeAfterFailure() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if n.platform != nil {
		_ = n.platform.Stop(ctx)
	}
	if n.operator != nil {
		_ = n.operator.Stop(ctx)
	}
	if n.peers != nil {
		<-n.peers.Done()
	}
	if n.folder != nil {
		<-n.voterDone
		_ = n.folder.Close()
	}
	if n.stopTracer != nil {
		_ = n.stopTracer(ctx)
	}
}

// Kill ends the instance immediately, without the steps of a graceful shutdown.
func (n *Node) Kill() {
	n.cancel()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.caller.Stop(ctx)
	_ = n.operator.Stop(ctx)
	_ = n.platform.Stop(ctx)
	<-n.peers.Done()
	<-n.voterDone
	if n.folder != nil {
		_ = n.folder.Close()
	}
}
