package terminal

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/gateway"
	"github.com/oriolepost/oriolepost/httplisten"
	"github.com/oriolepost/oriolepost/platform"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/telemetry"
)

var serveVerb = verb{
	name:     "serve",
	synopsis: "run one instance on the users' platform until SIGTERM",
	usage:    serveUsage,
	parse:    parseServe,
}

const serveUsage = `oriolepost serve

Runs one instance with the settings file that the platform names. What the
instance serves follows from the addresses in the settings: callers, or
operators and upstreams. SIGTERM stops it gracefully. On SIGHUP, and when the
settings file has changed, it takes the seeds of the file.

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
	// listeners take readiness checks and the calls of the platform.
	listeners []*httplisten.Listener
}

func newServeWork() *serveWork { return &serveWork{metrics: metrics.NewSet()} }

const (
	// heapPercent is how much garbage may pile up: memory is dearer than the
	// collector's time where instances are this small.
	heapPercent = 50
	// memoryShare is the share of the process's limit from which on the
	// collector works harder; the rest is for what it does not count.
	memoryShare = 0.7
	// metricsPort is the port of the metrics, as deploy/system.toml states it.
	metricsPort = 9464
	// outletTime bounds writing the last lines of the log.
	outletTime = 200 * time.Millisecond
	// controlStopTime bounds handing over the lead at a stop.
	controlStopTime = 1500 * time.Millisecond
)

func (s *serveWork) run(ctx context.Context, args []string, t Terminal) (result any, err error) {
	if err := arguments(args); err != nil {
		return nil, err
	}
	if s.settings, err = platform.LoadSettings(); err != nil {
		return nil, err
	}
	debug.SetGCPercent(heapPercent)
	if s.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.settings.MemoryMB<<20)))
	}
	outlet := telemetry.NewOutlet(t.Out, s.metrics)
	defer closeOutlet(outlet)
	s.log = telemetry.ServeLogger(outlet, s.settings)
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := s.start(running); err != nil {
		return nil, err
	}
	s.log.WithFields(log.Fields{"change": "instance", "from": "stopped", "to": "started"}).Info("instance started")
	err = s.wait(ctx)
	s.log.WithFields(log.Fields{"change": "instance", "from": "started", "to": "stopped"}).Info("instance stopped")
	return nil, err
}

// closeOutlet writes the last lines of the log.
func closeOutlet(o *telemetry.Outlet) {
	ctx, cancel := context.WithTimeout(context.Background(), outletTime)
	defer cancel()
	o.Close(ctx)
}

func (s *serveWork) start(ctx context.Context) error {
	d := s.settings
	if d.Control != "" {
		var err error
		if s.control, err = control.Start(ctx, d, control.Options{Log: s.log, Metrics: s.metrics}); err != nil {
			return err
		}
		l, err := platform.ListenControl(d.Control, platform.Calls{Leader: s.control.Call, Metrics: s.metrics})
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, l)
	}
	if d.Caller != "" {
		var err error
		s.gateway, err = gateway.Start(ctx, d, gateway.Options{Log: s.log, Metrics: s.metrics, Names: platform.HeaderNames()})
		if err != nil {
			return err
		}
		l, err := platform.ListenReady(d.Balancer, s.gateway.Ready, s.metrics)
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, l)
	}
	if s.control == nil && s.gateway == nil {
		return &UsageError{Problem: "the settings name no address to serve"}
	}
	return s.serveMetrics()
}

// serveMetrics serves the counters and histograms.
func (s *serveWork) serveMetrics() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	l, err := httplisten.Start(control.PeerAddress(s.settings.IP, metricsPort), &http.Server{
		Handler: mux, ReadHeaderTimeout: httplisten.HeaderTimeout, IdleTimeout: httplisten.IdleTimeout,
	}, s.metrics)
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, l)
	return nil
}

// wait runs the instance until it is stopped or fails.
func (s *serveWork) wait(ctx context.Context) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	var failed chan error
	if s.control != nil {
		failed = s.control.Done
	}
	changes := time.NewTicker(settingsPause)
	defer changes.Stop()
	read := platform.SettingsChanged()
	for {
		select {
		case <-ctx.Done():
			return s.stop()
		case err := <-failed:
			return fmt.Errorf("control instance failed: %w", err)
		case <-reload:
			read = platform.SettingsChanged()
			s.reload("signal")
		case <-changes.C:
			if at := platform.SettingsChanged(); !at.Equal(read) {
				read = at
				s.reload("file")
			}
		}
	}
}

// settingsPause is the pause between two looks at whether the settings file has
// changed without a signal. Nothing waits for it: seeds matter only when all
// control instances that an instance knows are gone.
const settingsPause = 5 * time.Second

// reload reads the settings file again and takes its seeds. Addresses and
// identity hold for the life of a process.
func (s *serveWork) reload(cause string) {
	d, err := platform.LoadSettings()
	if err == nil && s.gateway != nil {
		err = s.gateway.Reseed(d)
	}
	if err == nil && s.control != nil {
		err = s.control.Reseed(d)
	}
	if err != nil {
		s.log.WithError(err).WithField("cause", cause).Warn("settings not reloaded")
		return
	}
	s.log.WithFields(log.Fields{"change": "settings", "cause": cause, "seeds": d.Seeds, "from": s.settings.Seeds}).Info("settings reloaded")
	s.settings.Seeds = d.Seeds
}

// stop ends the instance gracefully.
func (s *serveWork) stop() (err error) {
	s.log.WithFields(log.Fields{"change": "instance", "from": "started", "to": "stopping"}).Info("instance stops")
	if s.gateway != nil {
		err = s.gateway.Stop(context.Background())
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlStopTime)
	defer cancel()
	if s.control != nil {
		s.control.HandOver(ctx)
	}
	for _, l := range s.listeners {
		err = errors.Join(err, l.Stop(ctx))
	}
	return err
}
