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

const capacityTime = 4 * time.Second

// capacityBase is the system that one input at a time is changed of.
func capacityBase() setup {
	return setup{entries: 6, voters: 3, services: 1, servers: 6, serviceMS: 5, spread: 0.2}
}

// Capacity measures what control costs an instance, with one input changed at
// a time: instances, servers, services, the rate of calls, the rate of keys.
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

func capacityPoint(ctx context.Context, s setup, label string, x, rate, keyed float64, report Report) (err error) {
	empty := heapBytes()
	c, stop, err := start(ctx, s)
	if err != nil {
		return fmt.Errorf("experiment capacity, %s %v: %w", label, x, err)
	}
	defer func() { err = errors.Join(err, stop()) }()
	heap := heapBytes() - empty
	before := measureUsage(c)
	keyedP99, err := capacityLoad(ctx, c, rate, keyed)
	if err != nil {
		return err
	}
	after := measureUsage(c)
	seconds := after.at.Sub(before.at).Seconds()
	each := seconds * float64(s.entries)
	report(Point{Experiment: "capacity", Label: label, Values: map[string]float64{
		"x": x, "instances": float64(s.entries), "servers": float64(s.services * s.servers),
		"core_share_per_instance":     (after.processor - before.processor).Seconds() / each,
		"sent_bytes_per_instance":     (after.sent - before.sent) / each,
		"received_bytes_per_instance": (after.received - before.received) / each,
		"reports_per_instance":        (after.reports - before.reports) / each,
		"syncs_per_second":            (after.syncs - before.syncs) / seconds,
		"heap_mb_per_instance":        heap / float64(s.entries) / (1 << 20),
		"keyed_p99_ms":                keyedP99,
	}})
	return nil
}

// capacityLoad calls for a while, or only waits when the rate is zero.
func capacityLoad(ctx context.Context, c *cluster.Cluster, rate, keyed float64) (float64, error) {
	if rate == 0 {
		timer.Pause(ctx, capacityTime)
		return 0, nil
	}
	l := c.Load(rate, capacityTime)
	l.WriteShare, l.KeyedShare, l.ResendShare = keyed, keyed, 0
	r, err := load.Run(ctx, l)
	return r.KeyedP99MS, err
}
