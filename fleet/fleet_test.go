package fleet_test

import (
	"cmp"
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

// fixture is a table whose clock is advanced by the test file.
type fixture struct {
	table  *fleet.Table
	mirror *fleet.Mirror
	now    time.Time
}

var _ = script.Describe("fleet", "testdata/*.txt", func() script.Handler {
	b := &fixture{table: fleet.New(), mirror: fleet.NewMirror(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	return b.run
})

func (b *fixture) run(testCase script.Case) string {
	b.now = b.now.Add(time.Duration(testCase.Int("after", 0)) * time.Millisecond)
	upstream := upstreamOf(testCase)
	switch testCase.Command {
	case "announce":
		if err := upstream.Validate(); err != nil {
			return err.Error()
		}
		return fmt.Sprintf("%s revision=%d", changeName(b.table.Announce(b.now, upstream)), b.table.Revision)
	case "services":
		b.table.Services = fleet.Services{}
		for _, name := range testCase.List("names") {
			b.table.Services[name] = true
		}
		return ""
	case "retire":
		b.table.Retire(upstream.ID, testCase.Args["service"], upstream.StartMS)
		return fmt.Sprintf("revision=%d", b.table.Revision)
	case "restore":
		b.table.Restore(b.now, upstream)
		return fmt.Sprintf("revision=%d", b.table.Revision)
	case "expire":
		expired := b.table.Expired(b.now)
		b.table.Remove(expired)
		return strings.Join(expired, " ")
	case "synchronize":
		return b.synchronize(testCase.Bool("complete"))
	case "renewals":
		return b.renewals(testCase)
	case "since":
		return b.since(uint64(testCase.Int("revision", 0)))
	}
	return "unknown command"
}

// synchronize brings the mirror up to date by the buckets that differ, as an entry
// does with a new leader.
func (b *fixture) synchronize(complete bool) string {
	buckets := b.table.Digest.Differing(b.mirror.Digest)
	list := b.table.Bucketed(b.now, buckets)
	b.mirror.Compare(append([]int{}, buckets...), list)
	b.mirror.Put(list)
	var removed, ids []string
	if complete {
		removed = b.mirror.Unconfirmed()
		b.mirror.Remove(removed)
	}
	for _, u := range list {
		ids = append(ids, u.ID)
	}
	return fmt.Sprintf("buckets=%d listed=%v removed=%v equal=%v", len(buckets), ids, removed, b.mirror.Digest == b.table.Digest)
}

// renewals fills the table and returns the number of allocations of one
// renewal. Work that grows with the fleet shows in it, whatever the speed of
// the machine.
func (b *fixture) renewals(testCase script.Case) string {
	upstream := upstreamOf(testCase)
	for i := range testCase.Int("members", 1) {
		upstream.ID, upstream.Address = fmt.Sprintf("m%d", i), fmt.Sprintf("10.1.%d.%d:80", i/250, i%250)
		b.table.Announce(b.now, upstream)
	}
	allocations := testing.AllocsPerRun(100, func() {
		upstream.Sequence++
		b.table.Announce(b.now, upstream)
	})
	return fmt.Sprintf("allocations=%.0f", allocations)
}

func upstreamOf(testCase script.Case) fleet.Upstream {
	u := fleet.Upstream{
		ID: testCase.Args["id"], Service: "booking", Address: "10.0.0.1:80", Domain: "palermo", Slots: testCase.Int("slots", 6),
		StartMS: int64(testCase.Int("born", 1)), Sequence: uint64(testCase.Int("sequence", 1)),
		Draining: testCase.Bool("draining"), ColdMS: int64(testCase.Int("cold", 0)),
	}
	u.Address = cmp.Or(testCase.Args["address"], u.Address)
	u.Service = cmp.Or(testCase.Args["service"], u.Service)
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
	case fleet.Unnamed:
		return "unnamed"
	}
	return "unknown change"
}

func (b *fixture) since(revision uint64) string {
	changed, removed := b.table.ChangesSince(b.now, revision)
	var lines []string
	for _, u := range changed {
		lines = append(lines, fmt.Sprintf("%s %s born=%d draining=%v cold=%d", u.ID, u.Address, u.StartMS, u.Draining, u.ColdMS))
	}
	if len(removed) > 0 {
		lines = append(lines, "removed "+strings.Join(removed, " "))
	}
	return strings.Join(lines, "\n")
}
