package faultsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/oriolepost/oriolepost/timer"
)

const (
	// Faults last between minFaultDuration, which is shorter than an election,
	// and maxFaultDuration, which is longer than a voter may be unresponsive
	// before it is replaced. A killed or wiped instance starts again after a third
	// of such a duration.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// faultFreeBeforeWipe is how long no control instance must have been paused,
	// killed, stopped or wiped before the data folder of one is deleted. An
	// instance that returns still counts as lost for this long, and only one may
	// be lost at a time.
	faultFreeBeforeWipe = 8 * time.Second
	// seedAbsence is how long a seed is away before the next one leaves: enough for
	// an election, the 2.5 s after which another control instance replaces a lost
	// voter, and the changes of the voter group.
	seedAbsence = 6 * time.Second
)

// faultInjector is the task that injects faults. The seed determines the faults
// and the intervals between them. What the system is doing when a fault strikes
// depends on the timing of the machine.
type faultInjector struct {
	system *testSystem
	random *rand.Rand
	counts map[string]int
	// controlFaultAt is the time when a control instance was last paused, killed,
	// stopped or wiped. At first it is the start of the injector.
	controlFaultAt time.Time
	// seedsReplaced is closed at the end of the last replaceSeeds. It is nil if there
	// was none.
	seedsReplaced chan struct{}
	// upstreamNumber plus one is the number of the next upstream.
	upstreamNumber int
	// deadlyNumber is the number of the last content that crashes its upstreams.
	deadlyNumber int
}

// fault is a kind of fault and its relative frequency.
type fault struct {
	name   string
	weight int
	// onControl marks the faults of control instances, which are skipped while
	// replaceSeeds is in progress.
	onControl bool
	// minControl is the number of control instances that the fault requires.
	minControl int
	inject     func(fi *faultInjector, ctx context.Context)
}

// faults lists all kinds of faults.
var faults = []fault{
	{name: "pause_entry", weight: 3, inject: func(fi *faultInjector, ctx context.Context) { fi.pause(ctx, pick(fi, fi.system.entries)) }},
	{name: "pause_control", weight: 2, onControl: true, inject: func(fi *faultInjector, ctx context.Context) { fi.pause(ctx, pick(fi, fi.system.control)) }},
	{name: "kill_entry", weight: 3, inject: func(fi *faultInjector, ctx context.Context) { fi.kill(ctx, pick(fi, fi.system.entries)) }},
	{name: "kill_control", weight: 2, onControl: true, inject: func(fi *faultInjector, ctx context.Context) { fi.kill(ctx, pick(fi, fi.system.control)) }},
	{name: "kill_all_control", weight: 1, onControl: true, inject: (*faultInjector).killAllControl},
	{name: "stop_entry", weight: 3, inject: func(fi *faultInjector, _ context.Context) { fi.stop(pick(fi, fi.system.entries)) }},
	{name: "stop_control", weight: 2, onControl: true, inject: func(fi *faultInjector, _ context.Context) { fi.stop(pick(fi, fi.system.control)) }},
	{name: "wipe_control", weight: 1, onControl: true, inject: (*faultInjector).wipeControl},
	{name: "reload", weight: 1, inject: (*faultInjector).changeSeeds},
	{name: "way_to_entry", weight: 3, inject: (*faultInjector).impairEntryLink},
	{name: "way_to_control", weight: 2, inject: func(fi *faultInjector, ctx context.Context) {
		fi.impairLink(ctx, "operators", pick(fi, fi.system.controlRelays))
	}},
	{name: "way_to_upstream", weight: 4, inject: (*faultInjector).impairUpstreamLink},
	{name: "upstream_behaves", weight: 4, inject: (*faultInjector).changeBehaviour},
	{name: "upstream_replaced", weight: 3, inject: (*faultInjector).replaceUpstream},
	{name: "upstream_crashes", weight: 2, inject: (*faultInjector).crashUpstream},
	{name: "upstream_deadly", weight: 3, inject: (*faultInjector).sendDeadly},
	{name: "seeds_replaced", weight: 2, onControl: true, minControl: seedCount + 2, inject: (*faultInjector).replaceSeeds},
}

func pick[T any](fi *faultInjector, list []T) T { return list[fi.random.IntN(len(list))] }

// run injects faults until the context ends. Their durations may overlap.
func (fi *faultInjector) run(ctx context.Context, every time.Duration) {
	possible := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return len(fi.system.control) < f.minControl })
	total := 0
	for _, f := range possible {
		total += f.weight
	}
	for fi.pauseReplacing(ctx, time.Duration(fi.random.Float64()*2*float64(every))) {
		n := fi.random.IntN(total)
		i := slices.IndexFunc(possible, func(f fault) bool {
			n -= f.weight
			return n < 0
		})
		fi.counts[possible[i].name]++
		if away := fi.seedsAway(); !away || !possible[i].onControl {
			possible[i].inject(fi, ctx)
		}
	}
	if fi.seedsReplaced != nil {
		<-fi.seedsReplaced
	}
}

// pauseReplacing waits, and replaces the upstreams that a request crashes meanwhile. It
// returns false if the context ends first.
func (fi *faultInjector) pauseReplacing(ctx context.Context, length time.Duration) bool {
	due := time.After(length)
	for {
		select {
		case <-due:
			return true
		case <-ctx.Done():
			return false
		case u := <-fi.system.crashed:
			if i := slices.Index(fi.system.upstreams, u); i >= 0 {
				fi.startReplacement(i)
			}
		}
	}
}

func (fi *faultInjector) faultDuration() time.Duration {
	return minFaultDuration + time.Duration(fi.random.Float64()*float64(maxFaultDuration-minFaultDuration))
}

// recordFault records that a fault begins at an instance or upstream, or on the
// link to it.
func (fi *faultInjector) recordFault(name, fault string) {
	fi.system.observer.record(FaultInjected{Name: name, Fault: fault, At: fi.system.observer.now()})
}

// endLater ends a fault by calling end after a duration, or earlier when the
// context ends. It records that the fault has ended.
func (fi *faultInjector) endLater(ctx context.Context, after time.Duration, name, fault string, end func()) {
	o := fi.system.observer
	go func() {
		timer.Pause(ctx, after)
		end()
		o.record(FaultInjected{Name: name, Fault: fault + " ends", At: o.now()})
	}()
}

func (fi *faultInjector) noteControlFault(p *process) {
	if p.settings.Control != "" {
		fi.controlFaultAt = time.Now()
	}
}

func (fi *faultInjector) pause(ctx context.Context, p *process) {
	fi.noteControlFault(p)
	fi.recordFault(p.settings.Instance, "paused")
	p.mailbox <- signalMessage{syscall.SIGSTOP}
	fi.endLater(ctx, fi.faultDuration(), p.settings.Instance, "paused", func() { p.mailbox <- signalMessage{syscall.SIGCONT} })
}

func (fi *faultInjector) kill(ctx context.Context, p *process) {
	fi.noteControlFault(p)
	fi.recordFault(p.settings.Instance, "killed")
	p.mailbox <- signalMessage{syscall.SIGKILL}
	fi.endLater(ctx, fi.faultDuration()/3, p.settings.Instance, "killed", func() { p.mailbox <- startMessage{} })
}

func (fi *faultInjector) killAllControl(ctx context.Context) {
	for _, p := range fi.system.control {
		fi.kill(ctx, p)
	}
}

func (fi *faultInjector) stop(p *process) {
	fi.noteControlFault(p)
	fi.recordFault(p.settings.Instance, "stopped")
	p.mailbox <- signalMessage{syscall.SIGTERM}
	p.mailbox <- startMessage{}
}

// wipeControl kills a control instance and deletes its data folder. It does
// nothing if a control instance was paused, killed, stopped or wiped within
// faultFreeBeforeWipe. The instance starts again later.
func (fi *faultInjector) wipeControl(ctx context.Context) {
	if time.Since(fi.controlFaultAt) < faultFreeBeforeWipe {
		return
	}
	p := pick(fi, fi.system.control)
	fi.noteControlFault(p)
	fi.recordFault(p.settings.Instance, "wiped")
	p.mailbox <- wipeMessage{}
	fi.controlFaultAt = time.Now()
	fi.endLater(ctx, fi.faultDuration()/3, p.settings.Instance, "wiped", func() { p.mailbox <- startMessage{} })
}

// seedsAway reports whether replaceSeeds is in progress. It then counts as a fault of
// a control instance.
func (fi *faultInjector) seedsAway() bool {
	if fi.seedsReplaced == nil {
		return false
	}
	select {
	case <-fi.seedsReplaced:
		return false
	default:
		fi.controlFaultAt = time.Now()
		return true
	}
}

// replaceSeeds waits until no control instance has a fault, and then lets those that
// the settings name as seeds leave the voter group one after the other: two are killed
// or paused until they have been replaced as voters, and the third one loses its data
// folder. Then all entries restart, while the first two are still away. Only one data
// folder is lost, and only one voter at a time.
func (fi *faultInjector) replaceSeeds(ctx context.Context) {
	seeds := slices.Clone(fi.system.control[:seedCount])
	fi.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	away, emptied := seeds[:seedCount-1], seeds[seedCount-1]
	signal := []syscall.Signal{syscall.SIGKILL, syscall.SIGSTOP}[fi.random.IntN(2)]
	beforeRestart, beforeReturn := fi.faultDuration()/3, fi.faultDuration()
	fi.controlFaultAt = time.Now()
	replaced := make(chan struct{})
	fi.seedsReplaced = replaced
	go func() {
		defer close(replaced)
		defer func() {
			for _, p := range away {
				p.mailbox <- signalMessage{syscall.SIGCONT}
				p.mailbox <- startMessage{}
			}
		}()
		if !timer.Pause(ctx, maxFaultDuration) {
			return
		}
		for _, p := range away {
			fi.recordFault(p.settings.Instance, "replaced")
			p.mailbox <- signalMessage{signal}
			if !timer.Pause(ctx, seedAbsence) {
				return
			}
		}
		fi.recordFault(emptied.settings.Instance, "wiped")
		emptied.mailbox <- wipeMessage{}
		timer.Pause(ctx, beforeRestart)
		emptied.mailbox <- startMessage{}
		for _, p := range fi.system.entries {
			fi.recordFault(p.settings.Instance, "killed")
			p.mailbox <- signalMessage{syscall.SIGKILL}
			p.mailbox <- startMessage{}
		}
		timer.Pause(ctx, beforeReturn)
	}()
}

// changeSeeds rewrites the settings file of an instance with a random selection
// of the seeds. In half of the cases it sends SIGHUP; otherwise the instance has
// to notice the change itself.
func (fi *faultInjector) changeSeeds(context.Context) {
	p := pick(fi, append(slices.Clone(fi.system.entries), fi.system.control...))
	seeds := slices.Clone(fi.system.seeds)
	fi.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	p.mailbox <- seedsMessage{seeds[:1+fi.random.IntN(len(seeds))]}
	if fi.random.IntN(2) == 0 {
		p.mailbox <- signalMessage{syscall.SIGHUP}
	}
}

func (fi *faultInjector) impairEntryLink(ctx context.Context) {
	i := fi.random.IntN(len(fi.system.entries))
	fi.impairLink(ctx, fi.system.entries[i].settings.Instance, fi.system.entryRelays[i])
}

func (fi *faultInjector) impairUpstreamLink(ctx context.Context) {
	u := pick(fi, fi.system.upstreams)
	fi.impairLink(ctx, u.info.ID, u.relay)
}

// impairLink delays or resets the connections of a relay, or holds their bytes in
// one direction or both.
func (fi *faultInjector) impairLink(ctx context.Context, name string, r *relay) {
	links := []link{
		{delay: 5 * time.Millisecond},
		{delay: 60 * time.Millisecond},
		{reset: true},
		{holdToTarget: true},
		{holdFromTarget: true},
		{holdToTarget: true, holdFromTarget: true},
	}
	fi.recordFault(name, linkFault)
	r.setLink(pick(fi, links))
	fi.endLater(ctx, fi.faultDuration(), name, linkFault, func() { r.setLink(link{}) })
}

// changeBehaviour makes an upstream slow, or lets it lose responses, shed
// requests, ask for rest or name a limit. A limit lasts for limitTime. Only the end of this
// fault is recorded.
func (fi *faultInjector) changeBehaviour(ctx context.Context) {
	u := pick(fi, fi.system.upstreams)
	u.behaviour.Store(&[]behaviour{{slowdown: 8}, {slowdown: 1, lostResponseShare: 0.3}, {slowdown: 1, shedShare: 0.5}, {slowdown: 1, restShare: 0.1}, {slowdown: 1, limit: 2}}[fi.random.IntN(5)])
	duration := fi.faultDuration()
	if u.behaviour.Load().limit > 0 {
		duration = limitTime
	}
	fi.endLater(ctx, duration, u.info.ID, behaviourFault, func() { u.behaviour.Store(&behaviour{slowdown: 1}) })
}

// replaceUpstream starts a new upstream and lets an old one deregister. The old
// one serves for servingAfterLeave longer. Its responses announce that it leaves, and
// so does its task, in half of the cases only announceLeaveAfter later.
func (fi *faultInjector) replaceUpstream(ctx context.Context) {
	i := fi.random.IntN(len(fi.system.upstreams))
	old := fi.system.upstreams[i]
	if !fi.startReplacement(i) {
		return
	}
	announceAfter := time.Duration(0)
	if fi.upstreamNumber%2 == 0 {
		announceAfter = announceLeaveAfter
	}
	old.leaving.Store(true)
	go func() {
		timer.Pause(ctx, announceAfter)
		old.leave <- struct{}{}
		timer.Pause(ctx, servingAfterLeave-announceAfter)
		old.stop()
	}()
}

// crashUpstream stops an upstream without deregistering it and starts a new one
// at another address.
func (fi *faultInjector) crashUpstream(context.Context) {
	i := fi.random.IntN(len(fi.system.upstreams))
	fi.system.upstreams[i].stop()
	fi.startReplacement(i)
}

const (
	// deadlyRequests is how often a deadly content is sent, at most every deadlyInterval on
	// average: often enough to crash all upstreams, if nothing stops it.
	deadlyRequests = 14
	deadlyInterval = 250 * time.Millisecond
)

// sendDeadly lets a caller send a content that crashes each upstream that runs it, again and
// again, to random entries.
func (fi *faultInjector) sendDeadly(ctx context.Context) {
	fi.deadlyNumber++
	path := fmt.Sprintf("%s%d", deadlyPrefix, fi.deadlyNumber)
	sender := fi.system.newCallers()[0]
	go func() {
		transport := &http.Transport{DisableKeepAlives: true}
		for i := range deadlyRequests {
			id := fmt.Sprintf("%s-%d", strings.TrimPrefix(path, "/view/"), i)
			sender.sendTo(ctx, transport, rand.IntN(len(sender.entries)), RequestSent{ID: id, Path: path, Idempotent: true})
			if !timer.Pause(ctx, time.Duration(rand.Float64()*2*float64(deadlyInterval))) {
				return
			}
		}
	}()
}

// startReplacement starts a new upstream and puts it at index i of the list of
// upstreams. It reports whether the upstream started.
func (fi *faultInjector) startReplacement(i int) bool {
	fi.upstreamNumber++
	u, err := fi.system.newUpstream(fi.upstreamNumber)
	if err != nil {
		fi.system.observer.record(Failure{Name: fmt.Sprintf("upstream %d", fi.upstreamNumber), Reason: err.Error()})
		return false
	}
	fi.system.upstreams[i] = u
	return true
}
