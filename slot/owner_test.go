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

// ownerHarness drives an owner by the commands of a test file, which also
// advance its clock. It numbers the reports of each entry and the announcements
// of each server boot.
type ownerHarness struct {
	owner                 *slot.Owner
	catalog               *catalog.Catalog
	now                   time.Time
	reportSequences       map[string]uint64
	announcementSequences map[string]uint64
}

var _ = script.Describe("slot owner", "testdata/*.txt", func() script.Handler {
	b := &ownerHarness{
		owner: slot.NewOwner(), catalog: catalog.New(), now: epoch,
		reportSequences: map[string]uint64{}, announcementSequences: map[string]uint64{},
	}
	return b.run
})

func (b *ownerHarness) run(c script.Case) string {
	b.now = b.now.Add(time.Duration(c.Int("after", 0)) * time.Millisecond)
	switch c.Command {
	case "lead":
		renewOnlyUntil := b.now.Add(time.Duration(c.Int("renew_only", 0)) * time.Millisecond)
		return b.step(slot.BecameLeader{Term: uint64(c.Int("term", 1)), RenewOnlyUntil: renewOnlyUntil})
	case "document":
		document := service.Defaults("booking")
		document.Limits.SlotsPerServer = c.Int("slots", 4)
		document.Limits.MaxDeadlineMS = 3000
		document.Cold = service.Cold{Slots: 1, HoldMS: 1000, StepMS: 100, SlowFactor: 5, Sheds: 3}
		document.Measure = service.Measure{ProbeCostMS: 6, BudgetShare: 0.01}
		b.catalog.Apply(b.catalog.Index+1, record.PutDocument{Document: document})
		return b.step(slot.CatalogChanged{Catalog: b.catalog})
	case "domain":
		b.catalog.Apply(b.catalog.Index+1, record.SetDomain{Domain: c.Args["name"], Out: c.Bool("out")})
		return b.step(slot.CatalogChanged{Catalog: b.catalog})
	case "report":
		return b.step(slot.ReportReceived{Report: b.report(c)})
	case "tick":
		return b.step(slot.Ticked{})
	case "in_force":
		return fmt.Sprint(b.owner.InForce(b.now, b.catalog.Index))
	}
	return "unknown command"
}

// report builds a report. The argument held lists server:slots/in_use, seen
// lists server:answers/mean_us, lost lists servers, and announce lists
// server/boot/state.
func (b *ownerHarness) report(c script.Case) slot.Report {
	entry := c.Args["entry"]
	b.reportSequences[entry]++
	report := slot.Report{
		Entry: entry, BootID: c.Args["boot"], Seq: b.reportSequences[entry], Full: c.Bool("full"), Address: entry, Domain: "palermo",
		Leaving: c.Bool("leaving"), LeaseExpired: c.Bool("lease_expired"), CatalogIndex: uint64(c.Int("follows", 0)),
		Demands: map[string]slot.Demand{"booking": {InUse: c.Int("demand", 0)}},
	}
	for _, h := range c.List("held") {
		var x slot.Holding
		x.Server, x.Slots, x.InUse = parseTriple(h)
		if report.Full {
			x.Info = b.announcement(x.Server, "1", "ready")
		}
		report.Holdings = append(report.Holdings, x)
	}
	for _, o := range c.List("seen") {
		name, answers, mean := parseTriple(o)
		report.Observations = append(report.Observations, slot.Observation{Server: name, BootID: "1", Answers: answers, MeanServiceTimeUS: int64(mean)})
	}
	for _, name := range c.List("lost") {
		report.Observations = append(report.Observations, slot.Observation{Server: name, BootID: "1", ConnectionLost: true})
	}
	for _, a := range c.List("announce") {
		parts := strings.Split(a, "/")
		report.Announcements = append(report.Announcements, *b.announcement(parts[0], parts[1], parts[2]))
	}
	return report
}

// parseTriple reads name:first/second.
func parseTriple(text string) (name string, first, second int) {
	name, numbers, _ := strings.Cut(text, ":")
	_, err := fmt.Sscanf(numbers, "%d/%d", &first, &second)
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), text)
	return name, first, second
}

func (b *ownerHarness) announcement(name, boot, state string) *membership.Announcement {
	b.announcementSequences[name+boot]++
	return &membership.Announcement{
		Server: name, Service: "booking", Domain: "palermo", Address: name, BootID: boot,
		Sequence: b.announcementSequences[name+boot], Slots: 4, State: membership.State(state),
	}
}

func (b *ownerHarness) step(e slot.Event) string {
	var lines []string
	for _, effect := range b.owner.Step(b.now, e) {
		lines = append(lines, ownerText(effect))
	}
	return strings.Join(lines, "\n")
}

func ownerText(effect slot.Effect) string {
	switch e := effect.(type) {
	case slot.SendReply:
		var grants []string
		for _, g := range e.Reply.Grants {
			text := fmt.Sprintf("%s:%d", g.Server, g.Slots)
			if g.Probe {
				text += "+probe"
			}
			grants = append(grants, text)
		}
		return fmt.Sprintf("reply %s grants=%v lenders=%d", e.Entry, grants, len(e.Reply.Lenders["booking"]))
	case slot.RequestReport:
		return "request_report " + e.Entry
	case slot.ServerChanged:
		return fmt.Sprintf("server %s %s -> %s", e.Server, e.From, e.To)
	case slot.EntryChanged:
		return fmt.Sprintf("entry %s %s -> %s", e.Entry, e.From, e.To)
	}
	return "unknown effect"
}
