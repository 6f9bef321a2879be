package load

import (
	"fmt"

	"github.com/oriolepost/oriolepost/testserver"
)

// Verdict is the result of comparing the outcomes that callers received with
// the runs that servers recorded.
type Verdict struct {
	// Duplicated is the number of non-idempotent calls that ran more than once.
	Duplicated int `json:"duplicated"`
	// Misdelivered is the number of responses that were not the complete response
	// to their call. See [Call.Wrong].
	Misdelivered int `json:"misdelivered"`
	// FalseNotRun is the number of calls that ran although every sender of the
	// call received the outcome not_run.
	FalseNotRun int `json:"false_not_run"`
	// FalseAnswered is the number of calls with the outcome answered that no
	// server ran.
	FalseAnswered int `json:"false_answered"`
	// OverLimit is the number of runs beyond the capacity of their server.
	OverLimit int `json:"over_limit"`
	// Example describes one of the calls that violated a guarantee. Runs beyond the
	// capacity of a server have no example.
	Example string `json:"example,omitempty"`
}

// Broken reports whether any guarantee was violated.
func (v Verdict) Broken() bool { return v != Verdict{} }

// callOutcomes counts the outcomes that the senders of one call received.
type callOutcomes struct {
	method   string
	reason   string
	notRun   int
	other    int
	answered int
}

// Judge compares a history with the runs of all servers.
func Judge(history []Call, runs []testserver.Run) Verdict {
	var verdict Verdict
	calls := map[string]*callOutcomes{}
	for _, c := range history {
		verdict.addCall(calls, c)
	}
	runCount := map[string]int{}
	for _, r := range runs {
		runCount[r.Call]++
		if r.Running > r.Capacity {
			verdict.OverLimit++
		}
	}
	for id, outcomes := range calls {
		verdict.judgeCall(id, *outcomes, runCount[id])
	}
	return verdict
}

func (v *Verdict) addCall(calls map[string]*callOutcomes, call Call) {
	outcomes := calls[call.ID]
	if outcomes == nil {
		outcomes = &callOutcomes{method: call.Method}
		calls[call.ID] = outcomes
	}
	if call.Reason != "" {
		outcomes.reason = call.Reason
	}
	switch call.Outcome {
	case "answered":
		outcomes.answered++
	case "not_run":
		outcomes.notRun++
	default:
		outcomes.other++
	}
	if call.Wrong {
		v.Misdelivered++
		v.Example = fmt.Sprintf("misdelivered: %+v", call)
	}
}

func (v *Verdict) judgeCall(id string, outcomes callOutcomes, runCount int) {
	if outcomes.method != "GET" && runCount > 1 {
		v.Duplicated++
		v.Example = fmt.Sprintf("duplicated: call %s with outcomes %+v ran %d times", id, outcomes, runCount)
	}
	if runCount > 0 && outcomes.notRun > 0 && outcomes.answered == 0 && outcomes.other == 0 {
		v.FalseNotRun++
		v.Example = fmt.Sprintf("false not run: call %s with outcomes %+v ran %d times", id, outcomes, runCount)
	}
	if runCount == 0 && outcomes.answered > 0 {
		v.FalseAnswered++
		v.Example = fmt.Sprintf("false answered: call %s with outcomes %+v ran 0 times", id, outcomes)
	}
}
