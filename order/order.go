// Package order decides whether and when a control instance carries out an operator's
// order.
//
// An operator waits for one second, closes the connection and sends the order to another
// instance. A delayed copy may arrive after a newer order was acknowledged. So an order
// whose sender has given up is not started, and an order is bound to the state that was
// known when its sender still waited: it is not applied on top of a later change, but
// bound again while its sender waits.
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

// Order is the state of one order at the instance that received it.
type Order struct {
	deadline time.Time
	// bound is true if the order is bound to the state.
	bound bool
	// asOf is the index of that state, or zero before it is read.
	asOf uint64
}

// New returns an order that is bound to the state, and whose sender waits for timeout.
func New(now time.Time, timeout time.Duration) *Order {
	return &Order{deadline: now.Add(timeout), bound: true}
}

// NewUnbound returns an order that is not bound to the state, since what it changes is
// identified by the order itself.
func NewUnbound(now time.Time, timeout time.Duration) *Order {
	return &Order{deadline: now.Add(timeout)}
}

// Event is an input to [Order.Step].
//
//sumtype:decl
type Event interface{ event() }

// Received starts the order.
type Received struct{}

// SenderChecked reports whether the sender still waits.
type SenderChecked struct{ Waiting bool }

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

// CheckSender checks after a time whether the sender still waits.
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

// Step handles one event and returns the effect that follows.
func (o *Order) Step(now time.Time, event Event) Effect {
	switch e := event.(type) {
	case Received:
		return CheckSender{After: checkDelay}
	case SenderChecked:
		switch {
		case !e.Waiting:
			return Abandon{}
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
		// be part of that state.
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
