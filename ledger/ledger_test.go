package ledger_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/ledger"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/service"
)

func TestLedger(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "ledger")
}

var _ = script.Describe("ledger", "testdata/*.txt", func() script.Handler {
	ledgerState := ledger.New()
	bounds := service.Idempotency{MaxKeys: 3, MaxBytes: 20, MaxResultBytes: 10, KeepMS: 1000}
	return func(testCase script.Case) string {
		atMS, key, claimant := int64(testCase.Int("at", 0)), testCase.Args["key"], testCase.Args["by"]
		switch testCase.Command {
		case "claim":
			claim := record.Claim{AtMS: atMS, Service: "booking", Key: key, Fingerprint: testCase.Args["print"], Claimant: claimant}
			known, ok := ledgerState.Known(claim, bounds)
			result := ledgerState.Apply(claim, bounds)
			if ok {
				gomega.Expect(known).To(gomega.Equal(result), "%s", testCase.Line)
			}
			return describe(result)
		case "settle":
			answer := record.StoredAnswer{Status: 200, Body: []byte(testCase.Args["body"])}
			return describe(ledgerState.Apply(record.Settle{AtMS: atMS, Service: "booking", Key: key, Claimant: claimant, Answer: answer}, bounds))
		case "release":
			return describe(ledgerState.Apply(record.Release{AtMS: atMS, Service: "booking", Key: key, Claimant: claimant}, bounds))
		case "sum":
			s := ledgerState.Services["booking"]
			return fmt.Sprintf("keys %d, bytes %d, order %v", len(s.Keys), s.Bytes, s.Order)
		}
		return "unknown command"
	}
})

func describe(r record.Result) string {
	if replay, ok := r.(record.Replay); ok {
		return fmt.Sprintf("replay %d %q dropped=%v", replay.Answer.Status, replay.Answer.Body, replay.Answer.Dropped)
	}
	return fmt.Sprintf("%T", r)[len("record."):]
}
