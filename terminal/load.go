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
	"github.com/oriolepost/oriolepost/testserver"
)

var loadVerb = verb{
	name:     "load",
	synopsis: "generate load, check every response, and measure latency",
	usage:    loadUsage,
	parse:    parseLoad,
}

const loadUsage = `oriolepost load --targets CALLER[/PLATFORM],... --services NAME,...

Generates open-loop load: arrival times are fixed in advance, and latency is
measured from the intended start of a call. Each call has its own body, and the
whole response is checked. With the record files of the test servers the calls
are also compared with what the servers ran; the exit status is then 1 when a
guarantee was violated.

Example:
  oriolepost load --targets 127.0.0.1:21000/127.0.0.1:21001 --services booking --rate 200 --duration 5s

`

func parseLoad(flags *flag.FlagSet) work {
	l := newLoadWork()
	config := &l.config
	flags.StringVar(&l.targets, "targets", "", "caller `addresses`, each with its platform address after a slash")
	flags.StringVar(&l.services, "services", "booking", "`names` of the services")
	flags.Float64Var(&config.Rate, "rate", config.Rate, "calls per second")
	flags.DurationVar(&config.Duration, "duration", config.Duration, "how long new calls are started")
	flags.StringVar(&config.UntilFile, "until", "", "extend the duration, to ten times at most, until this `file` exists and --answered calls were answered after that")
	flags.IntVar(&config.UntilAnswered, "answered", 1, "calls that must be answered after the file of --until exists")
	flags.Float64Var(&config.WriteShare, "writes", config.WriteShare, "share of calls that are not idempotent")
	flags.Float64Var(&config.KeyedShare, "keyed", config.KeyedShare, "share with an idempotency key among the calls that are not idempotent")
	flags.Float64Var(&config.ResendShare, "resend", config.ResendShare, "share sent twice at the same time among the calls with an idempotency key")
	flags.IntVar(&config.BodyBytes, "body", config.BodyBytes, "mean size of a request body in bytes")
	flags.DurationVar(&config.Deadline, "deadline", config.Deadline, "deadline of a call")
	flags.DurationVar(&config.NetworkDelay, "distance", config.NetworkDelay, "simulated one-way network delay between callers and instances")
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "seed of the arrival times and bodies")
	flags.StringVar(&config.HistoryFile, "history", "", "`file` to write the calls to, as JSON lines")
	flags.StringVar(&l.records, "records", "", "`pattern` of the test servers' record files, for the verdict")
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

// loadResult is printed by --json.
type loadResult struct {
	load.Report
	Verdict *load.Verdict `json:"verdict,omitempty"`
}

func (l *loadWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := checkArguments(args); err != nil {
		return nil, err
	}
	if l.targets == "" || l.config.Rate <= 0 {
		return nil, &UsageError{Problem: "--targets must name at least one address, and --rate must be above 0"}
	}
	for _, text := range strings.Split(l.targets, ",") {
		caller, platform, _ := strings.Cut(text, "/")
		l.config.Targets = append(l.config.Targets, load.Target{Caller: caller, Platform: platform})
	}
	l.config.Services = strings.Split(l.services, ",")
	l.config.Progress = progress(t)
	report, err := load.Run(ctx, l.config)
	if err != nil {
		return nil, err
	}
	result := loadResult{Report: report}
	printLoad(t, report)
	if l.records == "" {
		return result, nil
	}
	return l.judge(t, result)
}

// judge compares the calls with the records of the test servers and returns an
// error when a guarantee was violated.
func (l *loadWork) judge(t Terminal, result loadResult) (any, error) {
	runs, err := readRuns(l.records)
	if err != nil {
		return nil, err
	}
	verdict := load.Judge(result.History, runs)
	result.Verdict = &verdict
	t.printf("verdict %+v\n", verdict)
	if verdict.Broken() {
		return nil, fmt.Errorf("guarantee violated: %+v", verdict)
	}
	return result, nil
}

// progress returns a function that prints the number of calls that ended. It
// returns nil with --json, or when standard error is not a terminal.
func progress(t Terminal) func(int) {
	info, err := os.Stderr.Stat()
	if t.JSON || err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return func(ended int) { _, _ = fmt.Fprintf(t.Err, "\r%d calls ended", ended) }
}

func printLoad(t Terminal, r load.Report) {
	t.printf("calls %d, answered %d, not run %d, unknown %d, misdelivered %d\n", r.Calls, r.Answered, r.NotRun, r.Unknown, r.Misdelivered)
	t.printf("p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms\n", r.P50MS, r.P99MS, r.P999MS, r.MaxMS)
	for reason, n := range r.Reasons {
		t.printf("  %s %d\n", reason, n)
	}
}

// readRuns reads the runs from all record files that match a pattern.
func readRuns(pattern string) (runs []testserver.Run, err error) {
	files, err := expandPatterns([]string{pattern})
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		fileRuns, err := readRunFile(file)
		if err != nil {
			return nil, err
		}
		runs = append(runs, fileRuns...)
	}
	return runs, nil
}

func readRunFile(file string) (runs []testserver.Run, err error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		var r testserver.Run
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		runs = append(runs, r)
	}
	return runs, scanner.Err()
}
