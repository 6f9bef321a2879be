package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/operator"
	"github.com/oriolepost/oriolepost/standin"
	"github.com/oriolepost/oriolepost/timer"
)

// disturber injects faults, one after the other. It owns the cluster's nodes
// while it runs.
type disturber struct {
	running *cluster.Cluster
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
	for i := range d.running.Nodes {
		if d.running.Nodes[i] == nil {
			_ = d.running.StartNode(i)
		}
	}
	for _, s := range d.running.Servers {
		s.Set(standin.Healthy{})
	}
}

// shortWhile is between a fifth and two seconds.
func (d *disturber) shortWhile() time.Duration {
	return time.Duration(200+d.random.IntN(1800)) * time.Millisecond
}

func (d *disturber) killInstance(ctx context.Context) error {
	i := d.random.IntN(len(d.running.Nodes))
	d.running.KillNode(i)
	timer.Pause(ctx, d.shortWhile())
	return d.running.StartNode(i)
}

func (d *disturber) killTwoVoters(ctx context.Context) error {
	first := d.random.IntN(voters)
	second := (first + 1) % voters
	d.running.KillNode(first)
	d.running.KillNode(second)
	timer.Pause(ctx, d.shortWhile())
	if err := d.running.StartNode(first); err != nil {
		return err
	}
	return d.running.StartNode(second)
}

func (d *disturber) stopInstance(ctx context.Context) error {
	i := d.random.IntN(len(d.running.Nodes))
	if err := d.running.StopNode(ctx, i); err != nil {
		return err
	}
	return d.running.StartNode(i)
}

func (d *disturber) cutInstance(ctx context.Context) error {
	return d.cutFor(ctx, true)
}

func (d *disturber) cutOneWay(ctx context.Context) error {
	return d.cutFor(ctx, false)
}

// cutFor cuts what an instance sends, or also what it receives.
func (d *disturber) cutFor(ctx context.Context, both bool) error {
	i := d.random.IntN(len(d.running.Settings))
	name := d.running.Settings[i].Instance
	pairs := map[string]bool{}
	for _, s := range d.running.Settings {
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
	s := d.running.Servers[d.random.IntN(len(d.running.Servers))]
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
	d.running.Servers[d.random.IntN(len(d.running.Servers))].Set(standin.Reboot{})
	return nil
}

func (d *disturber) domainOutAndIn(ctx context.Context) error {
	domain := cluster.DefaultDomains()[d.random.IntN(len(cluster.DefaultDomains()))]
	for _, order := range []string{"out", "in"} {
		d.changes++
		o := operator.ChangeOptions{ChangeID: fmt.Sprintf("order-%d", d.changes), WaitMS: operator.DefaultWaitMS}
		c := d.running.Operator(d.random.IntN(len(d.running.Nodes)))
		if _, err := c.Order(ctx, "domains", domain, order, o); err != nil {
			return err
		}
	}
	return nil
}
