package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/allowance"
	"github.com/oriolepost/oriolepost/retry"
	"github.com/oriolepost/oriolepost/script"
)

func TestRetry(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "retry")
}

const (
	ratio        = 0.2
	windowLength = 10 * time.Second
)

// entry is the budget of one entry, and what it knows of the slack.
type entry struct {
	window retry.Pooled
	slack  retry.Slack
	holder *allowance.Holder
	// reply is the reply under way, which comes at replyAt, or nil if none will come.
	reply   *allowance.Reply
	replyAt time.Time
	// cut is true while the entry does not reach the owner, and calm while it wants no
	// retries.
	cut, calm bool
}

// Grants come between minGrantDelay and maxGrantDelay after the reports.
const (
	minGrantDelay = 5 * time.Millisecond
	maxGrantDelay = 1100 * time.Millisecond
)

// system is the budgets of one service in many entries, with the requests and retries of
// all of them, each as the time at which it came.
type system struct {
	entries           []*entry
	slack             float64
	random            *rand.Rand
	now               time.Time
	requests, retries []time.Time
	// owner is nil if there is no leader, or one of a version that grants nothing. pooled is
	// true if the leaders are of a version that grants.
	owner  *allowance.Owner
	pooled bool
	terms  int
}

var _ = script.Describe("retry windows", "testdata/*.txt", func() script.Handler {
	s := &system{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(1, 1))}
	return s.run
})

var _ = script.Describe("pooled retry budgets", "testdata/pooled/*.txt", func() script.Handler {
	s := &system{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(1, 1))}
	return s.withOwner().run
})

func (s *system) run(c script.Case) string {
	switch c.Command {
	case "entries":
		s.slack = float64(c.Int("slack", 0))
		for range c.Int("join", 0) {
			s.entries = append(s.entries, s.newEntry())
		}
		for i := range c.Int("restart", 0) {
			s.entries[i] = s.newEntry()
		}
		s.entries = s.entries[c.Int("leave", 0):]
		for i, e := range s.entries {
			e.slack.Report(s.now, len(s.entries))
			e.cut, e.calm = i < c.Int("cut", 0), i < c.Int("calm", 0)
		}
		return ""
	case "leader":
		return s.lead(c)
	case "load":
		return s.load(c)
	}
	return "unknown command"
}

func (s *system) newEntry() *entry {
	e := &entry{
		window: retry.Pooled{Own: retry.Window{Length: windowLength, Draw: s.random.Float64()}, Key: "booking", Former: !s.pooled},
		slack:  retry.Slack{Total: s.slack, Length: windowLength},
		holder: allowance.NewHolder(fmt.Sprint(s.random.Uint64()), windowLength),
	}
	e.holder.Age(s.now)
	return e
}

// withOwner adds an owner that has led for long.
func (s *system) withOwner() *system {
	s.pooled = true
	s.elect(s.now.Add(-time.Minute), s.now.Add(-time.Minute))
	return s
}

// elect replaces the owner, by one that leads since a time.
func (s *system) elect(since, started time.Time) {
	s.terms++
	s.owner = allowance.NewOwner(since, started, fmt.Sprint(s.terms), func(string) (allowance.Limit, bool) {
		return allowance.Window{Ratio: ratio, Length: windowLength, Slack: s.slack}, true
	})
}

// lead changes the leader.
func (s *system) lead(c script.Case) string {
	switch {
	case c.Bool("lost"):
		s.owner = nil
	case c.Bool("restarted"):
		s.elect(s.now, s.now)
	default:
		s.elect(s.now, s.now.Add(-time.Minute))
	}
	return ""
}

// ask delivers the reply that has come to an entry, and sends its next report.
func (s *system) ask(e *entry) {
	if !e.replyAt.IsZero() && !s.now.Before(e.replyAt) {
		if e.reply == nil {
			e.holder.Failed(s.now)
		} else {
			e.holder.Answer(s.now, *e.reply)
		}
		e.reply, e.replyAt = nil, time.Time{}
	}
	if report, due := e.holder.Report(s.now); due {
		if s.owner != nil && !e.cut {
			reply := s.owner.Handle(s.now, report)
			e.reply = &reply
		}
		e.replyAt = s.now.Add(minGrantDelay + time.Duration(s.random.Int64N(int64(maxGrantDelay-minGrantDelay))))
	}
}

// load lets each entry get a request now and then, and try to retry each several times. It
// reports whether the retries of any window were more than allowed, and whether those of the
// last one used more than four fifths of the limit, or than the percentage in the argument use.
func (s *system) load(c script.Case) string {
	over, used := false, 0.0
	for range c.Int("ms", 0) / 100 {
		s.now = s.now.Add(100 * time.Millisecond)
		if s.owner != nil {
			s.owner.Prune(s.now, 3*windowLength)
		}
		for _, e := range s.entries {
			if !e.cut && (s.owner != nil || !s.pooled) {
				e.slack.Report(s.now, len(s.entries))
			}
			s.ask(e)
			if s.random.Float64() < float64(c.Int("percent", 20))/100 {
				e.window.CountRequest(s.now, e.holder)
				s.requests = append(s.requests, s.now)
			}
			for range c.Int("attempts", 1) {
				if !e.calm && e.window.Spend(s.now, e.holder, ratio, e.slack.Share(s.now), 1) {
					s.retries = append(s.retries, s.now)
				}
			}
		}
		// The users' limit counts the requests of this window, of the one before, or of
		// the one half a window before, whichever has most.
		requests := max(within(s.requests, s.now), within(s.requests, s.now.Add(-windowLength/2)), within(s.requests, s.now.Add(-windowLength)))
		limit := ratio*float64(requests) + s.slack
		over = over || float64(within(s.retries, s.now)) > limit
		used = float64(within(s.retries, s.now)) / limit
	}
	if percent := c.Int("use", 0); percent > 0 {
		return fmt.Sprintf("over the limit: %v, uses %d percent: %v", over, percent, 100*used > float64(percent))
	}
	return fmt.Sprintf("over the limit: %v, uses four fifths: %v", over, used > 0.8)
}

// within counts the times within the window that ends at a time.
func within(times []time.Time, end time.Time) int {
	count := 0
	for _, t := range times {
		if !t.After(end) && end.Sub(t) < windowLength {
			count++
		}
	}
	return count
}
