// Package gateway runs an entry: an instance that accepts callers' requests and
// forwards them to upstreams.
//
// It does the input and output for the decisions of package placement. Five
// kinds of tasks exchange messages:
//
//   - The entry task owns the placement state, the idle connections to upstreams
//     and the active requests.
//   - Each caller's connection has its own tasks, in package ingress.
//   - Each probe and each attempt is a task that owns one connection to an
//     upstream, which it returns to the entry task when it ends.
//   - The report task reports upstreams that crashed under a request to the control
//     instances.
//   - The watch task follows the view of the control instances by long polls. A
//     view holds the configuration and the fleet of upstreams.
//
// The callers' tasks read the routes from an immutable table behind an atomic
// pointer, which only the entry task sets.
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

	"github.com/oriolepost/oriolepost/admission"
	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/ingress"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/search"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/timer"
	"github.com/oriolepost/oriolepost/workspace"
)

const (
	// controlContactTimeout is how long an entry counts as connected to the
	// control instances after their last answer. It covers several watches.
	controlContactTimeout = 3 * time.Second
	// listenerCloseDelay is how long a stopping entry keeps accepting connections.
	// The balancer may still open some after the entry has reported that it is not
	// ready: for two readiness checks, a second apart. If half the grace period is
	// shorter, it is used instead.
	listenerCloseDelay = 2300 * time.Millisecond
	// killMargin is subtracted from the grace period, so that the process ends
	// before the platform kills it.
	killMargin = 400 * time.Millisecond
)

// Options holds what an entry needs besides its settings.
type Options struct {
	Log     log.Interface
	Metrics *metrics.Set
	// Names holds the deployment's HTTP header names.
	Names header.Names
	// Budget limits what is buffered for callers, and Limits the connections.
	Budget *budget.Budget
	Limits admission.Limits
	// Dial replaces TCP for the connections to the control instances; nil means
	// TCP. Tests use it to cut connections.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Gateway is a running entry.
type Gateway struct {
	settings settings.Deployment
	options  Options
	task     *task
	callers  *ingress.Server
	// table is nil until the first configuration.
	table atomic.Pointer[route.Table]
	// lastContact is the last answer of the leader; before the first one, the start of
	// the entry.
	lastContact atomic.Pointer[controlContact]
	// configured is closed by the entry task once requests can be routed.
	configured  chan struct{}
	stopping    atomic.Bool
	seedUpdates chan<- []search.Instance
	// pool has the connections to the control instances, and leader is the search for the
	// one that this entry follows.
	pool   *peer.Pool
	leader *peer.LeaderClient
}

// controlContact is an answer of the leader to a watch.
type controlContact struct {
	at timer.Stamp
	// proven is the moment as of which the configuration of that leader had everything that
	// was acknowledged. It is nil if the answer proves nothing.
	proven *timer.Stamp
	// confirms is how long the entry's configuration counts as the newest after the
	// answer: until the next answer is overdue. It is zero before the first answer.
	confirms time.Duration
}

// Start starts an entry. Its tasks run until the context ends; Stop closes the
// callers' connections. Start returns an error if the seeds are invalid or the
// entry can't listen on the callers' address.
func Start(ctx context.Context, deployment settings.Deployment, options Options) (gateway *Gateway, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start entry %s: %w", deployment.Instance, err)
		}
	}()
	seeds, err := control.Seeds(deployment)
	if err != nil {
		return nil, err
	}
	gateway = &Gateway{settings: deployment, options: options, configured: make(chan struct{})}
	gateway.lastContact.Store(&controlContact{at: timer.Now()})
	pool := peer.NewPool(ctx, peer.Options{Metrics: options.Metrics, Dial: options.Dial})
	leader := control.NewLeaderClient(pool, seeds, deployment.PeerPort)
	gateway.pool, gateway.leader = pool, leader
	reports := newReportTask(ctx, pool, leader, options.Metrics)
	gateway.task = newTask(ctx, gateway, placement.New(placement.Config{
		Name: deployment.Instance, Domain: deployment.Domain, RetryRatio: deployment.Bounds.RetryRatio, RetryWindow: deployment.Bounds.RetryWindow,
		RetrySlack: deployment.Bounds.RetrySlack, PooledRetries: deployment.Bounds.RetryRatio > 0 || deployment.Bounds.RetrySlack > 0, ColdFactor: deployment.Bounds.ColdFactor, ColdSlack: deployment.Bounds.ColdSlack,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), reports)
	go gateway.task.run()
	go reports.run()
	watch := &watchTask{
		gateway: gateway, ctx: ctx, leader: leader, seeds: seeds, seedUpdates: make(chan []search.Instance, 1),
		following: peer.NewFollowing(deployment.Instance), pool: pool, copyDelay: minCopyRetryDelay,
	}
	gateway.seedUpdates = watch.seedUpdates
	go watch.run()
	gateway.callers, err = ingress.Listen(ingress.Options{
		Address: deployment.Caller, Names: options.Names, Metrics: options.Metrics, Table: gateway.table.Load, TableConfirmed: gateway.tableConfirmed, KeysValid: gateway.keysValid, Configured: gateway.configured,
		Budget: options.Budget, MaxConns: options.Limits.Conns,
		Callbacks: ingress.Callbacks{Arrived: gateway.task.requestArrived, Disconnected: gateway.task.callersDisconnected, Refused: gateway.logRefused},
	})
	return gateway, err
}

// UpdateSeeds replaces the seeds by those of changed settings. The watch task
// takes them over after its current watch and uses them the next time that it
// searches for the leader. UpdateSeeds returns an error if a seed is invalid,
// or if the previous change has not been taken over yet.
func (g *Gateway) UpdateSeeds(d settings.Deployment) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("replace seeds: %w", err)
		}
	}()
	seeds, err := control.Seeds(d)
	if err != nil {
		return err
	}
	select {
	case g.seedUpdates <- seeds:
		return nil
	default:
		return errors.New("an earlier change of the seeds is still pending; try again")
	}
}

// Ready reports whether the balancer should send new connections to this entry.
// It should if the entry is not stopping, has a configuration, and is connected
// to the control instances.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.routes() && g.controlContactAge() < controlContactTimeout
}

// routes reports whether there is a routing table, and its keys are valid if requests need
// one.
func (g *Gateway) routes() bool {
	table := g.table.Load()
	return table != nil && (table.Workspaces == nil || g.keysValid())
}

// controlContactAge returns the time since the leader's last answer. It includes the time
// for which the machine was suspended.
func (g *Gateway) controlContactAge() time.Duration {
	return timer.Now().Since(g.lastContact.Load().at)
}

// tableConfirmed reports whether the leader has answered so recently that it would have
// reported a newer configuration.
func (g *Gateway) tableConfirmed() bool {
	contact := g.lastContact.Load()
	return timer.Now().Since(contact.at) < contact.confirms
}

// keysValid reports whether no key of the present table can have been revoked for longer
// than is allowed.
func (g *Gateway) keysValid() bool {
	lease := workspace.Lease{Revocation: g.settings.Bounds.Revocation}
	if lease.Revocation == 0 {
		return true
	}
	proven := g.lastContact.Load().proven
	return proven != nil && lease.Valid(timer.Now().Since(*proven))
}

// Stop shuts the entry down gracefully. The entry reports that it is not ready,
// answers the requests that it has read and those that still arrive, and closes
// the connections. Requests whose response is not expected before the end are
// refused. Stop returns when the listener is closed and all callers'
// connections have ended, at the latest killMargin before the end of the grace
// period. If the context ends first, it returns the error of the context.
func (g *Gateway) Stop(ctx context.Context) error {
	startedAt := time.Now()
	plan := placement.StopPlan{
		AcceptsUntil: startedAt.Add(min(listenerCloseDelay, max(0, g.settings.Bounds.Grace/2))),
		EndsAt:       startedAt.Add(max(0, g.settings.Bounds.Grace-killMargin)),
	}
	g.stopping.Store(true)
	g.task.post(stopMessage{plan})
	g.callers.Drain()
	graceTimer := time.NewTimer(time.Until(plan.EndsAt))
	defer graceTimer.Stop()
	listenerTimer := time.NewTimer(time.Until(plan.AcceptsUntil))
	defer listenerTimer.Stop()
	var err error
	for {
		select {
		case <-listenerTimer.C:
			err = errors.Join(err, g.callers.CloseListener())
		case <-g.callers.Done:
			g.options.Log.WithField("took_ms", time.Since(startedAt).Milliseconds()).Info("all caller connections closed")
			return err
		case <-graceTimer.C:
			g.options.Log.Warn("caller connections still open at the end of the grace period")
			return err
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		}
	}
}

// logRefused logs a request that package ingress refused without passing it to
// the entry task.
func (g *Gateway) logRefused(r *ingress.Request, status int, reason string) {
	g.options.Metrics.GetOrCreateCounter(fmt.Sprintf(`oriolepost_requests_total{outcome="refused",status="%d"}`, status)).Inc()
	g.options.Log.WithFields(log.Fields{
		"request_id": r.ID, "host": r.Host, "path": r.Path, "status": status, "reason": reason, "version": g.configurationVersion(),
		"control_contact_age_ms": g.controlContactAge().Milliseconds(),
	}).Info("request refused")
}

// configurationVersion returns none before the first configuration.
func (g *Gateway) configurationVersion() route.OptionalVersion {
	if t := g.table.Load(); t != nil {
		return route.KnownVersion(t.Configuration.Version)
	}
	return route.OptionalVersion{}
}
