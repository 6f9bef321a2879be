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

const demoUsage = `oriolepost demo [--duration 6s] [--rate 400]

Runs voters, entries, test servers and a load generator in one process on
loopback, without any configuration. Prints the outcomes and latencies of the
calls and whether a guarantee was violated; in that case the exit status is 1.

Example:
  oriolepost demo --json

`

func parseDemo(flags *flag.FlagSet) work {
	d := newDemoWork()
	flags.DurationVar(&d.config.Duration, "duration", d.config.Duration, "how long new calls are started")
	flags.Float64Var(&d.config.Rate, "rate", d.config.Rate, "calls per second")
	flags.IntVar(&d.config.Entries, "entries", d.config.Entries, "number of instances, three of them voters")
	flags.IntVar(&d.config.Servers, "servers", d.config.Servers, "number of test servers")
	return d.run
}

type demoWork struct{ config demo.Config }

func newDemoWork() *demoWork {
	return &demoWork{config: demo.Config{Duration: 6 * time.Second, Rate: 400, Entries: 5, Servers: 6}}
}

func (d *demoWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := checkArguments(args); err != nil {
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
