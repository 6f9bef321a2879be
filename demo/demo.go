package demo

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/oriolepost/oriolepost/load"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/standin"
)

// Config describes a demonstration.
type Config struct {
	Entries  int
	Servers  int
	Rate     float64
	Duration time.Duration
}

// Result is what a demonstration found.
type Result struct {
	Calls        int `json:"calls"`
	Answered     int `json:"answered"`
	NotRun       int `json:"not_run"`
	Unknown      int `json:"unknown"`
	Duplicated   int `json:"duplicated"`
	Misdelivered int `json:"misdelivered"`
	FalseNotRun  int `json:"false_not_run"`
	OverLimit    int `json:"over_limit"`
	// ProbeCostShare is the share of the servers' slot time that probes took.
	ProbeCostShare float64 `json:"probe_cost_share"`
	P50MS          float64 `json:"p50_ms"`
	P99MS          float64 `json:"p99_ms"`
	KeyedP99MS     float64 `json:"keyed_p99_ms"`
	// AddedP99MS is the difference to calling the stand-ins directly, for
	// calls without a key; a key costs a commit more.
	AddedP99MS float64 `json:"added_p99_ms"`
}

// Broken gives an error when a promise was broken.
func (r Result) Broken() error {
	if r.Duplicated+r.Misdelivered+r.FalseNotRun+r.OverLimit > 0 {
		return fmt.Errorf("a promise was broken: %+v", r)
	}
	return nil
}

const (
	demoService = "booking"
	// demoServiceMS is the stand-ins' mean service time.
	demoServiceMS = 5
	demoColdMS    = 800
	demoStepMS    = 200
	// settleTime bounds the wait for a state.
	settleTime = 20 * time.Second
	voters     = 3
)

// Run runs a demonstration. progress gets a line for each stage.
func Run(ctx context.Context, c Config, progress func(string)) (r Result, err error) {
	folder, err := os.MkdirTemp("", "oriolepost-demo-")
	if err != nil {
		return Result{}, fmt.Errorf("demo: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	progress(fmt.Sprintf("starting %d instances, %d of them voters", c.Entries, voters))
	cluster, err := StartCluster(ClusterConfig{Entries: c.Entries, Voters: voters, Folder: folder})
	if err != nil {
		return Result{}, err
	}
	defer cluster.Stop()
	if err := cluster.prepare(ctx, c, progress); err != nil {
		return Result{}, fmt.Errorf("demo: %w", err)
	}
	return cluster.measure(ctx, c, progress)
}

// prepare puts a document in force, starts the servers and warms them up.
func (c *Cluster) prepare(ctx context.Context, cfg Config, progress func(string)) error {
	wait, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	d := service.Defaults(demoService)
	d.Cold.HoldMS = demoColdMS + demoStepMS
	d.Cold.StepMS = demoStepMS
	if _, err := c.Apply(wait, d); err != nil {
		return err
	}
	progress(fmt.Sprintf("service %s is in force; starting %d servers", demoService, cfg.Servers))
	for i := range cfg.Servers {
		s := standin.Defaults()
		s.Name = fmt.Sprintf("%s-%d", demoService, i+1)
		s.Domain = c.Config.domain(i)
		s.ServiceMS = demoServiceMS
		s.ColdMS = demoColdMS
		s.Seed = uint64(i)
		if _, err := c.StartServer(s); err != nil {
			return err
		}
	}
	if _, err := c.WaitStatus(wait, func(s peer.StatusResponse) bool {
		return len(s.Servers) == cfg.Servers && len(s.Entries) == cfg.Entries
	}); err != nil {
		return err
	}
	return c.WarmUp(ctx, cfg.Rate, settleTime)
}

// WarmUp calls all services until every server is warm.
func (c *Cluster) WarmUp(ctx context.Context, rate float64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	loading, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		_, err := load.Run(loading, c.Load(rate/4, limit))
		done <- err
	}()
	_, err := c.WaitStatus(ctx, func(s peer.StatusResponse) bool {
		for _, v := range s.Servers {
			if v.Limit < v.Slots {
				return false
			}
		}
		return len(s.Servers) > 0
	})
	stop()
	return errors.Join(err, <-done)
}

// Load gives a load of all services through all instances.
func (c *Cluster) Load(rate float64, duration time.Duration) load.Config {
	names := map[string]bool{}
	var services []string
	for _, s := range c.Servers {
		if !names[s.Config.Service] {
			names[s.Config.Service] = true
			services = append(services, s.Config.Service)
		}
	}
	return load.Config{
		Targets: c.Targets(), Services: services, Rate: rate, Duration: duration,
		WriteShare: 0.4, KeyedShare: 0.25, ResendShare: 0.1, BodyBytes: 512,
		Deadline: 2 * time.Second, Seed: uint64(time.Now().UnixNano()),
	}
}

// measure runs the load through the entries and then at the servers directly.
func (c *Cluster) measure(ctx context.Context, cfg Config, progress func(string)) (Result, error) {
	progress(fmt.Sprintf("servers are warm; %.0f calls a second for %v", cfg.Rate, cfg.Duration))
	before := len(c.Runs())
	through := c.Load(cfg.Rate, cfg.Duration)
	report, err := load.Run(ctx, through)
	if err != nil {
		return Result{}, err
	}
	v := load.Judge(report.History, c.Runs()[before:])
	// The direct load knows no limits, so the limits are judged before it.
	v.OverLimit += c.overLimit()
	probes := c.probeCostShare()
	progress("calling the servers directly for comparison")
	direct := through
	direct.Targets = nil
	direct.KeyedShare = 0
	direct.Duration /= 3
	for _, s := range c.Servers {
		direct.Targets = append(direct.Targets, load.Target{Caller: s.Address()})
	}
	base, err := load.Run(ctx, direct)
	if err != nil {
		return Result{}, err
	}
	return Result{
		Calls: report.Calls, Answered: report.Answered, NotRun: report.NotRun, Unknown: report.Unknown,
		Duplicated: v.Duplicated, Misdelivered: v.Misdelivered, FalseNotRun: v.FalseNotRun,
		OverLimit: v.OverLimit, ProbeCostShare: probes,
		P50MS: report.P50MS, P99MS: report.P99MS, KeyedP99MS: report.KeyedP99MS, AddedP99MS: report.PlainP99MS - base.PlainP99MS,
	}, nil
}

// overLimit counts the arrivals beyond the servers' limits.
func (c *Cluster) overLimit() int {
	n := 0
	for _, s := range c.Servers {
		n += s.Report().OverLimit
	}
	return n
}

func (c *Cluster) probeCostShare() float64 {
	busy, probes := 0.0, 0.0
	for _, s := range c.Servers {
		r := s.Report()
		busy += r.BusyMS
		probes += r.ProbeMS
	}
	if busy == 0 {
		return 0
	}
	return probes / busy
}
