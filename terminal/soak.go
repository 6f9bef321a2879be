package terminal

import (
	"context"
	"errors"
	"flag"
	"os"
	"time"

	"github.com/oriolepost/oriolepost/faultsoak"
	"github.com/oriolepost/oriolepost/soak"
)

var soakVerb = verb{
	name:     "soak",
	synopsis: "run a system under random faults and check its history",
	usage:    soakUsage,
	parse:    parseSoak,
}

const soakUsage = `oriolepost soak [--seed 1] [--seeds 1] [--duration 20s] [--inside]

Runs entries and control instances as separate processes of this program, with
simulated callers, upstreams and concurrent operators. Injects faults from
outside the processes, drawn at random from a seed, and checks the history that
callers, upstreams and operators recorded. With --seeds it runs that number of
seeds one after the other. Prints the faults, the requests and the verdict of
each seed. When a guarantee was violated, the exit status is 1 and the logs of
the processes are kept.

With --inside it runs a system with slot leases in one process instead, for one
seed. Only --seed, --duration and --rate apply to it.

Example:
  oriolepost soak --seed 7 --seeds 50 --json

`

func parseSoak(flags *flag.FlagSet) work {
	s := newSoakWork()
	config := &s.faultSoak
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "seed of the random faults")
	flags.IntVar(&s.seeds, "seeds", 1, "number of seeds to run, one after the other")
	flags.DurationVar(&config.Duration, "duration", config.Duration, "duration of a run")
	flags.DurationVar(&config.FaultEvery, "fault-every", config.FaultEvery, "mean interval between two faults")
	flags.IntVar(&config.Entries, "entries", config.Entries, "number of entries")
	flags.IntVar(&config.Control, "control", config.Control, "number of control instances")
	flags.IntVar(&config.Upstreams, "upstreams", config.Upstreams, "number of upstreams")
	flags.IntVar(&config.Callers, "callers", config.Callers, "number of callers")
	flags.BoolVar(&s.inside, "inside", false, "run a system with slot leases in one process")
	flags.Float64Var(&s.rate, "rate", s.rate, "calls per second, with --inside")
	return s.run
}

type soakWork struct {
	faultSoak faultsoak.Config
	seeds     int
	inside    bool
	rate      float64
}

func newSoakWork() *soakWork { return &soakWork{faultSoak: faultsoak.Defaults(), rate: 150} }

func (s *soakWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := checkArguments(args); err != nil {
		return nil, err
	}
	if s.inside {
		return s.runInside(ctx, t)
	}
	var err error
	if s.faultSoak.Program, err = os.Executable(); err != nil {
		return nil, err
	}
	var results []faultsoak.Result
	var violations error
	for range s.seeds {
		r, err := faultsoak.Run(ctx, s.faultSoak)
		if err != nil {
			return results, err
		}
		results = append(results, r)
		violations = errors.Join(violations, r.Broken())
		t.printf("seed %d: asked %d, served %d, not run %d, changes %d, reads %d, faults %v, verdict %+v\n",
			r.Seed, r.Asked, r.Served, r.NotRun, r.Changes, r.Reads, r.Faults, r.Verdict)
		s.faultSoak.Seed++
	}
	return results, violations
}

// runInside runs a soak of a system with slot leases in this process.
func (s *soakWork) runInside(ctx context.Context, t Terminal) (any, error) {
	r, err := soak.Run(ctx, soak.Config{Seed: s.faultSoak.Seed, Duration: s.faultSoak.Duration, Rate: s.rate, FaultEvery: insideFaultInterval})
	if err != nil {
		return nil, err
	}
	t.printf("seed %d, faults %v\n", r.Seed, r.Faults)
	t.printf("calls %d, answered %d, not run %d, unknown %d, changes %d\n", r.Calls, r.Answered, r.NotRun, r.Unknown, r.Changes)
	t.printf("duplicated %d, misdelivered %d, false not run %d, over limit %d, cold over limit %d, reverted %d\n",
		r.Duplicated, r.Misdelivered, r.FalseNotRun, r.OverLimit, r.ColdOverLimit, r.Reverted)
	return r, r.Broken()
}

// insideFaultInterval is the mean interval between two faults with --inside.
const insideFaultInterval = 500 * time.Millisecond
