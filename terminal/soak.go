package terminal

import (
	"context"
	"flag"
	"time"

	"github.com/oriolepost/oriolepost/soak"
)

var soakVerb = verb{
	name:     "soak",
	synopsis: "run a system under random faults and check its history",
	usage:    soakUsage,
	parse:    parseSoak,
}

const soakUsage = `oriolepost soak [--seed 1] [--duration 60s] [--rate 150]

Runs six instances, six servers, callers and racing operators in one process,
injects faults from a seed, and checks what callers and operators were told.
Prints the seed, the faults, the calls and the verdict; the exit status is 1
when a promise was broken.

Example:
  oriolepost soak --seed 7 --duration 5m --json

`

func parseSoak(f *flag.FlagSet) work {
	s := newSoakWork()
	c := &s.config
	f.Uint64Var(&c.Seed, "seed", c.Seed, "seed of the faults and calls")
	f.DurationVar(&c.Duration, "duration", c.Duration, "length of the run")
	f.Float64Var(&c.Rate, "rate", c.Rate, "calls a second")
	f.DurationVar(&c.FaultEvery, "fault-every", c.FaultEvery, "mean pause between two faults")
	return s.run
}

type soakWork struct{ config soak.Config }

func newSoakWork() *soakWork {
	return &soakWork{config: soak.Config{Seed: 1, Duration: time.Minute, Rate: 150, FaultEvery: 500 * time.Millisecond}}
}

func (s *soakWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := arguments(args); err != nil {
		return nil, err
	}
	r, err := soak.Run(ctx, s.config)
	if err != nil {
		return nil, err
	}
	t.printf("seed %d, faults %v\n", r.Seed, r.Faults)
	t.printf("calls %d, answered %d, not run %d, unknown %d, changes %d\n", r.Calls, r.Answered, r.NotRun, r.Unknown, r.Changes)
	t.printf("duplicated %d, misdelivered %d, false not run %d, over limit %d, cold over limit %d, reverted %d\n",
		r.Duplicated, r.Misdelivered, r.FalseNotRun, r.OverLimit, r.ColdOverLimit, r.Reverted)
	return r, r.Broken()
}
