package terminal

import "flag"

var serverVerb = verb{
	name:     "server",
	synopsis: "drain a server, or take it back",
	usage:    serverUsage,
	parse:    parseServer,
}

const serverUsage = `oriolepost server [--change-id ID] [--wait 5s] drain|undrain NAME

Drains a server, whatever it says of itself, or takes it back. "In force" means
that no instance sends it new work.

Example:
  oriolepost server drain records-3

`

func parseServer(f *flag.FlagSet) work {
	o := newOrderWork("servers", "drain", "undrain")
	o.flags.declare(f)
	return o.run
}
