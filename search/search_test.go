package search_test

import (
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/search"
)

func TestSearch(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "search")
}

var _ = script.Describe("search", "testdata/*.txt", func() script.Handler {
	h := &harness{}
	return h.run
})

// harness runs one search. The address of an instance is its name and a port.
type harness struct{ state *search.State }

func instances(names []string) []search.Instance {
	var list []search.Instance
	for _, n := range names {
		list = append(list, search.Instance{Name: n, Address: n + ":1"})
	}
	return list
}

// run returns the instances that are asked, in their order.
func (h *harness) run(c script.Case) string {
	switch c.Command {
	case "start":
		h.state = search.New(instances(c.List("configured")))
		h.state.Locate = func(name string) string { return name + ":1" }
		return "ask " + h.state.Presumed
	case "configure":
		h.state.Configured = instances(c.List("names"))
		return ""
	case "candidates":
		var names []string
		for _, i := range h.state.Candidates() {
			names = append(names, i.Name)
		}
		return strings.Join(names, " ")
	case "unreachable":
		var asked []string
		for range c.Int("times", 1) {
			h.state.Next(h.state.Presumed, search.Unreachable{})
			asked = append(asked, h.state.Presumed)
		}
		return "ask " + strings.Join(asked, " ")
	case "refused":
		from := h.state.Presumed
		if name := c.Args["from"]; name != "" {
			from = name + ":1"
		}
		h.state.Next(from, search.Refused{Leader: c.Args["leader"], Members: c.List("members")})
		return "ask " + h.state.Presumed
	}
	return "unknown command"
}
