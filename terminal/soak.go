package terminal

import (
	"context"
	"errors"
	"flag"
	"os"
	"time"

	"github.com/oriolepost/oriolepost/siege"
	"github.com/oriolepost/oriolepost/soak"
)

var soakVerb = verb{
	name:     "soak",
	synopsis: "run a system under random faults and check its history",
	usage:    soakUsage,
	parse:    parseSoak,
}

const soakUsage = `oriolepost soak [--seed 1] [--seeds 1] [--duration 20s] [--inside]

Runs this program as separate processes, entries and control instances, with
callers, upstreams and racing operators, injects faults from outside, drawn
from a seed, and checks what everybody saw. With --seeds it runs so many seeds
one after the other. With --inside it runs a system with slot leases in one
process instead. Prints the faults, the requests and the verdict of each seed;
the exit status is 1 when a promise was broken, and the logs are then kept.

Example:
  oriolepost soak --seed 7 --seeds 50 --json

`

func parseSoak(f *flag.FlagSet) work {
	s := newSoakWork()
	c := &s.siege
	f.Uint64Var(&c.Seed, "seed", c.Seed, "seed of the faults")
	f.IntVar(&s.seeds, "seeds", 1, "how many seeds, one after the other")
	f.DurationVar(&c.Duration, "duration", c.Duration, "length of a run")
	f.DurationVar(&c.FaultEvery, "fault-every", c.FaultEvery, "mean pause between two faults")
	f.IntVar(&c.Entries, "entries", c.Entries, "number of entries")
	f.IntVar(&c.Control, "control", c.Control, "number of control instances")
	f.IntVar(&c.Upstreams, "upstreams", c.Upstreams, "number of upstreams")
	f.IntVar(&c.Callers, "callers", c.Callers, "number of callers")
	f.BoolVar(&s.inside, "inside", false, "run a system with slot leases in one process")
	f.Float64Var(&s.rate, "rate", s.rate, "calls a second, with --inside")
	return s.run
}

type soakWork struct {
	siege  siege.Config
	seeds  int
	inside bool
	rate   float64
}

func newSoakWork() *soakWork { return &soakWork{siege: siege.Defaults(), rate: 150} }

func (s *soakWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := arguments(args); err != nil {
		return nil, err
	}
	if s.inside {
		return s.runInside(ctx, t)
	}
	var err error
	if s.siege.Program, err = os.Executable(); err != nil {
		return nil, err
	}
	var results []siege.Result
	var broken error
	for range s.seeds {
		r, err := siege.Run(ctx, s.siege)
		if err != nil {
			return results, err
		}
		results = append(results, r)
		broken = errors.Join(broken, r.Broken())
		t.printf("seed %d: asked %d, served %d, not run %d, changes %d, reads %d, faults %v, verdict %+v\n",
			r.Seed, r.Asked, r.Served, r.NotRun, r.Changes, r.Reads, r.Faults, r.Verdict)
		s.siege.Seed++
	}
	return results, broken
}

// runInside runs a soak in this process.
func (s *soakWork) runInside(ctx context.Context, t Terminal) (any, error) {
	r, err := soak.Run(ctx, soak.Config{Seed: s.siege.Seed, Duration: s.siege.Duration, Rate: s.rate, FaultEvery: insideFaultEvery})
	if err != nil {
		return nil, err
	}
	t.printf("seed %d, faults %v\n", r.Seed, r.Faults)
	t.printf("calls %d, answered %d, not run %d, unknown %d, changes %d\n", r.Calls, r.Answered, r.NotRun, r.Unknown, r.Changes)
	t.printf("duplicated %d, misdelivered %d, false not run %d, over limit %d, cold over limit %d, reverted %d\n",
		r.Duplicated, r.Misdelivered, r.FalseNotRun, r.OverLimit, r.ColdOverLimit, r.Reverted)
	return r, r.Broken()
}

// insideFaultEvery is the mean pause between two faults in one process.
const insideFaultEvery = 500 * time.Millisecond
