package route_test

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/script"
)

// describeFindings returns the findings of the configuration in the input of a case.
func describeFindings(c script.Case) string {
	var b strings.Builder
	for _, f := range parseConfigurations(c.Input)[0].Findings(route.Terms{NoRetryBudget: c.Bool("no_retry_budget")}) {
		_, _ = fmt.Fprintf(&b, "%s %s: %s\n", f.Kind, f.Field, f.Problem)
	}
	return strings.TrimSpace(b.String())
}

// describeDifferences compares the two configurations in the input of a case.
func describeDifferences(c script.Case) string {
	var b strings.Builder
	both := parseConfigurations(c.Input)
	for _, d := range route.Compare(both[0], both[1]) {
		_, _ = fmt.Fprintf(&b, "%s %q %s %s: %s -> %s\n", d.Section, d.Item, d.Change, d.Field, d.Before, d.After)
	}
	for _, f := range both[1].Supersedes(both[0]) {
		_, _ = fmt.Fprintf(&b, "%s %s: %s\n", f.Kind, f.Field, f.Problem)
	}
	return strings.TrimSpace(b.String())
}

// parseConfigurations parses a list of valid configurations, one a line.
func parseConfigurations(text string) []route.Configuration {
	var list []route.Configuration
	for line := range strings.Lines(text) {
		var configuration route.Configuration
		gomega.Expect(json.Unmarshal([]byte(line), &configuration)).To(gomega.Succeed())
		gomega.Expect(configuration.Check()).To(gomega.Succeed())
		list = append(list, configuration)
	}
	return list
}
