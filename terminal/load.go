package terminal

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/load"
	"github.com/oriolepost/oriolepost/standin"
)

var loadVerb = verb{
	name:     "load",
	synopsis: "make calls, check every answer, and measure",
	usage:    loadUsage,
	parse:    parseLoad,
}

const loadUsage = `oriolepost load --targets CALLER[/PLATFORM],... --services NAME,...

Makes open-loop calls: arrival times are fixed in advance, and latency counts
from the intended start. Each call has a body of its own; the whole answer is
checked. With the record files of the stand-ins it also gives a verdict. The
exit status is 1 when a promise was broken.

Example:
  oriolepost load --targets 127.0.0.1:21000/127.0.0.1:21001 --services booking --rate 200 --duration 5s

`

func parseLoad(f *flag.FlagSet) work {
	l := newLoadWork()
	c := &l.config
	f.StringVar(&l.targets, "targets", "", "caller `addresses`, each with its platform address behind a slash")
	f.StringVar(&l.services, "services", "booking", "`names` of the services")
	f.Float64Var(&c.Rate, "rate", c.Rate, "calls a second")
	f.DurationVar(&c.Duration, "duration", c.Duration, "how long calls begin")
	f.Float64Var(&c.WriteShare, "writes", c.WriteShare, "share of calls that are not idempotent")
	f.Float64Var(&c.KeyedShare, "keyed", c.KeyedShare, "share of those with an idempotency key")
	f.Float64Var(&c.ResendShare, "resend", c.ResendShare, "share of keyed calls that are sent twice at once")
	f.IntVar(&c.BodyBytes, "body", c.BodyBytes, "mean size of a body in bytes")
	f.DurationVar(&c.Deadline, "deadline", c.Deadline, "deadline of a call")
	f.DurationVar(&c.Distance, "distance", c.Distance, "way from the callers, one way")
	f.Uint64Var(&c.Seed, "seed", c.Seed, "seed of the arrival times and bodies")
	f.StringVar(&c.HistoryFile, "history", "", "`file` that gets the calls as JSON lines")
	f.StringVar(&l.records, "records", "", "`pattern` of the stand-ins' record files, for the verdict")
	return l.run
}

type loadWork struct {
	config   load.Config
	targets  string
	services string
	records  string
}

func newLoadWork() *loadWork {
	return &loadWork{config: load.Config{
		Rate: 200, Duration: 10 * time.Second, WriteShare: 0.3, KeyedShare: 0.5,
		ResendShare: 0.1, BodyBytes: 512, Deadline: 2 * time.Second, Seed: 1,
	}}
}

// loadResult is what --json prints.
type loadResult struct {
	load.Report
	Verdict *load.Verdict `json:"verdict,omitempty"`
}

func (l *loadWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := arguments(args); err != nil {
		return nil, err
	}
	if l.targets == "" || l.config.Rate <= 0 {
		return nil, &UsageError{Problem: "flag --targets is missing, or --rate is not above 0"}
	}
	for _, text := range strings.Split(l.targets, ",") {
		caller, platform, _ := strings.Cut(text, "/")
		l.config.Targets = append(l.config.Targets, load.Target{Caller: caller, Platform: platform})
	}
	l.config.Services = strings.Split(l.services, ",")
	l.config.Progress = progress(t)
	r, err := load.Run(ctx, l.config)
	if err != nil {
		return nil, err
	}
	result := loadResult{Report: r}
	printLoad(t, r)
	if l.records == "" {
		return result, nil
	}
	return l.judge(t, result)
}

func (l *loadWork) judge(t Terminal, result loadResult) (any, error) {
	runs, err := readRuns(l.records)
	if err != nil {
		return nil, err
	}
	v := load.Judge(result.History, runs)
	result.Verdict = &v
	t.printf("verdict %+v\n", v)
	if v.Broken() {
		return nil, fmt.Errorf("a promise was broken: %+v", v)
	}
	return result, nil
}

// progress prints how many calls ended when a person watches.
func progress(t Terminal) func(int) {
	info, err := os.Stderr.Stat()
	if t.JSON || err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(ended int) { _, _ = fmt.Fprintf(t.Err, "\r%d calls ended", ended) }
}

func printLoad(t Terminal, r load.Report) {
	t.printf("calls %d, answered %d, not run %d, unknown %d, wrong %d\n", r.Calls, r.Answered, r.NotRun, r.Unknown, r.Misdelivered)
	t.printf("p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms\n", r.P50MS, r.P99MS, r.P999MS, r.MaxMS)
	for reason, n := range r.Reasons {
		t.printf("  %s %d\n", reason, n)
	}
}

func readRuns(pattern string) (runs []standin.Run, err error) {
	files, err := expand([]string{pattern})
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		more, err := readRunFile(file)
		if err != nil {
			return nil, err
		}
		runs = append(runs, more...)
	}
	return runs, nil
}

func readRunFile(file string) (runs []standin.Run, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	s := bufio.NewScanner(f)
	for s.Scan() {
		var r standin.Run
		if err := json.Unmarshal(s.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		runs = append(runs, r)
	}
	return runs, s.Err()
}
