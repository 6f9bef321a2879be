// Package soak runs a system in one process under random faults and checks its
// history. The responses that callers got are compared with the executions that
// servers recorded. The responses that operators got are checked for
// linearizability against a model of a document.
//
// A seed determines the faults:
//
//   - Instances are killed and restarted, stopped gracefully, and partitioned
//     from the others in one direction or both.
//   - Servers straggle, fail, reset connections, truncate or delay their
//     responses, report a load of 0, drain, shed all calls, and reboot.
//   - Failure domains are taken out of service and put back.
//
// # Usage
//
//	r, err := soak.Run(ctx, soak.Config{Seed: 1, Duration: time.Minute})
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/load"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/testserver"
)

// Config describes a run.
type Config struct {
	// Seed determines the faults.
	Seed uint64
	// Duration is the length of the run, including recoveryTime at its end.
	Duration time.Duration
	// Rate is the number of calls a second.
	Rate float64
	// FaultEvery is the mean pause between the end of a fault and the next fault.
	FaultEvery time.Duration
}

// Result is the outcome of a run. All fields of the verdict, Reverted and
// ColdOverLimit must be zero.
type Result struct {
	Seed     uint64         `json:"seed"`
	Faults   map[string]int `json:"faults"`
	Calls    int            `json:"calls"`
	Answered int            `json:"answered"`
	NotRun   int            `json:"not_run"`
	Unknown  int            `json:"unknown"`
	load.Verdict
	// Changes counts the operations of the operators, reads included. Reverted is
	// 1 if their history is not linearizable, for example because an older
	// version was read after a newer one, or if the check took longer than
	// checkTimeout.
	Changes  int `json:"changes"`
	Reverted int `json:"reverted"`
	// ColdOverLimit counts requests to cold servers beyond their capacity.
	ColdOverLimit int `json:"cold_over_limit"`
}

// Broken returns an error if a guarantee was violated.
func (r Result) Broken() error {
	if r.Verdict.Broken() || r.Reverted+r.ColdOverLimit > 0 {
		return fmt.Errorf("guarantee violated: seed %d: %+v", r.Seed, r)
	}
	return nil
}

const (
	entries       = 6
	voters        = 3
	servers       = 6
	serviceName   = "booking"
	serviceTimeMS = 8
	coldMS        = 800
	startTimeout  = 30 * time.Second
	// recoveryTime is the time without faults at the end of a run, in which calls
	// go on and the system recovers.
	recoveryTime = 3 * time.Second
)

// Run starts a system in this process, injects faults for the configured duration
// and checks the history. The error reports a run that could not be carried out.
// Violated guarantees are in the result.
func Run(ctx context.Context, c Config) (r Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("in-process soak with seed %d: %w", c.Seed, err)
		}
	}()
	folder, err := os.MkdirTemp("", "oriolepost-soak-")
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	partition := newPartition()
	system, err := cluster.Start(cluster.Config{
		Instances: entries, Voters: voters, Folder: folder, Dial: partition.dialer,
	})
	if err != nil {
		return Result{}, err
	}
	defer system.Stop()
	partition.setInstances(system.Settings)
	if err := prepare(ctx, system); err != nil {
		return Result{}, err
	}
	return run(ctx, c, system, partition)
}

func prepare(ctx context.Context, system *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d := service.Defaults(serviceName)
	d.Cold.HoldMS = coldMS + 200
	d.Cold.StepMS = 100
	d.Limits.MaxDeadlineMS = 2000
	if _, err := system.Apply(ctx, d); err != nil {
		return err
	}
	for i := range servers {
		s := testserver.Defaults()
		s.Name = fmt.Sprintf("server-%d", i+1)
		s.Domain = cluster.DefaultDomains()[i%len(cluster.DefaultDomains())]
		s.ServiceMS = serviceTimeMS
		s.ColdMS = coldMS
		s.AnnounceMS = 250
		s.Seed = uint64(i)
		if _, err := system.StartServer(s); err != nil {
			return err
		}
	}
	_, err := system.WaitStatus(ctx, func(s peer.StatusResponse) bool {
		return len(s.Servers) == servers && len(s.Entries) == entries
	})
	return err
}

// run sends calls, changes documents and injects faults concurrently.
func run(ctx context.Context, config Config, system *cluster.Cluster, partition *partition) (Result, error) {
	type loadResult struct {
		report load.Report
		err    error
	}
	calls := make(chan loadResult, 1)
	loadConfig := system.LoadConfig(config.Rate, config.Duration)
	loadConfig.Seed = config.Seed
	loadConfig.WriteShare, loadConfig.KeyedShare, loadConfig.ResendShare = 0.6, 0.5, 0.3
	go func() {
		r, err := load.Run(ctx, loadConfig)
		calls <- loadResult{r, err}
	}()
	changing, stop := context.WithCancel(ctx)
	history := make(chan []documentOperation, 1)
	go func() { history <- changeDocuments(changing, system) }()
	injector := &faultInjector{system: system, partition: partition, random: rand.New(rand.NewPCG(config.Seed, 11)), counts: map[string]int{}}
	injector.run(ctx, config)
	stop()
	operations := <-history
	finished := <-calls
	if finished.err != nil {
		return Result{}, finished.err
	}
	r := Result{
		Seed: config.Seed, Faults: injector.counts, Calls: finished.report.Calls, Answered: finished.report.Answered,
		NotRun: finished.report.NotRun, Unknown: finished.report.Unknown, Changes: len(operations),
		Verdict: load.Judge(finished.report.History, system.RecordedRuns()),
	}
	if !linearizable(operations) {
		r.Reverted = 1
	}
	for _, s := range system.Servers {
		r.ColdOverLimit += s.Report().ColdOverLimit
	}
	return r, nil
}
