// Package gateway runs an instance that takes callers' requests: an entry.
//
// Four kinds of tasks talk by messages. The entry task owns the placement, the
// unused connections to upstreams and the requests under way. Each caller's
// connection has its tasks in package ingress. Each probe and each attempt is
// a task that owns one connection until it hands it back. The watch task
// follows the view of the control instances. The routes are given to the
// callers' tasks as one immutable table behind an atomic pointer, which only
// the entry task sets.
//
// # Usage
//
//	g, err := gateway.Start(ctx, deployment, gateway.Options{Log: logger, Metrics: set, Names: names})
//	ready := g.Ready()
//	g.Stop(ctx)
package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/ingress"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/settings"
)

const (
	// touchTimeout is how long an entry counts as in touch with the control
	// instances after an answer: several watches.
	touchTimeout = 3 * time.Second
	// balancerTime is how long the balancer may go on opening connections
	// after the entry said that it is not ready: two checks, a second apart.
	balancerTime = 2300 * time.Millisecond
	// killMargin is the time left before the platform kills the process.
	killMargin = 400 * time.Millisecond
)

// Options are what an entry is given besides its settings.
type Options struct {
	Log     log.Interface
	Metrics *metrics.Set
	Names   header.Names
	// Dial replaces TCP between instances; tests cut it.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Gateway is a running entry.
type Gateway struct {
	settings settings.Deployment
	options  Options
	task     *task
	callers  *ingress.Server
	table    atomic.Pointer[route.Table]
	// touched is when the leader last answered, in nanoseconds since origin.
	touched  atomic.Int64
	origin   time.Time
	stopping atomic.Bool
	reseed   chan<- []peer.Address
}

// Start starts an entry.
func Start(ctx context.Context, d settings.Deployment, o Options) (g *Gateway, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start entry %s: %w", d.Instance, err)
		}
	}()
	seeds, err := control.Seeds(d)
	if err != nil {
		return nil, err
	}
	g = &Gateway{settings: d, options: o, origin: time.Now()}
	g.task = newTask(ctx, g, placement.New(placement.Config{
		Name: d.Instance, Domain: d.Domain, RetryRatio: d.Bounds.RetryRatio, RetryWindow: d.Bounds.RetryWindow,
		RetrySlack: d.Bounds.RetrySlack, ColdFactor: d.Bounds.ColdFactor, ColdSlack: d.Bounds.ColdSlack,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	go g.task.run()
	pool := peer.NewPool(ctx, peer.Options{Metrics: o.Metrics, Dial: o.Dial})
	w := &watchTask{
		gateway: g, ctx: ctx, leader: control.NewLeader(pool, seeds, d.PeerPort), seeds: seeds, reseed: make(chan []peer.Address, 1),
	}
	g.reseed = w.reseed
	go w.run()
	g.callers, err = ingress.Listen(ingress.Options{
		Address: d.Caller, Names: o.Names, Metrics: o.Metrics, Table: g.table.Load,
		Post: ingress.Post{Arrived: g.task.arrived, Left: g.task.left, Refused: g.refused},
	})
	return g, err
}

// Reseed takes the seeds of changed settings. They are looked at when the
// leader is looked for the next time.
func (g *Gateway) Reseed(d settings.Deployment) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("take new seeds: %w", err)
		}
	}()
	seeds, err := control.Seeds(d)
	if err != nil {
		return err
	}
	select {
	case g.reseed <- seeds:
		return nil
	default:
		return errors.New("others are being taken")
	}
}

// Ready reports whether the balancer should send new connections here.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && g.touchAge() < touchTimeout
}

func (g *Gateway) touchAge() time.Duration {
	return time.Since(g.origin) - time.Duration(g.touched.Load())
}

// Stop ends the entry gracefully: it says that it is not ready, finishes what
// it has read and what still comes, and closes the connections.
func (g *Gateway) Stop(ctx context.Context) error {
	g.stopping.Store(true)
	g.callers.Drain()
	began := time.Now()
	limit := time.NewTimer(max(0, g.settings.Bounds.Grace-killMargin))
	defer limit.Stop()
	listening := time.NewTimer(min(balancerTime, max(0, g.settings.Bounds.Grace/2)))
	defer listening.Stop()
	var err error
	for {
		select {
		case <-listening.C:
			err = errors.Join(err, g.callers.CloseListener())
		case <-g.callers.Done:
			g.options.Log.WithField("took_ms", time.Since(began).Milliseconds()).Info("callers' connections ended")
			return err
		case <-limit.C:
			g.options.Log.Warn("callers' connections outlast the time to stop")
			return err
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

// refused logs a request that the callers' side answered by itself.
func (g *Gateway) refused(r *ingress.Request, status int, reason string) {
	g.options.Metrics.GetOrCreateCounter(fmt.Sprintf(`oriolepost_requests_total{outcome="refused",status="%d"}`, status)).Inc()
	g.options.Log.WithFields(log.Fields{
		"request_id": r.ID, "host": r.Host, "path": r.Path, "status": status, "reason": reason, "version": g.version(),
	}).Info("request refused")
}

func (g *Gateway) version() uint64 {
	if t := g.table.Load(); t != nil {
		return t.Configuration.Version
	}
	return 0
}
