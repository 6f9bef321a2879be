// Package demo is the demonstration: a whole system in one process on
// loopback, a load through it, and a small table of what callers got.
//
// # Usage
//
//	result, err := demo.Run(ctx, demo.Config{Entries: 5, Servers: 6}, progress)
package demo

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/oriolepost/oriolepost/cluster"
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
	running, err := cluster.Start(cluster.Config{Entries: c.Entries, Voters: voters, Folder: folder})
	if err != nil {
		return Result{}, err
	}
	defer running.Stop()
	if err := prepare(ctx, running, c, progress); err != nil {
		return Result{}, fmt.Errorf("demo: %w", err)
	}
	return measure(ctx, running, c, progress)
}

// prepare puts a document in force, starts the servers and warms them up.
func prepare(ctx context.Context, c *cluster.Cluster, cfg Config, progress func(string)) error {
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
		s.Domain = c.Config.Domain(i)
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

// measure runs the load through the entries and then at the servers directly.
func measure(ctx context.Context, c *cluster.Cluster, cfg Config, progress func(string)) (Result, error) {
	progress(fmt.Sprintf("servers are warm; %.0f calls a second for %v", cfg.Rate, cfg.Duration))
	before := len(c.Runs())
	through := c.Load(cfg.Rate, cfg.Duration)
	report, err := load.Run(ctx, through)
	if err != nil {
		return Result{}, err
	}
	v := load.Judge(report.History, c.Runs()[before:])
	// The direct load knows no limits, so the limits are judged before it.
	v.OverLimit += overLimit(c)
	probes := probeCostShare(c)
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
func overLimit(c *cluster.Cluster) int {
	n := 0
	for _, s := range c.Servers {
		n += s.Report().OverLimit
	}
	return n
}

func probeCostShare(c *cluster.Cluster) float64 {
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
