package proposal_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/proposal"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/script"
)

func TestProposal(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "proposal")
}

var _ = script.Describe("orders", "testdata/*.txt", func() script.Handler {
	orders := proposal.NewOrders[string]()
	return func(c script.Case) string {
		key := proposal.KeyOf([]byte(c.Args["order"]))
		if c.Command == "ended" {
			return fmt.Sprint(orders.Ended(key))
		}
		var committed route.OptionalVersion
		if c.Args["committed"] != "" {
			committed = route.KnownVersion(uint64(c.Int("committed", 0)))
		}
		return string(orders.Add(key, uint64(c.Int("version", 0)), committed, c.Args["from"]))
	}
})
