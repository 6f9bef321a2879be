package placement

import (
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/rollout"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/workspace"
)

// RequestID identifies a request within one entry.
type RequestID uint64

// AttemptID identifies an attempt within one entry.
type AttemptID uint64

// Request is the part of a caller's request that placement depends on.
type Request struct {
	ID    RequestID
	Route *route.Route
	// Service is the service that the route selected for the request.
	Service   string
	ArrivedAt time.Time
	// FirstTriedAt is the time of the caller's first try, as far as it is
	// known. The objective counts from then.
	FirstTriedAt time.Time
	// Deadline is the latest time for a final response: the end of the caller
	// timeout or of the route's timeout, whichever comes first.
	Deadline time.Time
	// BodyNotReplayable is true when the body cannot be sent a second time.
	BodyNotReplayable bool
	// Workspace is the workspace for which the request runs; nil if it runs for none.
	Workspace *workspace.Workspace
	// Fingerprint identifies the content of the request. It is empty if the quarantine
	// does not apply.
	Fingerprint quarantine.Fingerprint
	// Probe is true for the one request that may be sent although its content is
	// quarantined.
	Probe bool
}

// priority returns the priority of a request: that of its workspace, if it has one, or that
// of its route.
func (r Request) priority() int {
	if r.Workspace != nil && r.Workspace.Priority != nil {
		return *r.Workspace.Priority
	}
	return r.Route.Priority
}

// Load is an upstream's load report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Slowdown is the slowdown of the upstream: its current service time in
	// percent of the nominal one, 100 being nominal.
	Slowdown int `json:"pace"`
	// Known is false when the upstream sent no load report that could be parsed.
	Known bool `json:"known"`
}

// Notice is what an upstream says about itself beside a response.
type Notice struct {
	// Leaving is true when the upstream announced that it leaves.
	Leaving bool
	// RestAsked is true when the upstream turned a request away and stated for how
	// long it wants nothing from this entry. RestSeconds is that time, NaN if it could
	// not be read, and RestText the beginning of its text; see [Notice.RestTime].
	RestAsked   bool
	RestSeconds float64
	RestText    string
	// Limit is the limit that the response names, if any. That a response names none is
	// reported with its end.
	Limit RateLimit
}

// Event is an input to [State.Step].
//
//sumtype:decl
type Event interface{ event() }

// Arrived reports a new request, for which an upstream is wanted.
type Arrived struct{ Request Request }

// CallerDisconnected reports that the request's caller has disconnected.
type CallerDisconnected struct{ Request RequestID }

// ProbeResult reports the result of a probe.
type ProbeResult struct {
	Upstream Key
	Load     Load
	// Healthy is false when the upstream reported itself not healthy.
	Healthy bool
	// Cold is the time for which the upstream stays cold, as reported by it.
	Cold time.Duration
	// Failed is true when there was no response, or one from another upstream.
	Failed bool
	// Limit is what the response says about the upstream's limit.
	Limit RateLimit
}

// NoticeReceived reports what an upstream said about itself, before the attempt or the
// probe in whose response it did ends. It may also have been another response on the
// same connection, or one to an attempt that was canceled.
type NoticeReceived struct {
	Upstream Key
	Notice   Notice
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	Attempt AttemptID
	Outcome Outcome
	// Load is the load report in the response, if there was one, and Limit what the
	// response says about the upstream's limit.
	Load  Load
	Limit RateLimit
}

// ViewReceived reports a change of the view from the leader of the control
// instances.
type ViewReceived struct {
	// Full is true when Upstreams lists all upstreams that the leader knows, and
	// not only the changed ones. FleetComplete is true when the leader has led for
	// one announcement lifetime, by which every live upstream has announced itself.
	Full, FleetComplete bool
	Upstreams           []fleet.Upstream
	Removed             []string
	OutDomains          []string
	// Splits are those of all services that have one.
	Splits []rollout.Split
	// Services holds the services of the configuration by name; nil if unchanged.
	Services map[string]route.Service
}

// PositionReported reports that the leader knows this entry, with the entry's
// index among all entries and their number.
type PositionReported struct{ Index, Count int }

// ContentQuarantined reports that a content was quarantined.
type ContentQuarantined struct{ Fingerprint quarantine.Fingerprint }

// StopBegan reports that this entry stops.
type StopBegan struct{ Plan StopPlan }

// TimerExpired reports that the time returned by [State.NextWake] has come.
type TimerExpired struct{}

func (Arrived) event()            {}
func (CallerDisconnected) event() {}
func (ProbeResult) event()        {}
func (NoticeReceived) event()     {}
func (AttemptEnded) event()       {}
func (ViewReceived) event()       {}
func (PositionReported) event()   {}
func (ContentQuarantined) event() {}
func (StopBegan) event()          {}
func (TimerExpired) event()       {}

// Outcome is the result of an attempt or of a request.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered means that the response of the upstream was received. Of a long
// response that is streamed, only the beginning was received.
type Answered struct {
	// Failed is true when the response reports a failure of the upstream (status
	// 5xx).
	Failed bool
}

// NotRun means that the request was not run and will not be.
type NotRun struct {
	Reason Reason
	// Sent is true when the upstream received the request and refused it.
	Sent bool
	// RetryAfter is the delay after which the caller should retry. It is set in
	// the outcome of a request.
	RetryAfter time.Duration
}

// Unknown means that the request may have run or not.
type Unknown struct{ Reason Reason }

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Reason is the cause of an outcome without a response, as a code.
type Reason string

// The reasons.
const (
	// ReasonShed means that the upstream refused the request.
	ReasonShed Reason = "shed"
	// ReasonMisdirected means that another upstream now has the address.
	ReasonMisdirected Reason = "misdirected"
	// ReasonUnsent means that nothing was sent: there was no usable connection, or
	// no time was left.
	ReasonUnsent Reason = "unsent"
	// ReasonReset means that the connection broke before the end of the answer.
	ReasonReset Reason = "reset"
	// ReasonMalformed means that the response was not valid, was not signed, or
	// belonged to another request.
	ReasonMalformed Reason = "malformed"
	// ReasonTimeout means that the deadline passed.
	ReasonTimeout Reason = "timeout"
	// ReasonCanceled means that this entry canceled the attempt.
	ReasonCanceled Reason = "canceled"
	// ReasonNoUpstream means that the service has no upstream.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonLeaving means that all upstreams of the service have announced in their
	// responses that they leave.
	ReasonLeaving Reason = "upstreams_leaving"
	// ReasonResting means that the upstreams of the service that could be used have
	// all asked for rest.
	ReasonResting Reason = "upstreams_resting"
	// ReasonLimited means that this entry may send no more requests now to the upstreams of
	// the service that could be used, because of the limits that they have named.
	ReasonLimited Reason = "upstreams_limited"
	// ReasonOverload means that no upstream was eligible or could respond in time.
	ReasonOverload Reason = "overload"
	// ReasonBudget means that the service's retry budget is used up.
	ReasonBudget Reason = "retry_budget"
	// ReasonNoConfiguration means that the entry has no configuration yet.
	ReasonNoConfiguration Reason = "no_configuration"
	// ReasonNoWeight means that all services of the route have weight zero.
	ReasonNoWeight Reason = "no_weight"
	// ReasonQuota means that the request's workspace has used its quota.
	ReasonQuota Reason = "quota"
	// ReasonQuarantined means that the content of the request is quarantined, as it
	// crashes upstreams.
	ReasonQuarantined Reason = "quarantined"
	// ReasonStopping means that this entry stops before a response is expected.
	ReasonStopping Reason = "stopping"
)

// Effect is an action that the caller of [State.Step] has to perform.
//
//sumtype:decl
type Effect interface{ effect() }

// StartProbe sends a probe to an upstream, which reports its load.
type StartProbe struct {
	Upstream   fleet.Upstream
	HealthPath string
}

// StartAttempt sends a request to an upstream.
type StartAttempt struct {
	Request  RequestID
	Attempt  AttemptID
	Upstream fleet.Upstream
	// Deadline is the time after which the upstream should stop working on the
	// request.
	Deadline time.Time
	// Repeat is true for retries and hedges.
	Repeat bool
	// Basis is what the choice of the upstream was based on.
	Basis ChoiceBasis
}

// ChoiceBasis is what the choice of an upstream was based on, for the log.
type ChoiceBasis struct {
	Load Load
	// LoadAge is the age of the load report.
	LoadAge time.Duration
	// Cost is the expected time as a multiple of the expected service time.
	Cost float64
	// Waited is the time from the arrival of the request to the start of the
	// attempt.
	Waited time.Duration
	// Candidates is the number of the service's known upstreams.
	Candidates int
}

// CancelAttempt cancels an attempt whose result is no longer needed.
type CancelAttempt struct{ Attempt AttemptID }

// Finish ends a request.
type Finish struct {
	Request RequestID
	Outcome Outcome
	// Attempt is the attempt whose response the caller gets, if the outcome is
	// Answered.
	Attempt AttemptID
	// AttemptsStarted is the number of attempts that were started.
	AttemptsStarted int
	// EligibleUpstreams is the number of the service's eligible upstreams, and
	// QueueLength the number of its queued requests, both at the end of the
	// request.
	EligibleUpstreams, QueueLength int
	// RestingUpstreams is the number of the service's upstreams that want nothing from
	// this entry at present, and LeavingUpstreams the number of those that have
	// announced in a response that they leave.
	RestingUpstreams, LeavingUpstreams int
	// LimitedUpstreams is the number of the service's upstreams that have named a limit.
	LimitedUpstreams int
	// ResponseTime holds the response times of the request's route.
	ResponseTime ResponseTime
}

// UpstreamRemoved reports that an incarnation of an upstream is gone. Its
// connections are of no further use.
type UpstreamRemoved struct{ Upstream Key }

// UpstreamLeaving reports that an incarnation has announced in a response that it
// leaves. It gets no further request or probe, so its idle connections are of no
// use. Its attempts in flight go on.
type UpstreamLeaving struct {
	Upstream Key
	Service  string
}

// RestStarted reports that an upstream has asked for rest, or for a longer one, and gets
// no request and no probe for a time.
type RestStarted struct {
	Upstream Key
	Service  string
	// Length is the time that it asked for. If that was replaced or limited, Valid is
	// false, and Text is the beginning of what it sent.
	Length time.Duration
	Valid  bool
	Text   string
	// Resting is the number of the service's upstreams that are resting now, and Known
	// the number of all.
	Resting, Known int
}

// RestEnded reports the end of a rest.
type RestEnded struct {
	Upstream       Key
	Service        string
	Resting, Known int
}

// LimitStarted reports that an upstream has named a limit to this entry.
type LimitStarted struct {
	Upstream Key
	Service  string
	// PerSecond is the limit for all entries, Quota the number of requests that this entry
	// may send within a window of four seconds, and Entries the number of entries on which
	// that is based.
	PerSecond      float64
	Quota, Entries int
	// Limited is the number of the service's upstreams that are limited now, and Known the
	// number of all.
	Limited, Known int
}

// LimitEnded reports that an upstream no longer names a limit.
type LimitEnded struct {
	Upstream       Key
	Service        string
	Limited, Known int
}

func (LimitStarted) effect()    {}
func (LimitEnded) effect()      {}
func (StartProbe) effect()      {}
func (StartAttempt) effect()    {}
func (CancelAttempt) effect()   {}
func (Finish) effect()          {}
func (UpstreamRemoved) effect() {}
func (UpstreamLeaving) effect() {}
func (RestStarted) effect()     {}
func (RestEnded) effect()       {}
