package terminal

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/oriolepost/oriolepost/logtrace"
)

var explainVerb = verb{
	name:     "explain",
	synopsis: "show from logs what happened to a request, an upstream or a configuration",
	usage:    explainUsage,
	parse:    parseExplain,
}

const explainUsage = `oriolepost explain [--id ID] [--upstream ID] [--version N] [--from T] [--to T] FILE...

Reads the logs of several instances and prints the matching lines in order of
time. With --id these are the lines of one request, and the changes at its
instance and its upstreams shortly before and after it.

Example:
  oriolepost explain --id 9c41d07be2a35f68 front.log core.log

`

func parseExplain(flags *flag.FlagSet) work {
	e := newExplainWork()
	flags.StringVar(&e.filter.RequestID, "id", "", "`id` of a request")
	flags.StringVar(&e.filter.Upstream, "upstream", "", "`id` of an upstream")
	flags.StringVar(&e.filter.Version, "version", "", "`version` of a configuration")
	flags.StringVar(&e.from, "from", "", "earliest `time`, as in 2026-12-04T10:00:00Z")
	flags.StringVar(&e.to, "to", "", "latest `time`")
	return e.run
}

type explainWork struct {
	filter   logtrace.Filter
	from, to string
}

func newExplainWork() *explainWork { return &explainWork{} }

func (e *explainWork) run(_ context.Context, args []string, t Terminal) (_ any, err error) {
	if len(args) == 0 {
		return nil, &UsageError{Problem: "no log file given; name at least one"}
	}
	if e.filter.From, err = parseTime("from", e.from); err != nil {
		return nil, err
	}
	if e.filter.To, err = parseTime("to", e.to); err != nil {
		return nil, err
	}
	if e.filter == (logtrace.Filter{}) {
		return nil, &UsageError{Problem: "no filter given; set at least one of --id, --upstream, --version, --from and --to"}
	}
	var lines []logtrace.Line
	for _, file := range args {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		lines = append(lines, logtrace.Parse(string(data))...)
	}
	matching := logtrace.Select(lines, e.filter)
	if len(matching) == 0 {
		return nil, fmt.Errorf("none of the %d log lines matches the filter", len(lines))
	}
	for _, l := range matching {
		t.printf("%s\n", l)
	}
	return struct {
		Lines int `json:"lines"`
	}{len(matching)}, nil
}

// parseTime parses the time of a flag; an empty text is the zero time.
func parseTime(name, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, &UsageError{Problem: fmt.Sprintf("--%s is %q, allowed: a time like 2026-12-04T10:00:00Z", name, text)}
	}
	return at, nil
}
