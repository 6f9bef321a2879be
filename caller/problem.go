package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/server"
)

// The headers that the system reads and sets.
const (
	// HeaderOutcome says what became of the call.
	HeaderOutcome = "Oriolepost-Outcome"
	// HeaderReplayed is set on an answer that was played back.
	HeaderReplayed = "Oriolepost-Replayed"
	// HeaderDeadline is the time that the caller has left, in milliseconds.
	HeaderDeadline = "Oriolepost-Deadline-Ms"
	// HeaderDepth counts the hops of a chain of calls.
	HeaderDepth = "Oriolepost-Depth"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
)

// Problem is the body of an answer that the system gives itself, in the form
// of RFC 9457.
type Problem struct {
	Type    string      `json:"type"`
	Title   string      `json:"title"`
	Status  int         `json:"status"`
	Outcome string      `json:"outcome"`
	Reason  call.Reason `json:"reason"`
	// Instance is the entry instance that answered.
	Instance string `json:"instance"`
}

// statusOf gives the status of an answer that the system gives itself.
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
	case call.ReasonReset, call.ReasonCut:
		return http.StatusBadGateway
	case call.ReasonNoSlot, call.ReasonQueueFull, call.ReasonNoLease, call.ReasonStopping,
		call.ReasonConnect, call.ReasonShed, call.ReasonCanceled, call.ReasonDeadline,
		call.ReasonNoQuorum, call.ReasonLedgerFull:
	}
	if _, unknown := o.(call.Unknown); unknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// overloaded reports whether another attempt would only add to the load.
func overloaded(r call.Reason) bool {
	switch r {
	case call.ReasonNoSlot, call.ReasonQueueFull, call.ReasonShed, call.ReasonLedgerFull:
		return true
	case call.ReasonNoService, call.ReasonMalformed, call.ReasonTooLarge, call.ReasonTooDeep,
		call.ReasonKeyMismatch, call.ReasonKeyInDoubt, call.ReasonResultNotKept, call.ReasonReset,
		call.ReasonCut, call.ReasonNoLease, call.ReasonStopping, call.ReasonConnect,
		call.ReasonCanceled, call.ReasonDeadline, call.ReasonNoQuorum:
		return false
	}
	return false
}

// writeProblem answers a call that got no answer from a server.
func writeProblem(w http.ResponseWriter, instance string, o call.Outcome) {
	status := statusOf(o)
	p := Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status,
		Outcome: call.OutcomeName(o), Reason: call.OutcomeReason(o), Instance: instance,
	}
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte(`{}`)
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, p.Outcome)
	if _, ok := o.(call.NotRun); ok {
		h.Set(server.HeaderNotRun, "1")
	}
	if overloaded(p.Reason) {
		h.Set(server.HeaderNoRetry, "1")
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
