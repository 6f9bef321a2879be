package timer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/timer"
)

func TestTimer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "timer")
}

var _ = script.Describe("timer", "testdata/*.txt", func() script.Handler {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var suspensions timer.Suspensions
	return func(c script.Case) string {
		switch c.Command {
		case "since":
			earlier := timer.Stamp{Steady: start, Boot: time.Hour}
			later := timer.Stamp{
				Steady: start.Add(time.Duration(c.Int("steady_ms", 0)) * time.Millisecond),
				Boot:   time.Hour + time.Duration(c.Int("boot_ms", 0))*time.Millisecond,
			}
			return later.Since(earlier).String()
		case "check":
			suspensions.Check(timer.Stamp{
				Steady: start.Add(time.Duration(c.Int("steady_ms", 0)) * time.Millisecond),
				Boot:   time.Hour + time.Duration(c.Int("boot_ms", 0))*time.Millisecond,
			})
			return fmt.Sprintf("last suspension ended at %v", suspensions.EndedAt.Sub(start))
		case "now":
			return (timer.Now().Since(timer.Now()) + time.Second).Round(time.Second).String()
		}
		return "unknown command"
	}
})
