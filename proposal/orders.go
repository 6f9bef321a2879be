package proposal

import (
	"crypto/sha256"

	"github.com/oriolepost/oriolepost/route"
)

// Orders decides which configurations a leader proposes. Whoever waits for an order sends
// it again after 0.7 s, and an operator sends it to several instances. Replicating hundreds
// of kilobytes takes longer than that on a busy machine, and each further entry with the
// same content would delay the one that everybody waits for, and grow the log and the
// journal. A configuration has a version, so the place in the log of one that repeats
// another does not matter. It must not be used for commands whose order matters.
type Orders[W any] struct {
	underWay map[OrderKey][]W
}

// OrderKey identifies the content of an order.
type OrderKey [sha256.Size]byte

// KeyOf returns the key of an encoded order.
func KeyOf(data []byte) OrderKey { return sha256.Sum256(data) }

// Decision says what to do with an order.
type Decision string

const (
	// DecisionPropose means that the order is to be proposed. Its waiters are answered
	// when that proposal ends.
	DecisionPropose Decision = "propose"
	// DecisionWait means that the same order is under way, and the waiter was added to it.
	DecisionWait Decision = "wait"
	// DecisionInForce means that the order would change nothing, because its version, or a
	// higher one, is committed already. The waiter was not added.
	DecisionInForce Decision = "in force"
)

// NewOrders returns an empty set of orders.
func NewOrders[W any]() *Orders[W] { return &Orders[W]{underWay: map[OrderKey][]W{}} }

// Add decides on an order with a version. committed is the version that was applied from
// the log, or none.
func (o *Orders[W]) Add(key OrderKey, version uint64, committed route.OptionalVersion, waiter W) Decision {
	if !committed.OlderThan(version) {
		return DecisionInForce
	}
	waiters, known := o.underWay[key]
	o.underWay[key] = append(waiters, waiter)
	if known {
		return DecisionWait
	}
	return DecisionPropose
}

// Ended removes and returns the waiters of an order whose proposal has ended.
func (o *Orders[W]) Ended(key OrderKey) []W {
	waiters := o.underWay[key]
	delete(o.underWay, key)
	return waiters
}
