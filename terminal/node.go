package terminal

import (
	"context"
	"flag"
	"runtime/debug"
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

Runs one instance. SIGTERM stops it gracefully: first the instance reports to
the platform's balancer that it is not ready, then it finishes the running calls
and releases its slots. The exit status is then 0.

Example:
  oriolepost node --settings examples/trinacria/palermo-1.json

`

func parseNode(flags *flag.FlagSet) work {
	n := newNodeWork()
	flags.StringVar(&n.settings, "settings", "", "settings `file` of the instance")
	return n.run
}

type nodeWork struct{ settings string }

func newNodeWork() *nodeWork { return &nodeWork{} }

// stopMargin is added to the two time limits of [settings.Stop]. The sum is the
// timeout of a graceful stop.
const stopMargin = 5 * time.Second

func (n *nodeWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := checkArguments(args); err != nil {
		return nil, err
	}
	if n.settings == "" {
		return nil, &UsageError{Problem: "flag --settings is missing"}
	}
	instance, err := settings.Load(n.settings)
	if err != nil {
		return nil, err
	}
	if instance.Limits.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
	}
	limitMemory(instance.Limits.MemoryMB)
	running, err := node.Start(instance, node.Options{Log: telemetry.Logger(t.Err, instance)})
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
	case err := <-running.Failed():
		running.Kill()
		return nil, err
	}
	timeout := settings.Milliseconds(instance.Stop.BalancerMS+instance.Stop.DeadlineMS) + stopMargin
	stopCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return nil, running.Stop(stopCtx)
}
