package quarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/script"
)

// A replay simulates entries, a leader and upstreams under a load from a data file. Entries
// choose upstreams at random. It uses no sockets and no clock.

const (
	reportDelay = 3 * time.Millisecond
	// directEntries is the number of entries that follow the leader itself.
	directEntries = 64
	// replaceAfter is the time after which a crashed upstream is replaced.
	replaceAfter = time.Second
	// exposureWindow is the time after the third crash in which the sends count.
	exposureWindow = 20 * time.Second
)

// replay is the state of the simulation.
type replay struct {
	now     time.Time
	random  *rand.Rand
	pending schedule
	serial  int
	// without is true if the decisions are not used.
	without bool
	entries []*quarantine.Holder
	owner   *quarantine.Owner
	// viewInterval is the shortest time between two views, and listed the revision of the
	// last one.
	viewInterval time.Duration
	listed       uint64
	upstreams    []*simulated
	born         int64
	crashed      int
	contents     map[quarantine.Fingerprint]*contentTally
	probes       int
}

// simulated is an upstream with the requests that it runs.
type simulated struct {
	key     quarantine.Incarnation
	down    bool
	running []*execution
}

// execution is a request that an upstream runs.
type execution struct {
	request *request
	sentAt  time.Time
}

// contentTally counts what happened to a content.
type contentTally struct {
	kind                                    string
	requests, served, failed, refused, sent int
	crashes                                 map[quarantine.Incarnation]bool
	// thirdAt is the time of the third crash; sentAfter counts the sends within
	// exposureWindow after it.
	thirdAt   time.Time
	sentAfter int
}

// request is one try of a caller.
type request struct {
	content quarantine.Fingerprint
	tries   int
	resets  int
	probe   bool
	entry   *quarantine.Holder
}

// planned is a function that runs at a time.
type planned struct {
	at     time.Time
	serial int
	run    func()
}

// schedule is a heap of planned functions.
type schedule []planned

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at.Before(s[j].at) || s[i].at.Equal(s[j].at) && s[i].serial < s[j].serial
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(planned)) }
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

var _ = script.Describe("replay", "testdata/replay/*.txt", func() script.Handler {
	var r *replay
	return func(c script.Case) string {
		switch c.Command {
		case "system":
			r = newReplay(c)
			return ""
		case "load":
			r.load(c)
			return ""
		case "crash_share":
			r.after(time.Duration(c.Int("at", 0))*time.Millisecond, func() { r.crashShare(float64(c.Int("percent", 15)) / 100) })
			return ""
		case "crash_under":
			r.after(time.Duration(c.Int("at", 0))*time.Millisecond, func() { r.crashUnder(quarantine.Fingerprint(c.Args["content"]), c.Int("upstreams", 2)) })
			return ""
		case "play":
			return r.play(time.Duration(c.Int("seconds", 1)) * time.Second)
		}
		return "unknown command"
	}
})

func newReplay(c script.Case) *replay {
	r := &replay{
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(uint64(c.Int("seed", 1)), 1)), without: c.Bool("without"),
		owner: quarantine.NewOwner(), viewInterval: time.Duration(c.Int("view_ms", 120)) * time.Millisecond, contents: map[quarantine.Fingerprint]*contentTally{},
	}
	for range c.Int("entries", 1) {
		r.entries = append(r.entries, quarantine.NewHolder())
	}
	for range c.Int("upstreams", 1) {
		r.upstreams = append(r.upstreams, r.newUpstream())
	}
	r.publish()
	return r
}

func (r *replay) newUpstream() *simulated {
	r.born++
	return &simulated{key: quarantine.Incarnation{ID: fmt.Sprintf("u%d", r.born), StartMS: r.born}}
}

func (r *replay) after(delay time.Duration, run func()) {
	r.serial++
	heap.Push(&r.pending, planned{r.now.Add(delay), r.serial, run})
}

// between returns a random duration between two numbers of milliseconds.
func (r *replay) between(low, high int) time.Duration {
	return time.Duration(float64(low)+r.random.Float64()*float64(high-low)) * time.Millisecond
}

// publish sends what the leader lists to its entries, once in each interval, and a random
// part of an interval later to those that follow relays, which have rounds of their own.
func (r *replay) publish() {
	if r.owner.Step(r.now, quarantine.Pruned{}); r.owner.Revision != r.listed {
		r.listed = r.owner.Revision
		listings, listedAt := r.owner.Listings(r.now), r.now
		for i, h := range r.entries {
			delay := reportDelay
			if i >= directEntries {
				delay += reportDelay + time.Duration(r.random.Float64()*float64(r.viewInterval))
			}
			r.after(delay, func() {
				h.Step(r.now, quarantine.Listed{Epoch: 1, Listings: quarantine.Aged(listings, r.now.Sub(listedAt)-reportDelay)})
			})
		}
	}
	r.after(r.viewInterval, r.publish)
}

// load adds requests at random times. With same, all have the same content.
func (r *replay) load(c script.Case) {
	kind, number := c.Args["kind"], 0
	mean := float64(time.Second) * 1000 / float64(c.Int("per_1000s", 1000))
	var next func()
	next = func() {
		content := quarantine.Fingerprint(kind)
		if !c.Bool("same") {
			number++
			content = quarantine.Fingerprint(fmt.Sprintf("%s-%d", kind, number))
		}
		r.arrive(content, kind, 0)
		r.after(time.Duration(r.random.ExpFloat64()*mean), next)
	}
	r.after(time.Duration(c.Int("from", 0))*time.Millisecond, next)
}

func (r *replay) arrive(content quarantine.Fingerprint, kind string, tries int) {
	tally := r.contents[content]
	if tally == nil {
		tally = &contentTally{kind: kind, crashes: map[quarantine.Incarnation]bool{}}
		r.contents[content] = tally
	}
	tally.requests++
	q := &request{content: content, tries: tries, entry: r.entries[r.random.IntN(len(r.entries))]}
	if !r.without && q.entry.Quarantined(r.now, content) {
		if !q.entry.ProbeDue(r.now, content) {
			tally.refused++
			r.retryOfCaller(q)
			return
		}
		allowed, askAgain := r.owner.AllowProbe(r.now, content)
		q.entry.Step(r.now, quarantine.ProbeAsked{Fingerprint: content, AskAgain: askAgain})
		if !allowed {
			tally.refused++
			r.retryOfCaller(q)
			return
		}
		r.probes++
		q.probe = true
	}
	r.send(q)
}

// retryOfCaller lets the caller of a failed try come back, at most twice.
func (r *replay) retryOfCaller(q *request) {
	if q.tries >= 2 {
		return
	}
	r.after(r.between(60, 600), func() { r.arrive(q.content, r.contents[q.content].kind, q.tries+1) })
}

func (r *replay) send(q *request) {
	u := r.upstreams[r.random.IntN(len(r.upstreams))]
	for u.down {
		u = r.upstreams[r.random.IntN(len(r.upstreams))]
	}
	tally := r.contents[q.content]
	tally.sent++
	if !tally.thirdAt.IsZero() && r.now.Sub(tally.thirdAt) < exposureWindow {
		tally.sentAfter++
	}
	x := &execution{q, r.now}
	u.running = append(u.running, x)
	if tally.kind == "deadly" {
		r.after(r.between(40, 150), func() { r.crash(u) })
		return
	}
	r.after(r.between(120, 300), func() {
		i := slices.Index(u.running, x)
		if i < 0 {
			return
		}
		u.running = slices.Delete(u.running, i, i+1)
		tally.served++
		r.step(q.entry, quarantine.Answered{Fingerprint: q.content, SentAt: x.sentAt})
	})
}

// reset ends a try at an upstream that has crashed, and repeats it as an entry does.
func (r *replay) reset(q *request, u *simulated, sentAt time.Time) {
	tally := r.contents[q.content]
	if tally.kind == "deadly" && !tally.crashes[u.key] {
		tally.crashes[u.key] = true
		if len(tally.crashes) == quarantine.TotalLimit {
			tally.thirdAt = r.now
		}
	}
	q.resets++
	r.step(q.entry, quarantine.Crashed{Fingerprint: q.content, Upstream: u.key, SentAt: sentAt})
	if q.resets == 1 && !q.probe && (r.without || q.entry.MayRepeat(r.now, q.content, q.resets)) {
		r.send(q)
		return
	}
	tally.failed++
	r.retryOfCaller(q)
}

// step steps an entry and delivers its reports to the leader.
func (r *replay) step(h *quarantine.Holder, e quarantine.HolderEvent) {
	for _, effect := range h.Step(r.now, e) {
		if report, ok := effect.(quarantine.Report); ok {
			r.after(reportDelay, func() { r.owner.Step(r.now, quarantine.Reported(report)) })
		}
	}
}

// crash ends upstreams at the same moment, with everything that they run, and replaces them
// later.
func (r *replay) crash(upstreams ...*simulated) {
	upstreams = slices.DeleteFunc(upstreams, func(u *simulated) bool { return u.down })
	for _, u := range upstreams {
		u.down = true
		r.crashed++
	}
	for _, u := range upstreams {
		running := u.running
		u.running = nil
		for _, x := range running {
			r.reset(x.request, u, x.sentAt)
		}
		r.after(replaceAfter, func() { r.upstreams[slices.Index(r.upstreams, u)] = r.newUpstream() })
	}
}

// crashShare ends a share of the upstreams at the same moment.
func (r *replay) crashShare(share float64) {
	var lost []*simulated
	for _, i := range r.random.Perm(len(r.upstreams))[:int(share*float64(len(r.upstreams)))] {
		lost = append(lost, r.upstreams[i])
	}
	r.crash(lost...)
}

// crashUnder ends upstreams that run a content, at the same moment. It waits until there is
// one.
func (r *replay) crashUnder(content quarantine.Fingerprint, count int) {
	var lost []*simulated
	for _, u := range r.upstreams {
		if len(lost) < count && slices.ContainsFunc(u.running, func(x *execution) bool { return x.request.content == content }) {
			lost = append(lost, u)
		}
	}
	if len(lost) == 0 {
		r.after(time.Millisecond, func() { r.crashUnder(content, count) })
	}
	r.crash(lost...)
}

// play runs the simulation for some time, and returns the counts since the start.
func (r *replay) play(length time.Duration) string {
	end := r.now.Add(length)
	for len(r.pending) > 0 && r.pending[0].at.Before(end) {
		next := heap.Pop(&r.pending).(planned)
		r.now = next.at
		next.run()
	}
	r.now = end
	kinds := map[string]*contentTally{}
	for _, c := range r.contents {
		sum := kinds[c.kind]
		if sum == nil {
			sum = &contentTally{kind: c.kind}
			kinds[c.kind] = sum
		}
		sum.requests += c.requests
		sum.served += c.served
		sum.failed += c.failed
		sum.refused += c.refused
		sum.sent += c.sent
		sum.sentAfter = max(sum.sentAfter, c.sentAfter)
	}
	text := fmt.Sprintf("upstreams crashed=%d probes=%d", r.crashed, r.probes)
	for _, kind := range []string{"ordinary", "popular", "deadly"} {
		if c := kinds[kind]; c != nil {
			text += fmt.Sprintf("\n%s requests=%d sent=%d served=%d failed=%d refused=%d", kind, c.requests, c.sent, c.served, c.failed, c.refused)
		}
	}
	if c := kinds["deadly"]; c != nil {
		text += fmt.Sprintf("\nsent within 20 s after the third crash=%d", c.sentAfter)
	}
	return text
}
