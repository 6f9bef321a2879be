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
	duration = flag.Duration("soak.duration", 20*time.Second, "length of the run")
)

func TestSoak(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "soak")
}

var _ = ginkgo.Describe("a system under random faults", func() {
	ginkgo.It("keeps its promises", func() {
		r, err := Run(context.Background(), Config{Seed: *seed, Duration: *duration, Rate: 150, FaultEvery: 500 * time.Millisecond})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Broken()).To(gomega.Succeed())
		gomega.Expect(r.Answered).To(gomega.BeNumerically(">", r.Calls/2))
		gomega.Expect(r.Changes).To(gomega.BeNumerically(">", 20))
	})
})

var _ = ginkgo.DescribeTable("the checker of document histories",
	func(good bool, history []documentOperation) {
		gomega.Expect(linearizable(history)).To(gomega.Equal(good))
	},
	ginkgo.Entry("accepts a read after a write", true, []documentOperation{
		{client: 0, write: true, expected: 0, version: 1, began: 1, ended: 2},
		{client: 1, version: 1, began: 3, ended: 4},
	}),
	ginkgo.Entry("accepts a lost write that took effect late", true, []documentOperation{
		{client: 0, write: true, expected: 0, outcome: outcomeLost, began: 1, ended: 2},
		{client: 1, version: 0, began: 3, ended: 4},
		{client: 1, version: 1, began: 5, ended: 6},
	}),
	ginkgo.Entry("refuses a version that reverts", false, []documentOperation{
		{client: 0, write: true, expected: 0, version: 1, began: 1, ended: 2},
		{client: 1, version: 1, began: 3, ended: 4},
		{client: 1, version: 0, began: 5, ended: 6},
	}),
	ginkgo.Entry("refuses two operators that replaced the same version", false, []documentOperation{
		{client: 0, write: true, expected: 0, version: 1, began: 1, ended: 4},
		{client: 1, write: true, expected: 0, version: 1, began: 2, ended: 3},
	}),
	ginkgo.Entry("refuses a conflict with a version that was in force", false, []documentOperation{
		{client: 0, write: true, expected: 0, outcome: outcomeConflict, began: 1, ended: 2},
	}),
)
