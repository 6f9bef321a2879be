package terminal

import (
	"context"
	"flag"
	"fmt"
)

var domainVerb = verb{
	name:     "domain",
	synopsis: "take a failure domain out, or back in",
	usage:    domainUsage,
	parse:    parseDomain,
}

const domainUsage = `oriolepost domain [--change-id ID] [--wait 5s] out|in NAME

Takes a failure domain out, or back in. "In force" means that no instance sends
new work to the domain: each has confirmed the order, or its lease has ended.

Example:
  oriolepost domain out catania

`

func parseDomain(f *flag.FlagSet) work {
	o := newOrderWork("domains", "out", "in")
	o.flags.declare(f)
	return o.run
}

// orderWork gives an order about a failure domain or a server.
type orderWork struct {
	flags  changeFlags
	kind   string
	orders [2]string
}

func newOrderWork(kind, on, off string) *orderWork {
	return &orderWork{kind: kind, orders: [2]string{on, off}}
}

func (o *orderWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := arguments(args, o.orders[0]+"|"+o.orders[1], "NAME"); err != nil {
		return nil, err
	}
	if args[0] != o.orders[0] && args[0] != o.orders[1] {
		return nil, &UsageError{Problem: fmt.Sprintf("order %q, allowed: %s or %s", args[0], o.orders[0], o.orders[1])}
	}
	client, err := o.flags.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := o.flags.context(ctx)
	defer cancel()
	change, err := client.Order(ctx, o.kind, args[1], args[0], o.flags.options())
	return o.flags.finish(t, change, err)
}
