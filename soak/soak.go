// Package soak runs a system in one process under random faults and checks
// the history of it: what callers were told against what servers recorded,
// and what operators were told against a model of the documents.
//
// Faults are drawn from a seed: instances are killed and restarted, cut off in
// one direction or both, and stopped gracefully; servers straggle, fail,
// reset, cut their answers and reboot; failure domains go out and in.
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
	"github.com/oriolepost/oriolepost/standin"
)

// Config describes a soak.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the number of calls a second.
	Rate float64
	// FaultEvery is the mean pause between two faults.
	FaultEvery time.Duration
}

// Result is what a soak found. All fields of the verdict must be zero.
type Result struct {
	Seed     uint64         `json:"seed"`
	Faults   map[string]int `json:"faults"`
	Calls    int            `json:"calls"`
	Answered int            `json:"answered"`
	NotRun   int            `json:"not_run"`
	Unknown  int            `json:"unknown"`
	load.Verdict
	// Changes counts the operators' changes, Reverted those after which an
	// older state was seen, as the history checker found.
	Changes  int `json:"changes"`
	Reverted int `json:"reverted"`
	// ColdOverLimit counts arrivals beyond what a cold server bears.
	ColdOverLimit int `json:"cold_over_limit"`
}

// Broken gives an error when a promise was broken.
func (r Result) Broken() error {
	if r.Verdict.Broken() || r.Reverted+r.ColdOverLimit > 0 {
		return fmt.Errorf("a promise was broken with seed %d: %+v", r.Seed, r)
	}
	return nil
}

const (
	entries     = 6
	voters      = 3
	servers     = 6
	soakService = "booking"
	serviceMS   = 8
	coldMS      = 800
	startLimit  = 30 * time.Second
	// healTime is how long the system is left alone before the end.
	healTime = 3 * time.Second
)

// Run runs a soak.
func Run(ctx context.Context, c Config) (r Result, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("soak with seed %d: %w", c.Seed, err)
		}
	}()
	folder, err := os.MkdirTemp("", "oriolepost-soak-")
	if err != nil {
		return Result{}, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	cuts := newCuts()
	running, err := cluster.Start(cluster.Config{
		Entries: entries, Voters: voters, Folder: folder, Dial: cuts.dialer,
	})
	if err != nil {
		return Result{}, err
	}
	defer running.Stop()
	cuts.learn(running.Settings)
	if err := prepare(ctx, running); err != nil {
		return Result{}, err
	}
	return run(ctx, c, running, cuts)
}

func prepare(ctx context.Context, running *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	d := service.Defaults(soakService)
	d.Cold.HoldMS = coldMS + 200
	d.Cold.StepMS = 100
	d.Limits.MaxDeadlineMS = 2000
	if _, err := running.Apply(ctx, d); err != nil {
		return err
	}
	for i := range servers {
		s := standin.Defaults()
		s.Name = fmt.Sprintf("server-%d", i+1)
		s.Domain = cluster.DefaultDomains()[i%len(cluster.DefaultDomains())]
		s.ServiceMS = serviceMS
		s.ColdMS = coldMS
		s.AnnounceMS = 250
		s.Seed = uint64(i)
		if _, err := running.StartServer(s); err != nil {
			return err
		}
	}
	_, err := running.WaitStatus(ctx, func(s peer.StatusResponse) bool {
		return len(s.Servers) == servers && len(s.Entries) == entries
	})
	return err
}

// run calls, changes and disturbs at the same time.
func run(ctx context.Context, c Config, running *cluster.Cluster, cuts *cuts) (Result, error) {
	type ended struct {
		report load.Report
		err    error
	}
	calls := make(chan ended, 1)
	l := running.Load(c.Rate, c.Duration)
	l.Seed = c.Seed
	l.WriteShare, l.KeyedShare, l.ResendShare = 0.6, 0.5, 0.3
	go func() {
		r, err := load.Run(ctx, l)
		calls <- ended{r, err}
	}()
	changing, stop := context.WithCancel(ctx)
	history := make(chan []documentOperation, 1)
	go func() { history <- changeDocuments(changing, running) }()
	d := &disturber{running: running, cuts: cuts, random: rand.New(rand.NewPCG(c.Seed, 11)), faults: map[string]int{}}
	d.run(ctx, c)
	stop()
	operations := <-history
	end := <-calls
	if end.err != nil {
		return Result{}, end.err
	}
	r := Result{
		Seed: c.Seed, Faults: d.faults, Calls: end.report.Calls, Answered: end.report.Answered,
		NotRun: end.report.NotRun, Unknown: end.report.Unknown, Changes: len(operations),
		Verdict: load.Judge(end.report.History, running.Runs()),
	}
	if !linearizable(operations) {
		r.Reverted = 1
	}
	for _, s := range running.Servers {
		r.ColdOverLimit += s.Report().ColdOverLimit
	}
	return r, nil
}
