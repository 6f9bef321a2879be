package placement_test

import (
	"time"

	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/script"
)

// The cases give times in milliseconds after the beginning of the stop.
var _ = script.Describe("latest start", "testdata/stopping.txt", func() script.Handler {
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(c script.Case, name string) time.Time {
		return began.Add(time.Duration(c.Int(name, 0)) * time.Millisecond)
	}
	var plan placement.StopPlan
	response := placement.ResponseTime{}
	return func(c script.Case) string {
		switch c.Command {
		case "plan":
			plan = placement.StopPlan{AcceptsUntil: at(c, "accepts"), EndsAt: at(c, "ends")}
			return ""
		case "response_time":
			response = placement.ResponseTime{
				Mean: time.Duration(c.Int("mean", 0)) * time.Millisecond, Deviation: time.Duration(c.Int("deviation", 0)) * time.Millisecond,
			}
			return ""
		case "response":
			for range c.Int("count", 1) {
				response = response.Add(time.Duration(c.Int("took", 0)) * time.Millisecond)
			}
			return "mean " + response.Mean.Round(time.Millisecond).String() + " deviation " + response.Deviation.Round(time.Millisecond).String()
		case "latest_start":
			latest := plan.LatestStart(at(c, "deadline"), response, c.Bool("repeatable"))
			return latest.Sub(began).Round(time.Millisecond).String()
		}
		return "unknown command"
	}
})
