// Package terminal is the command line. Every command of the program is a
// [verb]: an entry in one table, from which help is printed.
//
// Each verb has a file of its own. All these files have the same order: table
// entry, usage text, parsing of the flags, struct, constructor, work. The exit
// status is 0 when the verb succeeded, 1 when the operation failed, and 2 when the
// command line, the settings or a document are invalid.
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

// verb is a command, as listed in the table of [verbs].
type verb struct {
	name     string
	synopsis string
	usage    string
	// parse declares the flags and returns the function that runs the verb.
	parse func(flags *flag.FlagSet) work
}

// work runs a verb with the arguments that follow the flags. It returns the
// object that --json prints. When it is nil, or with an error, --json prints
// nothing.
type work func(ctx context.Context, args []string, t Terminal) (any, error)

// Terminal is the output of a verb.
type Terminal struct {
	Out io.Writer
	Err io.Writer
	// JSON suppresses the printed text. The result of a verb that succeeded is
	// printed as one JSON object instead.
	JSON bool
}

// verbs returns the table of all verbs.
func verbs() []verb {
	return []verb{
		nodeVerb, serveVerb, checkVerb, checkConfigVerb, applyVerb, getVerb, domainVerb, serverVerb, statusVerb, rolloutVerb, explainVerb,
		standinVerb, loadVerb, demoVerb, soakVerb, experimentVerb,
	}
}

// UsageError reports an invalid command line, a file of the command line that does
// not exist, a document or token file that cannot be read, or settings that serve
// nothing.
type UsageError struct{ Problem string }

// Error implements error.
func (e *UsageError) Error() string { return e.Problem }

// Main runs a command line, without the program name, and returns the exit
// status.
func Main(args []string, out, errs io.Writer) int {
	setGCDefaults()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	flags := flag.NewFlagSet("oriolepost", flag.ContinueOnError)
	flags.SetOutput(errs)
	commander := subcommands.NewCommander(flags, "oriolepost")
	commander.Output = out
	commander.Error = errs
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, v := range verbs() {
		commander.Register(&adapter{verb: v, terminal: Terminal{Out: out, Err: errs}}, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(commander.Execute(ctx))
}

const (
	// defaultGCPercent lets the garbage grow to eight times the live heap between
	// two collections. The live heap is only a few megabytes; with a low value the
	// garbage collector would run forty times a second.
	defaultGCPercent = 800
	// defaultMemoryLimitBytes is the soft memory limit of the Go runtime, which
	// bounds the heap in spite of the high GC percentage.
	defaultMemoryLimitBytes = 512 << 20
)

// setGCDefaults configures the garbage collector, unless the environment sets
// GOGC or GOMEMLIMIT.
func setGCDefaults() {
	if os.Getenv("GOGC") == "" && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetGCPercent(defaultGCPercent)
		debug.SetMemoryLimit(defaultMemoryLimitBytes)
	}
}

// adapter implements subcommands.Command for a verb.
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
func (a *adapter) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&a.terminal.JSON, "json", false, "print one JSON object on the last line")
	a.work = a.verb.parse(flags)
}

// Execute implements subcommands.Command.
func (a *adapter) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	result, err := a.work(ctx, flags.Args(), a.terminal)
	if err == nil && a.terminal.JSON && result != nil {
		err = json.NewEncoder(a.terminal.Out).Encode(result)
	}
	if err == nil {
		return subcommands.ExitSuccess
	}
	_, _ = fmt.Fprintf(a.terminal.Err, "oriolepost %s: %v\n", a.verb.name, err)
	return exitStatus(err)
}

// exitStatus returns the exit status for an error: ExitUsageError for an invalid
// command line, invalid settings or an invalid document, and ExitFailure for an
// operation that failed.
func exitStatus(err error) subcommands.ExitStatus {
	var usage *UsageError
	var field *service.FieldError
	var syntax *jsonform.SyntaxError
	if errors.As(err, &usage) || errors.As(err, &field) || errors.As(err, &syntax) {
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// checkArguments returns a [UsageError] unless there is one argument for each
// name.
func checkArguments(args []string, names ...string) error {
	if len(args) == len(names) {
		return nil
	}
	return &UsageError{Problem: fmt.Sprintf("got %d arguments, allowed: %v", len(args), names)}
}

// printf prints text unless the result is printed as JSON.
func (t Terminal) printf(format string, args ...any) {
	if !t.JSON {
		_, _ = fmt.Fprintf(t.Out, format, args...)
	}
}

// expandPatterns returns the files that match the patterns, in the syntax of
// [filepath.Glob]. A pattern without a match is an error.
func expandPatterns(args []string) ([]string, error) {
	var files []string
	for _, pattern := range args {
		matches, err := filepath.Glob(pattern)
		if err != nil || len(matches) == 0 {
			return nil, &UsageError{Problem: fmt.Sprintf("file %q does not exist", pattern)}
		}
		files = append(files, matches...)
	}
	return files, nil
}
