package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/server"
)

// The HTTP headers that the system reads and sets.
const (
	// HeaderOutcome is the outcome of the call: answered, not_run or unknown.
	HeaderOutcome = "Oriolepost-Outcome"
	// HeaderReplayed is set on a response that was stored from an earlier call.
	HeaderReplayed = "Oriolepost-Replayed"
	// HeaderDeadline is the time until the deadline of the call, in milliseconds.
	HeaderDeadline = "Oriolepost-Deadline-Ms"
	// HeaderDepth counts the hops of a chain of calls.
	HeaderDepth = "Oriolepost-Depth"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
)

// Problem is the body of a response that the system sends itself, in the format
// of RFC 9457.
type Problem struct {
	Type    string      `json:"type"`
	Title   string      `json:"title"`
	Status  int         `json:"status"`
	Outcome string      `json:"outcome"`
	Reason  call.Reason `json:"reason"`
	// Instance is the entry instance that sent the response.
	Instance string `json:"instance"`
}

// statusOf returns the HTTP status of a response that the system sends itself.
func statusOf(o call.Outcome) int {
	switch call.OutcomeReason(o) {
	case call.ReasonNoService:
		return http.StatusNotFound
	case call.ReasonMalformed:
		return http.StatusBadRequest
	case call.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case call.ReasonTooDeep:
		return http.StatusLoopDetected
	case call.ReasonKeyMismatch:
		return http.StatusUnprocessableEntity
	case call.ReasonKeyInDoubt, call.ReasonResultNotKept:
		return http.StatusConflict
	case call.ReasonConnectionLost, call.ReasonAnswerCut, call.ReasonAnswerMalformed:
		return http.StatusBadGateway
	case call.ReasonNoSlot, call.ReasonQueueFull, call.ReasonNoLease, call.ReasonStopping,
		call.ReasonConnectFailed, call.ReasonShed, call.ReasonCanceled, call.ReasonDeadline,
		call.ReasonNoQuorum, call.ReasonLedgerFull, call.ReasonBufferFull:
	}
	if _, unknown := o.(call.Unknown); unknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// overloaded reports whether the reason is overload, so that another attempt would
// only add to the load.
func overloaded(r call.Reason) bool {
	switch r {
	case call.ReasonNoSlot, call.ReasonQueueFull, call.ReasonShed, call.ReasonLedgerFull, call.ReasonBufferFull:
		return true
	case call.ReasonNoService, call.ReasonMalformed, call.ReasonTooLarge, call.ReasonTooDeep,
		call.ReasonKeyMismatch, call.ReasonKeyInDoubt, call.ReasonResultNotKept, call.ReasonConnectionLost,
		call.ReasonAnswerCut, call.ReasonAnswerMalformed, call.ReasonNoLease, call.ReasonStopping, call.ReasonConnectFailed,
		call.ReasonCanceled, call.ReasonDeadline, call.ReasonNoQuorum:
		return false
	}
	return false
}

// writeProblem sends the response to a call for which there is no server's
// response.
func writeProblem(w http.ResponseWriter, instance string, o call.Outcome) {
	status := statusOf(o)
	problem := Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Outcome: call.OutcomeName(o), Reason: call.OutcomeReason(o), Instance: instance,
	}
	body, err := json.Marshal(problem)
	if err != nil {
		body = []byte(`{}`)
	}
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderOutcome, problem.Outcome)
	if _, ok := o.(call.NotRun); ok {
		header.Set(server.HeaderNotRun, "1")
	}
	if overloaded(problem.Reason) {
		header.Set(server.HeaderNoRetry, "1")
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
