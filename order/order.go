// Package order decides whether and when a control instance carries out an operator's
// order.
//
// An operator waits for one second, closes the connection and sends the order to another
// instance. A delayed copy may arrive after a newer order was acknowledged, and the end of
// its connection later still. So an order is bound to a state that was read when its sender
// can't have given up yet, and is not applied on top of a later change. The proof is the age
// of the connection: the order was not sent before it was opened. An order on an older
// connection may have been overtaken; it is refused as not carried out, and a sender that
// still waits goes to another instance.
//
// The package is part of the core and does no input or output. It does not know what an
// order changes; the caller performs the effects and encodes the command.
//
// # Usage
//
//	o := order.New(time.Now(), timeout)
//	effect := o.Step(time.Now(), order.Received{})
//	for !done {
//		effect = o.Step(time.Now(), perform(effect))
//	}
package order

import (
	"errors"
	"time"

	"github.com/oriolepost/oriolepost/record"
)

// checkDelay is how long an order waits for the end of its sender's connection, which may
// follow the bytes of the order. It is short against the second for which the sender
// waits, and with a late timer still below 50 ms.
const checkDelay = 40 * time.Millisecond

// provenFor is how long after its sender opened the connection an order can't have been
// given up. The sender waits for one second, and may count the time to open the connection.
const provenFor = 500 * time.Millisecond

// Order is the state of one order at the instance that received it.
type Order struct {
	deadline time.Time
	// bound is true if the order is bound to the state.
	bound bool
	// identified is true if the order names what it changes so that a delayed copy does no
	// harm.
	identified bool
	// asOf is the index of that state, or zero before it is read.
	asOf uint64
}

// New returns an order that is bound to the state, and whose sender waits for timeout.
func New(now time.Time, timeout time.Duration) *Order {
	return &Order{deadline: now.Add(timeout), bound: true}
}

// NewIdentified returns an order that is not bound to the state, since it identifies what it
// changes, such as the incarnation of an upstream.
func NewIdentified(now time.Time, timeout time.Duration) *Order {
	return &Order{deadline: now.Add(timeout), identified: true}
}

// NewResolved returns an order that is not bound to the state. What it changes was looked up
// when the order was received.
func NewResolved(now time.Time, timeout time.Duration) *Order {
	return &Order{deadline: now.Add(timeout)}
}

// Event is an input to [Order.Step].
//
//sumtype:decl
type Event interface{ event() }

// Received starts the order.
type Received struct{}

// SenderChecked reports what is known of the sender.
type SenderChecked struct {
	// Waiting is false if the end of its connection has arrived.
	Waiting bool
	// OpenedFor is the longest time for which the sender can have had its connection, on a
	// clock that goes on while the machine is suspended.
	OpenedFor time.Duration
	// OpenedKnown is true if OpenedFor is known.
	OpenedKnown bool
}

// StateRead reports the index up to which the state is known. An index of zero comes from
// a leader of an earlier version, which knows no bound orders.
type StateRead struct {
	Index uint64
	Err   error
}

// Proposed reports the outcome of the proposal.
type Proposed struct {
	Result record.Result
	Err    error
}

func (Received) event()      {}
func (SenderChecked) event() {}
func (StateRead) event()     {}
func (Proposed) event()      {}

// Effect is what the caller of [Order.Step] does next.
//
//sumtype:decl
type Effect interface{ effect() }

// CheckSender finds out after a time what is known of the sender.
type CheckSender struct{ After time.Duration }

// ReadState reads, through the leader and the log, the index up to which the state is
// known.
type ReadState struct{}

// Propose proposes the order, bound to an index. Zero means that it is unconditional.
type Propose struct{ AsOf uint64 }

// Acknowledge ends an order that was carried out.
type Acknowledge struct{}

// Abandon ends an order that was not carried out, since its sender has given up.
type Abandon struct{}

// Fail ends an order without a definite answer.
type Fail struct{ Err error }

func (CheckSender) effect() {}
func (ReadState) effect()   {}
func (Propose) effect()     {}
func (Acknowledge) effect() {}
func (Abandon) effect()     {}
func (Fail) effect()        {}

// ErrOvertaken is the error of an order that was overtaken by others until its sender's
// time was up.
var ErrOvertaken = errors.New("newer orders came until the time was up")

// ErrUnproven is the error of an order whose sender may have given up without this instance
// knowing it.
var ErrUnproven = errors.New("the order may be a delayed copy, since its connection is not new; send it on a new one")

// Step handles one event and returns the effect that follows.
func (o *Order) Step(now time.Time, event Event) Effect {
	switch e := event.(type) {
	case Received:
		return CheckSender{After: checkDelay}
	case SenderChecked:
		switch {
		case !e.Waiting:
			return Abandon{}
		case !o.identified && (!e.OpenedKnown || e.OpenedFor >= provenFor):
			return Fail{Err: ErrUnproven}
		case o.bound && o.asOf == 0:
			return ReadState{}
		}
		return Propose{AsOf: o.asOf}
	case StateRead:
		if e.Err != nil {
			return Fail{Err: e.Err}
		}
		o.asOf = e.Index
		o.bound = e.Index > 0
		// The sender may have given up while the state was read. A newer order may then
		// be part of that state. If it had not, each newer order has a higher index.
		return CheckSender{}
	case Proposed:
		return o.proposed(now, e)
	}
	return nil
}

func (o *Order) proposed(now time.Time, e Proposed) Effect {
	if e.Err != nil {
		return Fail{Err: e.Err}
	}
	if _, overtaken := e.Result.(record.Overtaken); !overtaken {
		return Acknowledge{}
	}
	if !now.Before(o.deadline) {
		return Fail{Err: ErrOvertaken}
	}
	o.asOf = 0
	return ReadState{}
}
