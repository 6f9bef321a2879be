package entry

import (
	"time"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/slot"
)

// Event is an input of an entry. The task that owns the entry passes it to
// [Entry.Step].
//
//sumtype:decl
type Event interface{ event() }

// Arrived passes in a new call, which needs a slot.
type Arrived struct{ Request call.Request }

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Call    call.ID
	Attempt call.AttemptID
	Outcome call.Outcome
	// ServiceTime is the service time: from the start of the attempt, connecting
	// included, until the header of the answer was read or the attempt failed.
	ServiceTime time.Duration
	// Failed is true when the server answered with an error (status 500 or above).
	Failed bool
	// NoRetry is true when the call must not be retried: its request body was read
	// without being buffered, or the server forbade retries.
	NoRetry bool
}

// HedgeDue reports that an idempotent call got no answer within the
// [StartAttempt.HedgeDelay] of its attempt.
type HedgeDue struct{ Call call.ID }

// CallClosed reports that a call is over for its caller: it was answered, the
// caller disconnected, or the deadline passed. Attempts that still run are
// canceled and their results are ignored.
type CallClosed struct{ Call call.ID }

// ConnectionLost reports that a server closed a connection.
type ConnectionLost struct {
	Server string
	BootID string
}

// ProbeEnded reports that a probe of a server ended.
type ProbeEnded struct{ Server string }

// AnnouncementReceived passes in a server's announcement.
type AnnouncementReceived struct{ Announcement membership.Announcement }

// ReplyReceived passes in the slot owner's reply to a report.
type ReplyReceived struct{ Reply slot.Reply }

// ReplyLost reports that the exchange of a report failed or timed out, so that
// its reply will not be used.
type ReplyLost struct{ Seq uint64 }

// ReportRequested passes in the slot owner's request for an immediate report.
type ReportRequested struct{}

// BorrowRequested passes in another entry's request to borrow a slot for one call.
type BorrowRequested struct {
	// From is the name of the borrower.
	From string
	// Token identifies the request among those of the borrower. The loan has the
	// same token until it is returned.
	Token   uint64
	Service string
}

// BorrowAnswered passes in the answer to a borrow request of this entry.
type BorrowAnswered struct {
	Token uint64
	// Loan is nil if the lender had no slot to lend or did not answer in time.
	Loan *Loan
}

// LoanReturned reports that another entry returned a slot that it had borrowed.
type LoanReturned struct {
	From  string
	Token uint64
}

// Ticked is passed in at a regular interval, so that time limits take effect
// without another event.
type Ticked struct{}

// ShutdownStarted begins the graceful shutdown. The entry reports itself not
// ready, so that the platform's balancer sends it no more calls. It still
// serves those that arrive.
type ShutdownStarted struct{}

// LeaveStarted begins the last part of the graceful shutdown: the entry gives
// up its slots and reports to the slot owner that it leaves. Slots in use are
// given up as their calls end.
type LeaveStarted struct{}

func (Arrived) event()              {}
func (AttemptEnded) event()         {}
func (HedgeDue) event()             {}
func (CallClosed) event()           {}
func (ConnectionLost) event()       {}
func (ProbeEnded) event()           {}
func (AnnouncementReceived) event() {}
func (ReplyReceived) event()        {}
func (ReplyLost) event()            {}
func (ReportRequested) event()      {}
func (BorrowRequested) event()      {}
func (BorrowAnswered) event()       {}
func (LoanReturned) event()         {}
func (Ticked) event()               {}
func (ShutdownStarted) event()      {}
func (LeaveStarted) event()         {}

// Loan is a slot that one entry lends another for one call.
type Loan struct {
	Server membership.Announcement `json:"server"`
	// LeaseMS is the time in milliseconds within which the borrower may start the
	// call, counted from when it sent the borrow request.
	LeaseMS int64 `json:"lease_ms"`
}

// Effect is an output of an entry. The task that owns the entry performs it.
//
//sumtype:decl
type Effect interface{ effect() }

// StartAttempt sends a call to a server.
type StartAttempt struct {
	Call    call.ID
	Attempt call.AttemptID
	Server  membership.Announcement
	// NotAfter is the end of the slot's lease. The attempt must start before it.
	NotAfter time.Time
	// HedgeDelay is the time without an answer after which to pass in [HedgeDue];
	// zero means never.
	HedgeDelay time.Duration
	// Lender is the name of the entry that lent the slot, empty for an own slot.
	Lender string
	// QueueTime is the time that the call spent in the queue before this attempt.
	QueueTime time.Duration
}

// FinishCall ends a call that was refused, or whose last attempt got no answer.
type FinishCall struct {
	Call    call.ID
	Outcome call.Outcome
}

// SendReport sends a report to the slot owner.
type SendReport struct{ Report slot.Report }

// SendBorrow sends a borrow request to another entry.
type SendBorrow struct {
	Lender  slot.Lender
	Token   uint64
	Service string
	// TraceParent is the W3C trace context of the waiting call.
	TraceParent string
}

// SendLoan answers another entry's borrow request.
type SendLoan struct {
	// To is the name of the borrower.
	To    string
	Token uint64
	// Loan is nil if there is no slot to lend.
	Loan *Loan
}

// SendReturn returns a borrowed slot to its lender.
type SendReturn struct {
	Lender slot.Lender
	Token  uint64
}

// SendProbe sends one probe to a server. Only its end is passed in, not its answer.
type SendProbe struct{ Server membership.Announcement }

// ReadyChanged reports whether the platform's balancer should send calls to the
// instance. Reason is empty when Ready is true.
type ReadyChanged struct {
	Ready  bool
	Reason call.Reason
}

// ConfigurationChanged reports that the entry follows a newer configuration.
type ConfigurationChanged struct{ Index uint64 }

func (StartAttempt) effect()         {}
func (FinishCall) effect()           {}
func (SendReport) effect()           {}
func (SendBorrow) effect()           {}
func (SendLoan) effect()             {}
func (SendReturn) effect()           {}
func (SendProbe) effect()            {}
func (ReadyChanged) effect()         {}
func (ConfigurationChanged) effect() {}
