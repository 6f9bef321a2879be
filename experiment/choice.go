package experiment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/load"
	"github.com/oriolepost/oriolepost/testserver"
)

const (
	choiceServers   = 12
	choiceEntries   = 6
	choiceServiceMS = 20
	slotsPerServer  = 6
	// stragglerInterval is the interval after which the next server becomes the
	// straggler.
	stragglerInterval = 700 * time.Millisecond
	// straggleFactor is the factor by which a straggler is slower.
	straggleFactor = 10
)

// Choice compares the load balancer's selection of servers with callers that
// each select on their own, while one server after the other straggles. The
// value over_limit is the number of calls that arrived at a server without a
// free slot.
func Choice(ctx context.Context, report Report) (err error) {
	system, stop, err := start(ctx, setup{
		entries: choiceEntries, voters: 3, services: 1, servers: choiceServers,
		serviceMS: choiceServiceMS, spread: 0.5,
	})
	if err != nil {
		return fmt.Errorf("experiment choice: %w", err)
	}
	defer func() { err = errors.Join(err, stop()) }()
	for _, utilization := range []float64{0.5, 0.7, 0.85} {
		rate := utilization * choiceServers * slotsPerServer / (choiceServiceMS / 1000.0)
		if err := systemChoicePoint(ctx, system, utilization, rate, report); err != nil {
			return err
		}
		for _, b := range baselines() {
			before := overLimit(system)
			stopStraggler := rotateStraggler(system)
			result := directLoad(system, rate, b.policy, 1)
			stopStraggler()
			report(Point{Experiment: "choice", Label: b.name, Values: map[string]float64{
				"busy": utilization, "rate": rate, "calls": float64(result.Calls), "failed": float64(result.Failed),
				"p50_ms": result.P50MS, "p99_ms": result.P99MS, "p999_ms": result.P999MS,
				"over_limit": float64(overLimit(system) - before),
			}})
		}
	}
	return nil
}

type baseline struct {
	name   string
	policy choice.Policy
}

func baselines() []baseline {
	return []baseline{
		{"random", choice.Random{}},
		{"round_robin", choice.RoundRobin{}},
		{"least_in_flight", choice.LeastInFlight{}},
		{"two_choices", choice.TwoChoices{}},
	}
}

func systemChoicePoint(ctx context.Context, system *cluster.Cluster, utilization, rate float64, report Report) error {
	before := overLimit(system)
	stopStraggler := rotateStraggler(system)
	defer stopStraggler()
	config := system.LoadConfig(rate, addedDuration)
	config.WriteShare = 0
	config.Seed = 1
	result, err := load.Run(ctx, config)
	if err != nil {
		return err
	}
	report(Point{Experiment: "choice", Label: "oriolepost", Values: map[string]float64{
		"busy": utilization, "rate": rate, "calls": float64(result.Calls), "failed": float64(result.Calls - result.Answered),
		"p50_ms": result.P50MS, "p99_ms": result.P99MS, "p999_ms": result.P999MS,
		"over_limit": float64(overLimit(system) - before),
	}})
	return nil
}

// rotateStraggler makes one server after the other straggle until stop is
// called.
func rotateStraggler(system *cluster.Cluster) (stop func()) {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(stragglerInterval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			s := system.Servers[i%len(system.Servers)]
			s.SetFault(testserver.Straggle{Factor: straggleFactor})
			select {
			case <-ticker.C:
				s.SetFault(testserver.Healthy{})
			case <-done:
				s.SetFault(testserver.Healthy{})
				return
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

func overLimit(system *cluster.Cluster) int {
	total := 0
	for _, s := range system.Servers {
		total += s.Report().OverLimit
	}
	return total
}
