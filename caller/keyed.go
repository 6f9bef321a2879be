package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/timer"
)

const (
	// minClaimRetryDelay is the delay before the first repeated claim of a key
	// whose call is in progress. It doubles up to maxClaimRetryDelay.
	minClaimRetryDelay = 4 * time.Millisecond
	maxClaimRetryDelay = 64 * time.Millisecond
	// settleTimeout limits the time in which an instance tries to store a result or
	// to release a key.
	settleTimeout = 10 * time.Second
)

// dispatchKeyed claims the idempotency key of a call and runs the call if the
// claim succeeds.
func (x *exchange) dispatchKeyed() call.Outcome {
	result, err := x.claim()
	if err != nil {
		// No byte was sent to a server, but the claim may have been committed. It
		// then blocks the key until it expires: other calls with the key get the
		// outcome unknown, reason key_in_doubt.
		return call.NotRun{Reason: call.ReasonNoQuorum}
	}
	switch r := result.(type) {
	case record.Claimed:
		return x.runClaimed()
	case record.Replay:
		return x.replay(r.Answer)
	case record.InProgress:
		return call.Unknown{Reason: call.ReasonKeyInDoubt}
	case record.KeyMismatch:
		return call.NotRun{Reason: call.ReasonKeyMismatch}
	case record.LedgerFull:
		return call.NotRun{Reason: call.ReasonLedgerFull}
	case record.Done, record.VersionConflict, record.HostConflict, record.RolloutConflict, record.UnknownService:
		// A claim does not have these results.
	}
	return call.NotRun{Reason: call.ReasonNoQuorum}
}

// claim claims the key for this call. While another call with the same key is in
// progress, it waits for the result of that call, at most until the deadline.
func (x *exchange) claim() (record.Result, error) {
	ctx, span := x.server.options.Tracer.Start(x.ctx, "claim")
	defer span.End()
	start := time.Now()
	claim := record.Claim{
		Service: x.call.Service, Key: x.key, Fingerprint: x.fingerprint(), Claimant: x.claimant(),
	}
	for delay := minClaimRetryDelay; ; delay = min(2*delay, maxClaimRetryDelay) {
		claim.AtMS = time.Now().UnixMilli()
		result, err := x.server.options.Propose(ctx, claim)
		_, inProgress := result.(record.InProgress)
		if err != nil || !inProgress {
			x.observe("oriolepost_claim_seconds", time.Since(start))
			return result, err
		}
		if !timer.Pause(ctx, delay) {
			return result, nil
		}
	}
}

func (x *exchange) observe(name string, d time.Duration) { x.server.observe(name, d) }

func (x *exchange) count(name string) { x.server.count(name) }

// fingerprint returns a hash of the method, URI and body, by which different
// requests with the same key are detected.
func (x *exchange) fingerprint() string {
	h := sha256.New()
	_, _ = io.WriteString(h, x.request.Method+"\n"+x.request.URL.RequestURI()+"\n")
	_, _ = h.Write(x.body.content)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// claimant identifies this call among the calls of all instances and restarts.
func (x *exchange) claimant() string {
	return fmt.Sprintf("%s/%s/%d", x.server.options.Instance, x.server.options.BootID, x.call.ID)
}

// runClaimed runs the call, and then stores its result or releases the key.
func (x *exchange) runClaimed() call.Outcome {
	x.capture = &capture{limit: x.document.Idempotency.MaxResultBytes}
	outcome := x.runAttempts()
	switch outcome.(type) {
	case call.Answered:
		if x.capture.complete {
			x.settle()
		}
	case call.NotRun:
		x.release()
	case call.Unknown:
		// The key stays claimed: a server may have executed the call.
	}
	return outcome
}

// settle stores the result. The caller has its response already. Until the result
// is stored, a call repeated with the key waits, and at its deadline gets the
// outcome unknown.
func (x *exchange) settle() {
	c := record.Settle{
		AtMS: time.Now().UnixMilli(), Service: x.call.Service, Key: x.key,
		Claimant: x.claimant(), Answer: x.capture.stored,
	}
	x.proposeInBackground(c)
}

// release gives up the claim of a call that was not run, so that the key can be
// claimed again.
func (x *exchange) release() {
	x.proposeInBackground(record.Release{
		AtMS: time.Now().UnixMilli(), Service: x.call.Service, Key: x.key, Claimant: x.claimant(),
	})
}

// proposeInBackground commits a command after the call is over. Meanwhile it counts
// as a running call, so that a graceful shutdown waits for it.
func (x *exchange) proposeInBackground(c record.Command) {
	s := x.server
	s.running.Add(1)
	go func() {
		defer s.running.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if _, err := s.options.Propose(ctx, c); err != nil {
			s.count("oriolepost_settle_errors_total")
		}
	}()
}

// replay sends the stored response of an earlier call with the key. A response
// that was too large to store gives the outcome unknown.
func (x *exchange) replay(a record.StoredAnswer) call.Outcome {
	x.count("oriolepost_replays_total")
	if a.Dropped {
		return call.Unknown{Reason: call.ReasonResultNotKept}
	}
	x.writeStored(a)
	return call.Answered{Status: a.Status}
}
