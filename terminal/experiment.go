package terminal

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/oriolepost/oriolepost/experiment"
)

var experimentVerb = verb{
	name:     "experiment",
	synopsis: "measure added latency, quality of server selection, and cost",
	usage:    experimentUsage,
	parse:    parseExperiment,
}

const experimentUsage = `oriolepost experiment [--csv FILE] added|choice|capacity

Measures in one process on loopback. "added" measures the latency that one entry
adds, compared with calling the servers directly. "choice" compares the system
with callers that each select a server on their own, while one server at a time
is slow. "capacity" measures the cost per instance for growing numbers of
instances, servers, services, calls and idempotency keys; docs/CAPACITY.md has
the slopes.

Example:
  oriolepost experiment --csv added.csv added

`

func parseExperiment(flags *flag.FlagSet) work {
	e := newExperimentWork()
	flags.StringVar(&e.csv, "csv", "", "`file` to write the measured points to")
	return e.run
}

type experimentWork struct {
	csv    string
	points []experiment.Point
}

func newExperimentWork() *experimentWork { return &experimentWork{} }

func (e *experimentWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := checkArguments(args, "added|choice|capacity"); err != nil {
		return nil, err
	}
	report := func(p experiment.Point) {
		e.points = append(e.points, p)
		t.printf("%s\n", pointText(p))
	}
	var err error
	switch args[0] {
	case "added":
		err = experiment.Added(ctx, report)
	case "choice":
		err = experiment.Choice(ctx, report)
	case "capacity":
		err = experiment.Capacity(ctx, report)
	default:
		err = &UsageError{Problem: fmt.Sprintf("experiment %q, allowed: added, choice or capacity", args[0])}
	}
	if err != nil {
		return nil, err
	}
	return e.points, e.writeCSV()
}

func pointText(p experiment.Point) string {
	parts := []string{p.Experiment, p.Label}
	for _, name := range slices.Sorted(maps.Keys(p.Values)) {
		parts = append(parts, fmt.Sprintf("%s=%.4g", name, p.Values[name]))
	}
	return strings.Join(parts, " ")
}

func (e *experimentWork) writeCSV() (err error) {
	if e.csv == "" {
		return nil
	}
	f, err := os.Create(e.csv)
	if err != nil {
		return err
	}
	if err := experiment.WriteCSV(f, e.points); err != nil {
		return err
	}
	return f.Close()
}
