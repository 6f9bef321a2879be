package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/rollout"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/timer"
)

// rolloutPollInterval is the interval between two reads of a roll-out. Each read is an entry
// of the log.
const rolloutPollInterval = 50 * time.Millisecond

// beginRollout orders a roll-out and returns the result.
func (b *fixture) beginRollout(testCase script.Case, name string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := b.instances[name].control.Call(ctx, peer.ProposeRequest{Command: record.BeginRollout{
		AtMS: time.Now().UnixMilli(), Service: testCase.Args["service"], Target: testCase.Args["target"], LengthMS: int64(testCase.Int("length", 1000)),
	}})
	proposed, ok := response.(peer.ProposeResponse)
	if err != nil || !ok {
		return "refused"
	}
	if conflict, ok := proposed.Result.(record.RolloutConflict); ok {
		return "conflict with " + conflict.Target
	}
	if _, ok := proposed.Result.(record.UnknownService); ok {
		return "unknown service"
	}
	return "acknowledged"
}

// readRollout returns the state of the roll-out of the service booking. It reads again until
// the state has the prefix given by expect.
func (b *fixture) readRollout(testCase script.Case, name string) string {
	deadline := time.Now().Add(time.Duration(testCase.Int("within_ms", int(callTimeout.Milliseconds()))) * time.Millisecond)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		response, err := b.instances[name].control.Call(ctx, peer.RolloutRequest{Service: "booking"})
		cancel()
		text := "refused"
		if read, ok := response.(peer.RolloutResponse); ok && err == nil && read.Rollout != nil {
			text = fmt.Sprintf("running=%v completed=%v target=%s %s", read.Rollout.Running(), read.Rollout.Completed, read.Rollout.Target, read.Rollout.Reason)
		}
		if strings.HasPrefix(text, testCase.Args["expect"]) || time.Now().After(deadline) {
			return strings.TrimSpace(text)
		}
		timer.Pause(context.Background(), rolloutPollInterval)
	}
}

// splitText returns the text of a split. Its share is not exact, as it depends on the time.
func splitText(s rollout.Split) string {
	return fmt.Sprintf("split in_use=%v target=%s running=%v gets_requests=%v", s.InUse, s.Target, s.ID != 0, s.Share > 0)
}

// syntheticLoad is the load of an entry that follows control: the requests a second, and the
// percentage of the requests to the target of a roll-out that fail.
type syntheticLoad struct{ perSecond, failing int }

// syntheticRequests are the requests of an entry, which are counted as sent and ended at once.
type syntheticRequests struct {
	load    syntheticLoad
	random  *rand.Rand
	split   rollout.Split
	counter *rollout.Counter
	// counts is what was sent to control and is not answered yet.
	counts *peer.Counts
	at     time.Time
}

func newSyntheticRequests(load syntheticLoad, entry string) *syntheticRequests {
	var seed [32]byte
	copy(seed[:], entry)
	return &syntheticRequests{load: load, random: rand.New(rand.NewChaCha8(seed)), counter: rollout.NewCounter()}
}

// follow takes over the split of the service booking. Without a running roll-out nothing is
// counted.
func (s *syntheticRequests) follow(splits []rollout.Split) {
	s.split = rollout.Split{}
	for _, split := range splits {
		if split.Service == "booking" {
			s.split = split
		}
	}
}

// next returns the counts for the next watch.
func (s *syntheticRequests) next(now time.Time) *peer.Counts {
	count := 0
	if !s.at.IsZero() && s.split.ID != 0 {
		count = int(now.Sub(s.at).Seconds()*float64(s.load.perSecond) + s.random.Float64())
	}
	s.at = now
	for range count {
		key := rollout.ItemKey{Route: fmt.Sprint("r", s.random.IntN(3))}
		if s.random.Float64() < s.split.ShareOf(key.Route) {
			key.Upstream = fmt.Sprint("u", s.random.IntN(5))
		}
		s.counter.Sent(key)
		s.counter.Ended(key, key.Upstream != "" && s.random.IntN(100) < s.load.failing, time.Duration(80+s.random.IntN(60))*time.Millisecond)
	}
	if s.counts == nil && s.split.ID != 0 {
		s.counts = &peer.Counts{Reports: []rollout.Report{{ID: s.split.ID, Halted: s.split.Halted, Items: s.counter.Take()}}}
	}
	return s.counts
}

func (s *syntheticRequests) reported() { s.counts = nil }
