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
	// racingOperators is the number of operators that change a document
	// concurrently.
	racingOperators = 3
	// operatorThinkTime is the pause of an operator after a read and the write that
	// may follow it.
	operatorThinkTime = 40 * time.Millisecond
	// operationTimeout is the timeout of one operation.
	operationTimeout = 3 * time.Second
	// checkTimeout is the time limit of the linearizability check. A check that
	// exceeds it counts as failed.
	checkTimeout = 30 * time.Second
)

// documentOperation is one operation of an operator on one document.
type documentOperation struct {
	client int
	// write is true for a compare-and-set of the version from expected to
	// expected+1, false for a read.
	write    bool
	expected uint64
	// version is the version that a read or a write returned.
	version uint64
	outcome documentOutcome
	// startNS and endNS are nanoseconds since the start of all operators.
	startNS int64
	endNS   int64
}

// documentOutcome is the outcome of an operation as its operator knows it.
type documentOutcome int

const (
	outcomeDone documentOutcome = iota
	outcomeConflict
	// outcomeUnknown means that there was no clear response: the operation may or
	// may not have taken effect.
	outcomeUnknown
)

// changeDocuments runs the operators concurrently until the context ends and
// returns all their operations.
func changeDocuments(ctx context.Context, system *cluster.Cluster) []documentOperation {
	results := make(chan []documentOperation)
	startedAt := time.Now()
	for client := range racingOperators {
		go func() { results <- runOperator(ctx, system, client, startedAt) }()
	}
	var all []documentOperation
	for range racingOperators {
		all = append(all, <-results...)
	}
	return all
}

// runOperator reads a document and replaces it until the context ends, each time
// through the next instance.
func runOperator(ctx context.Context, system *cluster.Cluster, client int, startedAt time.Time) []documentOperation {
	var history []documentOperation
	for n := 0; ctx.Err() == nil; n++ {
		api := system.OperatorClient((client + n) % len(system.Settings))
		read := readDocument(ctx, api, client, startedAt)
		history = append(history, read)
		if read.outcome == outcomeDone {
			id := fmt.Sprintf("race-%d-%d", client, n)
			history = append(history, writeDocument(ctx, api, client, startedAt, id, read.version))
		}
		timer.Pause(ctx, operatorThinkTime)
	}
	return history
}

const contendedService = "raced"

func readDocument(ctx context.Context, api operator.Client, client int, startedAt time.Time) documentOperation {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	operation := documentOperation{client: client, startNS: time.Since(startedAt).Nanoseconds()}
	d, err := api.Document(ctx, contendedService)
	operation.endNS = time.Since(startedAt).Nanoseconds()
	operation.version = d.Version
	var e *operator.Error
	if err != nil && (!errors.As(err, &e) || e.Code != "not_found") {
		operation.outcome = outcomeUnknown
	}
	return operation
}

func writeDocument(ctx context.Context, api operator.Client, client int, startedAt time.Time, id string, expected uint64) documentOperation {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	operation := documentOperation{client: client, write: true, expected: expected, startNS: time.Since(startedAt).Nanoseconds()}
	d := service.Defaults(contendedService)
	d.Version = expected
	done, err := api.Apply(ctx, d, operator.ChangeOptions{ChangeID: id})
	operation.endNS = time.Since(startedAt).Nanoseconds()
	operation.version = done.Version
	var e *operator.Error
	switch {
	case err == nil:
	case errors.As(err, &e) && e.Code == "version_conflict":
		operation.outcome = outcomeConflict
	default:
		operation.outcome = outcomeUnknown
	}
	return operation
}

// model returns the sequential model of a document: a register that holds a
// version, with reads and compare-and-sets.
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

// step reports whether the outcome of the operation is possible at a version, and
// returns the version after it.
func (o documentOperation) step(version uint64) (bool, uint64) {
	switch {
	case !o.write:
		return o.outcome == outcomeUnknown || o.version == version, version
	case o.outcome == outcomeConflict:
		return o.expected != version, version
	case o.expected == version:
		return o.outcome == outcomeUnknown || o.version == version+1, version + 1
	}
	return o.outcome == outcomeUnknown, version
}

// linearizable reports whether a history is linearizable. A write with an unknown
// outcome may take effect at any later time; a read with one is left out.
func linearizable(history []documentOperation) bool {
	last := int64(0)
	for _, o := range history {
		last = max(last, o.endNS)
	}
	var operations []porcupine.Operation
	for _, o := range history {
		endNS := o.endNS
		switch {
		case o.outcome == outcomeUnknown && !o.write:
			continue
		case o.outcome == outcomeUnknown:
			endNS = last + 1
		}
		operations = append(operations, porcupine.Operation{
			ClientId: o.client, Input: o, Call: o.startNS, Output: nil, Return: endNS,
		})
	}
	return porcupine.CheckOperationsTimeout(model(), operations, checkTimeout) == porcupine.Ok
}
