package allowance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/allowance"
	"github.com/oriolepost/oriolepost/script"
)

func TestAllowance(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "allowance")
}

// The users' limit on what a tenant runs within a window.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
)

var _ = script.Describe("quotas", "testdata/quotas/*.txt", func() script.Handler {
	return (&system{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 1))}).run
})

// system plays tenants, whose requests come to many entries, each after the other's time.
type system struct {
	now     time.Time
	random  *rand.Rand
	tenants []*tenant
	entries []*entry
	owner   *allowance.Owner
	terms   int
	reports int
}

type tenant struct {
	name            string
	demand          float64
	limit           allowance.Bucket
	ran             []time.Time
	offered, missed int
}

type entry struct {
	holder *allowance.Holder
	cut    bool
	// report is under way until arrivesAt, and its reply until repliedAt.
	report               *allowance.Report
	reply                *allowance.Reply
	arrivesAt, repliedAt time.Time
	waiting              []request
}

// request waits for the answer to the report that it caused.
type request struct {
	tenant  *tenant
	answers int
}

func (s *system) run(c script.Case) string {
	switch c.Command {
	case "tenants":
		for i := range c.Int("count", 1) {
			rate := float64(c.Int("largest", 1)) / math.Pow(float64(i+1), 1.2)
			quota := rate * float64(c.Int("percent", 125)) / 100
			burst := max(quota, 10)
			s.tenants = append(s.tenants, &tenant{name: "tenant/" + strconv.Itoa(i), demand: rate, limit: allowance.Bucket{
				Rate: quota, Burst: burst, Tolerance: quotaOverage*(quota*quotaWindow.Seconds()+burst) + quotaSlack,
			}})
		}
		for range c.Int("entries", 1) {
			s.entries = append(s.entries, &entry{holder: allowance.NewHolder(strconv.FormatUint(s.random.Uint64(), 36), 10*time.Second)})
		}
		s.elect(s.now.Add(-time.Minute))
		return ""
	case "leader":
		s.owner = nil
		if !c.Bool("lost") {
			s.elect(s.now)
		}
		return ""
	case "cut":
		for i, e := range s.entries {
			e.cut = i < c.Int("entries", 0)
			if !e.cut {
				// The entry's watch is answered.
				e.holder.Reached(s.now)
			}
		}
		return ""
	case "load":
		return s.load(c)
	}
	return "unknown command"
}

func (s *system) elect(since time.Time) {
	s.terms++
	s.owner = allowance.NewOwner(since, s.now.Add(-time.Minute), strconv.Itoa(s.terms), func(key string) (allowance.Limit, bool) {
		i := slices.IndexFunc(s.tenants, func(t *tenant) bool { return t.name == key })
		return s.tenants[i].limit, true
	})
}

// load plays requests, a number of times as many for the first tenant, and reports whether
// any tenant ran more than allowed, how many requests of the others were refused, whether
// the first tenant could use its quota, and how many reports an entry sent.
func (s *system) load(c script.Case) string {
	for _, t := range s.tenants {
		t.offered, t.missed = 0, 0
	}
	s.reports = 0
	began := len(s.tenants[0].ran)
	over := false
	for range c.Int("ms", 0) {
		s.now = s.now.Add(time.Millisecond)
		for i, t := range s.tenants {
			demand := t.demand
			if i == 0 {
				demand *= float64(c.Int("factor", 1))
			}
			for n := demand / 1000; s.random.Float64() < n; n-- {
				t.offered++
				s.arrive(s.entries[s.random.IntN(len(s.entries))], request{tenant: t})
			}
		}
		for _, e := range s.entries {
			s.carry(e)
		}
		if s.now.UnixMilli()%20 == 0 {
			over = over || s.isOver()
		}
	}
	offered, missed := 0, 0
	for _, t := range s.tenants[1:] {
		offered, missed = offered+t.offered, missed+t.missed
	}
	seconds := float64(c.Int("ms", 0)) / 1000
	first := s.tenants[0]
	used := float64(len(first.ran)-began) / min(float64(first.offered), first.limit.Rate*seconds)
	loss := 1000 * float64(missed) / float64(offered)
	return fmt.Sprintf("over: %v, refused of others below %d in 1000: %v, first uses nine tenths: %v, reports a second below %d: %v", over,
		c.Int("loss", 1), loss < float64(c.Int("loss", 1)), used > 0.9, c.Int("reports", 2000), float64(s.reports)/seconds < float64(c.Int("reports", 2000)))
}

// isOver reports whether the window that ends now has more than allowed, for any tenant.
func (s *system) isOver() bool {
	for _, t := range s.tenants {
		for len(t.ran) > 0 && s.now.Sub(t.ran[0]) >= quotaWindow && len(t.ran) > 20000 {
			t.ran = t.ran[1:]
		}
		first, _ := slices.BinarySearchFunc(t.ran, s.now.Add(-quotaWindow), func(at, from time.Time) int { return at.Compare(from) })
		if float64(len(t.ran)-first) > (t.limit.Rate*quotaWindow.Seconds()+t.limit.Burst)*(1+quotaOverage)+quotaSlack {
			return true
		}
	}
	return false
}

// arrive runs a request, or lets it wait for a token.
func (s *system) arrive(e *entry, r request) {
	if e.holder.Take(s.now, r.tenant.name, allowance.Urgent{}) {
		r.tenant.ran = append(r.tenant.ran, s.now)
		return
	}
	if e.holder.Asked() {
		r.answers = 1
	}
	e.waiting = append(e.waiting, r)
}

// carry delivers the entry's report and its reply, each after a network delay, and sends the
// next report.
func (s *system) carry(e *entry) {
	if e.report != nil && !s.now.Before(e.arrivesAt) {
		if s.owner != nil && !e.cut {
			reply := s.owner.Handle(s.now, *e.report)
			e.reply = &reply
		}
		e.report = nil
	}
	if !e.repliedAt.IsZero() && !s.now.Before(e.repliedAt) {
		e.repliedAt = time.Time{}
		if e.reply == nil {
			e.holder.Failed(s.now)
		} else {
			e.holder.Answer(s.now, *e.reply)
		}
		e.reply = nil
		s.retryWaiting(e)
	}
	if next := e.holder.NextWake(); next.IsZero() || s.now.Before(next) {
		return
	}
	if report, due := e.holder.Report(s.now); due {
		s.reports++
		delay := time.Duration(200+s.random.IntN(2600)) * time.Microsecond
		e.report, e.arrivesAt, e.repliedAt = &report, s.now.Add(delay/2), s.now.Add(delay)
	}
}

// retryWaiting runs the requests that waited for an answer, or refuses them.
func (s *system) retryWaiting(e *entry) {
	waiting := e.waiting
	e.waiting = nil
	for _, r := range waiting {
		switch {
		case e.holder.Left(s.now, r.tenant.name) > 0 && e.holder.Take(s.now, r.tenant.name, allowance.Urgent{}):
			r.tenant.ran = append(r.tenant.ran, s.now)
		case r.answers > 0:
			r.answers--
			e.waiting = append(e.waiting, r)
		default:
			r.tenant.missed++
		}
	}
}

var _ = script.Describe("reports", "testdata/reports/*.txt", func() script.Handler {
	return (&messages{now: time.Unix(1000, 0)}).run
})

// messages exchanges the messages of single holders with an owner, which has led for long.
type messages struct {
	now     time.Time
	owner   *allowance.Owner
	holders map[string]*allowance.Holder
	// lost is the newest report whose reply was lost.
	lost allowance.Report
}

func (m *messages) run(c script.Case) string {
	m.now = m.now.Add(time.Duration(c.Int("after", 0)) * time.Millisecond)
	name := c.Args["holder"]
	switch c.Command {
	case "limit":
		limit := allowance.Window{Ratio: 0.2, Length: 10 * time.Second, Slack: float64(c.Int("slack", 0))}
		m.owner = allowance.NewOwner(m.now.Add(-time.Hour), m.now.Add(-time.Hour), "1", func(string) (allowance.Limit, bool) { return limit, true })
		m.holders = map[string]*allowance.Holder{}
		return ""
	case "ask":
		if m.holders[name] == nil {
			m.holders[name] = allowance.NewHolder(name, 10*time.Second)
		}
		return m.ask(m.holders[name], c)
	case "repeat_lost":
		return fmt.Sprintf("%d items", len(m.owner.Handle(m.now, m.lost).Items))
	}
	return "unknown command"
}

// ask lets a holder spend tokens, and then send a report, which may be to return some.
func (m *messages) ask(h *allowance.Holder, c script.Case) string {
	spent := 0
	for range c.Int("tokens", 1) {
		if h.Take(m.now, "k", allowance.Urgent{}) {
			spent++
		}
	}
	report, due := h.Report(m.now)
	if !due {
		return fmt.Sprintf("spent %d", spent)
	}
	i, reply := report.Items[0], m.owner.Handle(m.now, report)
	if m.now = m.now.Add(2 * time.Millisecond); c.Bool("lost") {
		m.lost = report
		h.Failed(m.now)
	} else {
		h.Answer(m.now, reply)
	}
	return fmt.Sprintf("spent %d, reports spent=%d held=%d wanted=%d, granted %d, ask after %d ms",
		spent, i.Spent, i.Held, i.Wanted, reply.Items[0].Tokens, reply.Items[0].AskAfterMS)
}
