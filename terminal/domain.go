package terminal

import (
	"context"
	"flag"
	"fmt"
)

var domainVerb = verb{
	name:     "domain",
	synopsis: "take a failure domain out of service, or back in",
	usage:    domainUsage,
	parse:    parseDomain,
}

const domainUsage = `oriolepost domain [--change-id ID] [--wait 5s] out|in NAME

Takes a failure domain out of service, or back in. "In force" means that no
instance sends new requests to the domain: every instance has confirmed the
order, or its lease has expired.

Example:
  oriolepost domain out catania

`

func parseDomain(flags *flag.FlagSet) work {
	o := newOrderWork("domains", "out", "in")
	o.flags.declare(flags)
	return o.run
}

// orderWork sends an order for a failure domain or a server.
type orderWork struct {
	flags changeFlags
	// kind is the path segment of the operator API: domains or servers.
	kind string
	// orders holds the order that takes it out of service and the one that
	// takes it back.
	orders [2]string
}

func newOrderWork(kind, remove, restore string) *orderWork {
	return &orderWork{kind: kind, orders: [2]string{remove, restore}}
}

func (o *orderWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := checkArguments(args, o.orders[0]+"|"+o.orders[1], "NAME"); err != nil {
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
	return o.flags.printChange(t, change, err)
}
