// Package record holds the commands that the replicated log carries, and the
// results that applying them gives.
//
// Both are sealed interfaces of plain structs. The package is part of the
// core; the JSON form of commands and results is the work of package
// jsonform. A command carries every input that applying it needs, the time
// included, so that all replicas reach the same state.
//
// # Usage
//
//	var c record.Command = record.SetDomain{ChangeID: "42", Domain: "catania", Out: true}
//	result := catalog.Apply(c)
package record

import (
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/service"
)

// Command is one entry of the replicated log.
//
//sumtype:decl
type Command interface{ command() }

// Noop is committed by a new leader to commit the entries of earlier terms.
type Noop struct{}

// PutDocument replaces a service document if Document.Version is the version
// that is in force.
type PutDocument struct {
	ChangeID string           `json:"change_id"`
	Document service.Document `json:"document"`
}

// SetDomain takes a failure domain out, or back in.
type SetDomain struct {
	ChangeID string `json:"change_id"`
	Domain   string `json:"domain"`
	Out      bool   `json:"out"`
}

// SetServer drains a server, or takes it back.
type SetServer struct {
	ChangeID string `json:"change_id"`
	Server   string `json:"server"`
	Drained  bool   `json:"drained"`
}

// PutConfiguration replaces the whole configuration if its version is higher
// than the one in force. Any other version changes nothing and is no error, so
// that late and repeated orders are harmless.
type PutConfiguration struct {
	Configuration route.Configuration `json:"configuration"`
	// Original is the order as the operator sent it, for reading it back.
	Original []byte `json:"original"`
}

// Retire records that an upstream's incarnation, and all before it, leaves.
type Retire struct {
	Upstream string `json:"upstream"`
	BornMS   int64  `json:"born_ms"`
}

// Enroll records upstreams' incarnations, so that the fleet is known again
// as soon as the group has a leader, before the upstreams announce themselves.
type Enroll struct {
	Upstreams []fleet.Upstream `json:"upstreams"`
}

// Withdraw records that upstreams were not heard of for too long.
type Withdraw struct {
	Upstreams []string `json:"upstreams"`
}

// Claim reserves an idempotency key for one claimant.
type Claim struct {
	// AtMS is the proposer's wall clock in Unix milliseconds.
	AtMS        int64  `json:"at_ms"`
	Service     string `json:"service"`
	Key         string `json:"key"`
	Fingerprint string `json:"fingerprint"`
	// Claimant names the instance, its boot and the call. The same claimant
	// may claim again after a lost answer.
	Claimant string `json:"claimant"`
}

// Settle stores the result of a claimed key.
type Settle struct {
	AtMS     int64        `json:"at_ms"`
	Service  string       `json:"service"`
	Key      string       `json:"key"`
	Claimant string       `json:"claimant"`
	Answer   StoredAnswer `json:"answer"`
}

// Release gives back a claimed key whose call was certainly not run.
type Release struct {
	AtMS     int64  `json:"at_ms"`
	Service  string `json:"service"`
	Key      string `json:"key"`
	Claimant string `json:"claimant"`
}

func (Noop) command()             {}
func (PutDocument) command()      {}
func (SetDomain) command()        {}
func (SetServer) command()        {}
func (PutConfiguration) command() {}
func (Enroll) command()           {}
func (Withdraw) command()         {}
func (Retire) command()           {}
func (Claim) command()            {}
func (Settle) command()           {}
func (Release) command()          {}

// StoredAnswer is a server's answer as it is played back.
type StoredAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Dropped is true when the answer was too large to keep. Such a key
	// stays used, but its answer can't be played back.
	Dropped bool `json:"dropped,omitempty"`
}

// Result is what applying a command gave.
//
//sumtype:decl
type Result interface{ result() }

// Done means that the command changed the state, or repeated a change.
type Done struct {
	// Index is the log index from which the change is in force.
	Index uint64 `json:"index"`
	// Version is the document's version after the change, zero for commands
	// without a document.
	Version uint64 `json:"version,omitempty"`
}

// VersionConflict means that the document has another version.
type VersionConflict struct {
	Current uint64 `json:"current"`
}

// HostConflict means that another service has the host name.
type HostConflict struct {
	Host    string `json:"host"`
	Service string `json:"service"`
}

// Claimed means that the claimant may run the call.
type Claimed struct{}

// InProgress means that another claimant holds the key without a result.
type InProgress struct{}

// Replay means that the key has a result, which is played back.
type Replay struct {
	Answer StoredAnswer `json:"answer"`
}

// KeyMismatch means that the key belongs to a different request.
type KeyMismatch struct{}

// LedgerFull means that the service's ledger takes no more keys.
type LedgerFull struct{}

func (Done) result()            {}
func (VersionConflict) result() {}
func (HostConflict) result()    {}
func (Claimed) result()         {}
func (InProgress) result()      {}
func (Replay) result()          {}
func (KeyMismatch) result()     {}
func (LedgerFull) result()      {}
