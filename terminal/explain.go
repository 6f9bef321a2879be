package terminal

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/oriolepost/oriolepost/story"
)

var explainVerb = verb{
	name:     "explain",
	synopsis: "tell from logs what became of a request, an upstream or a configuration",
	usage:    explainUsage,
	parse:    parseExplain,
}

const explainUsage = `oriolepost explain [--id ID] [--upstream ID] [--version N] [--from T] [--to T] FILE...

Reads the logs of several instances and prints the lines that belong together
in the order of time. With --id these are the lines of one request, and what
changed shortly before and after it at its instance and its upstreams.

Example:
  oriolepost explain --id 9c41d07be2a35f68 front.log core.log

`

func parseExplain(f *flag.FlagSet) work {
	e := newExplainWork()
	f.StringVar(&e.filter.RequestID, "id", "", "`id` of a request")
	f.StringVar(&e.filter.Upstream, "upstream", "", "`id` of an upstream")
	f.StringVar(&e.filter.Version, "version", "", "`version` of a configuration")
	f.StringVar(&e.from, "from", "", "first `time`, as in 2026-12-04T10:00:00Z")
	f.StringVar(&e.to, "to", "", "last `time`")
	return e.run
}

type explainWork struct {
	filter   story.Filter
	from, to string
}

func newExplainWork() *explainWork { return &explainWork{} }

func (e *explainWork) run(_ context.Context, args []string, t Terminal) (_ any, err error) {
	if len(args) == 0 {
		return nil, &UsageError{Problem: "no log file is named"}
	}
	if e.filter.From, err = parseTime("from", e.from); err != nil {
		return nil, err
	}
	if e.filter.To, err = parseTime("to", e.to); err != nil {
		return nil, err
	}
	if e.filter == (story.Filter{}) {
		return nil, &UsageError{Problem: "one of --id, --upstream, --version, --from and --to is needed"}
	}
	var lines []story.Line
	for _, file := range args {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		lines = append(lines, story.Parse(string(data))...)
	}
	found := story.Select(lines, e.filter)
	if len(found) == 0 {
		return nil, fmt.Errorf("no line of %d matches", len(lines))
	}
	for _, l := range found {
		t.printf("%s\n", l)
	}
	return struct {
		Lines int `json:"lines"`
	}{len(found)}, nil
}

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
