package experiment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/load"
	"github.com/oriolepost/oriolepost/standin"
)

const (
	choiceServers   = 12
	choiceEntries   = 6
	choiceServiceMS = 20
	slotsPerServer  = 6
	// noiseEvery is the pause between two changes of the straggler.
	noiseEvery = 700 * time.Millisecond
	// straggleFactor is how much slower a straggler is.
	straggleFactor = 10
)

// Choice compares the system's choice of servers with callers that choose
// alone, while one server after the other straggles. Over-limit counts the
// arrivals beyond the servers' slots.
func Choice(ctx context.Context, report Report) (err error) {
	c, stop, err := start(ctx, setup{
		entries: choiceEntries, voters: 3, services: 1, servers: choiceServers,
		serviceMS: choiceServiceMS, spread: 0.5,
	})
	if err != nil {
		return fmt.Errorf("experiment choice: %w", err)
	}
	defer func() { err = errors.Join(err, stop()) }()
	for _, busy := range []float64{0.5, 0.7, 0.85} {
		rate := busy * choiceServers * slotsPerServer / (choiceServiceMS / 1000.0)
		if err := choiceThrough(ctx, c, busy, rate, report); err != nil {
			return err
		}
		for _, b := range baselines() {
			before := overLimit(c)
			quiet := noise(c)
			r := directLoad(c, rate, b.policy, 1)
			quiet()
			report(Point{Experiment: "choice", Label: b.name, Values: map[string]float64{
				"busy": busy, "rate": rate, "calls": float64(r.Calls), "failed": float64(r.Failed),
				"p50_ms": r.P50MS, "p99_ms": r.P99MS, "p999_ms": r.P999MS,
				"over_limit": float64(overLimit(c) - before),
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

func choiceThrough(ctx context.Context, c *cluster.Cluster, busy, rate float64, report Report) error {
	before := overLimit(c)
	quiet := noise(c)
	defer quiet()
	l := c.Load(rate, addedDuration)
	l.WriteShare = 0
	l.Seed = 1
	r, err := load.Run(ctx, l)
	if err != nil {
		return err
	}
	report(Point{Experiment: "choice", Label: "oriolepost", Values: map[string]float64{
		"busy": busy, "rate": rate, "calls": float64(r.Calls), "failed": float64(r.Calls - r.Answered),
		"p50_ms": r.P50MS, "p99_ms": r.P99MS, "p999_ms": r.P999MS,
		"over_limit": float64(overLimit(c) - before),
	}})
	return nil
}

// noise makes one server after the other straggle until it is stopped.
func noise(c *cluster.Cluster) (stop func()) {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(noiseEvery)
		defer ticker.Stop()
		for i := 0; ; i++ {
			s := c.Servers[i%len(c.Servers)]
			s.Set(standin.Straggle{Factor: straggleFactor})
			select {
			case <-ticker.C:
				s.Set(standin.Healthy{})
			case <-done:
				s.Set(standin.Healthy{})
				return
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

func overLimit(c *cluster.Cluster) int {
	n := 0
	for _, s := range c.Servers {
		n += s.Report().OverLimit
	}
	return n
}
