package placement

import (
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/route"
)

// RequestID numbers the requests of one entry.
type RequestID uint64

// AttemptID numbers the attempts of one entry.
type AttemptID uint64

// Request is a caller's request as far as placing it goes.
type Request struct {
	ID    RequestID
	Route *route.Route
	// Service is the part of the route that the request goes to.
	Service string
	Arrived time.Time
	// First is when the caller first tried, as far as that can be told; its
	// objective counts from then.
	First time.Time
	// Deadline is when the caller gets a final answer at the latest: the end
	// of the caller's patience or of the route's timeout.
	Deadline time.Time
	// Once is true when the body can't be sent a second time.
	Once bool
}

// Load is what an upstream said of its load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Pace is how long work takes on its machine just now, in hundredths of
	// the usual time.
	Pace int `json:"pace"`
	// Known is false when the upstream does not tell its load.
	Known bool `json:"known"`
}

// Event is what the placement reacts to.
//
//sumtype:decl
type Event interface{ event() }

// Arrived asks for a place for a request.
type Arrived struct{ Request Request }

// Left says that the caller is gone.
type Left struct{ Request RequestID }

// Probed brings the answer to a probe.
type Probed struct {
	Upstream Key
	Load     Load
	// Healthy is false when the upstream answered that it is not.
	Healthy bool
	// Cold is how much longer the upstream says that it is cold.
	Cold time.Duration
	// Failed is true when there was no answer, or one of another upstream.
	Failed bool
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Outcome Outcome
	// Load is what the answer told.
	Load Load
}

// Viewed brings what the leader of the control instances told.
type Viewed struct {
	Full, Settled bool
	Upstreams     []fleet.Upstream
	Removed       []string
	OutDomains    []string
	// Services holds the configuration's services; nil when unchanged.
	Services map[string]route.Service
}

// Placed says that the leader knows this entry, and its place among all.
type Placed struct{ Index, Count int }

// Ticked lets time pass.
type Ticked struct{}

func (Arrived) event()      {}
func (Left) event()         {}
func (Probed) event()       {}
func (AttemptEnded) event() {}
func (Viewed) event()       {}
func (Placed) event()       {}
func (Ticked) event()       {}

// Outcome is what became of an attempt, or of a request.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered means that the upstream's whole answer is there.
type Answered struct {
	// Failed is true when the answer is the upstream's own failure (5xx).
	Failed bool
}

// NotRun means that the request was not run and never will be.
type NotRun struct {
	Reason Reason
	// Sent is true when the upstream got the request and refused it.
	Sent bool
	// RetryAfter is when it makes sense to come back.
	RetryAfter time.Duration
}

// Unknown means that the request may or may not have run.
type Unknown struct{ Reason Reason }

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Reason says why an attempt or a request has no answer.
type Reason string

// The reasons.
const (
	// ReasonShed means that the upstream refused the request.
	ReasonShed Reason = "shed"
	// ReasonMisdirected means that another upstream has the address.
	ReasonMisdirected Reason = "misdirected"
	// ReasonUnsent means that no connection was had.
	ReasonUnsent Reason = "unsent"
	// ReasonReset means that the connection broke before the answer's end.
	ReasonReset Reason = "reset"
	// ReasonMalformed means that the answer was none, or another request's.
	ReasonMalformed Reason = "malformed"
	// ReasonTimeout means that the deadline passed.
	ReasonTimeout Reason = "timeout"
	// ReasonCanceled means that the attempt was given up by this entry.
	ReasonCanceled Reason = "canceled"
	// ReasonNoUpstream means that no upstream may get requests.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonOverload means that no upstream could answer in time.
	ReasonOverload Reason = "overload"
	// ReasonBudget means that the service's repeats are used up.
	ReasonBudget Reason = "retry_budget"
	// ReasonNoConfiguration means that the entry knows no configuration yet.
	ReasonNoConfiguration Reason = "no_configuration"
	// ReasonNoWeight means that all parts of the route have weight zero.
	ReasonNoWeight Reason = "no_weight"
)

// Effect is what the shell does.
//
//sumtype:decl
type Effect interface{ effect() }

// StartProbe asks an upstream for its load.
type StartProbe struct {
	Upstream   fleet.Upstream
	HealthPath string
}

// StartAttempt sends a request to an upstream.
type StartAttempt struct {
	Request  RequestID
	Attempt  AttemptID
	Upstream fleet.Upstream
	// Deadline is when the upstream should stop.
	Deadline time.Time
	// Repeat is true for every attempt but the first.
	Repeat bool
	// Basis is what the choice was made on.
	Basis Basis
}

// Basis is what a choice was made on, for the log.
type Basis struct {
	Load Load
	// Age is how old the load was.
	Age time.Duration
	// Cost is the expected time in units of the usual time.
	Cost float64
	// Waited is how long the request had waited for the place.
	Waited time.Duration
	// Candidates is how many upstreams were to choose from.
	Candidates int
}

// CancelAttempt gives an attempt up.
type CancelAttempt struct{ Attempt AttemptID }

// Finish ends a request.
type Finish struct {
	Request RequestID
	Outcome Outcome
	// Attempt is the one whose answer the caller gets, if the outcome is
	// Answered.
	Attempt AttemptID
	// Attempts is how many attempts were made.
	Attempts int
	// Open is how many upstreams might have got the request, and Room how many
	// requests waited with it, at its end.
	Open, Room int
}

// Forget says that an upstream is gone; its connections are of no more use.
type Forget struct{ Upstream Key }

func (StartProbe) effect()    {}
func (StartAttempt) effect()  {}
func (CancelAttempt) effect() {}
func (Finish) effect()        {}
func (Forget) effect()        {}
