package order_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/order"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/script"
)

func TestOrder(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "order")
}

var errNoLeader = errors.New("no leader")

// One order whose sender waits for 900 ms, with a clock that the test file advances.
var _ = script.Describe("order", "testdata/*.txt", func() script.Handler {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var o *order.Order
	return func(c script.Case) string {
		now = now.Add(time.Duration(c.Int("after_ms", 0)) * time.Millisecond)
		var err error
		if c.Bool("failed") {
			err = errNoLeader
		}
		var event order.Event
		switch c.Command {
		case "receive":
			o = order.New(now, 900*time.Millisecond)
			if c.Bool("unbound") {
				o = order.NewUnbound(now, 900*time.Millisecond)
			}
			event = order.Received{}
		case "checked":
			event = order.SenderChecked{Waiting: c.Bool("waiting")}
		case "read":
			event = order.StateRead{Index: uint64(c.Int("index", 0)), Err: err}
		case "done":
			event = order.Proposed{Result: record.Done{Index: uint64(c.Int("index", 0))}, Err: err}
		case "overtaken":
			event = order.Proposed{Result: record.Overtaken{Index: uint64(c.Int("index", 0))}}
		}
		effect := o.Step(now, event)
		return fmt.Sprintf("%T%+v", effect, effect)
	}
})
