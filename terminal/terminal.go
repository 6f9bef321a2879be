// Package terminal is the command line: one table of verbs, one verb a file.
//
// Each file has the same order: the verb's entry for the table, its usage, the
// parsing of its arguments, its struct, its constructor, its work. Help is
// printed from the table. A verb exits with 0 when it worked, with 1 when the
// operation failed, and with 2 when the usage or the settings are wrong.
//
// # Usage
//
//	os.Exit(terminal.Main(os.Args[1:], os.Stdout, os.Stderr))
package terminal

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/service"
)

// verb is one entry of the table.
type verb struct {
	name     string
	synopsis string
	usage    string
	// parse declares the flags and returns the work.
	parse func(f *flag.FlagSet) work
}

// work does what a verb is for. It gives the object that --json prints.
type work func(ctx context.Context, args []string, t Terminal) (any, error)

// Terminal is where a verb prints.
type Terminal struct {
	Out io.Writer
	Err io.Writer
	// JSON is true when the result is to be printed as one object.
	JSON bool
}

// verbs is the table of all verbs, in the order of help.
func verbs() []verb {
	return []verb{
		nodeVerb, serveVerb, checkVerb, applyVerb, getVerb, domainVerb, serverVerb, statusVerb, explainVerb,
		standinVerb, loadVerb, demoVerb, soakVerb, experimentVerb,
	}
}

// UsageError says that a verb was called in a wrong way.
type UsageError struct{ Problem string }

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// Main runs a command line and gives its exit status.
func Main(args []string, out, errs io.Writer) int {
	tuneCollector()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	f := flag.NewFlagSet("oriolepost", flag.ContinueOnError)
	f.SetOutput(errs)
	c := subcommands.NewCommander(f, "oriolepost")
	c.Output = out
	c.Error = errs
	c.Register(c.HelpCommand(), "")
	c.Register(c.FlagsCommand(), "")
	for _, v := range verbs() {
		c.Register(&adapter{verb: v, terminal: Terminal{Out: out, Err: errs}}, "")
	}
	if err := f.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(c.Execute(ctx))
}

const (
	// collectorPercent lets garbage grow to eight times the live heap, which is
	// a few megabytes, so that collections don't come forty times a second.
	collectorPercent = 800
	// collectorLimit bounds the whole heap in bytes all the same.
	collectorLimit = 512 << 20
)

// tuneCollector sets the garbage collector unless the environment does.
func tuneCollector() {
	if os.Getenv("GOGC") == "" && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetGCPercent(collectorPercent)
		debug.SetMemoryLimit(collectorLimit)
	}
}

// adapter gives a verb the form that the library wants.
type adapter struct {
	verb     verb
	terminal Terminal
	work     work
}

// Name implements subcommands.Command.
func (a *adapter) Name() string { return a.verb.name }

// Synopsis implements subcommands.Command.
func (a *adapter) Synopsis() string { return a.verb.synopsis }

// Usage implements subcommands.Command.
func (a *adapter) Usage() string { return a.verb.usage }

// SetFlags implements subcommands.Command.
func (a *adapter) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&a.terminal.JSON, "json", false, "print one JSON object on the last line")
	a.work = a.verb.parse(f)
}

// Execute implements subcommands.Command.
func (a *adapter) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	result, err := a.work(ctx, f.Args(), a.terminal)
	if err == nil && a.terminal.JSON && result != nil {
		err = json.NewEncoder(a.terminal.Out).Encode(result)
	}
	if err == nil {
		return subcommands.ExitSuccess
	}
	_, _ = fmt.Fprintf(a.terminal.Err, "oriolepost %s: %v\n", a.verb.name, err)
	return exitStatus(err)
}

// exitStatus tells wrong usage, settings and documents from failed work.
func exitStatus(err error) subcommands.ExitStatus {
	var usage *UsageError
	var field *service.FieldError
	var syntax *jsonform.SyntaxError
	if errors.As(err, &usage) || errors.As(err, &field) || errors.As(err, &syntax) {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// arguments checks the number of arguments.
func arguments(args []string, names ...string) error {
	if len(args) == len(names) {
		return nil
	}
	return &UsageError{Problem: fmt.Sprintf("got %d arguments, allowed: %v", len(args), names)}
}

func (t Terminal) printf(format string, args ...any) {
	if !t.JSON {
		_, _ = fmt.Fprintf(t.Out, format, args...)
	}
}

// expand turns patterns into the files that they match.
func expand(args []string) ([]string, error) {
	var files []string
	for _, a := range args {
		matches, err := filepath.Glob(a)
		if err != nil || len(matches) == 0 {
			return nil, &UsageError{Problem: fmt.Sprintf("file %q does not exist", a)}
		}
		files = append(files, matches...)
	}
	return files, nil
}
