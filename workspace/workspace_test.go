package workspace_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/workspace"
)

func TestWorkspace(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "workspace")
}

var _ = script.Describe("workspaces", "testdata/*.txt", func() script.Handler {
	h := &harness{}
	return h.run
})

// harness collects workspaces, and decides on requests with their directory.
type harness struct{ list []workspace.Workspace }

func (h *harness) run(c script.Case) string {
	switch c.Command {
	case "workspace":
		w := workspace.Workspace{Name: c.Args["name"], Rate: float64(c.Int("rate", 0)), Burst: float64(c.Int("burst", 0))}
		for _, key := range c.List("keys") {
			w.Keys = append(w.Keys, workspace.Digest(key))
		}
		if _, given := c.Args["priority"]; given {
			priority := c.Int("priority", 0)
			w.Priority = &priority
		}
		if err := workspace.Check(append(h.list, w)); err != nil {
			return err.Error()
		}
		h.list = append(h.list, w)
		return ""
	case "admit":
		trust := workspace.Trust{Newest: c.Args["newest"] != "false", Valid: c.Args["valid"] != "false"}
		return show(workspace.NewDirectory(h.list).Admit(workspace.Digest(c.Args["key"]), c.Bool("public"), trust))
	case "lease":
		l := workspace.Lease{Revocation: time.Duration(c.Int("revocation_ms", 0)) * time.Millisecond}
		var out []string
		for _, text := range c.List("ages") {
			age, err := time.ParseDuration(text)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			if l.Valid(age) {
				out = append(out, text)
			}
		}
		return "valid at " + strings.Join(out, " ")
	}
	return "unknown command"
}

func show(a workspace.Admission) string {
	switch a := a.(type) {
	case workspace.Admitted:
		switch {
		case a.Workspace == nil:
			return "admitted without a workspace"
		case a.Workspace.Priority != nil:
			return "admitted for " + a.Workspace.Name + " with its own priority"
		}
		return "admitted for " + a.Workspace.Name
	case workspace.UnknownKey:
		return "unknown key"
	case workspace.Unconfirmed:
		return "unconfirmed"
	case workspace.Expired:
		return "expired"
	}
	return "unknown admission"
}
