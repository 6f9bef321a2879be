package terminal

import "flag"

var serverVerb = verb{
	name:     "server",
	synopsis: "drain a server, or end its drain",
	usage:    serverUsage,
	parse:    parseServer,
}

const serverUsage = `oriolepost server [--change-id ID] [--wait 5s] drain|undrain NAME

Drains a server, or ends its drain. A drained server gets no requests even if it
announces itself as ready. "In force" means that no instance sends it new
requests.

Example:
  oriolepost server drain records-3

`

func parseServer(flags *flag.FlagSet) work {
	o := newOrderWork("servers", "drain", "undrain")
	o.flags.declare(flags)
	return o.run
}
