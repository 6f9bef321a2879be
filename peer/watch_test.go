package peer_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/timer"
)

func TestPeer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "peer")
}

var _ = script.Describe("watch", "testdata/watch/*.txt", func() script.Handler {
	return func(c script.Case) string {
		sent := timer.Stamp{Steady: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), Boot: time.Hour}
		received := timer.Stamp{
			Steady: sent.Steady.Add(time.Duration(c.Int("steady_ms", 0)) * time.Millisecond),
			Boot:   sent.Boot + time.Duration(c.Int("boot_ms", 0))*time.Millisecond,
		}
		age := time.Duration(c.Int("age_ms", 0)) * time.Millisecond
		switch c.Command {
		case "answer":
			return "confirms for " + peer.ConfirmsRelayed(sent, received, c.Int("entries", 1), age).String()
		case "proof":
			proven := peer.ProvenAt(sent, peer.WatchResponse{ProofAgeMS: int64(c.Int("age_ms", 0))})
			if proven == nil {
				return "proves nothing"
			}
			return "proven " + received.Since(*proven).String() + " before the answer was read"
		}
		return "unknown command"
	}
})
