// Package admission decides what a process takes in from clients outside its control.
//
// Clients that sent many large bodies of legal size at once, most of them stopping just
// short of the end, made a process run out of memory. [Budget] therefore limits the
// bytes that a process buffers for requests and responses, and the descriptors that
// pipelined requests use. A reservation that does not fit is refused, unless bodies that
// arrive too slowly can be evicted for it. [Victims] selects the connections that are
// closed when there are more than [Limits] allow.
//
// The package does no input or output. Ordinary small requests are covered by an
// allowance for each connection, which [Limits] set aside, and are no events here.
//
// # Usage
//
//	b := admission.NewBudget(limits)
//	effects := b.Step(now, admission.Reserve{Hold: 1, Bytes: 64 << 10})
package admission

import (
	"slices"
	"time"
)

const (
	// bytesRatio is the share of the memory for what is buffered. The runtime's soft
	// limit is 0.7 of the memory; the rest is for connections, routes and the fleet.
	bytesRatio = 0.2
	// connsRatio is the share of the memory for connections. A connection has two
	// tasks, its read buffer and the allowance for its small requests, of which few use
	// all: connBytes together.
	connsRatio = 0.25
	connBytes  = 24 << 10
	// fileDescriptors are kept for files, and controlDescriptors for the links to other
	// instances and for readiness checks. With a low limit a quarter is kept for files.
	fileDescriptors    = 200
	controlDescriptors = 32
	// callerRatio is the share of the remaining descriptors for the connections of
	// callers. Each of them may need another one to an upstream. pipelinedRatio is the
	// share for further requests on the same connection, and idleRatio that for idle
	// connections to upstreams.
	callerRatio    = 0.35
	pipelinedRatio = 0.15
	idleRatio      = 0.15
	// adminRatio is the share for each address of a node that is not for callers: for
	// operators, announcements and other instances. A node has no pipelined requests.
	adminRatio = 0.1
)

// FieldBytes is the memory of a parsed header field besides its text: its place in the map,
// which may be half empty, and its list of values.
const FieldBytes = 128

// Limits are the limits of one process. A limit of 0 is not enforced.
type Limits struct {
	// Bytes limits what is buffered for requests and responses beyond the allowances.
	Bytes int64
	// Conns limits the connections to one listener.
	Conns int
	// AdminConns limits the connections to each other listener: those of a node that are
	// not for callers, and those for readiness checks and metrics.
	AdminConns int
	// Pipelined limits the descriptors for pipelined requests.
	Pipelined int
	// IdleUpstreams limits the idle connections to upstreams.
	IdleUpstreams int
}

// LimitsOf derives the limits from the memory and the descriptors of the process. What
// is 0 limits nothing.
func LimitsOf(memoryMB, maxFDs int) Limits {
	var l Limits
	if memoryMB > 0 {
		memory := float64(memoryMB << 20)
		l.Bytes = int64(bytesRatio * memory)
		l.Conns = int(connsRatio * memory / connBytes)
		l.AdminConns = l.Conns
	}
	if maxFDs > 0 {
		free := float64(max(0, maxFDs-min(fileDescriptors, maxFDs/4)-controlDescriptors))
		l.Conns = lower(l.Conns, int(callerRatio*free))
		l.AdminConns = lower(l.AdminConns, int(adminRatio*free))
		l.Pipelined, l.IdleUpstreams = max(1, int(pipelinedRatio*free)), max(1, int(idleRatio*free))
	}
	return l
}

// lower returns the lower of two limits, of which the first may be zero for none.
func lower(a, b int) int {
	if b = max(1, b); a == 0 || b < a {
		return b
	}
	return a
}

// HoldID identifies a hold: what is reserved for one request, response or message.
type HoldID uint64

// Event is a message to the budget.
//
//sumtype:decl
type Event interface{ event() }

// Reserve asks for bytes and descriptors. With the ID of a present hold it extends it.
type Reserve struct {
	Hold        HoldID
	Bytes       int64
	Descriptors int
	// Arriving is true while the client still sends what the hold is for.
	Arriving bool
}

// Arrived reports that the client has sent everything.
type Arrived struct{ Hold HoldID }

// Release ends a hold. An unknown one is ignored, since it may have been evicted.
type Release struct{ Hold HoldID }

func (Reserve) event() {}
func (Arrived) event() {}
func (Release) event() {}

// Effect is what the owner of the budget must do.
//
//sumtype:decl
type Effect interface{ effect() }

// Granted answers a [Reserve].
type Granted struct{ Hold HoldID }

// Refused answers a [Reserve]. What the hold had before stays reserved.
type Refused struct{ Hold HoldID }

// Evict asks to close the connection of a hold. Its bytes are free from now on.
type Evict struct{ Hold HoldID }

func (Granted) effect() {}
func (Refused) effect() {}
func (Evict) effect()   {}

const (
	// minArrivalTime is how long a client may send before its rate is judged.
	minArrivalTime = time.Second
	// minArrivalRate is the rate, in bytes a second, below which an arriving body may be
	// evicted when the budget is used up. It is below the slowest link of an entry,
	// 1.4 Mbit/s.
	minArrivalRate = 64 << 10
)

// hold is what is reserved for one request, response or message.
type hold struct {
	bytes       int64
	descriptors int
	arriving    bool
	since       time.Time
}

// Budget is the state of the reservations of one process.
type Budget struct {
	Limits Limits
	// Bytes and Descriptors are reserved at present.
	Bytes       int64
	Descriptors int
	// UsedUp is true from a refusal for lack of bytes until half of the budget is free.
	UsedUp bool
	holds  map[HoldID]*hold
}

// NewBudget returns a budget without reservations.
func NewBudget(l Limits) *Budget { return &Budget{Limits: l, holds: map[HoldID]*hold{}} }

// Step handles an event.
func (b *Budget) Step(now time.Time, e Event) []Effect {
	switch e := e.(type) {
	case Reserve:
		return b.reserve(now, e)
	case Arrived:
		if h := b.holds[e.Hold]; h != nil {
			h.arriving = false
		}
	case Release:
		b.release(e.Hold)
	}
	return nil
}

func (b *Budget) reserve(now time.Time, r Reserve) []Effect {
	var effects []Effect
	if !b.fits(r) {
		for _, victim := range b.slow(now, r) {
			b.release(victim)
			effects = append(effects, Evict{victim})
		}
	}
	if !b.fits(r) {
		b.UsedUp = b.UsedUp || b.Limits.Bytes > 0 && b.Bytes+r.Bytes > b.Limits.Bytes
		return append(effects, Refused{r.Hold})
	}
	h := b.holds[r.Hold]
	if h == nil {
		h = &hold{since: now}
		b.holds[r.Hold] = h
	}
	h.arriving = r.Arriving
	h.bytes += r.Bytes
	h.descriptors += r.Descriptors
	b.Bytes += r.Bytes
	b.Descriptors += r.Descriptors
	return append(effects, Granted{r.Hold})
}

// aloneFactor is how much a hold may take beyond the budget while nothing else is held:
// half of the memory with bytesRatio. The largest message between control instances, a
// snapshot of 25 MiB, needs 75 MB of their 280.
const aloneFactor = 2.5

// fits reports whether a reservation is within the limits. A hold that is alone may take
// more: the largest configuration would otherwise never be taken.
func (b *Budget) fits(r Reserve) bool {
	if b.Limits.Pipelined > 0 && r.Descriptors > 0 && b.Descriptors+r.Descriptors > b.Limits.Pipelined {
		return false
	}
	if b.Limits.Bytes == 0 || b.Bytes+r.Bytes <= b.Limits.Bytes {
		return true
	}
	own := int64(0)
	if h := b.holds[r.Hold]; h != nil {
		own = h.bytes
	}
	return b.Bytes == own && float64(own+r.Bytes) <= aloneFactor*float64(b.Limits.Bytes)
}

// slow returns the holds to evict for a reservation: those whose bodies arrive slowest.
// It returns none when they would not free enough.
func (b *Budget) slow(now time.Time, r Reserve) []HoldID {
	type candidate struct {
		id   HoldID
		rate float64
	}
	var candidates []candidate
	for id, h := range b.holds {
		age := now.Sub(h.since)
		if !h.arriving || id == r.Hold || age < minArrivalTime {
			continue
		}
		if rate := float64(h.bytes) / age.Seconds(); rate < minArrivalRate {
			candidates = append(candidates, candidate{id, rate})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		switch {
		case x.rate < y.rate || x.rate == y.rate && x.id < y.id:
			return -1
		case x.rate > y.rate || x.id > y.id:
			return 1
		}
		return 0
	})
	var victims []HoldID
	for missing := b.Bytes + r.Bytes - b.Limits.Bytes; missing > 0; {
		if len(victims) == len(candidates) {
			return nil
		}
		id := candidates[len(victims)].id
		missing -= b.holds[id].bytes
		victims = append(victims, id)
	}
	return victims
}

func (b *Budget) release(id HoldID) {
	h := b.holds[id]
	if h == nil {
		return
	}
	b.Bytes -= h.bytes
	b.Descriptors -= h.descriptors
	delete(b.holds, id)
	b.UsedUp = b.UsedUp && b.Bytes > b.Limits.Bytes/2
}
