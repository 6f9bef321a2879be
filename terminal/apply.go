package terminal

import (
	"context"
	"flag"
	"os"
)

var applyVerb = verb{
	name:     "apply",
	synopsis: "replace a service document",
	usage:    applyUsage,
	parse:    parseApply,
}

const applyUsage = `oriolepost apply [--change-id ID] [--wait 5s] FILE

Replaces the document of a service. The document states the version that it
replaces; version 0, or none, creates the service. If that is not the current
version, because another change came first, nothing is changed and the exit
status is 1. Waits until the change is in force on every instance that may send
calls.

Example:
  oriolepost apply --operator 127.0.0.1:21002 examples/trinacria/services/booking.json

`

func parseApply(flags *flag.FlagSet) work {
	a := newApplyWork()
	a.flags.declare(flags)
	return a.run
}

type applyWork struct{ flags changeFlags }

func newApplyWork() *applyWork { return &applyWork{} }

func (a *applyWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := checkArguments(args, "FILE"); err != nil {
		return nil, err
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return nil, &UsageError{Problem: err.Error()}
	}
	document, err := parseDocument(args[0], data)
	if err != nil {
		return nil, err
	}
	client, err := a.flags.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := a.flags.context(ctx)
	defer cancel()
	change, err := client.Apply(ctx, document, a.flags.options())
	return a.flags.printChange(t, change, err)
}
