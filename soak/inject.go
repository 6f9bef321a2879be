package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/operator"
	"github.com/oriolepost/oriolepost/testserver"
	"github.com/oriolepost/oriolepost/timer"
)

// faultInjector injects faults, one after the other. While it runs, it owns the
// nodes of the cluster: nothing else stops or starts them.
type faultInjector struct {
	system    *cluster.Cluster
	partition *partition
	random    *rand.Rand
	counts    map[string]int
	// changeNumber makes the change ids of orders unique.
	changeNumber int
}

// fault is a kind of fault and its relative frequency.
type fault struct {
	name   string
	weight int
	inject func(fi *faultInjector, ctx context.Context) error
}

// faults returns all kinds of faults.
func faults() []fault {
	return []fault{
		{"kill_instance", 3, (*faultInjector).killInstance},
		{"kill_two_voters", 1, (*faultInjector).killTwoVoters},
		{"stop_instance", 1, (*faultInjector).stopInstance},
		{"cut_instance", 2, (*faultInjector).cutInstance},
		{"cut_one_way", 2, (*faultInjector).cutOneWay},
		{"server_fault", 4, (*faultInjector).serverFault},
		{"reboot_server", 2, (*faultInjector).rebootServer},
		{"domain_out_and_in", 1, (*faultInjector).domainOutAndIn},
	}
}

// run injects faults until recoveryTime before the end of the run. Then it ends
// all faults and waits for recoveryTime.
func (fi *faultInjector) run(ctx context.Context, c Config) {
	end := time.Now().Add(c.Duration - recoveryTime)
	for time.Now().Before(end) && ctx.Err() == nil {
		wait := time.Duration(fi.random.ExpFloat64() * float64(c.FaultEvery))
		timer.Pause(ctx, min(wait, time.Until(end)))
		f := fi.drawFault()
		fi.counts[f.name]++
		if err := f.inject(fi, ctx); err != nil {
			fi.counts["failed_"+f.name]++
		}
	}
	fi.endFaults()
	timer.Pause(ctx, recoveryTime)
}

func (fi *faultInjector) drawFault() fault {
	all := faults()
	total := 0
	for _, f := range all {
		total += f.weight
	}
	x := fi.random.IntN(total)
	for _, f := range all {
		if x < f.weight {
			return f
		}
		x -= f.weight
	}
	return all[0]
}

func (fi *faultInjector) endFaults() {
	fi.partition.set(map[string]bool{})
	for i := range fi.system.Nodes {
		if fi.system.Nodes[i] == nil {
			_ = fi.system.StartNode(i)
		}
	}
	for _, s := range fi.system.Servers {
		s.SetFault(testserver.Healthy{})
	}
}

// faultDuration returns a random duration of at least 200 ms and less than 2 s.
func (fi *faultInjector) faultDuration() time.Duration {
	return time.Duration(200+fi.random.IntN(1800)) * time.Millisecond
}

func (fi *faultInjector) killInstance(ctx context.Context) error {
	i := fi.random.IntN(len(fi.system.Nodes))
	fi.system.KillNode(i)
	timer.Pause(ctx, fi.faultDuration())
	return fi.system.StartNode(i)
}

func (fi *faultInjector) killTwoVoters(ctx context.Context) error {
	first := fi.random.IntN(voters)
	second := (first + 1) % voters
	fi.system.KillNode(first)
	fi.system.KillNode(second)
	timer.Pause(ctx, fi.faultDuration())
	if err := fi.system.StartNode(first); err != nil {
		return err
	}
	return fi.system.StartNode(second)
}

func (fi *faultInjector) stopInstance(ctx context.Context) error {
	i := fi.random.IntN(len(fi.system.Nodes))
	if err := fi.system.StopNode(ctx, i); err != nil {
		return err
	}
	return fi.system.StartNode(i)
}

func (fi *faultInjector) cutInstance(ctx context.Context) error {
	return fi.partitionInstance(ctx, true)
}

func (fi *faultInjector) cutOneWay(ctx context.Context) error {
	return fi.partitionInstance(ctx, false)
}

// partitionInstance drops what a random instance sends to the others, and with
// both also what it receives from them.
func (fi *faultInjector) partitionInstance(ctx context.Context, both bool) error {
	i := fi.random.IntN(len(fi.system.Settings))
	name := fi.system.Settings[i].Instance
	pairs := map[string]bool{}
	for _, s := range fi.system.Settings {
		pairs[name+">"+s.Instance] = true
		if both {
			pairs[s.Instance+">"+name] = true
		}
	}
	fi.partition.set(pairs)
	timer.Pause(ctx, 2*fi.faultDuration())
	fi.partition.set(map[string]bool{})
	return nil
}

func (fi *faultInjector) serverFault(ctx context.Context) error {
	s := fi.system.Servers[fi.random.IntN(len(fi.system.Servers))]
	all := []testserver.Fault{
		testserver.Straggle{Factor: 10},
		testserver.FailFast{},
		testserver.Reset{},
		testserver.TruncateResponse{},
		testserver.DelayResponse{Delay: 50 * time.Millisecond},
		testserver.ReportZeroLoad{},
		testserver.Drain{},
		testserver.ShedAll{},
	}
	s.SetFault(all[fi.random.IntN(len(all))])
	timer.Pause(ctx, fi.faultDuration())
	s.SetFault(testserver.Healthy{})
	return nil
}

func (fi *faultInjector) rebootServer(context.Context) error {
	fi.system.Servers[fi.random.IntN(len(fi.system.Servers))].SetFault(testserver.Reboot{})
	return nil
}

func (fi *faultInjector) domainOutAndIn(ctx context.Context) error {
	domain := cluster.DefaultDomains()[fi.random.IntN(len(cluster.DefaultDomains()))]
	for _, order := range []string{"out", "in"} {
		fi.changeNumber++
		o := operator.ChangeOptions{ChangeID: fmt.Sprintf("order-%d", fi.changeNumber), WaitMS: operator.DefaultWaitMS}
		c := fi.system.OperatorClient(fi.random.IntN(len(fi.system.Nodes)))
		if _, err := c.Order(ctx, "domains", domain, order, o); err != nil {
			return err
		}
	}
	return nil
}
