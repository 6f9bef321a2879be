package experiment

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/load"
	"github.com/oriolepost/oriolepost/timer"
)

// capacityDuration is the duration of the load, or of the wait without a load, at
// each point.
const capacityDuration = 4 * time.Second

// capacityBase returns the system in which one input at a time is varied.
func capacityBase() setup {
	return setup{entries: 6, voters: 3, services: 1, servers: 6, serviceMS: 5, spread: 0.2}
}

// Capacity measures what control costs an instance. It varies one input at a
// time: the number of instances, servers and services, the rate of calls, and
// the rate of keyed calls.
func Capacity(ctx context.Context, report Report) error {
	for _, n := range []int{3, 9, 18, 36} {
		s := capacityBase()
		s.entries = n
		if err := capacityPoint(ctx, s, "instances", float64(n), 0, 0, report); err != nil {
			return err
		}
	}
	for _, n := range []int{6, 12, 24, 48} {
		s := capacityBase()
		s.servers = n
		if err := capacityPoint(ctx, s, "servers", float64(n), 0, 0, report); err != nil {
			return err
		}
	}
	for _, n := range []int{1, 2, 4, 8} {
		s := capacityBase()
		s.services = n
		if err := capacityPoint(ctx, s, "services", float64(n), 0, 0, report); err != nil {
			return err
		}
	}
	for _, n := range []float64{250, 500, 1000, 2000} {
		if err := capacityPoint(ctx, capacityBase(), "calls", n, n, 0, report); err != nil {
			return err
		}
	}
	for _, n := range []float64{50, 100, 200, 400} {
		if err := capacityPoint(ctx, capacityBase(), "keys", n, n, 1, report); err != nil {
			return err
		}
	}
	return nil
}

// capacityPoint starts a system, measures its usage under a load and reports one
// point. The label names the input that is varied and value is its value.
func capacityPoint(ctx context.Context, config setup, label string, value, rate, keyedShare float64, report Report) (err error) {
	heapBefore := heapBytes()
	system, stop, err := start(ctx, config)
	if err != nil {
		return fmt.Errorf("experiment capacity, %s %v: %w", label, value, err)
	}
	defer func() { err = errors.Join(err, stop()) }()
	heapGrowth := heapBytes() - heapBefore
	before := measureUsage(system)
	keyedP99, err := capacityLoad(ctx, system, rate, keyedShare)
	if err != nil {
		return err
	}
	after := measureUsage(system)
	seconds := after.at.Sub(before.at).Seconds()
	instanceSeconds := seconds * float64(config.entries)
	report(Point{Experiment: "capacity", Label: label, Values: map[string]float64{
		"x": value, "instances": float64(config.entries), "servers": float64(config.services * config.servers),
		"core_share_per_instance":     (after.cpuTime - before.cpuTime).Seconds() / instanceSeconds,
		"sent_bytes_per_instance":     (after.sent - before.sent) / instanceSeconds,
		"received_bytes_per_instance": (after.received - before.received) / instanceSeconds,
		"reports_per_instance":        (after.reports - before.reports) / instanceSeconds,
		"syncs_per_second":            (after.syncs - before.syncs) / seconds,
		"heap_mb_per_instance":        heapGrowth / float64(config.entries) / (1 << 20),
		"keyed_p99_ms":                keyedP99,
	}})
	return nil
}

// capacityLoad runs a load and returns its 99th percentile latency of keyed
// calls in milliseconds. If the rate is 0, it only waits.
func capacityLoad(ctx context.Context, system *cluster.Cluster, rate, keyedShare float64) (float64, error) {
	if rate == 0 {
		timer.Pause(ctx, capacityDuration)
		return 0, nil
	}
	config := system.LoadConfig(rate, capacityDuration)
	config.WriteShare, config.KeyedShare, config.ResendShare = keyedShare, keyedShare, 0
	r, err := load.Run(ctx, config)
	return r.KeyedP99MS, err
}
