package entry_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/slot"
)

func TestEntry(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "entry")
}

// bench is an entry whose clock the test file advances.
type bench struct {
	core *entry.Entry
	now  time.Time
	seq  uint64
}

var _ = script.Describe("entry", "testdata/*.txt", func() script.Handler {
	b := &bench{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	cfg := entry.Config{Name: "e1", BootID: "b", Domain: "palermo", Policy: choice.Expected{}}
	b.core = entry.New(cfg, rand.New(rand.NewPCG(1, 1)))
	return b.run
})

func (b *bench) run(c script.Case) string {
	b.now = b.now.Add(time.Duration(c.Int("after", 0)) * time.Millisecond)
	switch c.Command {
	case "tick":
		return b.step(entry.Ticked{})
	case "reply":
		return b.step(entry.Replied{Reply: b.reply(c)})
	case "lost":
		return b.step(entry.ReplyLost{Seq: b.seq})
	case "call":
		return b.step(entry.Arrived{Request: call.Request{
			ID: call.ID(c.Int("id", 0)), Service: "booking", Idempotent: c.Bool("idempotent"),
			Depth: c.Int("depth", 1), NoRetry: c.Bool("no_retry"), Deadline: b.now.Add(time.Second),
		}})
	case "end":
		return b.step(entry.AttemptEnded{
			Call: call.ID(c.Int("id", 0)), Attempt: call.AttemptID(c.Int("attempt", 0)),
			Outcome: outcome(c), Took: 10 * time.Millisecond, Final: c.Bool("final"),
		})
	case "hedge":
		return b.step(entry.HedgeDue{Call: call.ID(c.Int("id", 0))})
	case "left":
		return b.step(entry.Left{Call: call.ID(c.Int("id", 0))})
	case "closed":
		return b.step(entry.ConnectionLost{Server: c.Args["server"], BootID: "1"})
	case "borrow":
		return b.step(entry.BorrowAsked{From: c.Args["from"], Token: uint64(c.Int("token", 1)), Service: "booking"})
	case "return":
		return b.step(entry.LoanReturned{From: c.Args["from"], Token: uint64(c.Int("token", 1))})
	case "stop":
		return b.step(entry.Stopped{})
	case "depart":
		return b.step(entry.Departing{})
	}
	return "unknown command"
}

// reply builds the owner's reply to the last report, with grants as
// server:slots and a document when it is the first.
func (b *bench) reply(c script.Case) slot.Reply {
	r := slot.Reply{Term: uint64(c.Int("term", 1)), Seq: b.seq, LeaseMS: 2000}
	for _, g := range c.List("grants") {
		name, slots, _ := strings.Cut(g, ":")
		info := membership.Announcement{Server: name, Service: "booking", Domain: "palermo", BootID: "1", State: membership.StateReady}
		n := 0
		_, err := fmt.Sscan(slots, &n)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		r.Grants = append(r.Grants, slot.Grant{Server: name, Slots: n, Info: &info})
	}
	if index := c.Int("configuration", 0); index > 0 {
		d := service.Defaults("booking")
		d.Limits.QueueLength = 2
		d.Retry.Burst = 3
		out := map[string]bool{}
		if domain := c.Args["out"]; domain != "" {
			out[domain] = true
		}
		r.Configuration = &slot.Configuration{Index: uint64(index), Documents: map[string]service.Document{"booking": d}, OutDomains: out}
	}
	return r
}

func outcome(c script.Case) call.Outcome {
	switch reason := call.Reason(c.Args["reason"]); c.Args["outcome"] {
	case "not_run":
		return call.NotRun{Reason: reason}
	case "unknown":
		return call.Unknown{Reason: reason}
	}
	return call.Answered{Status: 200}
}

func (b *bench) step(e entry.Event) string {
	var lines []string
	for _, effect := range b.core.Step(b.now, e) {
		lines = append(lines, b.text(effect))
	}
	return strings.Join(lines, "\n")
}

func (b *bench) text(effect entry.Effect) string {
	switch x := effect.(type) {
	case entry.StartAttempt:
		return fmt.Sprintf("start call=%d attempt=%d server=%s hedge=%v", x.Call, x.Attempt, x.Server.Server, x.HedgeAfter)
	case entry.Finish:
		return fmt.Sprintf("finish call=%d %s %s", x.Call, call.OutcomeName(x.Outcome), call.OutcomeReason(x.Outcome))
	case entry.SendReport:
		b.seq = x.Report.Seq
		var held []string
		for _, h := range x.Report.Holdings {
			held = append(held, fmt.Sprintf("%s:%d/%d", h.Server, h.Slots, h.InUse))
		}
		return fmt.Sprintf("report full=%v lapsed=%v leaving=%v held=%v seen=%d", x.Report.Full, x.Report.Lapsed, x.Report.Leaving, held, len(x.Report.Observations))
	case entry.SendLoan:
		return fmt.Sprintf("loan to=%s lent=%v", x.To, x.Loan != nil)
	case entry.ReadyChanged:
		return strings.TrimSpace(fmt.Sprintf("ready=%v %s", x.Ready, x.Reason))
	case entry.ConfigurationChanged:
		return fmt.Sprintf("configuration=%d", x.Index)
	case entry.SendBorrow, entry.SendReturn, entry.SendProbe:
		return fmt.Sprintf("%T", x)
	}
	return "unknown effect"
}
