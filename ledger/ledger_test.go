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
	l := ledger.New()
	bounds := service.Idempotency{MaxKeys: 3, MaxBytes: 20, MaxResultBytes: 10, KeepMS: 1000}
	return func(c script.Case) string {
		at, key, claimant := int64(c.Int("at", 0)), c.Args["key"], c.Args["by"]
		switch c.Command {
		case "claim":
			claim := record.Claim{AtMS: at, Service: "booking", Key: key, Fingerprint: c.Args["print"], Claimant: claimant}
			known, ok := l.Known(claim, bounds)
			result := l.Apply(claim, bounds)
			if ok {
				gomega.Expect(known).To(gomega.Equal(result), "%s", c.Line)
			}
			return text(result)
		case "settle":
			answer := record.StoredAnswer{Status: 200, Body: []byte(c.Args["body"])}
			return text(l.Apply(record.Settle{AtMS: at, Service: "booking", Key: key, Claimant: claimant, Answer: answer}, bounds))
		case "release":
			return text(l.Apply(record.Release{AtMS: at, Service: "booking", Key: key, Claimant: claimant}, bounds))
		case "sum":
			s := l.Services["booking"]
			return fmt.Sprintf("keys %d, bytes %d, order %v", len(s.Keys), s.Bytes, s.Order)
		}
		return "unknown command"
	}
})

func text(r record.Result) string {
	if replay, ok := r.(record.Replay); ok {
		return fmt.Sprintf("replay %d %q dropped=%v", replay.Answer.Status, replay.Answer.Body, replay.Answer.Dropped)
	}
	return fmt.Sprintf("%T", r)[len("record."):]
}
