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

// A case is an order whose sender waits for 900 ms. The steps are events, and the output has
// the effects that follow.
var _ = script.Describe("order", "testdata/*.txt", func() script.Handler {
	return func(c script.Case) string {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		o := order.New(now, 900*time.Millisecond)
		switch c.Command {
		case "identified":
			o = order.NewIdentified(now, 900*time.Millisecond)
		case "resolved":
			o = order.NewResolved(now, 900*time.Millisecond)
		}
		return c.RunSteps(func(step script.Case) string {
			now = now.Add(time.Duration(step.Int("after_ms", 0)) * time.Millisecond)
			effect := o.Step(now, eventOf(step))
			return fmt.Sprintf("%T%v", effect, effect)
		})
	}
})

func eventOf(c script.Case) order.Event {
	var err error
	if c.Bool("failed") {
		err = errNoLeader
	}
	switch c.Command {
	case "checked":
		return order.SenderChecked{
			Waiting: c.Bool("waiting"), OpenedKnown: !c.Bool("unknown"),
			OpenedFor: time.Duration(c.Int("opened_ms", 0)) * time.Millisecond,
		}
	case "read":
		return order.StateRead{Index: uint64(c.Int("index", 0)), Err: err}
	case "done":
		return order.Proposed{Result: record.Done{}, Err: err}
	case "overtaken":
		return order.Proposed{Result: record.Overtaken{}}
	}
	return order.Received{}
}
