package load

import (
	"fmt"

	"github.com/oriolepost/oriolepost/standin"
)

// Verdict compares what callers were told with what servers recorded.
type Verdict struct {
	// Duplicated counts calls that are not idempotent and ran more than once.
	Duplicated int `json:"duplicated"`
	// Misdelivered counts answers that were not the call's own whole answer.
	Misdelivered int `json:"misdelivered"`
	// FalseNotRun counts calls that ran although every caller of it was told
	// that it was not run.
	FalseNotRun int `json:"false_not_run"`
	// FalseAnswered counts calls that were answered without a run.
	FalseAnswered int `json:"false_answered"`
	// OverLimit counts runs beyond what a server could bear.
	OverLimit int `json:"over_limit"`
	// Example names one of the calls that broke a promise.
	Example string `json:"example,omitempty"`
}

// Broken reports whether any promise was broken.
func (v Verdict) Broken() bool { return v != Verdict{} }

// told is what the callers of one call were told.
type told struct {
	method   string
	reason   string
	notRun   int
	other    int
	answered int
}

// Judge makes the verdict of a history and the runs of all servers.
func Judge(history []Call, runs []standin.Run) Verdict {
	var v Verdict
	calls := map[string]*told{}
	for _, c := range history {
		v.take(calls, c)
	}
	ran := map[string]int{}
	for _, r := range runs {
		ran[r.Call]++
		if r.Running > r.Bears {
			v.OverLimit++
		}
	}
	for id, t := range calls {
		v.judge(id, *t, ran[id])
	}
	return v
}

func (v *Verdict) take(calls map[string]*told, c Call) {
	t := calls[c.ID]
	if t == nil {
		t = &told{method: c.Method}
		calls[c.ID] = t
	}
	if c.Reason != "" {
		t.reason = c.Reason
	}
	switch c.Outcome {
	case "answered":
		t.answered++
	case "not_run":
		t.notRun++
	default:
		t.other++
	}
	if c.Wrong {
		v.Misdelivered++
		v.Example = fmt.Sprintf("misdelivered: %+v", c)
	}
}

func (v *Verdict) judge(id string, t told, ran int) {
	if t.method != "GET" && ran > 1 {
		v.Duplicated++
		v.Example = fmt.Sprintf("duplicated: %s %+v ran %d times", id, t, ran)
	}
	if ran > 0 && t.notRun > 0 && t.answered == 0 && t.other == 0 {
		v.FalseNotRun++
		v.Example = fmt.Sprintf("false not run: %s %+v ran %d times", id, t, ran)
	}
	if ran == 0 && t.answered > 0 {
		v.FalseAnswered++
		v.Example = fmt.Sprintf("false answered: %s %+v", id, t)
	}
}
