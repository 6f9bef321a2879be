// Package caller serves callers over HTTP/1.1.
//
// The package owns the callers' connections and nothing else. The task that owns
// the entry's state decides what happens to a call: this package sends the task a
// [Message] and executes the [Decision] that it receives. Bodies are streamed
// through bounded buffers, except that small request bodies and those of calls with
// an idempotency key are buffered whole. Every response has a header with the outcome of the
// call: answered, not_run or unknown. When a server's response is incomplete, the
// caller's connection is closed before the end of the response.
//
// # Usage
//
//	s, err := caller.Listen(caller.Options{Address: "127.0.0.1:8080", Mailbox: mailbox})
package caller

import (
	"time"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/server"
	"github.com/oriolepost/oriolepost/service"
)

// Message is a message to the task that owns the entry's state.
//
//sumtype:decl
type Message interface{ message() }

// Lookup asks for the document of the service that a host name belongs to.
type Lookup struct {
	Host string
	// Found receives the result. It must have a capacity of at least one.
	Found chan<- LookupResult
}

// LookupResult answers a Lookup.
type LookupResult struct {
	// Document is nil when no known service has the host.
	Document *service.Document
	// Missing is why the call is refused then.
	Missing call.Reason
}

// AttemptRequest asks for attempts for a call. The decisions are sent to the
// channel, which must have the capacity DecisionCapacity: a decision that does not
// fit is dropped.
type AttemptRequest struct {
	Request   call.Request
	Decisions chan<- Decision
}

// CallEvent notifies the task of an event of a call.
type CallEvent struct{ Event entry.Event }

func (Lookup) message()         {}
func (AttemptRequest) message() {}
func (CallEvent) message()      {}

// DecisionCapacity is the capacity of a call's channels for decisions and for ends
// of attempts. It is more than the decisions that can be pending: a first attempt
// and a hedge, each followed by a finish.
const DecisionCapacity = 8

// Decision is the task's decision on a call.
//
//sumtype:decl
type Decision interface{ decision() }

// Start begins an attempt.
type Start struct {
	Attempt    call.AttemptID
	Connection *server.Connection
	// NotAfter is the end of the lease of the slot. The request must not be sent
	// after it.
	NotAfter time.Time
	// HedgeDelay is the delay after which to ask for a hedge, a second attempt;
	// zero means never.
	HedgeDelay time.Duration
	// Lender is the entry that lent the slot, or empty when it was not borrowed.
	Lender string
	// QueueTime is the time that the call waited for the slot.
	QueueTime time.Duration
}

// FinishCall ends the call without a server's response.
type FinishCall struct{ Outcome call.Outcome }

func (Start) decision()      {}
func (FinishCall) decision() {}
