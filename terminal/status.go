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

Shows the leader, the voters, the configuration, the entries with the
configuration that each follows, and the servers with their limits.

Example:
  oriolepost status --operator 127.0.0.1:21002

`

func parseStatus(f *flag.FlagSet) work {
	s := newStatusWork()
	s.flags.declare(f)
	return s.run
}

type statusWork struct{ flags clientFlags }

func newStatusWork() *statusWork { return &statusWork{} }

func (s *statusWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := arguments(args); err != nil {
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

// columnGap is the space between two columns.
const columnGap = 2

func printStatus(t Terminal, s peer.StatusResponse) {
	t.printf("leader %s, term %d, index %d, configuration %d\n", s.Leader, s.Term, s.Index, s.Catalog.Index)
	t.printf("voters %v, learners %v, silent %v\n", s.Members.Voters, s.Members.Learners, s.Silent)
	t.printf("failure domains out %v, servers drained %v\n",
		slices.Sorted(maps.Keys(s.Catalog.OutDomains)), slices.Sorted(maps.Keys(s.Catalog.DrainedServers)))
	if t.JSON {
		return
	}
	w := tabwriter.NewWriter(t.Out, 0, 0, columnGap, ' ', 0)
	table := Terminal{Out: w}
	table.printf("\nENTRY\tDOMAIN\tCONFIGURATION\tSLOTS\n")
	for _, e := range s.Entries {
		table.printf("%s\t%s\t%d\t%d\n", e.Entry, e.Domain, e.CatalogIndex, e.Slots)
	}
	table.printf("\nSERVER\tSERVICE\tDOMAIN\tSTATE\tSLOTS\tLIMIT\tPROMISED\n")
	for _, v := range s.Servers {
		table.printf("%s\t%s\t%s\t%s\t%d\t%d\t%d\n", v.Server, v.Service, v.Domain, v.State, v.Slots, v.Limit, v.Promised)
	}
	_ = w.Flush()
}
