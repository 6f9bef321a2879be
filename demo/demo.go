// Package demo runs the demonstration: a whole system in one process on loopback
// and a load through it. The [Result] has the outcomes and latencies of the calls,
// and the same load sent directly to the test servers for comparison.
//
// # Usage
//
//	config := demo.Config{Entries: 5, Servers: 6, Rate: 400, Duration: 6 * time.Second}
//	result, err := demo.Run(ctx, config, progress)
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
	"github.com/oriolepost/oriolepost/testserver"
)

// Config describes a demonstration.
type Config struct {
	// Entries is the number of instances; three of them are voters.
	Entries int
	// Servers is the number of test servers.
	Servers int
	// Rate is the number of calls per second.
	Rate float64
	// Duration is how long new calls are started.
	Duration time.Duration
}

// Result counts the calls by outcome and the violated guarantees, and has the
// latencies.
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
	// AddedP99MS is the difference between the 99th percentiles of the latency
	// through the system and directly to the test servers, for calls without an
	// idempotency key. A key costs one more commit.
	AddedP99MS float64 `json:"added_p99_ms"`
}

// Broken returns an error if a guarantee was violated.
func (r Result) Broken() error {
	if r.Duplicated+r.Misdelivered+r.FalseNotRun+r.OverLimit > 0 {
		return fmt.Errorf("a promise was broken: %+v", r)
	}
	return nil
}

const (
	demoService = "booking"
	// demoServiceMS is the mean service time of the test servers.
	demoServiceMS = 5
	// demoColdMS is the duration of the cold start of the test servers.
	demoColdMS = 800
	// demoStepMS is the interval between increases of a server's limit, one slot
	// each, after the cold start.
	demoStepMS = 200
	// statusTimeout is the timeout of the start, which ends when the status lists
	// all servers and entries. It is also the timeout of the warm-up after it.
	statusTimeout = 20 * time.Second
	voters        = 3
)

// Run runs a demonstration. It calls progress with a line of text for each stage.
func Run(ctx context.Context, config Config, progress func(string)) (r Result, err error) {
	folder, err := os.MkdirTemp("", "oriolepost-demo-")
	if err != nil {
		return Result{}, fmt.Errorf("demo: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	progress(fmt.Sprintf("starting %d instances, %d of them voters", config.Entries, voters))
	running, err := cluster.Start(cluster.Config{Instances: config.Entries, Voters: voters, Folder: folder})
	if err != nil {
		return Result{}, err
	}
	defer running.Stop()
	if err := prepare(ctx, running, config, progress); err != nil {
		return Result{}, fmt.Errorf("demo: %w", err)
	}
	return measure(ctx, running, config, progress)
}

// prepare applies a service document, starts the servers, waits until the status
// lists all servers and entries, and warms the servers up.
func prepare(ctx context.Context, system *cluster.Cluster, config Config, progress func(string)) error {
	waitCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	document := service.Defaults(demoService)
	document.Cold.HoldMS = demoColdMS + demoStepMS
	document.Cold.StepMS = demoStepMS
	if _, err := system.Apply(waitCtx, document); err != nil {
		return err
	}
	progress(fmt.Sprintf("service %s is in force; starting %d servers", demoService, config.Servers))
	for i := range config.Servers {
		server := testserver.Defaults()
		server.Name = fmt.Sprintf("%s-%d", demoService, i+1)
		server.Domain = system.Config.Domain(i)
		server.ServiceMS = demoServiceMS
		server.ColdMS = demoColdMS
		server.Seed = uint64(i)
		if _, err := system.StartServer(server); err != nil {
			return err
		}
	}
	if _, err := system.WaitStatus(waitCtx, func(status peer.StatusResponse) bool {
		return len(status.Servers) == config.Servers && len(status.Entries) == config.Entries
	}); err != nil {
		return err
	}
	return system.WarmUp(ctx, config.Rate, statusTimeout)
}

// measure runs the load through the entries and then directly on the servers.
func measure(ctx context.Context, system *cluster.Cluster, config Config, progress func(string)) (Result, error) {
	progress(fmt.Sprintf("servers are warm; %.0f calls a second for %v", config.Rate, config.Duration))
	warmUpRuns := len(system.RecordedRuns())
	entryLoad := system.LoadConfig(config.Rate, config.Duration)
	report, err := load.Run(ctx, entryLoad)
	if err != nil {
		return Result{}, err
	}
	verdict := load.Judge(report.History, system.RecordedRuns()[warmUpRuns:])
	// The direct load does not keep to the limits of the servers, so the arrivals
	// over the limit are counted before it.
	verdict.OverLimit += overLimit(system)
	probeShare := probeCostShare(system)
	progress("calling the servers directly for comparison")
	directLoad := entryLoad
	directLoad.Targets = nil
	directLoad.KeyedShare = 0
	directLoad.Duration /= 3
	for _, s := range system.Servers {
		directLoad.Targets = append(directLoad.Targets, load.Target{Caller: s.Address()})
	}
	directReport, err := load.Run(ctx, directLoad)
	if err != nil {
		return Result{}, err
	}
	return Result{
		Calls: report.Calls, Answered: report.Answered, NotRun: report.NotRun, Unknown: report.Unknown,
		Duplicated: verdict.Duplicated, Misdelivered: verdict.Misdelivered, FalseNotRun: verdict.FalseNotRun,
		OverLimit: verdict.OverLimit, ProbeCostShare: probeShare,
		P50MS: report.P50MS, P99MS: report.P99MS, KeyedP99MS: report.KeyedP99MS, AddedP99MS: report.PlainP99MS - directReport.PlainP99MS,
	}, nil
}

// overLimit returns the number of calls that arrived when their server was at
// capacity, since the servers started.
func overLimit(c *cluster.Cluster) int {
	n := 0
	for _, s := range c.Servers {
		n += s.Report().OverLimit
	}
	return n
}

// probeCostShare returns the share of the servers' slot time that probes took.
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
