package soak

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/operator"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/timer"
)

const (
	// changers is how many operators race each other.
	changers = 3
	// changePause is the pause of an operator between two operations.
	changePause = 40 * time.Millisecond
	// changeTimeout bounds one operation.
	changeTimeout = 3 * time.Second
	// checkTime bounds the check of a history.
	checkTime = 30 * time.Second
)

// documentOperation is one operation of an operator on one document.
type documentOperation struct {
	client int
	// write is true for a compare-and-set of expected by expected+1.
	write    bool
	expected uint64
	// version is what a read saw, or a write gave.
	version uint64
	outcome documentOutcome
	began   int64
	ended   int64
}

// documentOutcome is what an operator was told.
type documentOutcome int

const (
	outcomeDone documentOutcome = iota
	outcomeConflict
	// outcomeLost means that there was no answer: it may have happened.
	outcomeLost
)

// changeDocuments lets operators race until the context ends.
func changeDocuments(ctx context.Context, running *cluster.Cluster) []documentOperation {
	results := make(chan []documentOperation)
	began := time.Now()
	for client := range changers {
		go func() { results <- change(ctx, running, client, began) }()
	}
	var all []documentOperation
	for range changers {
		all = append(all, <-results...)
	}
	return all
}

// change reads a document and replaces it, each time through the next
// instance.
func change(ctx context.Context, running *cluster.Cluster, client int, began time.Time) []documentOperation {
	var history []documentOperation
	for n := 0; ctx.Err() == nil; n++ {
		api := running.Operator((client + n) % len(running.Settings))
		read := readDocument(ctx, api, client, began)
		history = append(history, read)
		if read.outcome == outcomeDone {
			id := fmt.Sprintf("race-%d-%d", client, n)
			history = append(history, writeDocument(ctx, api, client, began, id, read.version))
		}
		timer.Pause(ctx, changePause)
	}
	return history
}

const racedService = "raced"

func readDocument(ctx context.Context, api operator.Client, client int, began time.Time) documentOperation {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	o := documentOperation{client: client, began: time.Since(began).Nanoseconds()}
	d, err := api.Document(ctx, racedService)
	o.ended = time.Since(began).Nanoseconds()
	o.version = d.Version
	var e *operator.Error
	if err != nil && (!errors.As(err, &e) || e.Code != "not_found") {
		o.outcome = outcomeLost
	}
	return o
}

func writeDocument(ctx context.Context, api operator.Client, client int, began time.Time, id string, expected uint64) documentOperation {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	o := documentOperation{client: client, write: true, expected: expected, began: time.Since(began).Nanoseconds()}
	d := service.Defaults(racedService)
	d.Version = expected
	done, err := api.Apply(ctx, d, operator.ChangeOptions{ChangeID: id})
	o.ended = time.Since(began).Nanoseconds()
	o.version = done.Version
	var e *operator.Error
	switch {
	case err == nil:
	case errors.As(err, &e) && e.Code == "version_conflict":
		o.outcome = outcomeConflict
	default:
		o.outcome = outcomeLost
	}
	return o
}

// model is a register that holds a version, with reads and compare-and-sets.
func model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, _ any) (bool, any) {
			version, _ := state.(uint64)
			o, _ := input.(documentOperation)
			return o.step(version)
		},
	}
}

// step reports whether the operation fits a version, and what version follows.
func (o documentOperation) step(version uint64) (bool, uint64) {
	switch {
	case !o.write:
		return o.outcome == outcomeLost || o.version == version, version
	case o.outcome == outcomeConflict:
		return o.expected != version, version
	case o.expected == version:
		return o.outcome == outcomeLost || o.version == version+1, version + 1
	}
	return o.outcome == outcomeLost, version
}

// linearizable checks a history. An operation without an answer may take
// effect at any later time.
func linearizable(history []documentOperation) bool {
	last := int64(0)
	for _, o := range history {
		last = max(last, o.ended)
	}
	var operations []porcupine.Operation
	for _, o := range history {
		ended := o.ended
		switch {
		case o.outcome == outcomeLost && !o.write:
			continue
		case o.outcome == outcomeLost:
			ended = last + 1
		}
		operations = append(operations, porcupine.Operation{
			ClientId: o.client, Input: o, Call: o.began, Output: nil, Return: ended,
		})
	}
	return porcupine.CheckOperationsTimeout(model(), operations, checkTime) == porcupine.Ok
}
