package cluster

import (
	"context"
	"errors"
	"time"

	"github.com/oriolepost/oriolepost/load"
	"github.com/oriolepost/oriolepost/peer"
)

// WarmUp calls all services, at a quarter of the rate, until every server is warm:
// its limit is the number of its slots. It returns an error at the timeout.
func (c *Cluster) WarmUp(ctx context.Context, rate float64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	loadCtx, stopLoad := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() {
		_, err := load.Run(loadCtx, c.LoadConfig(rate/4, timeout))
		done <- err
	}()
	_, err := c.WaitStatus(ctx, func(status peer.StatusResponse) bool {
		for _, server := range status.Servers {
			if server.Limit < server.Slots {
				return false
			}
		}
		return len(status.Servers) > 0
	})
	stopLoad()
	return errors.Join(err, <-done)
}

// LoadConfig returns the configuration of a load on all services through all
// instances, at a rate in calls per second. The seed comes from the clock.
func (c *Cluster) LoadConfig(rate float64, duration time.Duration) load.Config {
	seen := map[string]bool{}
	var services []string
	for _, s := range c.Servers {
		if !seen[s.Config.Service] {
			seen[s.Config.Service] = true
			services = append(services, s.Config.Service)
		}
	}
	return load.Config{
		Targets: c.Targets(), Services: services, Rate: rate, Duration: duration,
		WriteShare: 0.4, KeyedShare: 0.25, ResendShare: 0.1, BodyBytes: 512,
		Deadline: 2 * time.Second, Seed: uint64(time.Now().UnixNano()),
	}
}
