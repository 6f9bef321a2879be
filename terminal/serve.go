package terminal

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/admission"
	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/gateway"
	"github.com/oriolepost/oriolepost/hangup"
	"github.com/oriolepost/oriolepost/httplisten"
	"github.com/oriolepost/oriolepost/platform"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/telemetry"
	"github.com/oriolepost/oriolepost/timer"
)

var serveVerb = verb{
	name:     "serve",
	synopsis: "run one instance on the users' platform until SIGTERM",
	usage:    serveUsage,
	parse:    parseServe,
}

const serveUsage = `oriolepost serve

Runs one instance with the settings file that the platform names in the
environment. The addresses in the settings decide what the instance serves:
callers, or operators and upstreams. SIGTERM stops it gracefully. On SIGHUP, and
when the settings file has changed, it replaces its seeds by those of the file.

Example:
  oriolepost serve

`

func parseServe(*flag.FlagSet) work { return newServeWork().run }

type serveWork struct {
	settings settings.Deployment
	log      log.Interface
	metrics  *metrics.Set
	control  *control.Control
	gateway  *gateway.Gateway
	limits   admission.Limits
	budget   *budget.Budget
	// listeners serve readiness checks, the platform's requests to the leader,
	// and metrics.
	listeners []*httplisten.Listener
}

func newServeWork() *serveWork { return &serveWork{metrics: metrics.NewSet()} }

const (
	// gcPercent is the GC percentage of an instance. It is below Go's default of
	// 100, because on instances this small memory is scarcer than CPU time for
	// the garbage collector.
	gcPercent = 50
	// memoryLimitRatio is the soft memory limit of the Go runtime, above which
	// the garbage collector runs more often, relative to the memory limit of the
	// process. The rest is left for memory that the runtime does not count.
	memoryLimitRatio = 0.7
	// metricsPort is the port of the metrics; deploy/system.toml has the same.
	metricsPort = 9464
	// logFlushTimeout bounds writing the last log lines at the exit.
	logFlushTimeout = 200 * time.Millisecond
	// controlStopTimeout bounds the end of a graceful stop: the listeners, and the control
	// instance if the stop has taken longer than leaveShare of the time until SIGKILL.
	controlStopTimeout = 1500 * time.Millisecond
	// leaveShare is the share of the time until SIGKILL in which a control instance hands
	// over its leadership and its vote.
	leaveShare = 0.5
)

func (s *serveWork) run(ctx context.Context, args []string, t Terminal) (result any, err error) {
	if err := checkArguments(args); err != nil {
		return nil, err
	}
	if s.settings, err = loadSettings(ctx); err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	limitMemory(s.settings.MemoryMB)
	logWriter := telemetry.NewLogWriter(t.Out, s.metrics)
	defer closeLogWriter(logWriter)
	s.log = telemetry.DeploymentLogger(logWriter, s.settings)
	instanceCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.limits = admission.LimitsOf(s.settings.MemoryMB, s.settings.MaxFDs)
	s.budget = budget.Start(instanceCtx, s.limits, s.metrics, s.log)
	if err := s.start(instanceCtx, ctx); err != nil {
		if ctx.Err() != nil && errors.Is(err, syscall.ENOSPC) {
			s.log.WithFields(log.Fields{"change": "instance", "from": "starting", "to": "stopped"}).Info("instance stopped")
			return nil, nil
		}
		return nil, err
	}
	s.log.WithFields(log.Fields{"change": "instance", "from": "stopped", "to": "started"}).Info("instance started")
	err = s.waitForStop(ctx)
	s.log.WithFields(log.Fields{"change": "instance", "from": "started", "to": "stopped"}).Info("instance stopped")
	return nil, err
}

// limitMemory sets the soft memory limit of the runtime; zero leaves it as it is.
func limitMemory(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(memoryMB<<20)))
	}
}

const (
	// settingsAttempts and settingsRetryInterval bound the reading of the settings at
	// the start: the platform may be writing the file.
	settingsAttempts      = 10
	settingsRetryInterval = 50 * time.Millisecond
)

// loadSettings reads the settings. While the file can't be read in whole, it tries again.
func loadSettings(ctx context.Context) (deployment settings.Deployment, err error) {
	for range settingsAttempts {
		if deployment, err = platform.LoadSettings(); err == nil || !timer.Pause(ctx, settingsRetryInterval) {
			break
		}
	}
	return deployment, err
}

// closeLogWriter writes the remaining log lines, for at most [logFlushTimeout].
func closeLogWriter(o *telemetry.LogWriter) {
	ctx, cancel := context.WithTimeout(context.Background(), logFlushTimeout)
	defer cancel()
	o.Close(ctx)
}

// start starts the control instance, the gateway for callers, or both, and their
// listeners. Stop ends a wait for space on the disk.
func (s *serveWork) start(ctx, stop context.Context) error {
	deployment := s.settings
	if deployment.Control != "" {
		var err error
		if s.control, err = control.Start(ctx, deployment, control.Options{Log: s.log, Metrics: s.metrics, Budget: s.budget, MaxConns: s.limits.Conns, Stop: stop}); err != nil {
			return err
		}
		l, err := platform.ListenControl(deployment.Control, platform.Calls{Leader: s.control.Call, Metrics: s.metrics, Log: s.log, Limits: httplisten.Limits{MaxConns: s.limits.Conns, Budget: s.budget}})
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, l)
	}
	if deployment.Caller != "" {
		var err error
		s.gateway, err = gateway.Start(ctx, deployment, gateway.Options{Log: s.log, Metrics: s.metrics, Names: platform.HeaderNames(), Budget: s.budget, Limits: s.limits})
		if err != nil {
			return err
		}
		l, err := platform.ListenReadiness(deployment.Balancer, s.gateway.Ready, s.metrics, s.adminLimits())
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, l)
	}
	if s.control == nil && s.gateway == nil {
		return &UsageError{Problem: "the settings name neither a control address nor a caller address; set at least one of them"}
	}
	return s.serveMetrics()
}

// adminLimits returns the limits of the listeners for readiness checks and metrics.
func (s *serveWork) adminLimits() httplisten.Limits {
	if s.limits.AdminConns == 0 {
		return httplisten.Limits{}
	}
	return httplisten.Limits{MaxConns: s.limits.AdminConns, WriteTimeout: httplisten.WriteTimeout}
}

// serveMetrics serves the metrics in Prometheus format under /metrics.
func (s *serveWork) serveMetrics() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	l, err := httplisten.StartLimited(control.PeerAddress(s.settings.IP, metricsPort), &http.Server{
		Handler: mux, ReadHeaderTimeout: httplisten.HeaderTimeout, IdleTimeout: httplisten.IdleTimeout,
	}, s.metrics, s.adminLimits())
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, l)
	return nil
}

// waitForStop stops the instance when the context ends. It returns an error as
// soon as the control instance fails. Until then it reloads the settings on SIGHUP
// and when the settings file changes.
func (s *serveWork) waitForStop(ctx context.Context) error {
	var failed chan error
	if s.control != nil {
		failed = s.control.Done
	}
	settingsPoll := time.NewTicker(settingsPollInterval)
	defer settingsPoll.Stop()
	loaded := platform.SettingsModTime()
	for {
		select {
		case <-ctx.Done():
			return s.stop()
		case err := <-failed:
			return fmt.Errorf("control instance failed: %w", err)
		case <-hangup.Received:
			loaded = s.reload("signal", loaded)
		case <-settingsPoll.C:
			if !platform.SettingsModTime().Equal(loaded) {
				loaded = s.reload("file", loaded)
			}
		}
	}
}

// settingsPollInterval is the interval of the checks whether the settings file
// has changed without a SIGHUP. A late check does no harm: seeds are needed only
// when all control instances that an instance knows are gone.
const settingsPollInterval = 5 * time.Second

// reload reads the settings file again and replaces the seeds. Addresses and
// identity stay the same for the lifetime of the process. It returns the modification
// time of the file that was taken over: the former one if that failed, so that the next
// check tries again.
func (s *serveWork) reload(cause string, loaded time.Time) time.Time {
	changed := platform.SettingsModTime()
	deployment, err := platform.LoadSettings()
	if err == nil && s.gateway != nil {
		err = s.gateway.UpdateSeeds(deployment)
	}
	if err == nil && s.control != nil {
		err = s.control.UpdateSeeds(deployment)
	}
	if err != nil {
		s.log.WithError(err).WithField("cause", cause).Warn("could not reload the settings; the next check tries again")
		return loaded
	}
	s.log.WithFields(log.Fields{"change": "settings", "cause": cause, "seeds": deployment.Seeds, "from": s.settings.Seeds}).Info("settings reloaded")
	s.settings.Seeds = deployment.Seeds
	return changed
}

// stop stops the instance gracefully: first the gateway, then the control
// instance hands over its leadership and its vote, then the listeners stop.
func (s *serveWork) stop() (err error) {
	start := time.Now()
	s.log.WithFields(log.Fields{"change": "instance", "from": "started", "to": "stopping"}).Info("instance stopping")
	if s.gateway != nil {
		err = s.gateway.Stop(context.Background())
	}
	if s.control != nil {
		s.leaveGroup(start.Add(time.Duration(leaveShare * float64(s.settings.Bounds.Grace))))
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlStopTimeout)
	defer cancel()
	for _, l := range s.listeners {
		err = errors.Join(err, l.Stop(ctx))
	}
	return err
}

// leaveGroup hands over the control instance's leadership and vote until a time, and for
// [controlStopTimeout] at least.
func (s *serveWork) leaveGroup(until time.Time) {
	began := time.Now()
	if least := began.Add(controlStopTimeout); until.Before(least) {
		until = least
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	s.control.Leave(ctx)
	s.log.WithFields(log.Fields{"change": "membership", "duration_ms": time.Since(began).Milliseconds(), "in_time": ctx.Err() == nil}).Info("left the voter group")
}
