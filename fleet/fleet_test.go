package fleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/script"
)

func TestFleet(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fleet")
}

// bench is a table whose clock the test file advances.
type bench struct {
	table *fleet.Table
	now   time.Time
}

var _ = script.Describe("fleet", "testdata/*.txt", func() script.Handler {
	b := &bench{table: fleet.New(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	return b.run
})

func (b *bench) run(c script.Case) string {
	b.now = b.now.Add(time.Duration(c.Int("after", 0)) * time.Millisecond)
	u := upstreamOf(c)
	switch c.Command {
	case "announce":
		if err := u.Check(); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("%s revision=%d", changeName(b.table.Announce(b.now, u)), b.table.Revision)
	case "retire":
		b.table.Retire(u.ID, u.BornMS)
		return fmt.Sprintf("revision=%d", b.table.Revision)
	case "restore":
		b.table.Restore(b.now, u)
		return fmt.Sprintf("revision=%d", b.table.Revision)
	case "expire":
		gone := b.table.Expired(b.now)
		b.table.Remove(gone)
		return strings.Join(gone, " ")
	case "renewals":
		return b.renewals(c)
	case "since":
		return b.since(uint64(c.Int("revision", 0)))
	}
	return "unknown command"
}

// renewals fills the table and tells what one renewal allocates: work that
// grows with the fleet shows there, whatever the machine's pace.
func (b *bench) renewals(c script.Case) string {
	u := upstreamOf(c)
	for i := range c.Int("members", 1) {
		u.ID, u.Address = fmt.Sprintf("m%d", i), fmt.Sprintf("10.1.%d.%d:80", i/250, i%250)
		b.table.Announce(b.now, u)
	}
	allocations := testing.AllocsPerRun(100, func() {
		u.Sequence++
		b.table.Announce(b.now, u)
	})
	return fmt.Sprintf("allocations=%.0f", allocations)
}

func upstreamOf(c script.Case) fleet.Upstream {
	u := fleet.Upstream{
		ID: c.Args["id"], Service: "booking", Address: "10.0.0.1:80", Domain: "palermo", Slots: c.Int("slots", 6),
		BornMS: int64(c.Int("born", 1)), Sequence: uint64(c.Int("sequence", 1)),
		Draining: c.Bool("draining"), ColdMS: int64(c.Int("cold", 0)),
	}
	if a, ok := c.Args["address"]; ok {
		u.Address = a
	}
	return u
}

func changeName(c fleet.Change) string {
	switch c := c.(type) {
	case fleet.Joined:
		return "joined"
	case fleet.Updated:
		return "updated"
	case fleet.Renewed:
		return "renewed"
	case fleet.Repeated:
		return "repeated"
	case fleet.Stale:
		return "stale: " + c.Reason
	}
	return "unknown change"
}

func (b *bench) since(revision uint64) string {
	changed, removed := b.table.Since(b.now, revision)
	var lines []string
	for _, u := range changed {
		lines = append(lines, fmt.Sprintf("%s %s born=%d draining=%v cold=%d", u.ID, u.Address, u.BornMS, u.Draining, u.ColdMS))
	}
	if len(removed) > 0 {
		lines = append(lines, "removed "+strings.Join(removed, " "))
	}
	return strings.Join(lines, "\n")
}
