package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/placement"
)

// allowanceTimeout limits the wait for the leader's answer to a report on the retry budgets.
// It is shorter than the lifetime of the tokens, so that an answer is of use.
const allowanceTimeout = 700 * time.Millisecond

// askAllowance sends a report on the retry budgets to the instance that the entry follows,
// in a task of its own, which posts the answer. The search for the leader is the concern of
// the watch task.
func (t *task) askAllowance(effect placement.AskAllowance) {
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, allowanceTimeout)
		defer cancel()
		response, err := t.gateway.pool.Call(ctx, t.gateway.leader.Address(), peer.AllowanceRequest{Report: effect.Report})
		event, outcome := allowanceEvent(response, err)
		t.gateway.options.Metrics.GetOrCreateCounter(fmt.Sprintf(`oriolepost_allowance_requests_total{outcome=%q}`, outcome)).Inc()
		t.post(allowanceMessage{event})
	}()
}

// allowanceEvent returns the event for an answer, and its outcome for the metrics. An
// instance of a former version does not know the request.
func allowanceEvent(response peer.Response, err error) (event placement.Event, outcome string) {
	var refused *peer.RefusedError
	answer, ok := response.(peer.AllowanceResponse)
	switch {
	case err == nil && ok:
		return placement.AllowanceAnswered{Reply: answer.Reply}, "answered"
	case errors.As(err, &refused) && refused.Code == peer.CodeMalformed:
		return placement.AllowanceFailed{Unsupported: true}, "unsupported"
	}
	return placement.AllowanceFailed{}, "failed"
}
