package faultsoak

import (
	"strings"
	"time"
)

// Names of faults that [Judge] tells apart from those that stop a process for a time.
const (
	linkFault      = "way"
	behaviourFault = "behaviour"
)

// A Retry-After binds an entry from restGrace after it was sent. After that the entry
// may send the upstream restArrivals more requests.
const (
	restGrace    = 500 * time.Millisecond
	restArrivals = 2
)

// hop is the way from an entry to an upstream.
type hop struct{ entry, upstream string }

// notices is what upstreams have said about themselves in responses.
type notices struct {
	// leaving holds the requests, by id and upstream, whose response announces that
	// the upstream leaves.
	leaving map[[2]string]bool
	// passedOn is the first response with such an announcement that an entry passed on.
	passedOn map[hop]passedOn
	rests    map[hop][]rest
	// interruptedAt is when an instance last restarted or was paused or continued.
	// disturbedAt is when such a fault or one of its links last began or ended.
	interruptedAt, disturbedAt map[string]time.Duration
}

// passedOn is a response that an entry passed on: when the caller had sent its request,
// and when it received the response.
type passedOn struct{ sentAt, at time.Duration }

// rest is the time for which an upstream wants no requests from an entry, and the
// number of those that came all the same.
type rest struct {
	from, until time.Duration
	arrivals    int
}

// arrival is a request that reaches an upstream, which executes or refuses it.
type arrival struct {
	id, upstream string
	leaving      bool
	at           time.Duration
}

func newNotices() notices {
	return notices{
		leaving: map[[2]string]bool{}, passedOn: map[hop]passedOn{}, rests: map[hop][]rest{},
		interruptedAt: map[string]time.Duration{}, disturbedAt: map[string]time.Duration{},
	}
}

func (n *notices) noteFault(e FaultInjected) {
	switch {
	case strings.HasPrefix(e.Fault, behaviourFault):
	case strings.HasPrefix(e.Fault, linkFault):
		n.disturbedAt[e.Name] = e.At
	default:
		n.interruptedAt[e.Name], n.disturbedAt[e.Name] = e.At, e.At
	}
}

// notePassedOn keeps the first response of an upstream that leaves for each entry. A
// restart or a pause of the entry since then excuses what follows.
func (j *judge) notePassedOn(e ResponseReceived) {
	if !j.notices.leaving[[2]string{e.ID, e.Upstream}] {
		return
	}
	sent := j.requests[e.ID]
	h := hop{sent.Entry, e.Upstream}
	if first, known := j.notices.passedOn[h]; !known || j.interruptedSince(sent.Entry, first.sentAt) {
		j.notices.passedOn[h] = passedOn{sentAt: sent.At, at: e.At}
	}
}

func (j *judge) noteRest(e RequestRefused) {
	if e.RetryAfter > 0 {
		h := hop{j.requests[e.ID].Entry, e.Upstream}
		j.notices.rests[h] = append(j.notices.rests[h], rest{from: e.At, until: e.At + e.RetryAfter})
	}
}

func (j *judge) interruptedSince(entry string, at time.Duration) bool {
	interruptedAt, found := j.notices.interruptedAt[entry]
	return found && interruptedAt >= at
}

// disturbedSince reports whether an instance, an upstream or its link had a fault that
// may have lasted until a time, or a later one.
func (j *judge) disturbedSince(name string, at time.Duration) bool {
	disturbedAt, found := j.notices.disturbedAt[name]
	return j.interruptedSince(name, at) || found && disturbedAt >= at-j.bounds.FaultGrace
}

// checkArrival checks a request that reaches an upstream against what the upstream has
// announced to the entry that sent it.
func (j *judge) checkArrival(a arrival) {
	v, n := &j.verdict, &j.notices
	sent, known := j.requests[a.id]
	if !known {
		return
	}
	h := hop{sent.Entry, a.upstream}
	if first, announced := n.passedOn[h]; announced && sent.At > first.at+j.bounds.Drain && !j.interruptedSince(h.entry, first.sentAt) {
		v.add(&v.AfterNotice, "request %s, sent at %v, reached %s from %s, which had passed on at %v that it leaves",
			a.id, sent.At, a.upstream, h.entry, first.at)
	}
	if a.leaving {
		n.leaving[[2]string{a.id, a.upstream}] = true
	}
	for i := range n.rests[h] {
		w := &n.rests[h][i]
		if a.at <= w.from+restGrace || a.at >= w.until || j.disturbedSince(h.entry, w.from) || j.disturbedSince(h.upstream, w.from) {
			continue
		}
		if w.arrivals++; w.arrivals > restArrivals {
			v.add(&v.WhileResting, "request %s reached %s from %s at %v, the %d. between %v and %v, when it had asked for rest",
				a.id, a.upstream, h.entry, a.at, w.arrivals, w.from+restGrace, w.until)
		}
	}
}
