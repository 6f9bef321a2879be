package siege

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/oriolepost/oriolepost/timer"
)

const (
	// shortestFault and longestFault bound how long a fault lasts: from less
	// than an election to more than a voter may be silent.
	shortestFault = 200 * time.Millisecond
	longestFault  = 3 * time.Second
	// calmBeforeWipe is how long the control instances must be undisturbed
	// before one loses its disk: as long as one that is back counts as lost.
	calmBeforeWipe = 8 * time.Second
)

// disturber is the task that injects faults. It draws them from a seed; when
// what they meet is left to the machine.
type disturber struct {
	siege  *field
	random *rand.Rand
	counts map[string]int
	// controlAt is when the control instances were last disturbed.
	controlAt time.Time
	born      int
}

// fault is a kind of fault, with how often it is drawn.
type fault struct {
	name   string
	weight int
	inject func(d *disturber, ctx context.Context)
}

// faults are all kinds.
var faults = []fault{
	{"pause_entry", 3, func(d *disturber, ctx context.Context) { d.pause(ctx, pick(d, d.siege.entries)) }},
	{"pause_control", 2, func(d *disturber, ctx context.Context) { d.pause(ctx, pick(d, d.siege.control)) }},
	{"kill_entry", 3, func(d *disturber, ctx context.Context) { d.kill(ctx, pick(d, d.siege.entries)) }},
	{"kill_control", 2, func(d *disturber, ctx context.Context) { d.kill(ctx, pick(d, d.siege.control)) }},
	{"kill_all_control", 1, (*disturber).killAllControl},
	{"stop_entry", 3, func(d *disturber, _ context.Context) { d.stop(pick(d, d.siege.entries)) }},
	{"stop_control", 2, func(d *disturber, _ context.Context) { d.stop(pick(d, d.siege.control)) }},
	{"wipe_control", 1, (*disturber).wipe},
	{"reload", 1, (*disturber).reload},
	{"way_to_entry", 3, (*disturber).bendEntry},
	{"way_to_control", 2, func(d *disturber, ctx context.Context) { d.bend(ctx, "operators", pick(d, d.siege.controlRelays)) }},
	{"way_to_upstream", 4, (*disturber).bendUpstream},
	{"upstream_behaves", 4, (*disturber).misbehave},
	{"upstream_replaced", 3, (*disturber).replace},
	{"upstream_crashes", 2, (*disturber).crash},
}

func pick[T any](d *disturber, list []T) T { return list[d.random.IntN(len(list))] }

// run injects faults, some at the same time as others, until the context ends.
func (d *disturber) run(ctx context.Context, every time.Duration) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	for timer.Pause(ctx, time.Duration(d.random.Float64()*2*float64(every))) {
		n := d.random.IntN(total)
		i := slices.IndexFunc(faults, func(f fault) bool {
			n -= f.weight
			return n < 0
		})
		d.counts[faults[i].name]++
		faults[i].inject(d, ctx)
	}
}

func (d *disturber) length() time.Duration {
	return shortestFault + time.Duration(d.random.Float64()*float64(longestFault-shortestFault))
}

// note tells the witness that a name is disturbed from now on.
func (d *disturber) note(name, fault string) {
	d.siege.witness.tell(Disturbed{Name: name, Fault: fault, At: d.siege.witness.now()})
}

// later does something when a fault is over, and notes the end.
func (d *disturber) later(ctx context.Context, after time.Duration, name, fault string, do func()) {
	w := d.siege.witness
	go func() {
		timer.Pause(ctx, after)
		do()
		w.tell(Disturbed{Name: name, Fault: fault + " ends", At: w.now()})
	}()
}

func (d *disturber) touch(p *process) {
	if p.settings.Control != "" {
		d.controlAt = time.Now()
	}
}

func (d *disturber) pause(ctx context.Context, p *process) {
	d.touch(p)
	d.note(p.settings.Instance, "paused")
	p.orders <- signalOrder{syscall.SIGSTOP}
	d.later(ctx, d.length(), p.settings.Instance, "paused", func() { p.orders <- signalOrder{syscall.SIGCONT} })
}

func (d *disturber) kill(ctx context.Context, p *process) {
	d.touch(p)
	d.note(p.settings.Instance, "killed")
	p.orders <- signalOrder{syscall.SIGKILL}
	d.later(ctx, d.length()/3, p.settings.Instance, "killed", func() { p.orders <- startOrder{} })
}

func (d *disturber) killAllControl(ctx context.Context) {
	for _, p := range d.siege.control {
		d.kill(ctx, p)
	}
}

func (d *disturber) stop(p *process) {
	d.touch(p)
	d.note(p.settings.Instance, "stopped")
	p.orders <- signalOrder{syscall.SIGTERM}
	p.orders <- startOrder{}
}

// wipe takes the disk of a control instance, if the others are calm.
func (d *disturber) wipe(ctx context.Context) {
	if time.Since(d.controlAt) < calmBeforeWipe {
		return
	}
	p := pick(d, d.siege.control)
	d.touch(p)
	d.note(p.settings.Instance, "wiped")
	p.orders <- wipeOrder{}
	d.controlAt = time.Now()
	d.later(ctx, d.length()/3, p.settings.Instance, "wiped", func() { p.orders <- startOrder{} })
}

// reload changes the seeds of an instance, sometimes without a word.
func (d *disturber) reload(context.Context) {
	p := pick(d, append(slices.Clone(d.siege.entries), d.siege.control...))
	seeds := slices.Clone(d.siege.seeds)
	d.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	p.orders <- seedsOrder{seeds[:1+d.random.IntN(len(seeds))]}
	if d.random.IntN(2) == 0 {
		p.orders <- signalOrder{syscall.SIGHUP}
	}
}

func (d *disturber) bendEntry(ctx context.Context) {
	i := d.random.IntN(len(d.siege.entries))
	d.bend(ctx, d.siege.entries[i].settings.Instance, d.siege.entryRelays[i])
}

func (d *disturber) bendUpstream(ctx context.Context) {
	u := pick(d, d.siege.upstreams)
	d.bend(ctx, u.info.ID, u.relay)
}

// bend delays, resets, cuts one way or silences the connections of a relay.
func (d *disturber) bend(ctx context.Context, name string, r *relay) {
	ways := []way{
		{delay: 5 * time.Millisecond},
		{delay: 60 * time.Millisecond},
		{reset: true},
		{holdThere: true},
		{holdBack: true},
		{holdThere: true, holdBack: true},
	}
	d.note(name, "way")
	r.take(pick(d, ways))
	d.later(ctx, d.length(), name, "way", func() { r.take(way{}) })
}

func (d *disturber) misbehave(ctx context.Context) {
	u := pick(d, d.siege.upstreams)
	u.behaviour.Store(&[]behaviour{{slow: 8}, {slow: 1, loseShare: 0.3}, {slow: 1, shedShare: 0.5}}[d.random.IntN(3)])
	d.later(ctx, d.length(), u.info.ID, "behaviour", func() { u.behaviour.Store(&behaviour{slow: 1}) })
}

// replace starts a new upstream and lets an old one leave.
func (d *disturber) replace(ctx context.Context) {
	i := d.random.IntN(len(d.siege.upstreams))
	old := d.siege.upstreams[i]
	if !d.begin(i) {
		return
	}
	old.leave <- struct{}{}
	go func() {
		timer.Pause(ctx, goneTime)
		old.stop()
	}()
}

// crash ends an upstream at once; a new one comes elsewhere.
func (d *disturber) crash(context.Context) {
	i := d.random.IntN(len(d.siege.upstreams))
	d.siege.upstreams[i].stop()
	d.begin(i)
}

// begin puts a new upstream in the place of another.
func (d *disturber) begin(i int) bool {
	d.born++
	u, err := d.siege.newUpstream(d.born)
	if err != nil {
		d.siege.witness.tell(Exited{Name: fmt.Sprintf("upstream %d", d.born), Reason: err.Error()})
		return false
	}
	d.siege.upstreams[i] = u
	return true
}
