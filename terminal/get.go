package terminal

import (
	"context"
	"encoding/json"
	"flag"
)

var getVerb = verb{
	name:     "get",
	synopsis: "print service documents",
	usage:    getUsage,
	parse:    parseGet,
}

const getUsage = `oriolepost get [SERVICE]

Prints the current document of a service, or of all services.

Example:
  oriolepost get booking

`

func parseGet(flags *flag.FlagSet) work {
	g := newGetWork()
	g.flags.declare(flags)
	return g.run
}

type getWork struct{ flags clientFlags }

func newGetWork() *getWork { return &getWork{} }

func (g *getWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if len(args) > 1 {
		return nil, checkArguments(args, "SERVICE")
	}
	client, err := g.flags.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := g.flags.context(ctx)
	defer cancel()
	var result any
	if len(args) == 1 {
		result, err = client.Document(ctx, args[0])
	} else {
		result, err = client.Documents(ctx)
	}
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(result, "", "  ")
	t.printf("%s\n", text)
	return result, err
}
