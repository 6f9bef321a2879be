package terminal

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"github.com/oriolepost/oriolepost/platform"
	"github.com/oriolepost/oriolepost/route"
)

var checkConfigVerb = verb{
	name:     "checkconfig",
	synopsis: "check a configuration of the platform before it is sent",
	usage:    checkConfigUsage,
	parse:    parseCheckConfig,
}

const checkConfigUsage = `oriolepost checkconfig [--control ADDRESS | --against FILE] [--settings FILE] FILE

Checks a configuration as a control instance does, and prints the first error
with its line, its field and what is allowed. For a valid configuration it
prints what can never match, limits that contradict each other, and the
differences from the configuration in force, which is read from a control
instance or from a file. Keys are printed as digests. With the settings of an
instance, attempts are compared with its retry budget.

The exit status is 0 without findings, also when there are differences, 1 with
findings, and 2 when the configuration or the one in force cannot be read.

Example:
  oriolepost checkconfig --control 127.0.0.1:8146 next.json

`

// maxConfigurationResponseBytes limits the configuration that is read from an instance. It
// is above the limit for the configurations that instances accept.
const maxConfigurationResponseBytes = 16 << 20

func parseCheckConfig(flags *flag.FlagSet) work {
	c := newCheckConfigWork()
	flags.StringVar(&c.control, "control", "", "control `address` of any control instance, to compare with the configuration in force")
	flags.StringVar(&c.against, "against", "", "`file` with the configuration to compare with")
	flags.StringVar(&c.settings, "settings", "", "settings `file` of an instance on the platform, for its retry budget")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "how long to wait for the response")
	return c.run
}

type checkConfigWork struct {
	control  string
	against  string
	settings string
	timeout  time.Duration
}

func newCheckConfigWork() *checkConfigWork { return &checkConfigWork{} }

// checkConfigResult is printed by --json.
type checkConfigResult struct {
	File     string             `json:"file"`
	Findings []configFinding    `json:"findings"`
	Compared bool               `json:"compared"`
	Changes  []configDifference `json:"differences"`
}

// configFinding is an error of a configuration or a [route.Finding], with its place.
type configFinding struct {
	// Kind is error, or the kind of the [route.Finding].
	Kind    string `json:"kind"`
	Line    int    `json:"line"`
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
}

// configDifference is a [route.Difference] with the names of the platform's form.
type configDifference struct {
	Section string `json:"section"`
	Item    string `json:"item,omitempty"`
	Change  string `json:"change"`
	Field   string `json:"field,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

func (c *checkConfigWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := checkArguments(args, "FILE"); err != nil {
		return nil, err
	}
	if c.control != "" && c.against != "" {
		return nil, &UsageError{Problem: "flags --control and --against exclude each other"}
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return nil, &UsageError{Problem: err.Error()}
	}
	terms, err := c.readTerms()
	if err != nil {
		return nil, err
	}
	inForce, err := c.readInForce(ctx)
	if err != nil {
		return nil, err
	}
	result := checkConfigResult{File: args[0], Findings: []configFinding{}, Changes: []configDifference{}}
	positions := platform.NewPositions(data)
	configuration, err := decodeConfiguration(data)
	if err != nil {
		invalid := positions.FindError(err)
		if invalid.Unreadable {
			return nil, &UsageError{Problem: fmt.Sprintf("%s:%d: %s", args[0], invalid.Line, invalid.Problem)}
		}
		result.Findings = append(result.Findings, configFinding{Kind: "error", Line: invalid.Line, Field: invalid.Field, Problem: invalid.Problem})
		return result.print(t)
	}
	found := configuration.Findings(terms)
	if inForce != nil {
		result.Compared = true
		found = append(configuration.Supersedes(*inForce), found...)
		for _, d := range route.Compare(*inForce, configuration) {
			d = platform.TranslateDifference(d)
			result.Changes = append(result.Changes, configDifference{
				Section: d.Section, Item: d.Item, Change: d.Change, Field: d.Field, Before: d.Before, After: d.After,
			})
		}
	}
	for _, f := range found {
		field, line := positions.Find(f.Field)
		result.Findings = append(result.Findings, configFinding{Kind: f.Kind, Line: line, Field: field, Problem: f.Problem})
	}
	slices.SortStableFunc(result.Findings, func(a, b configFinding) int { return a.Line - b.Line })
	return result.print(t)
}

// decodeConfiguration decodes and checks a configuration as a control instance does.
func decodeConfiguration(data []byte) (route.Configuration, error) {
	configuration, err := platform.DecodeConfiguration(data)
	if err == nil {
		err = configuration.Check()
	}
	return configuration, err
}

// readTerms reads the terms of the deployment from the settings, if there are any.
func (c *checkConfigWork) readTerms() (route.Terms, error) {
	if c.settings == "" {
		return route.Terms{}, nil
	}
	data, err := os.ReadFile(c.settings)
	if err != nil {
		return route.Terms{}, &UsageError{Problem: err.Error()}
	}
	deployment, err := platform.ParseSettings(c.settings, data)
	if err != nil {
		return route.Terms{}, &UsageError{Problem: err.Error()}
	}
	return route.Terms{NoRetryBudget: deployment.Bounds.RetryRatio == 0 && deployment.Bounds.RetrySlack == 0}, nil
}

// readInForce reads the configuration to compare with. It is nil if none was asked for.
func (c *checkConfigWork) readInForce(ctx context.Context) (*route.Configuration, error) {
	var data []byte
	var err error
	source := c.against
	switch {
	case c.control != "":
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		source = "configuration at " + c.control
		data, err = sendCall(ctx, c.control, platform.ReadCall(), maxConfigurationResponseBytes)
	case c.against != "":
		data, err = os.ReadFile(c.against)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, &UsageError{Problem: err.Error()}
	}
	configuration, err := decodeConfiguration(data)
	if err != nil {
		return nil, &UsageError{Problem: fmt.Sprintf("%s: %v", source, err)}
	}
	return &configuration, nil
}

// print prints the result. With findings it also prints the JSON object, since the verb
// then fails.
func (r checkConfigResult) print(t Terminal) (any, error) {
	paint := newPainter(t.Out)
	for _, f := range r.Findings {
		subject := f.Kind
		if f.Field != "" {
			subject += ": " + f.Field
		}
		t.printf("%s:%d: %s: %s\n", r.File, f.Line, paint.finding(f.Kind, subject), f.Problem)
	}
	for _, d := range r.Changes {
		t.printf("%s\n", paint.difference(d))
	}
	switch {
	case len(r.Findings) == 0 && r.Compared && len(r.Changes) == 0:
		t.printf("%s: good, no difference\n", r.File)
	case len(r.Findings) == 0:
		t.printf("%s: good\n", r.File)
	}
	if len(r.Findings) == 0 {
		return r, nil
	}
	if t.JSON {
		if err := json.NewEncoder(t.Out).Encode(r); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%s: findings: %d", r.File, len(r.Findings))
}

// painter colours text if the output is a terminal.
type painter struct{ enabled bool }

const (
	red    = "31"
	green  = "32"
	yellow = "33"
)

func newPainter(out io.Writer) painter {
	file, ok := out.(*os.File)
	if !ok {
		return painter{}
	}
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return painter{enabled: err == nil}
}

func (p painter) paint(colour, text string) string {
	if !p.enabled {
		return text
	}
	return "\x1b[" + colour + "m" + text + "\x1b[0m"
}

func (p painter) finding(kind, text string) string {
	if kind == "error" {
		return p.paint(red, text)
	}
	return p.paint(yellow, text)
}

func (p painter) difference(d configDifference) string {
	words := []string{d.Section, d.Item, d.Field}
	switch d.Change {
	case route.Added:
		return p.paint(green, "+ "+joinWords(append(words, d.After)))
	case route.Removed:
		return p.paint(red, "- "+joinWords(append(words, d.Before)))
	}
	return p.paint(yellow, "~ "+joinWords(words)) + ": " + orQuotes(d.Before) + " -> " + orQuotes(d.After)
}

// orQuotes returns a value, or quotes if it is empty.
func orQuotes(value string) string {
	if value == "" {
		return `""`
	}
	return value
}

// joinWords joins the words that are not empty.
func joinWords(words []string) string {
	return strings.Join(slices.DeleteFunc(words, func(w string) bool { return w == "" }), " ")
}
