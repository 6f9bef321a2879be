// Package call defines the types that describe one call: the caller's request
// and its outcome.
//
// A call is a caller's HTTP request to a service. It is sent to a server in one
// or more attempts. Its [Outcome] is one of exactly three: answered, not run, or
// unknown. A call that was not run may always be sent again, by the system as
// well as by the caller. A call whose outcome is unknown may be sent again only if
// it is idempotent.
//
// The package is part of the core: it does no input or output and reads no
// clock.
//
// # Usage
//
//	switch o := outcome.(type) {
//	case call.Answered:
//		record(o.Status)
//	case call.NotRun:
//		retryElsewhere(o.Reason)
//	case call.Unknown:
//		failCall(o.Reason)
//	}
package call

import "time"

// MaxDepth is the maximum number of hops through the system in a chain of calls.
// A call with a greater depth is refused, since a longer chain is taken for a
// loop.
const MaxDepth = 30

// ID identifies a call within the instance that received it.
type ID uint64

// AttemptID identifies one attempt of one call within an instance. Answers are
// matched to attempts by it, so that the answer of a superseded attempt is never
// used.
type AttemptID uint64

// Request holds what the core needs to know about a call. The body and the
// headers stay with the task that owns the caller's connection.
type Request struct {
	ID ID
	// Service is the name of the service that the call is for.
	Service string
	// Idempotent is true when running the call twice has the same effect as
	// running it once.
	Idempotent bool
	// Keyed is true when the call carries an Idempotency-Key header.
	Keyed bool
	// Depth is the number of hops of the chain of calls through the system,
	// beginning at 1.
	Depth int
	// NoRetry is true when the request forbade retries, by its caller or by an
	// instance earlier in the chain.
	NoRetry bool
	// TraceParent is the W3C trace context of the call. The core passes it on
	// without parsing it.
	TraceParent string
	// Arrived is the time at which the request headers were read.
	Arrived time.Time
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
}

// Reason is the code that states why a call was not run, or why its outcome is
// unknown. The values appear in problem bodies, metrics and logs.
type Reason string

// The reasons for outcomes of type [NotRun] and [Unknown].
const (
	// ReasonNoService means that no document describes the service.
	ReasonNoService Reason = "no_service"
	// ReasonNoSlot means that no slot became free before the deadline.
	ReasonNoSlot Reason = "no_slot"
	// ReasonQueueFull means that the service's queue was at its maximum length.
	ReasonQueueFull Reason = "queue_full"
	// ReasonNoLease means that the instance has no valid lease for its slots, for
	// example because it is disconnected from the slot owner.
	ReasonNoLease Reason = "no_lease"
	// ReasonStopping means that the instance is shutting down.
	ReasonStopping Reason = "stopping"
	// ReasonTooDeep means that the chain of calls is longer than [MaxDepth].
	ReasonTooDeep Reason = "too_deep"
	// ReasonConnectFailed means that no connection to the server was made, or
	// that it broke before a byte of the request was written.
	ReasonConnectFailed Reason = "connect_failed"
	// ReasonShed means that the server answered that it did not run the call.
	ReasonShed Reason = "server_shed"
	// ReasonCanceled means that the caller disconnected.
	ReasonCanceled Reason = "canceled"
	// ReasonDeadline means that the deadline passed during an attempt.
	ReasonDeadline Reason = "deadline_exceeded"
	// ReasonConnectionLost means that the connection to the server broke after
	// the first byte of the request was written.
	ReasonConnectionLost Reason = "connection_lost"
	// ReasonAnswerCut means that the server's answer was not passed on to its end: its
	// body was incomplete, or the caller could not be written to.
	ReasonAnswerCut Reason = "answer_cut"
	// ReasonAnswerMalformed means that the server's answer has a status that HTTP doesn't have.
	ReasonAnswerMalformed Reason = "answer_malformed"
	// ReasonNoQuorum means that the claim of the idempotency key was not
	// confirmed, for example because no quorum of the voters was reached.
	ReasonNoQuorum Reason = "no_quorum"
	// ReasonKeyMismatch means that the idempotency key was used before with a
	// different request.
	ReasonKeyMismatch Reason = "key_mismatch"
	// ReasonKeyInDoubt means that an earlier call with the idempotency key may
	// have run, but has no result.
	ReasonKeyInDoubt Reason = "key_in_doubt"
	// ReasonLedgerFull means that the service's ledger holds the maximum number of
	// idempotency keys.
	ReasonLedgerFull Reason = "ledger_full"
	// ReasonResultNotKept means that the result of the earlier call with the
	// idempotency key was too large to be kept.
	ReasonResultNotKept Reason = "result_not_kept"
	// ReasonMalformed means that the request is invalid.
	ReasonMalformed Reason = "malformed"
	// ReasonTooLarge means that the request body exceeds the service's limit.
	ReasonTooLarge Reason = "too_large"
	// ReasonBufferFull means that the instance buffers as much as its limits allow, so
	// that it did not take in the request body.
	ReasonBufferFull Reason = "buffer_full"
)

// Outcome is the result of an attempt or of a whole call.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered means that the server sent a complete answer of its own. An error
// status is an answer too.
type Answered struct {
	// Status is the HTTP status of the answer.
	Status int
}

// NotRun means that it is certain that the server did not run the call.
type NotRun struct{ Reason Reason }

// Unknown means that the server may have run the call, and that no complete
// answer is available.
type Unknown struct{ Reason Reason }

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Merge returns the outcome of a call, given the merged outcome of its earlier
// attempts (nil if there is none) and the outcome of the newest attempt. Once an
// attempt may have run, the call stays unknown until an attempt is answered.
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

// OutcomeName returns the outcome's name in metrics, headers and histories.
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

// OutcomeReason returns the reason of an outcome, empty for [Answered].
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
