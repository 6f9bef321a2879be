// Package call holds the nouns of one call: what a caller asked for, and what
// became of it.
//
// The package is part of the core. It does no input or output and reads no
// clock. Its most important type is [Outcome], which has exactly three
// variants. A call that was not run may be sent again by anybody. A call whose
// outcome is unknown may be sent again only if it is idempotent.
//
// # Usage
//
//	switch o := outcome.(type) {
//	case call.Answered:
//		record(o.Status)
//	case call.NotRun:
//		retryElsewhere(o.Reason)
//	case call.Unknown:
//		giveUp(o.Reason)
//	}
package call

import "time"

// MaxDepth is the longest chain of calls that the system carries. A call that
// arrives deeper is refused, since a chain of this length is a loop.
const MaxDepth = 30

// ID identifies a call within the instance that received it.
type ID uint64

// AttemptID identifies one attempt of one call within an instance. Answers
// are matched to attempts by it, so that a superseded answer is never used.
type AttemptID uint64

// Request is what the decisions need to know about a call. The body and the
// headers stay with the task that owns the caller's connection.
type Request struct {
	ID ID
	// Service is the name of the service that the call is for.
	Service string
	// Idempotent is true when running the call twice is harmless.
	Idempotent bool
	// Keyed is true when the call carries an Idempotency-Key.
	Keyed bool
	// Depth counts the hops through the system, beginning at 1.
	Depth int
	// NoRetry is true when an instance further up the chain forbade retries.
	NoRetry bool
	// TraceParent is the W3C trace context of the call; the core passes it on
	// unread.
	TraceParent string
	// Arrived is when the request headers were read.
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Reason says why a call was not run, or why its outcome is unknown. The
// values appear in problem bodies, metrics and logs.
type Reason string

// The reasons, each with the component that gives it.
const (
	// ReasonNoService means that no document describes the service.
	ReasonNoService Reason = "no_service"
	// ReasonNoSlot means that no slot came free before the deadline.
	ReasonNoSlot Reason = "no_slot"
	// ReasonQueueFull means that too many calls were waiting already.
	ReasonQueueFull Reason = "queue_full"
	// ReasonNoLease means that the instance is cut off from the slot owner.
	ReasonNoLease Reason = "no_lease"
	// ReasonStopping means that the instance is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonTooDeep means that the chain of calls is longer than MaxDepth.
	ReasonTooDeep Reason = "too_deep"
	// ReasonConnect means that no connection to the server was made.
	ReasonConnect Reason = "connect_failed"
	// ReasonShed means that the server said that it did not run the call.
	ReasonShed Reason = "server_shed"
	// ReasonCanceled means that the caller went away.
	ReasonCanceled Reason = "canceled"
	// ReasonDeadline means that the deadline passed during an attempt.
	ReasonDeadline Reason = "deadline_exceeded"
	// ReasonReset means that the connection broke after the first byte.
	ReasonReset Reason = "connection_lost"
	// ReasonCut means that the answer's body ended early.
	ReasonCut Reason = "answer_cut"
	// ReasonNoQuorum means that the idempotency key could not be claimed.
	ReasonNoQuorum Reason = "no_quorum"
	// ReasonKeyMismatch means that the key was used with another request.
	ReasonKeyMismatch Reason = "key_mismatch"
	// ReasonKeyInDoubt means that an earlier call with the key has no result.
	ReasonKeyInDoubt Reason = "key_in_doubt"
	// ReasonLedgerFull means that the service's ledger takes no more keys.
	ReasonLedgerFull Reason = "ledger_full"
	// ReasonResultNotKept means that the key's result was too large to keep.
	ReasonResultNotKept Reason = "result_not_kept"
	// ReasonMalformed means that the request itself is wrong.
	ReasonMalformed Reason = "malformed"
	// ReasonTooLarge means that the request body is over its limit.
	ReasonTooLarge Reason = "too_large"
)

// Outcome is what became of an attempt or of a whole call.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered means that the server gave a whole answer of its own.
type Answered struct {
	// Status is the HTTP status of the answer.
	Status int
}

// NotRun means that the server certainly did not run the call.
type NotRun struct{ Reason Reason }

// Unknown means that the server may have run the call.
type Unknown struct{ Reason Reason }

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Merge combines the outcomes of a call's earlier attempts with the newest.
// A call that may have run once stays unknown until an attempt is answered.
func Merge(earlier, newest Outcome) Outcome {
	switch newest.(type) {
	case Answered, Unknown:
		return newest
	case NotRun:
		if u, ok := earlier.(Unknown); ok {
			return u
		}
	}
	return newest
}

// OutcomeName gives the outcome's name in metrics, headers and histories.
func OutcomeName(o Outcome) string {
	switch o.(type) {
	case Answered:
		return "answered"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	}
	return "unknown"
}

// OutcomeReason gives the reason of an outcome, empty when it was answered.
func OutcomeReason(o Outcome) Reason {
	switch o := o.(type) {
	case Answered:
		return ""
	case NotRun:
		return o.Reason
	case Unknown:
		return o.Reason
	}
	return ""
}
