package soak

import (
	"context"
	"flag"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var (
	seed     = flag.Uint64("soak.seed", 1, "seed of the faults")
	duration = flag.Duration("soak.duration", 20*time.Second, "length of the run, with the recovery at its end")
)

func TestSoak(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "in-process soak")
}

var _ = ginkgo.Describe("a system under random faults", func() {
	ginkgo.It("violates no guarantee, answers more than half of the calls and goes on changing documents", func() {
		r, err := Run(context.Background(), Config{Seed: *seed, Duration: *duration, Rate: 150, FaultEvery: 500 * time.Millisecond})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Broken()).To(gomega.Succeed())
		gomega.Expect(r.Answered).To(gomega.BeNumerically(">", r.Calls/2))
		gomega.Expect(r.Changes).To(gomega.BeNumerically(">", 20))
	})
})

var _ = ginkgo.DescribeTable("the linearizability check of document histories",
	func(accepted bool, history []documentOperation) {
		gomega.Expect(linearizable(history)).To(gomega.Equal(accepted))
	},
	ginkgo.Entry("accepts a read after a write", true, []documentOperation{
		{client: 0, write: true, expected: 0, version: 1, startNS: 1, endNS: 2},
		{client: 1, version: 1, startNS: 3, endNS: 4},
	}),
	ginkgo.Entry("accepts a write without a response that took effect later", true, []documentOperation{
		{client: 0, write: true, expected: 0, outcome: outcomeUnknown, startNS: 1, endNS: 2},
		{client: 1, version: 0, startNS: 3, endNS: 4},
		{client: 1, version: 1, startNS: 5, endNS: 6},
	}),
	ginkgo.Entry("rejects a read of an older version after a newer one was read", false, []documentOperation{
		{client: 0, write: true, expected: 0, version: 1, startNS: 1, endNS: 2},
		{client: 1, version: 1, startNS: 3, endNS: 4},
		{client: 1, version: 0, startNS: 5, endNS: 6},
	}),
	ginkgo.Entry("rejects two successful writes that replaced the same version", false, []documentOperation{
		{client: 0, write: true, expected: 0, version: 1, startNS: 1, endNS: 4},
		{client: 1, write: true, expected: 0, version: 1, startNS: 2, endNS: 3},
	}),
	ginkgo.Entry("rejects a version conflict when the expected version was current", false, []documentOperation{
		{client: 0, write: true, expected: 0, outcome: outcomeConflict, startNS: 1, endNS: 2},
	}),
)
