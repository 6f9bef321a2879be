// Package ledger stores idempotency keys, so that a non-idempotent request runs
// at most once, however often its caller sends it.
//
// A key is claimed before the first byte of the request is sent to a server. As
// long as a claim has no result and has not expired, no other claimant may run
// the request, because it may have run already. Only the claimant may release the
// key, when it knows that its request was not run. The package is part of the
// core; its commands arrive in the order of the replicated log.
//
// The service document limits the number of keys, the stored bytes and the age
// of keys for each service. The current time is the highest proposer clock in the
// log so far, so a clock that steps back cannot bring an expired key back.
//
// # Usage
//
//	l := ledger.New()
//	result := l.Apply(record.Claim{...}, document.Idempotency)
package ledger

import (
	"slices"

	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/service"
)

// Ledger holds the keys of all services. Its fields are exported and encoded as
// JSON, because the struct itself is part of a snapshot.
type Ledger struct {
	// NowMS is the highest proposer clock so far, in Unix milliseconds.
	NowMS int64 `json:"now_ms"`
	// Services maps each service name to its ledger.
	Services map[string]*ServiceLedger `json:"services"`
}

// ServiceLedger holds the keys of one service.
type ServiceLedger struct {
	// Keys maps each key to its state.
	Keys map[string]Key `json:"keys"`
	// Order lists the keys by claim time, oldest first.
	Order []string `json:"order"`
	// Bytes is the total size of the stored answer bodies.
	Bytes int64 `json:"bytes"`
}

// Key is the state of one idempotency key.
type Key struct {
	// Fingerprint identifies the request that the key was claimed for.
	Fingerprint string `json:"fingerprint"`
	// Claimant identifies the holder of the claim, see [record.Claim].
	Claimant string `json:"claimant"`
	// ClaimedMS is the claim time in Unix milliseconds.
	ClaimedMS int64 `json:"claimed_ms"`
	// Answer is the stored result, or nil while there is none.
	Answer *record.StoredAnswer `json:"answer,omitempty"`
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{Services: map[string]*ServiceLedger{}} }

// Apply applies a command under the limits of its service and returns the result.
// It returns nil for commands that do not belong to the ledger.
func (l *Ledger) Apply(cmd record.Command, bounds service.Idempotency) record.Result {
	switch cmd := cmd.(type) {
	case record.Claim:
		s := l.serviceLedgerAt(cmd.Service, cmd.AtMS, bounds)
		return s.claim(cmd, l.NowMS, bounds)
	case record.Settle:
		s := l.serviceLedgerAt(cmd.Service, cmd.AtMS, bounds)
		return s.settle(cmd, bounds)
	case record.Release:
		s := l.serviceLedgerAt(cmd.Service, cmd.AtMS, bounds)
		return s.release(cmd)
	case record.Noop, record.PutDocument, record.SetDomain, record.SetServer, record.PutConfiguration, record.Retire,
		record.Enroll, record.Withdraw, record.BeginRollout, record.EndRollout:
		return nil
	}
	return nil
}

// Known returns the result of claiming a key that the ledger already holds,
// without changing the ledger. It returns false if the key is not in the ledger or
// has expired, so that it has to be claimed.
func (l *Ledger) Known(c record.Claim, bounds service.Idempotency) (record.Result, bool) {
	s := l.Services[c.Service]
	if s == nil {
		return nil, false
	}
	k, known := s.Keys[c.Key]
	if !known || k.ClaimedMS <= max(l.NowMS, c.AtMS)-bounds.KeepMS {
		return nil, false
	}
	return k.repeatedClaim(c), true
}

// serviceLedgerAt advances the clock and returns the ledger of a service after
// removing its expired keys. It creates the ledger if there is none.
func (l *Ledger) serviceLedgerAt(name string, atMS int64, bounds service.Idempotency) *ServiceLedger {
	l.NowMS = max(l.NowMS, atMS)
	s := l.Services[name]
	if s == nil {
		s = &ServiceLedger{Keys: map[string]Key{}}
		l.Services[name] = s
	}
	s.expire(l.NowMS - bounds.KeepMS)
	return s
}

// expire removes the keys that were claimed at or before the given time.
func (s *ServiceLedger) expire(upToMS int64) {
	n := 0
	for n < len(s.Order) && s.Keys[s.Order[n]].ClaimedMS <= upToMS {
		s.removeKey(s.Order[n])
		n++
	}
	s.Order = slices.Delete(s.Order, 0, n)
}

// removeKey removes the key and its answer, but leaves it in Order.
func (s *ServiceLedger) removeKey(key string) {
	if a := s.Keys[key].Answer; a != nil {
		s.Bytes -= int64(len(a.Body))
	}
	delete(s.Keys, key)
}

func (s *ServiceLedger) claim(cmd record.Claim, nowMS int64, bounds service.Idempotency) record.Result {
	state, known := s.Keys[cmd.Key]
	if known {
		return state.repeatedClaim(cmd)
	}
	if len(s.Keys) >= bounds.MaxKeys {
		return record.LedgerFull{}
	}
	s.Keys[cmd.Key] = Key{Fingerprint: cmd.Fingerprint, Claimant: cmd.Claimant, ClaimedMS: nowMS}
	s.Order = append(s.Order, cmd.Key)
	return record.Claimed{}
}

// repeatedClaim returns the result of claiming a key that is already claimed.
func (k Key) repeatedClaim(c record.Claim) record.Result {
	switch {
	case k.Fingerprint != c.Fingerprint:
		return record.KeyMismatch{}
	case k.Answer != nil:
		return record.Replay{Answer: *k.Answer}
	case k.Claimant == c.Claimant:
		return record.Claimed{}
	}
	return record.InProgress{}
}

// settle stores the result of a claimed key. It ignores a claimant that does not
// hold the key, and a second result. A result above the size limits is stored
// without its header and body, so that the request still does not run again.
func (s *ServiceLedger) settle(cmd record.Settle, bounds service.Idempotency) record.Result {
	state, known := s.Keys[cmd.Key]
	if !known || state.Claimant != cmd.Claimant || state.Answer != nil {
		return record.Done{}
	}
	answer := cmd.Answer
	size := int64(len(answer.Body))
	if size > bounds.MaxResultBytes || s.Bytes+size > bounds.MaxBytes {
		answer = record.StoredAnswer{Status: answer.Status, Dropped: true}
		size = 0
	}
	s.Bytes += size
	state.Answer = &answer
	s.Keys[cmd.Key] = state
	return record.Done{}
}

func (s *ServiceLedger) release(cmd record.Release) record.Result {
	state, known := s.Keys[cmd.Key]
	if !known || state.Claimant != cmd.Claimant || state.Answer != nil {
		return record.Done{}
	}
	s.removeKey(cmd.Key)
	s.Order = slices.DeleteFunc(s.Order, func(key string) bool { return key == cmd.Key })
	return record.Done{}
}
