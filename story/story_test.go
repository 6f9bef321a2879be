package story_test

import (
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/story"
)

func TestStory(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "story")
}

var _ = script.Describe("story", "testdata/*.txt", func() script.Handler {
	var lines []story.Line
	return func(c script.Case) string {
		if c.Command == "log" {
			lines = story.Parse(c.Input)
			return ""
		}
		f := story.Filter{RequestID: c.Args["id"], Upstream: c.Args["upstream"], Version: c.Args["version"]}
		if from := c.Args["from"]; from != "" {
			t, err := time.Parse(time.RFC3339, from)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			f.From = t
		}
		var out []string
		for _, l := range story.Select(lines, f) {
			out = append(out, l.String())
		}
		return strings.Join(out, "\n")
	}
})
