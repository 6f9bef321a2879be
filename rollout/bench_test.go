package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oriolepost/oriolepost/rollout"
)

// BenchmarkExamine measures a test of the counts of ten routes. The leader makes one several
// times a second, with the upstreams of a trial, a step and a switch.
func BenchmarkExamine(b *testing.B) {
	for _, upstreams := range []int{10, 61, 122} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			c := rollout.NewCounter()
			for i := range 10 * (upstreams + 1) * 20 {
				key := rollout.ItemKey{Route: fmt.Sprint("r", i%10)}
				if u := i / 10 % (upstreams + 1); u > 0 {
					key.Upstream = fmt.Sprint("u", u)
				}
				c.Sent(key)
				c.Ended(key, false, time.Duration(100+i%20*7)*time.Millisecond)
			}
			for b.Loop() {
				c.Examine()
			}
		})
	}
}
