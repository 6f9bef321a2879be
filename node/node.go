// Package node runs one instance: it starts the tasks that the settings ask
// for, and stops them gracefully.
//
// Every instance is an entry. An instance with a data folder also runs the
// voter task, which owns the replicated log, the data folder, the state
// machine and, while it leads, the slots. Tasks own their state and talk by
// messages; their mailboxes are bounded. A full mailbox makes callers wait,
// drops messages between replicas, which repeat them, and refuses everything
// else; each case has a counter.
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

	"github.com/oriolepost/oriolepost/balancer"
	"github.com/oriolepost/oriolepost/caller"
	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/operator"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/telemetry"
	"github.com/oriolepost/oriolepost/timer"
)

// Options are what an instance is given besides its settings.
type Options struct {
	Log log.Interface
	// Dial replaces TCP between instances; tests cut it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Policy picks among held slots; nil means choice.Expected.
	Policy choice.Policy
}

// Node is a running instance.
type Node struct {
	Settings settings.Settings
	Metrics  *metrics.Set

	log       log.Interface
	cancel    context.CancelFunc
	entry     *entryTask
	voter     *voterTask
	folder    *disk.Folder
	caller    *caller.Server
	platform  *balancer.Server
	operator  *operator.Server
	peers     *peer.Server
	tracer    trace.Tracer
	stopTrace func(context.Context) error
	ready     chan bool
	failed    chan error
	voterDone chan struct{}
}

// randomID returns an identity of a boot or of a data folder.
func randomID() string {
	var b [8]byte
	// The reader of the standard library never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Start starts an instance.
func Start(s settings.Settings, o Options) (started *Node, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		Settings: s, Metrics: metrics.NewSet(), log: o.Log, cancel: cancel,
		ready: make(chan bool, 16), failed: make(chan error, 1), voterDone: make(chan struct{}),
	}
	defer func() {
		if err != nil {
			cancel()
			n.closeAfterFailure()
			err = fmt.Errorf("start instance %s: %w", s.Instance, err)
		}
	}()
	if n.tracer, n.stopTrace, err = telemetry.Tracer(s); err != nil {
		return nil, err
	}
	peerOptions := peer.Options{Dial: o.Dial, Metrics: n.Metrics}
	if s.PeerTLS != nil {
		if peerOptions.TLS, err = peer.TLSConfig(*s.PeerTLS); err != nil {
			return nil, err
		}
	}
	pool := peer.NewPool(ctx, peerOptions)
	leader := peer.NewLeader(pool, controlAddresses(s))
	n.startEntry(ctx, pool, leader, o)
	if err := n.startVoter(ctx, pool, leader); err != nil {
		return nil, err
	}
	if n.peers, err = peer.Listen(ctx, s.Listen.Peer, peerOptions, n.handlePeer); err != nil {
		return nil, err
	}
	if err := n.listen(ctx, leader); err != nil {
		return nil, err
	}
	n.log.WithFields(log.Fields{"change": "instance", "from": "stopped", "to": "started"}).Info("instance started")
	return n, nil
}

func controlAddresses(s settings.Settings) []peer.Address {
	var out []peer.Address
	for _, c := range s.Control {
		out = append(out, peer.Address{Instance: c.Instance, Address: c.Address})
	}
	return out
}

func (n *Node) startEntry(ctx context.Context, pool *peer.Pool, leader *peer.Leader, o Options) {
	cfg := entry.Config{
		Name: n.Settings.Instance, BootID: randomID(), Address: n.Settings.Listen.Peer,
		Domain: n.Settings.Domain, Policy: o.Policy,
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

func (n *Node) startVoter(ctx context.Context, pool *peer.Pool, leader *peer.Leader) (err error) {
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
			n.log.WithError(err).Error("voter failed")
			n.failed <- err
		}
	}()
	return nil
}

func (n *Node) listen(ctx context.Context, leader *peer.Leader) (err error) {
	s := n.Settings
	n.platform, err = balancer.Listen(balancer.Options{
		Address: s.Listen.Platform, Announce: n.announce, Metrics: n.Metrics,
	})
	if err != nil {
		return err
	}
	go n.followReady(ctx)
	n.operator, err = operator.Listen(operator.Options{
		Address: s.Listen.Operator, Tokens: s.OperatorTokens, Leader: leader, Metrics: n.Metrics,
	})
	if err != nil {
		return err
	}
	n.caller, err = caller.Listen(caller.Options{
		Instance: s.Instance, Domain: s.Domain, Boot: n.entry.core.Config.BootID, Address: s.Listen.Caller,
		Mailbox: n.entry.callers, HTTP: s.HTTP, Metrics: n.Metrics, Tracer: n.tracer,
		Propose: func(ctx context.Context, c record.Command) (record.Result, error) {
			return propose(ctx, leader, c)
		},
	})
	return err
}

// propose commits a command through the leader.
func propose(ctx context.Context, leader *peer.Leader, c record.Command) (record.Result, error) {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	response, err := leader.Call(ctx, peer.ProposeRequest{Command: c, TraceParent: carrier["traceparent"]})
	if err != nil {
		return nil, err
	}
	p, ok := response.(peer.ProposeResponse)
	if !ok {
		return nil, fmt.Errorf("propose: unexpected response %T", response)
	}
	return p.Result, nil
}

// announce passes a server's announcement on to the slot owner. An instance
// that is not ready refuses, so that the server tries another one.
func (n *Node) announce(ctx context.Context, a membership.Announcement) bool {
	if !n.platform.Ready() {
		return false
	}
	select {
	case n.entry.events <- entryMail{event: entry.Announced{Announcement: a}}:
		return true
	case <-ctx.Done():
		return false
	default:
		n.Metrics.GetOrCreateCounter("oriolepost_announcements_refused_total").Inc()
		return false
	}
}

func (n *Node) followReady(ctx context.Context) {
	for {
		select {
		case ready := <-n.ready:
			n.platform.SetReady(ready)
		case <-ctx.Done():
			return
		}
	}
}

// Failed gives the error that makes the instance unfit to go on.
func (n *Node) Failed() <-chan error { return n.failed }

// stopPoll is the pause between two looks at what is left.
const stopPoll = 20 * time.Millisecond

// Stop stops the instance gracefully. The balancer is told first; calls that
// still come are served. Then the slots are given back as their calls end, the
// leader hands over, and the folder is closed.
func (n *Node) Stop(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("stop instance %s: %w", n.Settings.Instance, err)
		}
	}()
	n.log.WithFields(log.Fields{"change": "instance", "from": "started", "to": "stopping"}).Info("instance stops")
	n.entry.post(entryMail{event: entry.Stopped{}})
	n.caller.Drain()
	timer.Pause(ctx, settings.Milliseconds(n.Settings.Stop.BalancerMS))
	ctx, cancel := context.WithTimeout(ctx, settings.Milliseconds(n.Settings.Stop.DeadlineMS))
	defer cancel()
	err = n.caller.Stop(ctx)
	n.waitFor(ctx, func() bool { return n.caller.Running() == 0 })
	n.entry.post(entryMail{event: entry.Departing{}})
	n.waitFor(ctx, n.departed)
	n.waitFor(ctx, n.handedOver)
	err = errors.Join(err, n.operator.Stop(ctx), n.platform.Stop(ctx))
	n.cancel()
	<-n.peers.Done()
	<-n.voterDone
	if n.folder != nil {
		err = errors.Join(err, n.folder.Close())
	}
	err = errors.Join(err, n.stopTrace(ctx))
	n.log.WithFields(log.Fields{"change": "instance", "from": "stopping", "to": "stopped"}).Info("instance stopped")
	return err
}

// waitFor looks again and again until a condition holds or the time is up.
func (n *Node) waitFor(ctx context.Context, condition func() bool) {
	for ctx.Err() == nil && !condition() {
		timer.Pause(ctx, stopPoll)
	}
}

// departed reports whether the entry has given all slots back.
func (n *Node) departed() bool {
	idle := make(chan bool, 1)
	if !n.entry.post(entryMail{idle: idle}) {
		return true
	}
	select {
	case is := <-idle:
		return is
	case <-n.entry.ctx.Done():
		return true
	}
}

// handedOver reports whether the voter does not lead, and asks it to hand
// over if it does.
func (n *Node) handedOver() bool {
	if n.voter == nil || len(n.Settings.Voters()) == 1 {
		return true
	}
	done := make(chan bool, 1)
	if n.voter.post(handOverMail{done: done}) != nil {
		return false
	}
	select {
	case over := <-done:
		return over
	case <-n.voterDone:
		return true
	}
}

// closeAfterFailure closes what had been started.
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
	if n.stopTrace != nil {
		_ = n.stopTrace(ctx)
	}
}

// Kill ends the instance without any of the steps of a graceful stop.
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
