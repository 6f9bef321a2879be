package load_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/load"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/standin"
)

func TestLoad(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "load")
}

// A case holds a history: lines with a call, and lines with a server's run.
var _ = script.Describe("verdict", "testdata/*.txt", func() script.Handler {
	return func(c script.Case) string {
		var calls []load.Call
		var runs []standin.Run
		for _, line := range strings.Split(strings.TrimSpace(c.Input), "\n") {
			if strings.Contains(line, `"server"`) {
				var r standin.Run
				gomega.Expect(json.Unmarshal([]byte(line), &r)).To(gomega.Succeed())
				runs = append(runs, r)
				continue
			}
			var x load.Call
			gomega.Expect(json.Unmarshal([]byte(line), &x)).To(gomega.Succeed())
			calls = append(calls, x)
		}
		v := load.Judge(calls, runs)
		return fmt.Sprintf("broken=%v duplicated=%d misdelivered=%d false_not_run=%d false_answered=%d over_limit=%d",
			v.Broken(), v.Duplicated, v.Misdelivered, v.FalseNotRun, v.FalseAnswered, v.OverLimit)
	}
})
