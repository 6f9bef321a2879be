package terminal

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/oriolepost/oriolepost/platform"
)

var rolloutVerb = verb{
	name:     "rollout",
	synopsis: "begin the roll-out of a version of a service, or show its state",
	usage:    rolloutUsage,
	parse:    parseRollout,
}

const rolloutUsage = `oriolepost rollout [--control ADDRESS] begin SERVICE VERSION DURATION
oriolepost rollout [--control ADDRESS] status SERVICE

Orders the roll-out of a version with a time until its deadline, or shows the
state of the newest roll-out of a service: running, completed or rolled_back.
Any control instance takes both.

Example:
  oriolepost rollout --control 127.0.0.1:8146 begin booking v2 30s
  oriolepost rollout --control 127.0.0.1:8146 status booking

`

// maxRolloutResponseBytes limits the response of a control instance that is read.
const maxRolloutResponseBytes = 64 << 10

func parseRollout(flags *flag.FlagSet) work {
	r := newRolloutWork()
	flags.StringVar(&r.control, "control", "", "control `address` of any control instance")
	flags.DurationVar(&r.timeout, "timeout", defaultTimeout, "how long to wait for the response")
	return r.run
}

type rolloutWork struct {
	control string
	timeout time.Duration
}

func newRolloutWork() *rolloutWork { return &rolloutWork{} }

func (r *rolloutWork) run(ctx context.Context, args []string, t Terminal) (any, error) {
	call, err := rolloutCall(args)
	if err != nil {
		return nil, err
	}
	if r.control == "" {
		return nil, &UsageError{Problem: "no control instance given; set --control"}
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	body, err := sendCall(ctx, r.control, call, maxRolloutResponseBytes)
	if err != nil || call.Method == http.MethodPost {
		return nil, err
	}
	var state platform.RolloutState
	if err := json.Unmarshal(body, &state); err != nil {
		return nil, fmt.Errorf("decode the state of the roll-out: %w", err)
	}
	t.printf("version %s: %s\n", state.TargetVersion, state.State)
	return state, nil
}

// rolloutCall returns the call for the arguments of the verb.
func rolloutCall(args []string) (platform.Call, error) {
	switch {
	case len(args) == 4 && args[0] == "begin":
		length, err := time.ParseDuration(args[3])
		if err != nil || length <= 0 {
			return platform.Call{}, &UsageError{Problem: fmt.Sprintf("duration is %q, allowed: a duration above 0, such as 30s", args[3])}
		}
		return platform.BeginRolloutCall(args[1], args[2], length)
	case len(args) == 2 && args[0] == "status":
		return platform.ReadRolloutCall(args[1]), nil
	}
	return platform.Call{}, &UsageError{Problem: "arguments must be begin SERVICE VERSION DURATION, or status SERVICE"}
}
