package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oriolepost/oriolepost/demo"
	"github.com/oriolepost/oriolepost/operator"
	"github.com/oriolepost/oriolepost/standin"
	"github.com/oriolepost/oriolepost/timer"
)

// disturber injects faults, one after the other. It owns the cluster's nodes
// while it runs.
type disturber struct {
	cluster *demo.Cluster
	cuts    *cuts
	random  *rand.Rand
	faults  map[string]int
	changes int
}

// fault is one kind of fault with its share of all faults.
type fault struct {
	name   string
	weight int
	inject func(d *disturber, ctx context.Context) error
}

// faults is the table of all faults.
func faults() []fault {
	return []fault{
		{"kill_instance", 3, (*disturber).killInstance},
		{"kill_two_voters", 1, (*disturber).killTwoVoters},
		{"stop_instance", 1, (*disturber).stopInstance},
		{"cut_instance", 2, (*disturber).cutInstance},
		{"cut_one_way", 2, (*disturber).cutOneWay},
		{"server_fault", 4, (*disturber).serverFault},
		{"reboot_server", 2, (*disturber).rebootServer},
		{"domain_out_and_in", 1, (*disturber).domainOutAndIn},
	}
}

// run injects faults until the duration is over, then heals everything.
func (d *disturber) run(ctx context.Context, c Config) {
	end := time.Now().Add(c.Duration - healTime)
	for time.Now().Before(end) && ctx.Err() == nil {
		wait := time.Duration(d.random.ExpFloat64() * float64(c.FaultEvery))
		timer.Pause(ctx, min(wait, time.Until(end)))
		f := d.pick()
		d.faults[f.name]++
		if err := f.inject(d, ctx); err != nil {
			d.faults["failed_"+f.name]++
		}
	}
	d.heal()
	timer.Pause(ctx, healTime)
}

func (d *disturber) pick() fault {
	all := faults()
	total := 0
	for _, f := range all {
		total += f.weight
	}
	x := d.random.IntN(total)
	for _, f := range all {
		if x < f.weight {
			return f
		}
		x -= f.weight
	}
	return all[0]
}

func (d *disturber) heal() {
	d.cuts.set(map[string]bool{})
	for i := range d.cluster.Nodes {
		if d.cluster.Nodes[i] == nil {
			_ = d.cluster.StartNode(i)
		}
	}
	for _, s := range d.cluster.Servers {
		s.Set(standin.Healthy{})
	}
}

// shortWhile is between a fifth and two seconds.
func (d *disturber) shortWhile() time.Duration {
	return time.Duration(200+d.random.IntN(1800)) * time.Millisecond
}

func (d *disturber) killInstance(ctx context.Context) error {
	i := d.random.IntN(len(d.cluster.Nodes))
	d.cluster.KillNode(i)
	timer.Pause(ctx, d.shortWhile())
	return d.cluster.StartNode(i)
}

func (d *disturber) killTwoVoters(ctx context.Context) error {
	first := d.random.IntN(voters)
	second := (first + 1) % voters
	d.cluster.KillNode(first)
	d.cluster.KillNode(second)
	timer.Pause(ctx, d.shortWhile())
	if err := d.cluster.StartNode(first); err != nil {
		return err
	}
	return d.cluster.StartNode(second)
}

func (d *disturber) stopInstance(ctx context.Context) error {
	i := d.random.IntN(len(d.cluster.Nodes))
	if err := d.cluster.StopNode(ctx, i); err != nil {
		return err
	}
	return d.cluster.StartNode(i)
}

func (d *disturber) cutInstance(ctx context.Context) error {
	return d.cutFor(ctx, true)
}

func (d *disturber) cutOneWay(ctx context.Context) error {
	return d.cutFor(ctx, false)
}

// cutFor cuts what an instance sends, or also what it receives.
func (d *disturber) cutFor(ctx context.Context, both bool) error {
	i := d.random.IntN(len(d.cluster.Settings))
	name := d.cluster.Settings[i].Instance
	pairs := map[string]bool{}
	for _, s := range d.cluster.Settings {
		pairs[name+">"+s.Instance] = true
		if both {
			pairs[s.Instance+">"+name] = true
		}
	}
	d.cuts.set(pairs)
	timer.Pause(ctx, 2*d.shortWhile())
	d.cuts.set(map[string]bool{})
	return nil
}

func (d *disturber) serverFault(ctx context.Context) error {
	s := d.cluster.Servers[d.random.IntN(len(d.cluster.Servers))]
	all := []standin.Fault{
		standin.Straggle{Factor: 10},
		standin.FailFast{},
		standin.Reset{},
		standin.Cut{},
		standin.Late{Delay: 50 * time.Millisecond},
		standin.Lie{},
		standin.Drain{},
		standin.ShedAll{},
	}
	s.Set(all[d.random.IntN(len(all))])
	timer.Pause(ctx, d.shortWhile())
	s.Set(standin.Healthy{})
	return nil
}

func (d *disturber) rebootServer(context.Context) error {
	d.cluster.Servers[d.random.IntN(len(d.cluster.Servers))].Set(standin.Reboot{})
	return nil
}

func (d *disturber) domainOutAndIn(ctx context.Context) error {
	domain := demo.DefaultDomains()[d.random.IntN(len(demo.DefaultDomains()))]
	for _, order := range []string{"out", "in"} {
		d.changes++
		o := operator.ChangeOptions{ChangeID: fmt.Sprintf("order-%d", d.changes), WaitMS: operator.DefaultWaitMS}
		c := d.cluster.Operator(d.random.IntN(len(d.cluster.Nodes)))
		if _, err := c.Order(ctx, "domains", domain, order, o); err != nil {
			return err
		}
	}
	return nil
}
