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
	"github.com/oriolepost/oriolepost/testserver"
)

func TestLoad(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "load")
}

// The input of a case is a history: each line is a call, or a run that a server
// recorded.
var _ = script.Describe("verdict", "testdata/*.txt", func() script.Handler {
	return func(c script.Case) string {
		var calls []load.Call
		var runs []testserver.Run
		for _, line := range strings.Split(strings.TrimSpace(c.Input), "\n") {
			if strings.Contains(line, `"server"`) {
				var run testserver.Run
				gomega.Expect(json.Unmarshal([]byte(line), &run)).To(gomega.Succeed())
				runs = append(runs, run)
				continue
			}
			var call load.Call
			gomega.Expect(json.Unmarshal([]byte(line), &call)).To(gomega.Succeed())
			calls = append(calls, call)
		}
		verdict := load.Judge(calls, runs)
		return fmt.Sprintf("violated=%v duplicated=%d misdelivered=%d false_not_run=%d false_answered=%d over_limit=%d",
			verdict.Broken(), verdict.Duplicated, verdict.Misdelivered, verdict.FalseNotRun, verdict.FalseAnswered, verdict.OverLimit)
	}
})
