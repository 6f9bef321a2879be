package slot_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/slot"
)

// ownerBench is an owner whose clock the test file advances. Entries count
// their reports themselves.
type ownerBench struct {
	owner   *slot.Owner
	catalog *catalog.Catalog
	now     time.Time
	seqs    map[string]uint64
	boots   map[string]uint64
}

var _ = script.Describe("slot owner", "testdata/*.txt", func() script.Handler {
	b := &ownerBench{
		owner: slot.NewOwner(), catalog: catalog.New(), now: epoch,
		seqs: map[string]uint64{}, boots: map[string]uint64{},
	}
	return b.run
})

func (b *ownerBench) run(c script.Case) string {
	b.now = b.now.Add(time.Duration(c.Int("after", 0)) * time.Millisecond)
	switch c.Command {
	case "lead":
		quiet := b.now.Add(time.Duration(c.Int("quiet", 0)) * time.Millisecond)
		return b.step(slot.Led{Term: uint64(c.Int("term", 1)), Quiet: quiet})
	case "document":
		d := service.Defaults("booking")
		d.Limits.SlotsPerServer = c.Int("slots", 4)
		d.Limits.MaxDeadlineMS = 3000
		d.Cold = service.Cold{Slots: 1, HoldMS: 1000, StepMS: 100, SlowFactor: 5, Sheds: 3}
		d.Measure = service.Measure{ProbeCostMS: 6, BudgetShare: 0.01}
		b.catalog.Apply(b.catalog.Index+1, record.PutDocument{Document: d})
		return b.step(slot.Configured{Catalog: b.catalog})
	case "domain":
		b.catalog.Apply(b.catalog.Index+1, record.SetDomain{Domain: c.Args["name"], Out: c.Bool("out")})
		return b.step(slot.Configured{Catalog: b.catalog})
	case "report":
		return b.step(slot.Reported{Report: b.report(c)})
	case "tick":
		return b.step(slot.Ticked{})
	case "in_force":
		return fmt.Sprint(b.owner.InForce(b.now, b.catalog.Index))
	}
	return "unknown command"
}

// report builds a report. held lists server:slots/in_use, seen lists
// server:answers/mean_us, announce lists server/boot/state.
func (b *ownerBench) report(c script.Case) slot.Report {
	entry := c.Args["entry"]
	b.seqs[entry]++
	r := slot.Report{
		Entry: entry, BootID: c.Args["boot"], Seq: b.seqs[entry], Full: c.Bool("full"), Address: entry, Domain: "palermo",
		Leaving: c.Bool("leaving"), Lapsed: c.Bool("lapsed"), CatalogIndex: uint64(c.Int("follows", 0)),
		Demands: map[string]slot.Demand{"booking": {InUse: c.Int("demand", 0)}},
	}
	for _, h := range c.List("held") {
		var x slot.Holding
		x.Server, x.Slots, x.InUse = triple(h)
		if r.Full {
			x.Info = b.announcement(x.Server, "1", "ready")
		}
		r.Holdings = append(r.Holdings, x)
	}
	for _, o := range c.List("seen") {
		name, answers, mean := triple(o)
		r.Observations = append(r.Observations, slot.Observation{Server: name, BootID: "1", Answers: answers, MeanUS: int64(mean)})
	}
	for _, name := range c.List("lost") {
		r.Observations = append(r.Observations, slot.Observation{Server: name, BootID: "1", Lost: true})
	}
	for _, a := range c.List("announce") {
		parts := strings.Split(a, "/")
		r.Announcements = append(r.Announcements, *b.announcement(parts[0], parts[1], parts[2]))
	}
	return r
}

func triple(text string) (name string, first, second int) {
	name, numbers, _ := strings.Cut(text, ":")
	_, err := fmt.Sscanf(numbers, "%d/%d", &first, &second)
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), text)
	return name, first, second
}

func (b *ownerBench) announcement(name, boot, state string) *membership.Announcement {
	b.boots[name+boot]++
	return &membership.Announcement{
		Server: name, Service: "booking", Domain: "palermo", Address: name, BootID: boot,
		Sequence: b.boots[name+boot], Slots: 4, State: membership.State(state),
	}
}

func (b *ownerBench) step(e slot.Event) string {
	var lines []string
	for _, effect := range b.owner.Step(b.now, e) {
		lines = append(lines, ownerText(effect))
	}
	return strings.Join(lines, "\n")
}

func ownerText(effect slot.Effect) string {
	switch x := effect.(type) {
	case slot.SendReply:
		var grants []string
		for _, g := range x.Reply.Grants {
			text := fmt.Sprintf("%s:%d", g.Server, g.Slots)
			if g.Probe {
				text += "+probe"
			}
			grants = append(grants, text)
		}
		return fmt.Sprintf("reply %s grants=%v lenders=%d", x.Entry, grants, len(x.Reply.Lenders["booking"]))
	case slot.Poke:
		return "poke " + x.Entry
	case slot.ServerChanged:
		return fmt.Sprintf("server %s %s -> %s", x.Server, x.From, x.To)
	case slot.EntryChanged:
		return fmt.Sprintf("entry %s %s -> %s", x.Entry, x.From, x.To)
	}
	return "unknown effect"
}
