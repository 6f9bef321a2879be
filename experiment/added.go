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
	addedRuns     = 3
	addedDuration = 3 * time.Second
)

// Added measures the latency that one entry adds to calls without a key, at
// several rates, against calling the same servers directly in the same run.
// Each point is the median of several runs.
func Added(ctx context.Context, report Report) (err error) {
	c, stop, err := start(ctx, setup{entries: 1, voters: 1, services: 1, servers: 12, serviceMS: 2, spread: 0})
	if err != nil {
		return fmt.Errorf("experiment added: %w", err)
	}
	defer func() { err = errors.Join(err, stop()) }()
	for _, rate := range []float64{1000, 2500, 5000} {
		p, err := addedAt(ctx, c, rate)
		if err != nil {
			return err
		}
		report(p)
	}
	return nil
}

func addedAt(ctx context.Context, c *cluster.Cluster, rate float64) (Point, error) {
	var through50, through99, direct50, direct99, late []float64
	for i := range addedRuns {
		l := c.Load(rate, addedDuration)
		l.WriteShare = 0
		l.Seed = uint64(i)
		t, err := load.Run(ctx, l)
		if err != nil {
			return Point{}, err
		}
		d := directLoad(c, rate, choice.RoundRobin{}, uint64(i))
		through50 = append(through50, t.P50MS)
		through99 = append(through99, t.P99MS)
		direct50 = append(direct50, d.P50MS)
		direct99 = append(direct99, d.P99MS)
		late = append(late, float64(t.LateStarts))
	}
	return Point{Experiment: "added", Values: map[string]float64{
		"rate": rate, "through_p50_ms": median(through50), "through_p99_ms": median(through99),
		"direct_p50_ms": median(direct50), "direct_p99_ms": median(direct99),
		"added_p50_ms": median(through50) - median(direct50), "added_p99_ms": median(through99) - median(direct99),
		"late_starts": median(late),
	}}, nil
}

func directLoad(c *cluster.Cluster, rate float64, p choice.Policy, seed uint64) load.DirectReport {
	d := load.Direct{
		Service: c.Servers[0].Config.Service, Callers: len(c.Settings), Policy: p,
		Rate: rate, Duration: addedDuration, Deadline: 2 * time.Second, Seed: seed,
	}
	for _, s := range c.Servers {
		d.Servers = append(d.Servers, s.Address())
	}
	return load.RunDirect(context.Background(), d)
}

func median(x []float64) float64 {
	slices.Sort(x)
	return x[len(x)/2]
}
