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
	synopsis: "measure added latency, choice of servers, and cost",
	usage:    experimentUsage,
	parse:    parseExperiment,
}

const experimentUsage = `oriolepost experiment [--csv FILE] added|choice|capacity

Measures in one process on loopback. "added" is the latency that one entry adds
to calling the servers directly. "choice" compares the system with callers that
choose alone, while one server after the other straggles. "capacity" gives the
slopes of docs/CAPACITY.md.

Example:
  oriolepost experiment --csv added.csv added

`

func parseExperiment(f *flag.FlagSet) work {
	e := newExperimentWork()
	f.StringVar(&e.csv, "csv", "", "`file` that gets the points")
	return e.run
}

type experimentWork struct {
	csv    string
	points []experiment.Point
}

func newExperimentWork() *experimentWork { return &experimentWork{} }

func (e *experimentWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := arguments(args, "added|choice|capacity"); err != nil {
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
	return e.points, e.write()
}

func pointText(p experiment.Point) string {
	parts := []string{p.Experiment, p.Label}
	for _, name := range slices.Sorted(maps.Keys(p.Values)) {
		parts = append(parts, fmt.Sprintf("%s=%.4g", name, p.Values[name]))
	}
	return strings.Join(parts, " ")
}

func (e *experimentWork) write() (err error) {
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
