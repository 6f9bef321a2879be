package peer

import (
	"fmt"
)

// RefusedError is the error response of an instance that refused a request.
type RefusedError struct {
	// Code is one of the Code constants.
	Code int64
	// Reason is the cause in words.
	Reason string
	// Leader is the instance of the leader, or empty when it is not known.
	Leader string
	// Members are the instances that may know the leader. It is set when Leader is
	// not.
	Members []string
}

// The codes of a RefusedError.
const (
	// CodeNotLeader means that the instance is not the leader; nothing was done.
	CodeNotLeader int64 = 1
	// CodeBusy means that the instance did not take the request, for example
	// because a mailbox was full; nothing was done.
	CodeBusy int64 = 2
	// CodeLost means that the leader changed while a proposal was pending. The
	// proposal may or may not be committed.
	CodeLost int64 = 3
	// CodeMalformed means that the request could not be decoded, or that the
	// instance does not handle its kind.
	CodeMalformed int64 = 4
)

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Leader != "" {
		return fmt.Sprintf("refused: %s (leader %s)", e.Reason, e.Leader)
	}
	return "refused: " + e.Reason
}

// OverloadError reports that a mailbox of the pool was full and the message was
// dropped. Address is the receiver.
type OverloadError struct{ Address string }

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("too many messages wait for %s", e.Address)
}

// UnreachableError reports that an instance did not respond: connecting failed,
// or the connection or the context ended first.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("instance at %s is not reachable: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
