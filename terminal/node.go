package terminal

import (
	"context"
	"flag"
	"time"

	"github.com/oriolepost/oriolepost/node"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/telemetry"
)

var nodeVerb = verb{
	name:     "node",
	synopsis: "run one instance until SIGTERM",
	usage:    nodeUsage,
	parse:    parseNode,
}

const nodeUsage = `oriolepost node --settings FILE

Runs one instance. SIGTERM stops it gracefully: the platform's balancer is told
first, calls are finished, slots are given back, and the exit status is 0.

Example:
  oriolepost node --settings examples/trinacria/palermo-1.json

`

func parseNode(f *flag.FlagSet) work {
	n := newNodeWork()
	f.StringVar(&n.settings, "settings", "", "settings `file` of the instance")
	return n.run
}

type nodeWork struct{ settings string }

func newNodeWork() *nodeWork { return &nodeWork{} }

// stopRoom is what a graceful stop may take beyond the settings' times.
const stopRoom = 5 * time.Second

func (n *nodeWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := arguments(args); err != nil {
		return nil, err
	}
	if n.settings == "" {
		return nil, &UsageError{Problem: "flag --settings is missing"}
	}
	s, err := settings.Load(n.settings)
	if err != nil {
		return nil, err
	}
	running, err := node.Start(s, node.Options{Log: telemetry.Logger(t.Err, s)})
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
	case err := <-running.Failed():
		running.Kill()
		return nil, err
	}
	limit := settings.Milliseconds(s.Stop.BalancerMS+s.Stop.DeadlineMS) + stopRoom
	stopCtx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return nil, running.Stop(stopCtx)
}
