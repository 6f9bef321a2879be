package faultsoak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Event is an observation of a caller, an upstream, an operator, a process's task
// or the fault injector. All times are measured from the start of the run.
//
//sumtype:decl
type Event interface{ event() }

// RequestSent reports that a caller is about to send a request to an entry.
type RequestSent struct {
	ID, Entry, Path, Body string
	Idempotent            bool
	// Version is the only version of the configuration that has the request's
	// route. It is 0 for a route of all versions.
	Version uint64
	At      time.Duration
}

// RequestExecuted reports that an upstream begins to execute a request.
type RequestExecuted struct {
	ID, Upstream, Path, Body string
	// Cold is true if the upstream is cold, and Leaving if its response announces
	// that it leaves.
	Cold, Leaving bool
	// Limit is the limit that the upstream names, in requests a second; zero for none.
	Limit float64
	At    time.Duration
}

// ResponseReceived reports that a caller has received a complete response.
// Signature is the value of the signature header, and Upstream the ID of the upstream
// that produced the response. Either is empty if the response has no such header.
type ResponseReceived struct {
	ID, Body, Signature, Upstream string
	Status                        int
	At                            time.Duration
}

// RequestRefused reports that an upstream refuses a request with 503.
type RequestRefused struct {
	ID, Upstream string
	// RetryAfter is how long the upstream wants no requests from the entry that sent
	// this one. It is 0 if the response does not say so.
	RetryAfter time.Duration
	// Leaving is true if the response announces that the upstream leaves.
	Leaving bool
	// Limit is the limit that the upstream names, in requests a second; zero for none.
	Limit float64
	At    time.Duration
}

// ProcessStarted reports that the process of an instance has been started.
type ProcessStarted struct {
	Name string
	At   time.Duration
}

// LeaveAcknowledged reports that a control instance acknowledged an announcement
// with which an upstream deregisters. The upstream repeats this announcement, and
// each acknowledgment is an event.
type LeaveAcknowledged struct {
	Upstream string
	At       time.Duration
}

// OrderAcknowledged reports that a control instance acknowledged an operator's
// configuration.
type OrderAcknowledged struct {
	Version uint64
	At      time.Duration
}

// ConfigurationRead reports the version that an operator read. Began is when the
// read was sent.
type ConfigurationRead struct {
	Version uint64
	Began   time.Duration
}

// FaultInjected reports that a fault begins or ends at an instance or upstream, or
// on the link to it. For the links to control instances, Name is "operators".
type FaultInjected struct {
	Name, Fault string
	At          time.Duration
}

// FaultsEnded reports that all links are restored and all processes run.
type FaultsEnded struct{ At time.Duration }

// Failure reports something that no injected fault explains: a process that exited
// although it was not stopped, one that did not exit within stopTimeout, or an
// error in a simulated client or upstream.
type Failure struct{ Name, Reason string }

func (RequestSent) event()       {}
func (RequestExecuted) event()   {}
func (RequestRefused) event()    {}
func (ProcessStarted) event()    {}
func (ResponseReceived) event()  {}
func (LeaveAcknowledged) event() {}
func (OrderAcknowledged) event() {}
func (ConfigurationRead) event() {}
func (FaultInjected) event()     {}
func (FaultsEnded) event()       {}
func (Failure) event()           {}

// Bounds are the limits that [Judge] checks.
type Bounds struct {
	// Drain is how long an upstream may still get requests after the first
	// acknowledgment of its deregistration, and from an entry that has passed on a
	// response in which the upstream announced that it leaves.
	Drain time.Duration
	// Apply is how long after a configuration was acknowledged a read may be sent
	// that still returns an older version.
	Apply time.Duration
	// FaultGrace is how long after the begin or end of a fault an entry or
	// upstream is exempt from the Drain limit. After all faults have ended,
	// entries must serve by a configuration once FaultGrace and Apply have passed
	// since then and since its acknowledgment.
	FaultGrace time.Duration
	// ColdPerSecond is the number of requests that a cold upstream may get within
	// one second.
	ColdPerSecond int
}

// Verdict counts violated guarantees. All counts must be zero.
type Verdict struct {
	// RanTwice counts repeated executions of requests that are not idempotent.
	RanTwice int `json:"ran_twice"`
	// FalseNotRun counts the cases in which a request that is not idempotent was
	// executed although its caller got 429 or 503, which mean that it was not.
	FalseNotRun int `json:"false_not_run"`
	// WrongAnswer counts successful responses that do not belong to their
	// request, and error responses other than 429 and 503 with the signature of an
	// upstream.
	WrongAnswer int `json:"wrong_answer"`
	// Denied counts proper requests, on routes of all configurations, that an
	// entry itself ended with a status from 300 to 499 other than 408, 421 and 429.
	Denied int `json:"denied"`
	// NotAsked counts executions and responses that match no sent request.
	NotAsked int `json:"not_asked"`
	// AfterLeave counts requests to an upstream later than Bounds.Drain after the
	// first acknowledgment of its deregistration.
	AfterLeave int `json:"after_leave"`
	// AfterNotice counts requests from an entry to an upstream that their callers
	// sent later than Bounds.Drain after the entry had passed on a response in which
	// the upstream announced that it leaves.
	AfterNotice int `json:"after_notice"`
	// WhileResting counts the requests from an entry to an upstream, beyond the first
	// two, between restGrace after the upstream sent a Retry-After and its end.
	WhileResting int `json:"while_resting"`
	// OverLimit counts the requests to an upstream that names a limit, beyond the users'
	// bound, from entries that had passed on a response with it.
	OverLimit int `json:"over_limit"`
	// OverExposed counts executions of a content that crashes its upstreams, beyond those
	// that one entry, or all entries together, may let happen.
	OverExposed int `json:"over_exposed"`
	// StaleRead counts reads that returned an older version than one acknowledged
	// more than Bounds.Apply before the read was sent.
	StaleRead int `json:"stale_read"`
	// StaleEntry counts entries that serve by an older configuration than the
	// newest acknowledged one, or by none, although no fault explains it any more.
	StaleEntry int `json:"stale_entry"`
	// OverCold counts requests to a cold upstream beyond Bounds.ColdPerSecond.
	OverCold int `json:"over_cold"`
	// Exits counts Failure events.
	Exits int `json:"exits"`
	// NotRecovered is 1 if requests were not served again after the last fault.
	NotRecovered int `json:"not_recovered"`
	// Examples describes the first maxExamples violations.
	Examples []string `json:"examples,omitempty"`
}

// Broken reports whether any guarantee was violated.
func (v Verdict) Broken() bool {
	return v.RanTwice+v.FalseNotRun+v.WrongAnswer+v.Denied+v.NotAsked+v.AfterLeave+v.AfterNotice+v.WhileResting+v.OverLimit+v.OverExposed+v.StaleRead+v.StaleEntry+v.OverCold+v.Exits+v.NotRecovered > 0
}

// maxExamples is the maximum number of violations that a verdict describes.
const maxExamples = 8

func (v *Verdict) add(count *int, format string, args ...any) {
	*count++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// judge holds the verdict so far and what is needed from earlier events. Maps are
// keyed by request id or by name of an upstream or instance.
type judge struct {
	bounds  Bounds
	verdict Verdict
	limits  limits
	// exposures holds the executions of each deadly content.
	exposures    map[string][]exposure
	requests     map[string]RequestSent
	executions   map[string]int
	refused      map[string]bool
	leftAt       map[string]time.Duration
	lastFaultAt  map[string]time.Duration
	coldArrivals map[string][]time.Duration
	notices      notices
	acknowledged []OrderAcknowledged
	// newest is the first acknowledgment of the highest version.
	newest OrderAcknowledged
	// faultsEnded is nil until the faults have ended.
	faultsEnded *FaultsEnded
	// served holds, for each entry that got a request that only the newest version
	// allows, when every entry had to know it, whether one such request was served.
	served map[string]bool
}

// Judge checks a history for violated guarantees.
func Judge(history []Event, b Bounds) Verdict {
	j := &judge{
		bounds: b, requests: map[string]RequestSent{}, executions: map[string]int{}, refused: map[string]bool{},
		leftAt: map[string]time.Duration{}, lastFaultAt: map[string]time.Duration{}, coldArrivals: map[string][]time.Duration{}, served: map[string]bool{}, notices: newNotices(), limits: newLimits(), exposures: map[string][]exposure{},
	}
	for _, e := range history {
		j.handleEvent(e)
	}
	for _, entry := range slices.Sorted(maps.Keys(j.served)) {
		if !j.served[entry] {
			v := &j.verdict
			v.add(&v.StaleEntry, "%s served no request that version %d allows, which was acknowledged at %v", entry, j.newest.Version, j.newest.At)
		}
	}
	return j.verdict
}

func (j *judge) handleEvent(event Event) {
	v := &j.verdict
	switch e := event.(type) {
	case RequestSent:
		j.requests[e.ID] = e
		if _, asked := j.served[e.Entry]; !asked && e.Version == j.newest.Version && j.newestDue(e) {
			j.served[e.Entry] = false
		}
	case RequestExecuted:
		j.checkExecution(e)
		j.checkExposure(e)
		j.checkArrival(arrival{e.ID, e.Upstream, e.Leaving, e.At})
		j.checkLimit(arrival{e.ID, e.Upstream, e.Leaving, e.At}, e.Limit)
	case RequestRefused:
		j.checkArrival(arrival{e.ID, e.Upstream, e.Leaving, e.At})
		j.checkLimit(arrival{e.ID, e.Upstream, e.Leaving, e.At}, e.Limit)
		j.noteRest(e)
	case ResponseReceived:
		j.checkAnswer(e)
		j.notePassedOn(e)
		j.noteLimitPassedOn(e)
	case LeaveAcknowledged:
		if _, acknowledged := j.leftAt[e.Upstream]; !acknowledged {
			j.leftAt[e.Upstream] = e.At
		}
	case OrderAcknowledged:
		j.acknowledged = append(j.acknowledged, e)
		if e.Version > j.newest.Version {
			j.newest = e
		}
	case ConfigurationRead:
		for _, a := range j.acknowledged {
			if a.At+j.bounds.Apply < e.Began && e.Version < a.Version {
				v.add(&v.StaleRead, "read at %v returned version %d, but version %d was acknowledged at %v", e.Began, e.Version, a.Version, a.At)
				return
			}
		}
	case FaultInjected:
		j.lastFaultAt[e.Name] = e.At
		j.notices.noteFault(e)
	case ProcessStarted:
		j.notices.interruptedAt[e.Name] = e.At
	case FaultsEnded:
		j.faultsEnded = &e
	case Failure:
		v.add(&v.Exits, "%s: %s", e.Name, e.Reason)
	}
}

func (j *judge) checkExecution(e RequestExecuted) {
	v := &j.verdict
	sent, known := j.requests[e.ID]
	if !known || sent.Path != e.Path || sent.Body != e.Body {
		v.add(&v.NotAsked, "upstream %s executed request %s %s with body %q, but the request sent was %+v", e.Upstream, e.ID, e.Path, e.Body, sent)
		return
	}
	j.executions[e.ID]++
	if j.executions[e.ID] > 1 && !sent.Idempotent {
		v.add(&v.RanTwice, "request %s was executed %d times, last on %s at %v", e.ID, j.executions[e.ID], e.Upstream, e.At)
	}
	if j.refused[e.ID] && !sent.Idempotent {
		v.add(&v.FalseNotRun, "request %s was executed on %s at %v after its caller got a response stating that it was not executed", e.ID, e.Upstream, e.At)
	}
	if at, left := j.leftAt[e.Upstream]; left && e.At > at+j.bounds.Drain && j.faultFree(sent.Entry, e.At) && j.faultFree(e.Upstream, e.At) {
		v.add(&v.AfterLeave, "request %s was executed on %s at %v, which deregistered at %v", e.ID, e.Upstream, e.At, at)
	}
	if e.Cold {
		j.checkColdRate(e)
	}
}

// checkColdRate counts the requests that a cold upstream got within the last
// second.
func (j *judge) checkColdRate(e RequestExecuted) {
	var recent []time.Duration
	for _, at := range append(j.coldArrivals[e.Upstream], e.At) {
		if at > e.At-time.Second {
			recent = append(recent, at)
		}
	}
	j.coldArrivals[e.Upstream] = recent
	if v := &j.verdict; len(recent) > j.bounds.ColdPerSecond {
		v.add(&v.OverCold, "cold upstream %s got %d requests within the second before %v", e.Upstream, len(recent), e.At)
	}
}

// faultFree reports whether an entry or upstream had no fault within
// Bounds.FaultGrace before a time.
func (j *judge) faultFree(name string, at time.Duration) bool {
	faultAt, found := j.lastFaultAt[name]
	return !found || at-faultAt > j.bounds.FaultGrace
}

func (j *judge) checkAnswer(e ResponseReceived) {
	v := &j.verdict
	sent, known := j.requests[e.ID]
	if sent.Version != 0 {
		j.checkVersion(sent, e)
	}
	switch {
	case !known:
		v.add(&v.NotAsked, "response to request %s, which no caller sent", e.ID)
	case e.Status < 300:
		if e.Signature != signature(e.ID) || e.Body != answerBody(e.ID, sent.Path) {
			v.add(&v.WrongAnswer, "request %s got status %d with signature %q and body %q", e.ID, e.Status, e.Signature, e.Body)
		}
	case e.Status == 429 || e.Status == 503:
		j.refused[e.ID] = true
		if j.executions[e.ID] > 0 && !sent.Idempotent {
			v.add(&v.FalseNotRun, "request %s got status %d, but had been executed", e.ID, e.Status)
		}
	case e.Signature != "":
		v.add(&v.WrongAnswer, "request %s got status %d with signature %q", e.ID, e.Status, e.Signature)
	case e.Status < 500 && e.Status != 408 && e.Status != 421 && sent.Version == 0:
		v.add(&v.Denied, "request %s %s to %s got status %d", e.ID, sent.Path, sent.Entry, e.Status)
	}
}

// newestDue reports whether every entry had to serve by the newest acknowledged
// configuration when a request was sent.
func (j *judge) newestDue(sent RequestSent) bool {
	limit := j.bounds.Apply + j.bounds.FaultGrace
	return j.faultsEnded != nil && sent.At > max(j.newest.At, j.faultsEnded.At)+limit
}

// checkVersion checks the response to a request that only one version of the
// configuration allows.
func (j *judge) checkVersion(sent RequestSent, e ResponseReceived) {
	v := &j.verdict
	switch {
	case !j.newestDue(sent):
	case sent.Version == j.newest.Version && e.Status < 300:
		j.served[sent.Entry] = true
	case sent.Version == j.newest.Version && e.Status == http.StatusNotFound, sent.Version < j.newest.Version && e.Status < 300:
		v.add(&v.StaleEntry, "request %s %s to %s, sent at %v, got status %d, but version %d was acknowledged at %v",
			e.ID, sent.Path, sent.Entry, sent.At, e.Status, j.newest.Version, j.newest.At)
	}
}

// signature and answerBody are the signature header and the body of the response
// of an upstream. Both depend on the request, so that a response to another
// request is recognized. The length of the body depends on the length of the id.
func signature(id string) string { return "signed-" + id }

func answerBody(id, path string) string {
	return "answer to " + id + " " + path + " " + strings.Repeat("x", len(id)%7*100)
}
