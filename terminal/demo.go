package terminal

import (
	"context"
	"flag"
	"time"

	"github.com/oriolepost/oriolepost/demo"
)

var demoVerb = verb{
	name:     "demo",
	synopsis: "run a whole system in one process for about 10 s",
	usage:    demoUsage,
	parse:    parseDemo,
}

const demoUsage = `oriolepost demo [--duration 8s] [--rate 400]

Runs voters, entries, stand-in servers and a load in one process on loopback,
without any set-up, and prints what callers got and whether a promise was
broken. The exit status is 1 when one was.

Example:
  oriolepost demo --json

`

func parseDemo(f *flag.FlagSet) work {
	d := newDemoWork()
	f.DurationVar(&d.config.Duration, "duration", d.config.Duration, "how long calls begin")
	f.Float64Var(&d.config.Rate, "rate", d.config.Rate, "calls a second")
	f.IntVar(&d.config.Entries, "entries", d.config.Entries, "number of instances, three of them voters")
	f.IntVar(&d.config.Servers, "servers", d.config.Servers, "number of stand-in servers")
	return d.run
}

type demoWork struct{ config demo.Config }

func newDemoWork() *demoWork {
	return &demoWork{config: demo.Config{Duration: 6 * time.Second, Rate: 400, Entries: 5, Servers: 6}}
}

func (d *demoWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := arguments(args); err != nil {
		return nil, err
	}
	r, err := demo.Run(ctx, d.config, func(line string) { t.printf("%s\n", line) })
	if err != nil {
		return nil, err
	}
	t.printf("calls %d, answered %d, not run %d, unknown %d\n", r.Calls, r.Answered, r.NotRun, r.Unknown)
	t.printf("duplicated %d, misdelivered %d, false not run %d, over limit %d\n",
		r.Duplicated, r.Misdelivered, r.FalseNotRun, r.OverLimit)
	t.printf("p50 %.2f ms, p99 %.2f ms, p99 with a key %.2f ms, added p99 without %.2f ms\n",
		r.P50MS, r.P99MS, r.KeyedP99MS, r.AddedP99MS)
	t.printf("probe cost share %.4f\n", r.ProbeCostShare)
	return r, r.Broken()
}
