package watcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/watcher"
)

func TestWatcher(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "watcher")
}

var start = time.Unix(1000, 0)

var _ = script.Describe("watchers", "testdata/*.txt", func() script.Handler {
	h := &harness{table: watcher.New(), roster: watcher.NewRoster()}
	return h.run
})

// harness runs one table and one roster. Times are in milliseconds after the start.
type harness struct {
	table  *watcher.Table
	roster *watcher.Roster
}

func at(c script.Case) time.Time {
	return start.Add(time.Duration(c.Int("ms", 0)) * time.Millisecond)
}

var standings = map[string]watcher.Standing{"current": watcher.Current, "outdated": watcher.Outdated, "unusable": watcher.Unusable}

func (h *harness) run(c script.Case) string {
	switch c.Command {
	case "put":
		var replaced []string
		for _, name := range names(c) {
			if h.table.Put(at(c), name, standings[c.Args["standing"]], time.Duration(c.Int("timeout", 450))*time.Millisecond) {
				replaced = append(replaced, name)
			}
		}
		if len(replaced) > 0 {
			return "replaced " + strings.Join(replaced, " ")
		}
		return ""
	case "outdate":
		h.table.Outdate()
		return ""
	case "next":
		next := h.table.Next()
		if next.IsZero() {
			return "never"
		}
		return fmt.Sprint(max(0, next.Sub(start).Milliseconds()))
	case "take":
		return strings.Join(h.table.Take(at(c)), " ")
	case "drain":
		return h.drain(at(c))
	case "remove":
		h.table.Remove(c.Args["name"])
		return strings.Join(h.table.Names(), " ")
	case "see":
		for _, name := range names(c) {
			h.roster.See(at(c), name, time.Duration(c.Int("lifetime", 2000))*time.Millisecond)
		}
		return ""
	case "position":
		index, count := h.roster.Position(c.Args["name"])
		return fmt.Sprintf("%d of %d", index, count)
	case "prune_roster":
		h.roster.Prune(at(c))
		return ""
	case "prune":
		h.table.Prune(at(c))
		return fmt.Sprint(h.table.Len())
	}
	return "unknown command"
}

// names returns the listed names, or as many as count says.
func names(c script.Case) []string {
	list := c.List("names")
	for i := range c.Int("count", 0) {
		list = append(list, fmt.Sprintf("entry-%03d", i))
	}
	return list
}

// drain takes batches as soon as they are due, until nothing is due within a second.
func (h *harness) drain(now time.Time) string {
	answered, batches, largest := 0, 0, 0
	end := now.Add(time.Second)
	began := now
	for next := h.table.Next(); !next.IsZero() && next.Before(end); next = h.table.Next() {
		if next.After(now) {
			now = next
		}
		batch := h.table.Take(now)
		answered += len(batch)
		batches++
		largest = max(largest, len(batch))
	}
	return fmt.Sprintf("%d answers in %d batches of at most %d, in %d ms", answered, batches, largest, now.Sub(began).Milliseconds())
}
