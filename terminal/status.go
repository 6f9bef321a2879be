package terminal

import (
	"context"
	"flag"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/oriolepost/oriolepost/peer"
)

var statusVerb = verb{
	name:     "status",
	synopsis: "show the state of the system",
	usage:    statusUsage,
	parse:    parseStatus,
}

const statusUsage = `oriolepost status

Shows the leader, the voters, the index of the configuration, the entries with
the index of the configuration that each uses, and the servers with their
limits.

Example:
  oriolepost status --operator 127.0.0.1:21002

`

func parseStatus(flags *flag.FlagSet) work {
	s := newStatusWork()
	s.flags.declare(flags)
	return s.run
}

type statusWork struct{ flags clientFlags }

func newStatusWork() *statusWork { return &statusWork{} }

func (s *statusWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := checkArguments(args); err != nil {
		return nil, err
	}
	client, err := s.flags.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := s.flags.context(ctx)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return nil, err
	}
	printStatus(t, status)
	return status, nil
}

// columnGap is the number of spaces between two columns.
const columnGap = 2

func printStatus(t Terminal, status peer.StatusResponse) {
	t.printf("leader %s, term %d, index %d, configuration %d\n", status.Leader, status.Term, status.Index, status.Catalog.Index)
	t.printf("voters %v, learners %v, unresponsive %v\n", status.Members.Voters, status.Members.Learners, status.Silent)
	t.printf("failure domains out %v, servers drained %v\n",
		slices.Sorted(maps.Keys(status.Catalog.OutDomains)), slices.Sorted(maps.Keys(status.Catalog.DrainedServers)))
	if t.JSON {
		return
	}
	columns := tabwriter.NewWriter(t.Out, 0, 0, columnGap, ' ', 0)
	table := Terminal{Out: columns}
	table.printf("\nENTRY\tDOMAIN\tCONFIGURATION\tSLOTS\n")
	for _, e := range status.Entries {
		table.printf("%s\t%s\t%d\t%d\n", e.Entry, e.Domain, e.CatalogIndex, e.Slots)
	}
	table.printf("\nSERVER\tSERVICE\tDOMAIN\tSTATE\tSLOTS\tLIMIT\tRESERVED\n")
	for _, v := range status.Servers {
		table.printf("%s\t%s\t%s\t%s\t%d\t%d\t%d\n", v.Server, v.Service, v.Domain, v.State, v.Slots, v.Limit, v.Reserved)
	}
	_ = columns.Flush()
}
