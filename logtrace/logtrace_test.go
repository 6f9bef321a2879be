package logtrace_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/logtrace"
	"github.com/oriolepost/oriolepost/script"
)

func TestLogtrace(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "logtrace")
}

var _ = script.Describe("logtrace", "testdata/*.txt", func() script.Handler {
	var lines []logtrace.Line
	return func(c script.Case) string {
		if c.Command == "log" {
			lines = logtrace.Parse(c.Input)
			return ""
		}
		f := logtrace.Filter{RequestID: c.Args["id"], Upstream: c.Args["upstream"], Version: c.Args["version"]}
		if from := c.Args["from"]; from != "" {
			t, err := time.Parse(time.RFC3339, from)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			f.From = t
		}
		var out []string
		for _, l := range logtrace.Select(lines, f) {
			out = append(out, l.String())
		}
		return strings.Join(out, "\n")
	}
})
