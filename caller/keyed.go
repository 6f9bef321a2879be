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
	// firstClaimPause is the pause before a key in progress is looked at
	// again. It doubles up to maxClaimPause.
	firstClaimPause = 4 * time.Millisecond
	maxClaimPause   = 64 * time.Millisecond
	// settleTimeout bounds how long an instance tries to store a result.
	settleTimeout = 10 * time.Second
)

// dispatchKeyed runs a call behind a claim of its key.
func (x *exchange) dispatchKeyed() call.Outcome {
	result, err := x.claim()
	if err != nil {
		// The claim may be in the log, but no byte has left.
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
	case record.Done, record.VersionConflict, record.HostConflict:
	}
	return call.NotRun{Reason: call.ReasonNoQuorum}
}

// claim reserves the key. While another call with the key is under way, it
// waits for that call's result, at most until the deadline.
func (x *exchange) claim() (record.Result, error) {
	ctx, span := x.server.options.Tracer.Start(x.ctx, "claim")
	defer span.End()
	began := time.Now()
	c := record.Claim{
		Service: x.call.Service, Key: x.key, Fingerprint: x.fingerprint(), Claimant: x.claimant(),
	}
	for wait := firstClaimPause; ; wait = min(2*wait, maxClaimPause) {
		c.AtMS = time.Now().UnixMilli()
		result, err := x.server.options.Propose(ctx, c)
		_, waiting := result.(record.InProgress)
		if err != nil || !waiting {
			x.observe("oriolepost_claim_seconds", time.Since(began))
			return result, err
		}
		if !timer.Pause(ctx, wait) {
			return result, nil
		}
	}
}

func (x *exchange) observe(name string, d time.Duration) { x.server.observe(name, d) }

func (x *exchange) count(name string) { x.server.count(name) }

// fingerprint tells requests with the same key apart.
func (x *exchange) fingerprint() string {
	h := sha256.New()
	_, _ = io.WriteString(h, x.request.Method+"\n"+x.request.URL.RequestURI()+"\n")
	_, _ = h.Write(x.body.whole)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func (x *exchange) claimant() string {
	return fmt.Sprintf("%s/%s/%d", x.server.options.Instance, x.server.options.Boot, x.call.ID)
}

// runClaimed runs the call, and stores its result or gives the key back.
func (x *exchange) runClaimed() call.Outcome {
	x.capture = &capture{limit: x.document.Idempotency.MaxResultBytes}
	outcome := x.converse()
	switch outcome.(type) {
	case call.Answered:
		if x.capture.whole {
			x.settle()
		}
	case call.NotRun:
		x.release()
	case call.Unknown:
		// The key stays claimed: the call may have run.
	}
	return outcome
}

// settle stores the result. The caller has its answer already; until the
// result is stored, a resend waits or learns that the outcome is unknown.
func (x *exchange) settle() {
	c := record.Settle{
		AtMS: time.Now().UnixMilli(), Service: x.call.Service, Key: x.key,
		Claimant: x.claimant(), Answer: x.capture.answer,
	}
	x.proposeLater(c)
}

func (x *exchange) release() {
	x.proposeLater(record.Release{
		AtMS: time.Now().UnixMilli(), Service: x.call.Service, Key: x.key, Claimant: x.claimant(),
	})
}

// proposeLater commits a command after the call is over. It counts as running
// meanwhile, so that a graceful stop waits for it.
func (x *exchange) proposeLater(c record.Command) {
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

func (x *exchange) replay(a record.StoredAnswer) call.Outcome {
	x.count("oriolepost_replays_total")
	if a.Dropped {
		return call.Unknown{Reason: call.ReasonResultNotKept}
	}
	x.play(a)
	return call.Answered{Status: a.Status}
}
