package experiment

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/load"
)

const (
	// addedRuns is the number of runs for each point of Added.
	addedRuns = 3
	// addedDuration is the duration of each load in Added and Choice.
	addedDuration = 3 * time.Second
)

// Added measures the latency that one entry adds to calls without an
// idempotency key, at several rates. The baseline is a load that calls the same
// servers directly, right after the load through the entry. Each point is the median
// of addedRuns runs.
func Added(ctx context.Context, report Report) (err error) {
	system, stop, err := start(ctx, setup{entries: 1, voters: 1, services: 1, servers: 12, serviceMS: 2, spread: 0})
	if err != nil {
		return fmt.Errorf("experiment added: %w", err)
	}
	defer func() { err = errors.Join(err, stop()) }()
	for _, rate := range []float64{1000, 2500, 5000} {
		point, err := addedPoint(ctx, system, rate)
		if err != nil {
			return err
		}
		report(point)
	}
	return nil
}

func addedPoint(ctx context.Context, system *cluster.Cluster, rate float64) (Point, error) {
	var through50, through99, direct50, direct99, late []float64
	for i := range addedRuns {
		config := system.LoadConfig(rate, addedDuration)
		config.WriteShare = 0
		config.Seed = uint64(i)
		through, err := load.Run(ctx, config)
		if err != nil {
			return Point{}, err
		}
		direct := directLoad(system, rate, choice.RoundRobin{}, uint64(i))
		through50 = append(through50, through.P50MS)
		through99 = append(through99, through.P99MS)
		direct50 = append(direct50, direct.P50MS)
		direct99 = append(direct99, direct.P99MS)
		late = append(late, float64(through.LateStarts))
	}
	return Point{Experiment: "added", Values: map[string]float64{
		"rate": rate, "through_p50_ms": median(through50), "through_p99_ms": median(through99),
		"direct_p50_ms": median(direct50), "direct_p99_ms": median(direct99),
		"added_p50_ms": median(through50) - median(direct50), "added_p99_ms": median(through99) - median(direct99),
		"late_starts": median(late),
	}}, nil
}

func directLoad(system *cluster.Cluster, rate float64, policy choice.Policy, seed uint64) load.DirectReport {
	direct := load.Direct{
		Service: system.Servers[0].Config.Service, Callers: len(system.Settings), Policy: policy,
		Rate: rate, Duration: addedDuration, Deadline: 2 * time.Second, Seed: seed,
	}
	for _, s := range system.Servers {
		direct.Servers = append(direct.Servers, s.Address())
	}
	return load.RunDirect(context.Background(), direct)
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
