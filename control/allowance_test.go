package control_test

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/allowance"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/script"
)

// ask sends the report of an entry to instances, one after another, as an entry does that
// follows them. It returns what each grants,
// sorted: any of them may lead.
func (b *fixture) ask(c script.Case) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	pool := peer.NewPool(ctx, peer.Options{})
	var lines []string
	for i, name := range c.List("at") {
		report := allowance.Report{
			Holder: c.Args["holder"], Sequence: uint64(i + 1), AgeMS: int64(c.Int("age", 1000)),
			Items: []allowance.ReportItem{{Key: c.Args["key"], Counts: []int{c.Int("requests", 0)}, Wanted: c.Int("wanted", 1)}},
		}
		response, err := pool.Call(ctx, addresses[name]+fmt.Sprintf(":%d", b.port), peer.AllowanceRequest{Report: report})
		if err != nil {
			lines = append(lines, "refused")
			continue
		}
		answer, ok := response.(peer.AllowanceResponse)
		gomega.Expect(ok).To(gomega.BeTrue())
		lines = append(lines, fmt.Sprintf("granted %d", answer.Reply.Items[0].Tokens))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
