package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/oriolepost/oriolepost/load"
	"github.com/oriolepost/oriolepost/peer"
)

// WarmUp calls all services until every server is warm.
func (c *Cluster) WarmUp(ctx context.Context, rate float64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	loading, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		_, err := load.Run(loading, c.Load(rate/4, limit))
		done <- err
	}()
	_, err := c.WaitStatus(ctx, func(s peer.StatusResponse) bool {
		for _, v := range s.Servers {
			if v.Limit < v.Slots {
				return false
			}
		}
		return len(s.Servers) > 0
	})
	stop()
	return errors.Join(err, <-done)
}

// Load gives a load of all services through all instances.
func (c *Cluster) Load(rate float64, duration time.Duration) load.Config {
	names := map[string]bool{}
	var services []string
	for _, s := range c.Servers {
		if !names[s.Config.Service] {
			names[s.Config.Service] = true
			services = append(services, s.Config.Service)
		}
	}
	return load.Config{
		Targets: c.Targets(), Services: services, Rate: rate, Duration: duration,
		WriteShare: 0.4, KeyedShare: 0.25, ResendShare: 0.1, BodyBytes: 512,
		Deadline: 2 * time.Second, Seed: uint64(time.Now().UnixNano()),
	}
}
