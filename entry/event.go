package entry

import (
	"time"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/slot"
)

// Event is what an entry reacts to.
//
//sumtype:decl
type Event interface{ event() }

// Arrived asks for a slot for a call.
type Arrived struct{ Request call.Request }

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Call    call.ID
	Attempt call.AttemptID
	Outcome call.Outcome
	// Took is the time from the first byte to the end of the answer's header.
	Took time.Duration
	// Failed is true when the answer was an error of the server.
	Failed bool
	// Final is true when the call can't be tried again: its body is gone, or
	// the server forbade it.
	Final bool
}

// HedgeDue says that an idempotent call waited long for its answer.
type HedgeDue struct{ Call call.ID }

// Left says that the call is over for its caller; its attempts are void.
type Left struct{ Call call.ID }

// ConnectionLost says that a server closed a connection.
type ConnectionLost struct {
	Server string
	BootID string
}

// Probed says that a probe of a server ended.
type Probed struct{ Server string }

// Announced delivers a server's announcement.
type Announced struct{ Announcement membership.Announcement }

// Replied delivers the owner's reply.
type Replied struct{ Reply slot.Reply }

// ReplyLost says that a report got no reply and never will.
type ReplyLost struct{ Seq uint64 }

// Poked asks for a report at once.
type Poked struct{}

// BorrowAsked is another entry's wish to borrow a slot for one call.
type BorrowAsked struct {
	From    string
	Token   uint64
	Service string
}

// BorrowAnswered answers a wish of this entry.
type BorrowAnswered struct {
	Token uint64
	// Loan is nil when the lender had no slot or did not answer.
	Loan *Loan
}

// LoanReturned gives a slot back that this entry lent.
type LoanReturned struct {
	From  string
	Token uint64
}

// Ticked lets time pass.
type Ticked struct{}

// Stopped begins the graceful shutdown: the balancer is told to send no more
// calls, and those that still come are served.
type Stopped struct{}

// Departing ends it: slots are given back as their calls end.
type Departing struct{}

func (Arrived) event()        {}
func (AttemptEnded) event()   {}
func (HedgeDue) event()       {}
func (Left) event()           {}
func (ConnectionLost) event() {}
func (Probed) event()         {}
func (Announced) event()      {}
func (Replied) event()        {}
func (ReplyLost) event()      {}
func (Poked) event()          {}
func (BorrowAsked) event()    {}
func (BorrowAnswered) event() {}
func (LoanReturned) event()   {}
func (Ticked) event()         {}
func (Stopped) event()        {}
func (Departing) event()      {}

// Loan is a slot that one entry lends another for one call.
type Loan struct {
	Server membership.Announcement `json:"server"`
	// LeaseMS is how long the borrower may wait before it uses the slot,
	// counted from when it asked.
	LeaseMS int64 `json:"lease_ms"`
}

// Effect is what the shell does for an entry.
//
//sumtype:decl
type Effect interface{ effect() }

// StartAttempt sends a call to a server.
type StartAttempt struct {
	Call    call.ID
	Attempt call.AttemptID
	Server  membership.Announcement
	// NotAfter is when the lease of the slot ends.
	NotAfter time.Time
	// HedgeAfter is when to ask for a second attempt; zero means never.
	HedgeAfter time.Duration
	// Lender is the entry that lent the slot, empty for an own slot.
	Lender string
	// Waited is how long the call waited for the slot.
	Waited time.Duration
}

// Finish ends a call whose last attempt gave no answer, or that got no slot.
type Finish struct {
	Call    call.ID
	Outcome call.Outcome
}

// SendReport sends the owner a report.
type SendReport struct{ Report slot.Report }

// SendBorrow asks another entry for a slot.
type SendBorrow struct {
	Lender  slot.Lender
	Token   uint64
	Service string
	// TraceParent is the trace context of the call that waits.
	TraceParent string
}

// SendLoan answers another entry's wish.
type SendLoan struct {
	To    string
	Token uint64
	// Loan is nil when there is no slot to lend.
	Loan *Loan
}

// SendReturn gives a borrowed slot back.
type SendReturn struct {
	Lender slot.Lender
	Token  uint64
}

// SendProbe probes a server's load once.
type SendProbe struct{ Server membership.Announcement }

// ReadyChanged says whether the platform's balancer should send calls.
type ReadyChanged struct {
	Ready  bool
	Reason call.Reason
}

// ConfigurationChanged says that the entry follows a newer configuration.
type ConfigurationChanged struct{ Index uint64 }

func (StartAttempt) effect()         {}
func (Finish) effect()               {}
func (SendReport) effect()           {}
func (SendBorrow) effect()           {}
func (SendLoan) effect()             {}
func (SendReturn) effect()           {}
func (SendProbe) effect()            {}
func (ReadyChanged) effect()         {}
func (ConfigurationChanged) effect() {}
