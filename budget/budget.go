// Package budget runs the task that owns the reservations of a process.
//
// The decisions are those of package admission. Whoever buffers more than the allowance
// of a connection reserves it here first, with one message and its answer.
//
// # Usage
//
//	b := budget.Start(ctx, admission.LimitsOf(memoryMB, maxFDs), set, logger)
//	hold := b.Hold(evict)
//	if !hold.Reserve(64<<10, 0, true) { refuse() }
//	defer hold.Release()
package budget

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/admission"
)

// mailboxSize is how many messages may wait for the task. A task that posts another one
// blocks.
const mailboxSize = 256

// Budget is the task that owns the reservations. A nil Budget grants everything.
type Budget struct {
	ctx     context.Context
	limits  admission.Limits
	mailbox chan message
	nextID  atomic.Uint64
	metrics *metrics.Set
	log     log.Interface
	// bytes is what is reserved at present, for the metrics.
	bytes atomic.Int64
}

// Hold is what is reserved for one request, response or message. It is owned by one
// task at a time. A nil Hold grants everything.
type Hold struct {
	id     admission.HoldID
	budget *Budget
	evict  func()
	// reserved is true once something was granted.
	reserved bool
}

// message is a message to the task.
//
//sumtype:decl
type message interface{ message() }

// reserveMessage asks for a reservation; granted has the capacity for the answer.
type reserveMessage struct {
	event   admission.Reserve
	evict   func()
	granted chan bool
}

// endMessage carries [admission.Arrived] or [admission.Release].
type endMessage struct{ event admission.Event }

func (reserveMessage) message() {}
func (endMessage) message()     {}

// Start starts the task. It returns nil if the limits limit nothing that is reserved.
func Start(ctx context.Context, limits admission.Limits, m *metrics.Set, logger log.Interface) *Budget {
	if limits.Bytes == 0 && limits.Pipelined == 0 {
		return nil
	}
	b := &Budget{ctx: ctx, limits: limits, mailbox: make(chan message, mailboxSize), metrics: m, log: logger}
	m.NewGauge("oriolepost_admission_reserved_bytes", func() float64 { return float64(b.bytes.Load()) })
	m.NewGauge("oriolepost_admission_limit_bytes", func() float64 { return float64(limits.Bytes) })
	go b.run()
	return b
}

func (b *Budget) run() {
	state := admission.NewBudget(b.limits)
	// evictions holds the functions that close the connections of the holds.
	evictions := map[admission.HoldID]func(){}
	usedUp := false
	for {
		select {
		case <-b.ctx.Done():
			return
		case m := <-b.mailbox:
			switch m := m.(type) {
			case reserveMessage:
				for _, e := range state.Step(time.Now(), m.event) {
					b.perform(e, m, evictions)
				}
			case endMessage:
				state.Step(time.Now(), m.event)
				if r, ok := m.event.(admission.Release); ok {
					delete(evictions, r.Hold)
				}
			}
			b.bytes.Store(state.Bytes)
			if state.UsedUp != usedUp {
				usedUp = state.UsedUp
				b.logUsedUp(state)
			}
		}
	}
}

// logUsedUp logs that the budget is used up, or that half of it is free again.
func (b *Budget) logUsedUp(state *admission.Budget) {
	entry := b.log.WithFields(log.Fields{"change": "admission", "used_up": state.UsedUp, "reserved_bytes": state.Bytes, "limit_bytes": state.Limits.Bytes})
	if state.UsedUp {
		entry.Warn("the budget for what clients send is used up; large requests are refused")
		return
	}
	entry.Info("half of the budget for what clients send is free again")
}

func (b *Budget) perform(effect admission.Effect, m reserveMessage, evictions map[admission.HoldID]func()) {
	switch e := effect.(type) {
	case admission.Granted:
		evictions[e.Hold] = m.evict
		m.granted <- true
	case admission.Refused:
		b.metrics.GetOrCreateCounter("oriolepost_admission_refused_total").Inc()
		m.granted <- false
	case admission.Evict:
		b.metrics.GetOrCreateCounter("oriolepost_admission_evicted_total").Inc()
		if evict := evictions[e.Hold]; evict != nil {
			evict()
		}
		delete(evictions, e.Hold)
	}
}

// Hold returns a hold with nothing reserved. evict is called by the task of the budget
// and must not block; nil if the hold is never for something that is still arriving.
func (b *Budget) Hold(evict func()) *Hold {
	if b == nil {
		return nil
	}
	return &Hold{id: admission.HoldID(b.nextID.Add(1)), budget: b, evict: evict}
}

// Reserve adds to the hold and reports whether that was granted. arriving is true while
// the client still sends what the hold is for.
func (h *Hold) Reserve(bytes int64, descriptors int, arriving bool) bool {
	if h == nil {
		return true
	}
	m := reserveMessage{
		event: admission.Reserve{Hold: h.id, Bytes: bytes, Descriptors: descriptors, Arriving: arriving && h.evict != nil}, evict: h.evict, granted: make(chan bool, 1),
	}
	if !h.budget.post(m) {
		return true
	}
	select {
	case granted := <-m.granted:
		h.reserved = h.reserved || granted
		return granted
	case <-h.budget.ctx.Done():
		return true
	}
}

// Arrived reports that the client has sent everything, so that the hold is no longer
// evicted.
func (h *Hold) Arrived() {
	if h != nil && h.reserved {
		h.budget.post(endMessage{admission.Arrived{Hold: h.id}})
	}
}

// Release ends the hold. Without a reservation it costs no message.
func (h *Hold) Release() {
	if h != nil && h.reserved {
		h.reserved = false
		h.budget.post(endMessage{admission.Release{Hold: h.id}})
	}
}

// post reports whether the task still runs and got the message.
func (b *Budget) post(m message) bool {
	select {
	case b.mailbox <- m:
		return true
	case <-b.ctx.Done():
		return false
	}
}

// firstBufferBytes is the size of the buffer for a body of unknown or greater length. It
// is covered by the allowance of the connection.
const firstBufferBytes = 4 << 10

// growthFactor is the factor by which a buffer grows. Its content is copied then.
const growthFactor = 4

// Buffer is a buffer that grows as bytes arrive, and asks before it does. It can't be
// filled by a client that only declares a length.
type Buffer struct {
	Bytes []byte
	// Limit is the most that the buffer takes.
	Limit int
	// Grow asks for a number of bytes. Its error ends the reading.
	Grow func(bytes int64) error
}

// Space returns the free part of the buffer, which grows if it has none. It is empty
// when the buffer is filled to its limit.
func (b *Buffer) Space() ([]byte, error) {
	if used := len(b.Bytes); used == cap(b.Bytes) && used < b.Limit {
		size := min(max(firstBufferBytes, used*growthFactor), b.Limit)
		if size > firstBufferBytes {
			if err := b.Grow(int64(size - used)); err != nil {
				return nil, err
			}
		}
		grown := make([]byte, used, size)
		copy(grown, b.Bytes)
		b.Bytes = grown
	}
	return b.Bytes[len(b.Bytes):min(cap(b.Bytes), b.Limit)], nil
}
