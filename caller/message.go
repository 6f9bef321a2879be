// Package caller takes the callers' calls over HTTP/1.1 and answers them.
//
// The package owns the callers' connections and nothing else. What happens to
// a call is decided by the task that owns the entry's state; this package
// sends it a [Message] and acts on the [Decision] that comes back. Bodies are
// streamed through bounded buffers. Every answer says in a header whether the
// call was answered, not run, or unknown, and an answer that the server did
// not finish is aborted on the wire.
//
// # Usage
//
//	s, err := caller.Listen(ctx, caller.Options{Address: "127.0.0.1:8080", Mailbox: mailbox})
package caller

import (
	"time"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/server"
	"github.com/oriolepost/oriolepost/service"
)

// Message is what this package tells the task that owns the entry's state.
//
//sumtype:decl
type Message interface{ message() }

// Lookup asks for the document of a host's service.
type Lookup struct {
	Host string
	// Found gets nil when no service has the host. It has room for one.
	Found chan<- *service.Document
}

// Arrive asks for an attempt. The decisions come through the channel, which
// must have room for DecisionRoom of them.
type Arrive struct {
	Request   call.Request
	Decisions chan<- Decision
}

// Tell passes an event of a call on.
type Tell struct{ Event entry.Event }

func (Lookup) message() {}
func (Arrive) message() {}
func (Tell) message()   {}

// DecisionRoom is how many decisions can be under way for one call: a start
// and a hedge, each with a finish behind it.
const DecisionRoom = 8

// Decision is what the task decided for a call.
//
//sumtype:decl
type Decision interface{ decision() }

// Start begins an attempt.
type Start struct {
	Attempt    call.AttemptID
	Connection *server.Connection
	// NotAfter is when the lease of the slot ends.
	NotAfter time.Time
	// HedgeAfter is when to ask for a second attempt; zero means never.
	HedgeAfter time.Duration
	// Lender is the entry whose slot is used, empty for an own slot.
	Lender string
	// Waited is how long the call waited for the slot.
	Waited time.Duration
}

// Finish ends the call without an answer.
type Finish struct{ Outcome call.Outcome }

func (Start) decision()  {}
func (Finish) decision() {}
