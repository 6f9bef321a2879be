package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/script"
)

// rollOut orders a roll-out, and sends requests until it has ended. Once it is completed, the
// other upstreams break all connections, and half a second of requests follows. The result has the state,
// and whether all requests were answered with success, and the new version, whose upstreams'
// ids begin with its name, got no more requests than a bad one may get.
func (b *fixture) rollOut(testCase script.Case) string {
	target, length := testCase.Args["target"], testCase.Int("length", 5000)
	begin := record.BeginRollout{AtMS: time.Now().UnixMilli(), Service: "booking", Target: target, LengthMS: int64(length)}
	gomega.Expect(b.propose(begin)).To(gomega.Equal("acknowledged"))
	responses := make(chan string, length)
	sent := 0
	state := "running"
	ticker := time.NewTicker(time.Duration(testCase.Int("pause", 10)) * time.Millisecond)
	defer ticker.Stop()
	last := length
	for ; sent < last; sent++ {
		<-ticker.C
		request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/view/%d", b.caller, sent), http.NoBody)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		request.Host = "booking"
		request.Header.Set("Request-Id", fmt.Sprint("rollout-", sent))
		request.Header.Set("Deadline", "2000")
		go func() { responses <- b.send(request) }()
		if state == "running" && sent%10 == 0 {
			if state = b.rolloutState(); state != "running" {
				last = sent + testCase.Int("further", 50)
				b.stopOthers(state, target)
			}
		}
	}
	exposed, failed := int64(0), 0
	for id, u := range b.upstreams {
		if strings.HasPrefix(id, target) {
			exposed += u.requests.Load()
		}
	}
	for range sent {
		if text := <-responses; !strings.HasPrefix(text, "200") {
			failed++
		}
	}
	return fmt.Sprintf("%s, failed requests: %d, within the exposure of a bad version: %v", state, failed, float64(exposed) <= 0.1*float64(sent)+50)
}

// stopOthers makes the upstreams of other versions break all connections after a completed
// roll-out.
func (b *fixture) stopOthers(state, target string) {
	for id, u := range b.upstreams {
		if state == "completed" && !strings.HasPrefix(id, target) {
			u.mode.Store("reset")
		}
	}
}

func (b *fixture) rolloutState() string {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	response, err := b.control.Call(ctx, peer.RolloutRequest{Service: "booking"})
	read, ok := response.(peer.RolloutResponse)
	switch {
	case err != nil || !ok || read.Rollout == nil || read.Rollout.Running():
		return "running"
	case read.Rollout.Completed:
		return "completed"
	}
	return "rolled back"
}
