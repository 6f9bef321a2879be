// Package state is the replicated state machine. It consists of the catalog, which
// holds the configuration, and the ledger of idempotency keys.
//
// The package is part of the core. Replicas that apply the same commands in the
// same order hold the same state. A snapshot is the struct itself, encoded as
// JSON.
//
// # Usage
//
//	s := state.New()
//	result := s.Apply(entry.Index, command)
package state

import (
	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/ledger"
	"github.com/oriolepost/oriolepost/record"
)

// State is the state after applying the log entries up to Applied.
type State struct {
	// Applied is the index of the last entry that was applied.
	Applied uint64           `json:"applied"`
	Catalog *catalog.Catalog `json:"catalog"`
	Ledger  *ledger.Ledger   `json:"ledger"`
}

// New returns the empty state, before the first log entry.
func New() *State { return &State{Catalog: catalog.New(), Ledger: ledger.New()} }

// Apply applies the committed command at a log index and returns its result.
// Commands on idempotency keys use the limits of their service's document.
func (s *State) Apply(index uint64, cmd record.Command) record.Result {
	s.Applied = index
	switch c := cmd.(type) {
	case record.Noop:
		return record.Done{Index: index}
	case record.PutDocument, record.SetDomain, record.SetServer, record.PutConfiguration, record.Retire,
		record.Enroll, record.Withdraw, record.BeginRollout, record.EndRollout:
		return s.Catalog.Apply(index, cmd)
	case record.Claim:
		return s.Ledger.Apply(cmd, s.Catalog.Documents[c.Service].Idempotency)
	case record.Settle:
		return s.Ledger.Apply(cmd, s.Catalog.Documents[c.Service].Idempotency)
	case record.Release:
		return s.Ledger.Apply(cmd, s.Catalog.Documents[c.Service].Idempotency)
	}
	return record.Done{Index: index}
}
