package terminal

import (
	"context"
	"flag"
	"strings"

	"github.com/oriolepost/oriolepost/testserver"
)

var standinVerb = verb{
	name:     "standin",
	synopsis: "run a test server until SIGTERM",
	usage:    standinUsage,
	parse:    parseStandin,
}

const standinUsage = `oriolepost standin --server NAME --service NAME --platforms ADDRESS,...

Runs a test server with 6 slots, 250 connections, a cold start and stale load
reports. It announces itself to the platform addresses in turn and records
every call that it runs. Faults are set over HTTP while it runs:

  curl -d '{"fault":"straggle","factor":10}' http://127.0.0.1:9501/oriolepost/standin

Faults: healthy, straggle, fail_fast, reset, cut, late, lie, chill, reboot,
drain, shed_all.

Example:
  oriolepost standin --server chart-1 --service records --listen 127.0.0.1:9501 --platforms 127.0.0.1:21001

`

func parseStandin(flags *flag.FlagSet) work {
	s := newStandinWork()
	config := &s.config
	flags.StringVar(&config.Name, "server", config.Name, "`name` of the server")
	flags.StringVar(&config.Service, "service", config.Service, "`name` of its service")
	flags.StringVar(&config.Domain, "failure-domain", config.Domain, "its failure `domain`")
	flags.StringVar(&config.Address, "listen", config.Address, "`address` to listen on")
	flags.StringVar(&s.platforms, "platforms", "", "platform `addresses`, separated by commas")
	flags.IntVar(&config.Slots, "slots", config.Slots, "concurrent calls of a warm server")
	flags.IntVar(&config.Connections, "connections", config.Connections, "maximum number of open connections")
	flags.Float64Var(&config.ServiceMS, "service-ms", config.ServiceMS, "mean service time in milliseconds")
	flags.Int64Var(&config.ColdMS, "cold-ms", config.ColdMS, "duration of the cold start in milliseconds")
	flags.IntVar(&config.ColdSlots, "cold-slots", config.ColdSlots, "concurrent calls that a cold server can handle")
	flags.Int64Var(&config.NetworkDelayUS, "distance-us", config.NetworkDelayUS, "simulated one-way network delay between failure domains in microseconds")
	flags.StringVar(&config.RecordFile, "record", config.RecordFile, "`file` to write the runs to, as JSON lines")
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "seed of the service times")
	return s.run
}

type standinWork struct {
	config    testserver.Config
	platforms string
}

func newStandinWork() *standinWork { return &standinWork{config: testserver.Defaults()} }

func (s *standinWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := checkArguments(args); err != nil {
		return nil, err
	}
	if s.platforms != "" {
		s.config.Platforms = strings.Split(s.platforms, ",")
	}
	server, err := testserver.Start(s.config)
	if err != nil {
		return nil, err
	}
	t.printf("test server %s listening on %s\n", s.config.Name, server.Address())
	<-ctx.Done()
	r := server.Stop()
	r.Records = nil
	t.printf("%d runs, %d shed, %d over limit, %d falls\n", r.Runs, r.Shed, r.OverLimit, r.Crashes)
	return r, nil
}
