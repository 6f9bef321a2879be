package siege

import (
	"fmt"
	"strings"
	"time"
)

// Event is something that a caller, an upstream, an operator or whoever
// injects faults saw. All times count from the start of the siege.
//
//sumtype:decl
type Event interface{ event() }

// Asked means that a caller sends a request to an entry.
type Asked struct {
	ID, Entry, Path, Body string
	Idempotent            bool
}

// Ran means that an upstream begins to work on a request.
type Ran struct {
	ID, Upstream, Path, Body string
	// Cold is true while the upstream is cold.
	Cold bool
	At   time.Duration
}

// Told means that a caller has a whole answer.
type Told struct {
	ID, Body, Signature string
	Status              int
}

// Leaving means that an upstream's word that it leaves was acknowledged.
type Leaving struct {
	Upstream string
	At       time.Duration
}

// Acknowledged means that a configuration was acknowledged.
type Acknowledged struct {
	Version uint64
	At      time.Duration
}

// Read means that a configuration was read that was asked for at Began.
type Read struct {
	Version uint64
	Began   time.Duration
}

// Disturbed means that a fault begins or ends at an instance, or on the way to
// an upstream.
type Disturbed struct {
	Name, Fault string
	At          time.Duration
}

// Exited means that a process ended though nobody stopped it, or that one
// outlasted the time it has to stop.
type Exited struct{ Name, Reason string }

func (Asked) event()        {}
func (Ran) event()          {}
func (Told) event()         {}
func (Leaving) event()      {}
func (Acknowledged) event() {}
func (Read) event()         {}
func (Disturbed) event()    {}
func (Exited) event()       {}

// Bounds are the promises' figures.
type Bounds struct {
	// Drain is how long after its acknowledged leave an upstream may get requests.
	Drain time.Duration
	// Apply is how long after its acknowledgement a configuration may be missing.
	Apply time.Duration
	// Contact is how long after a fault an instance counts as disturbed.
	Contact time.Duration
	// ColdPerSecond bounds the requests of a second at a cold upstream.
	ColdPerSecond int
}

// Verdict counts broken promises. All of it must be zero.
type Verdict struct {
	RanTwice    int `json:"ran_twice"`
	FalseNotRun int `json:"false_not_run"`
	WrongAnswer int `json:"wrong_answer"`
	NotAsked    int `json:"not_asked"`
	AfterLeave  int `json:"after_leave"`
	StaleRead   int `json:"stale_read"`
	OverCold    int `json:"over_cold"`
	Exits       int `json:"exits"`
	// NotRecovered is 1 when requests were not served after all faults ended.
	NotRecovered int `json:"not_recovered"`
	// Examples names the first few cases.
	Examples []string `json:"examples,omitempty"`
}

// Broken reports whether any promise was broken.
func (v Verdict) Broken() bool {
	return v.RanTwice+v.FalseNotRun+v.WrongAnswer+v.NotAsked+v.AfterLeave+v.StaleRead+v.OverCold+v.Exits+v.NotRecovered > 0
}

// maxExamples bounds the cases that a verdict names.
const maxExamples = 8

func (v *Verdict) add(count *int, format string, args ...any) {
	*count++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, fmt.Sprintf(format, args...))
	}
}

// judge holds what the events so far told.
type judge struct {
	bounds    Bounds
	verdict   Verdict
	asked     map[string]Asked
	runs      map[string]int
	refused   map[string]bool
	leaving   map[string]time.Duration
	disturbed map[string]time.Duration
	cold      map[string][]time.Duration
	acks      []Acknowledged
}

// Judge looks for broken promises in a history.
func Judge(history []Event, b Bounds) Verdict {
	j := &judge{
		bounds: b, asked: map[string]Asked{}, runs: map[string]int{}, refused: map[string]bool{},
		leaving: map[string]time.Duration{}, disturbed: map[string]time.Duration{}, cold: map[string][]time.Duration{},
	}
	for _, e := range history {
		j.take(e)
	}
	return j.verdict
}

func (j *judge) take(event Event) {
	v := &j.verdict
	switch e := event.(type) {
	case Asked:
		j.asked[e.ID] = e
	case Ran:
		j.ran(e)
	case Told:
		j.told(e)
	case Leaving:
		j.leaving[e.Upstream] = e.At
	case Acknowledged:
		j.acks = append(j.acks, e)
	case Read:
		for _, a := range j.acks {
			if a.At+j.bounds.Apply < e.Began && e.Version < a.Version {
				v.add(&v.StaleRead, "read at %v gave version %d, %d was acknowledged at %v", e.Began, e.Version, a.Version, a.At)
				return
			}
		}
	case Disturbed:
		j.disturbed[e.Name] = e.At
	case Exited:
		v.add(&v.Exits, "%s: %s", e.Name, e.Reason)
	}
}

func (j *judge) ran(e Ran) {
	v := &j.verdict
	a, known := j.asked[e.ID]
	if !known || a.Path != e.Path || a.Body != e.Body {
		v.add(&v.NotAsked, "%s ran %s %s with body %q, asked for %+v", e.Upstream, e.ID, e.Path, e.Body, a)
		return
	}
	j.runs[e.ID]++
	if j.runs[e.ID] > 1 && !a.Idempotent {
		v.add(&v.RanTwice, "%s ran %d times, last on %s at %v", e.ID, j.runs[e.ID], e.Upstream, e.At)
	}
	if j.refused[e.ID] && !a.Idempotent {
		v.add(&v.FalseNotRun, "%s ran on %s at %v after its caller was told that it had not", e.ID, e.Upstream, e.At)
	}
	if at, leaves := j.leaving[e.Upstream]; leaves && e.At > at+j.bounds.Drain && j.calm(a.Entry, e.At) && j.calm(e.Upstream, e.At) {
		v.add(&v.AfterLeave, "%s ran on %s at %v, which left at %v", e.ID, e.Upstream, e.At, at)
	}
	if e.Cold {
		j.ranCold(e)
	}
}

// ranCold counts the requests of the last second at a cold upstream.
func (j *judge) ranCold(e Ran) {
	var recent []time.Duration
	for _, at := range append(j.cold[e.Upstream], e.At) {
		if at > e.At-time.Second {
			recent = append(recent, at)
		}
	}
	j.cold[e.Upstream] = recent
	if v := &j.verdict; len(recent) > j.bounds.ColdPerSecond {
		v.add(&v.OverCold, "%s is cold and got %d requests in the second before %v", e.Upstream, len(recent), e.At)
	}
}

// calm reports whether a name was not disturbed for a while.
func (j *judge) calm(name string, at time.Duration) bool {
	disturbed, ever := j.disturbed[name]
	return !ever || at-disturbed > j.bounds.Contact
}

func (j *judge) told(e Told) {
	v := &j.verdict
	a, known := j.asked[e.ID]
	switch {
	case !known:
		v.add(&v.NotAsked, "an answer to %s, which nobody asked", e.ID)
	case e.Status < 300:
		if e.Signature != signature(e.ID) || e.Body != answerBody(e.ID, a.Path) {
			v.add(&v.WrongAnswer, "%s got %d with signature %q and body %q", e.ID, e.Status, e.Signature, e.Body)
		}
	case e.Status == 429 || e.Status == 503:
		j.refused[e.ID] = true
		if j.runs[e.ID] > 0 && !a.Idempotent {
			v.add(&v.FalseNotRun, "%s was told %d and had run", e.ID, e.Status)
		}
	case e.Signature != "":
		v.add(&v.WrongAnswer, "%s got %d with signature %q", e.ID, e.Status, e.Signature)
	}
}

// signature and answerBody are what an upstream answers to a request.
func signature(id string) string { return "signed-" + id }

func answerBody(id, path string) string {
	return "answer to " + id + " " + path + " " + strings.Repeat("x", len(id)%7*100)
}
