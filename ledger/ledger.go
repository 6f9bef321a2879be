// Package ledger remembers idempotency keys, so that a non-idempotent call
// runs at most once however often its caller sends it.
//
// A key is claimed before the first byte goes to a server. A claim without a
// result is never run again: only the claimant that knows that its call was
// not run gives the key back. The package is part of the core; its commands
// arrive in the order of the replicated log.
//
// The ledger of each service is bounded by keys, bytes and time as its
// document says. Time is the largest proposer's clock that the log has
// carried, so a clock that steps back can't bring an expired key back.
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

// Ledger holds the keys of all services. Its fields are exported so that a
// snapshot is the struct itself.
type Ledger struct {
	// NowMS is the newest proposer's clock seen, in Unix milliseconds.
	NowMS int64 `json:"now_ms"`
	// Services holds the ledger of each service by name.
	Services map[string]*ServiceLedger `json:"services"`
}

// ServiceLedger holds the keys of one service.
type ServiceLedger struct {
	// Keys holds the state of each key.
	Keys map[string]Key `json:"keys"`
	// Order lists the keys by claim time, oldest first.
	Order []string `json:"order"`
	// Bytes is the size of the stored bodies together.
	Bytes int64 `json:"bytes"`
}

// Key is the state of one idempotency key.
type Key struct {
	Fingerprint string `json:"fingerprint"`
	Claimant    string `json:"claimant"`
	ClaimedMS   int64  `json:"claimed_ms"`
	// Answer is nil as long as the key has no result.
	Answer *record.StoredAnswer `json:"answer,omitempty"`
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{Services: map[string]*ServiceLedger{}} }

// Apply applies a command of the ledger under a service's bounds. Commands of
// the catalog give nil.
func (l *Ledger) Apply(cmd record.Command, bounds service.Idempotency) record.Result {
	switch cmd := cmd.(type) {
	case record.Claim:
		s := l.open(cmd.Service, cmd.AtMS, bounds)
		return s.claim(cmd, l.NowMS, bounds)
	case record.Settle:
		s := l.open(cmd.Service, cmd.AtMS, bounds)
		return s.settle(cmd, bounds)
	case record.Release:
		s := l.open(cmd.Service, cmd.AtMS, bounds)
		return s.release(cmd)
	case record.Noop, record.PutDocument, record.SetDomain, record.SetServer, record.PutConfiguration, record.Retire,
		record.Enroll, record.Withdraw:
		return nil
	}
	return nil
}

// Known answers a claim of a key that the ledger holds already, without any
// change. The second result is false for a key that has to be claimed.
func (l *Ledger) Known(c record.Claim, bounds service.Idempotency) (record.Result, bool) {
	s := l.Services[c.Service]
	if s == nil {
		return nil, false
	}
	k, known := s.Keys[c.Key]
	if !known || k.ClaimedMS <= max(l.NowMS, c.AtMS)-bounds.KeepMS {
		return nil, false
	}
	return k.claimAgain(c), true
}

// open advances the clock and forgets the keys whose time is over.
func (l *Ledger) open(name string, atMS int64, bounds service.Idempotency) *ServiceLedger {
	l.NowMS = max(l.NowMS, atMS)
	s := l.Services[name]
	if s == nil {
		s = &ServiceLedger{Keys: map[string]Key{}}
		l.Services[name] = s
	}
	s.expire(l.NowMS - bounds.KeepMS)
	return s
}

func (s *ServiceLedger) expire(beforeMS int64) {
	n := 0
	for n < len(s.Order) && s.Keys[s.Order[n]].ClaimedMS <= beforeMS {
		s.forget(s.Order[n])
		n++
	}
	s.Order = slices.Delete(s.Order, 0, n)
}

func (s *ServiceLedger) forget(key string) {
	if a := s.Keys[key].Answer; a != nil {
		s.Bytes -= int64(len(a.Body))
	}
	delete(s.Keys, key)
}

func (s *ServiceLedger) claim(c record.Claim, nowMS int64, bounds service.Idempotency) record.Result {
	k, known := s.Keys[c.Key]
	if known {
		return k.claimAgain(c)
	}
	if len(s.Keys) >= bounds.MaxKeys {
		return record.LedgerFull{}
	}
	s.Keys[c.Key] = Key{Fingerprint: c.Fingerprint, Claimant: c.Claimant, ClaimedMS: nowMS}
	s.Order = append(s.Order, c.Key)
	return record.Claimed{}
}

func (k Key) claimAgain(c record.Claim) record.Result {
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

func (s *ServiceLedger) settle(c record.Settle, bounds service.Idempotency) record.Result {
	k, known := s.Keys[c.Key]
	if !known || k.Claimant != c.Claimant || k.Answer != nil {
		return record.Done{}
	}
	a := c.Answer
	size := int64(len(a.Body))
	if size > bounds.MaxResultBytes || s.Bytes+size > bounds.MaxBytes {
		a = record.StoredAnswer{Status: a.Status, Dropped: true}
		size = 0
	}
	s.Bytes += size
	k.Answer = &a
	s.Keys[c.Key] = k
	return record.Done{}
}

func (s *ServiceLedger) release(c record.Release) record.Result {
	k, known := s.Keys[c.Key]
	if !known || k.Claimant != c.Claimant || k.Answer != nil {
		return record.Done{}
	}
	s.forget(c.Key)
	s.Order = slices.DeleteFunc(s.Order, func(key string) bool { return key == c.Key })
	return record.Done{}
}
