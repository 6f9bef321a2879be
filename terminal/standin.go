package terminal

import (
	"context"
	"flag"
	"strings"

	"github.com/oriolepost/oriolepost/standin"
)

var standinVerb = verb{
	name:     "standin",
	synopsis: "run a server of our own until SIGTERM",
	usage:    standinUsage,
	parse:    parseStandin,
}

const standinUsage = `oriolepost standin --server NAME --service NAME --platforms ADDRESS,...

Runs a stand-in server: 6 slots, 250 connections, a cold start, stale load
reports. It announces itself to the platform addresses in turn and records
every run. Faults are set over HTTP while it runs:

  curl -d '{"fault":"straggle","factor":10}' http://127.0.0.1:9501/oriolepost/standin

Faults: healthy, straggle, fail_fast, reset, cut, late, lie, chill, reboot,
drain, shed_all.

Example:
  oriolepost standin --server chart-1 --service records --listen 127.0.0.1:9501 --platforms 127.0.0.1:21001

`

func parseStandin(f *flag.FlagSet) work {
	s := newStandinWork()
	c := &s.config
	f.StringVar(&c.Name, "server", c.Name, "`name` of the server")
	f.StringVar(&c.Service, "service", c.Service, "`name` of its service")
	f.StringVar(&c.Domain, "failure-domain", c.Domain, "its failure `domain`")
	f.StringVar(&c.Address, "listen", c.Address, "`address` to listen on")
	f.StringVar(&s.platforms, "platforms", "", "platform `addresses`, separated by commas")
	f.IntVar(&c.Slots, "slots", c.Slots, "calls that run at once when warm")
	f.IntVar(&c.Connections, "connections", c.Connections, "open connections at most")
	f.Float64Var(&c.ServiceMS, "service-ms", c.ServiceMS, "mean service time in milliseconds")
	f.Int64Var(&c.ColdMS, "cold-ms", c.ColdMS, "length of the cold start in milliseconds")
	f.IntVar(&c.ColdSlots, "cold-slots", c.ColdSlots, "calls that a cold server bears")
	f.Int64Var(&c.DistanceUS, "distance-us", c.DistanceUS, "way between failure domains, one way, in microseconds")
	f.StringVar(&c.RecordFile, "record", c.RecordFile, "`file` that gets the runs as JSON lines")
	f.Uint64Var(&c.Seed, "seed", c.Seed, "seed of the service times")
	return s.run
}

type standinWork struct {
	config    standin.Config
	platforms string
}

func newStandinWork() *standinWork { return &standinWork{config: standin.Defaults()} }

func (s *standinWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	if err := arguments(args); err != nil {
		return nil, err
	}
	if s.platforms != "" {
		s.config.Platforms = strings.Split(s.platforms, ",")
	}
	server, err := standin.Start(s.config)
	if err != nil {
		return nil, err
	}
	t.printf("stand-in %s takes calls at %s\n", s.config.Name, server.Address())
	<-ctx.Done()
	r := server.Stop()
	r.Records = nil
	t.printf("%d runs, %d shed, %d over limit, %d falls\n", r.Runs, r.Shed, r.OverLimit, r.Falls)
	return r, nil
}
