package entry_test

import (
	"cmp"
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

// harness runs one entry with a clock that the test file advances.
type harness struct {
	core *entry.Entry
	now  time.Time
	// seq is the sequence number of the last report.
	seq uint64
}

var _ = script.Describe("entry", "testdata/*.txt", func() script.Handler {
	h := &harness{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	cfg := entry.Config{Name: "e1", BootID: "b", Domain: "palermo", Policy: choice.Expected{}}
	h.core = entry.New(cfg, rand.New(rand.NewPCG(1, 1)))
	return h.run
})

// run passes one command of a test file to the entry and returns the effects. The
// argument after advances the clock first, in milliseconds.
func (h *harness) run(c script.Case) string {
	h.now = h.now.Add(time.Duration(c.Int("after", 0)) * time.Millisecond)
	switch c.Command {
	case "tick":
		return h.step(entry.Ticked{})
	case "reply":
		return h.step(entry.ReplyReceived{Reply: h.reply(c)})
	case "lost":
		return h.step(entry.ReplyLost{Seq: h.seq})
	case "call":
		return h.step(entry.Arrived{Request: call.Request{
			ID: call.ID(c.Int("id", 0)), Service: cmp.Or(c.Args["service"], "booking"), Idempotent: c.Bool("idempotent"),
			Depth: c.Int("depth", 1), NoRetry: c.Bool("no_retry"), Deadline: h.now.Add(time.Second),
		}})
	case "end":
		return h.step(entry.AttemptEnded{
			Call: call.ID(c.Int("id", 0)), Attempt: call.AttemptID(c.Int("attempt", 0)),
			Outcome: outcome(c), ServiceTime: 10 * time.Millisecond, NoRetry: c.Bool("no_retry"),
		})
	case "hedge":
		return h.step(entry.HedgeDue{Call: call.ID(c.Int("id", 0))})
	case "call_closed":
		return h.step(entry.CallClosed{Call: call.ID(c.Int("id", 0))})
	case "connection_lost":
		return h.step(entry.ConnectionLost{Server: c.Args["server"], BootID: "1"})
	case "borrow":
		return h.step(entry.BorrowRequested{From: c.Args["from"], Token: uint64(c.Int("token", 1)), Service: "booking"})
	case "return":
		return h.step(entry.LoanReturned{From: c.Args["from"], Token: uint64(c.Int("token", 1))})
	case "stop":
		return h.step(entry.ShutdownStarted{})
	case "leave":
		return h.step(entry.LeaveStarted{})
	}
	return "unknown command"
}

// reply returns the slot owner's reply to the last report. Grants are listed as
// server:slots. A configuration with an index above 0 carries the document of the
// service and the failure domain that is out of service, if any.
func (h *harness) reply(c script.Case) slot.Reply {
	reply := slot.Reply{Term: uint64(c.Int("term", 1)), Seq: h.seq, LeaseMS: 2000}
	for _, g := range c.List("grants") {
		name, slots, _ := strings.Cut(g, ":")
		info := membership.Announcement{Server: name, Service: "booking", Domain: "palermo", BootID: "1", State: membership.StateReady}
		n := 0
		_, err := fmt.Sscan(slots, &n)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		reply.Grants = append(reply.Grants, slot.Grant{Server: name, Slots: n, Info: &info})
	}
	if index := c.Int("configuration", 0); index > 0 {
		d := service.Defaults("booking")
		d.Limits.QueueLength = 2
		d.Retry.Burst = 3
		out := map[string]bool{}
		if domain := c.Args["out"]; domain != "" {
			out[domain] = true
		}
		reply.Configuration = &slot.Configuration{Index: uint64(index), Documents: map[string]service.Document{"booking": d}, OutDomains: out}
	}
	return reply
}

// outcome returns the outcome of an attempt; answered unless another is named.
func outcome(c script.Case) call.Outcome {
	switch reason := call.Reason(c.Args["reason"]); c.Args["outcome"] {
	case "not_run":
		return call.NotRun{Reason: reason}
	case "unknown":
		return call.Unknown{Reason: reason}
	}
	return call.Answered{Status: 200}
}

// step passes an event to the entry and returns the effects, one a line.
func (h *harness) step(e entry.Event) string {
	var lines []string
	for _, effect := range h.core.Step(h.now, e) {
		lines = append(lines, h.text(effect))
	}
	return strings.Join(lines, "\n")
}

// text formats an effect as a line of a test file. A holding is written as
// server:slots/in use, and seen is the number of observations.
func (h *harness) text(effect entry.Effect) string {
	switch x := effect.(type) {
	case entry.StartAttempt:
		return fmt.Sprintf("start call=%d attempt=%d server=%s hedge=%v", x.Call, x.Attempt, x.Server.Server, x.HedgeDelay)
	case entry.FinishCall:
		return fmt.Sprintf("finish call=%d %s %s", x.Call, call.OutcomeName(x.Outcome), call.OutcomeReason(x.Outcome))
	case entry.SendReport:
		h.seq = x.Report.Seq
		var held []string
		for _, holding := range x.Report.Holdings {
			held = append(held, fmt.Sprintf("%s:%d/%d", holding.Server, holding.Slots, holding.InUse))
		}
		return fmt.Sprintf("report full=%v lease_expired=%v leaving=%v held=%v seen=%d", x.Report.Full, x.Report.LeaseExpired, x.Report.Leaving, held, len(x.Report.Observations))
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
