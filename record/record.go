// Package record defines the commands in the replicated log and the results of
// applying them to the state machine.
//
// Commands and results are plain structs behind sealed interfaces. The package is
// part of the core; package jsonform encodes them as JSON. A command contains
// every input that is needed to apply it, including the time, so that all replicas
// reach the same state.
//
// # Usage
//
//	var c record.Command = record.SetDomain{ChangeID: "42", Domain: "catania", Out: true}
//	result := state.Apply(index, c)
package record

import (
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/service"
)

// Command is a change of the replicated state. It is the data of one log entry.
//
//sumtype:decl
type Command interface{ command() }

// Noop changes nothing. It is the command of an entry without data. A new leader
// appends such an entry in order to commit the entries of earlier terms.
type Noop struct{}

// PutDocument replaces a service document if Document.Version is the version in
// force. Version zero creates the document.
type PutDocument struct {
	// ChangeID identifies the change if it is sent again; empty means none.
	ChangeID string           `json:"change_id"`
	Document service.Document `json:"document"`
}

// SetDomain takes a failure domain out of service, or puts it back into service.
type SetDomain struct {
	// ChangeID identifies the change if it is sent again; empty means none.
	ChangeID string `json:"change_id"`
	Domain   string `json:"domain"`
	Out      bool   `json:"out"`
	// AsOf is the log index up to which the state was known when the order was issued. An
	// order is not applied on top of a later change of the domain. Zero means that the
	// order is unconditional.
	AsOf uint64 `json:"as_of,omitempty"`
}

// SetServer drains a server, or ends its draining.
type SetServer struct {
	// ChangeID identifies the change if it is sent again; empty means none.
	ChangeID string `json:"change_id"`
	Server   string `json:"server"`
	Drained  bool   `json:"drained"`
}

// PutConfiguration replaces the whole configuration if its version is higher than
// the one in force. Any other version changes nothing and is not an error, so that
// late and repeated orders do no harm.
type PutConfiguration struct {
	Configuration route.Configuration `json:"configuration"`
	// Original is the order as the operator sent it, byte for byte. Operators
	// can read it back.
	Original []byte `json:"original"`
}

// Retire records that an incarnation of an upstream has deregistered or announced
// that it drains. It applies to all older incarnations as well.
type Retire struct {
	Upstream string `json:"upstream"`
	// Service limits it to the incarnations of a service. It is empty for a deregistration,
	// and in logs of earlier versions, which then apply to all services.
	Service string `json:"service,omitempty"`
	// StartMS is the start time of the incarnation in Unix milliseconds.
	StartMS int64 `json:"born_ms"`
}

// Enroll records incarnations of upstreams. A new leader of the voter group
// thereby knows the fleet immediately, before the upstreams announce themselves
// again.
type Enroll struct {
	Upstreams []fleet.Upstream `json:"upstreams"`
	// AtMS is the proposer's wall clock in Unix milliseconds. It is zero in logs of earlier
	// versions.
	AtMS int64 `json:"at_ms,omitempty"`
}

// Withdraw removes upstreams whose announcements have expired.
type Withdraw struct {
	Upstreams []string `json:"upstreams"`
}

// BeginRollout begins the roll-out of a version of a service, unless another one runs for
// the service. For the version of the service's last roll-out it changes nothing.
type BeginRollout struct {
	// AtMS is the proposer's wall clock in Unix milliseconds.
	AtMS    int64  `json:"at_ms"`
	Service string `json:"service"`
	Target  string `json:"target"`
	// LengthMS is the time until the deadline, in milliseconds.
	LengthMS int64 `json:"length_ms"`
	// AsOf binds the order to the state at that log index: it changes nothing if another
	// roll-out of the service began or ended later. Zero means that it is unconditional.
	AsOf uint64 `json:"as_of,omitempty"`
}

// EndRollout ends a running roll-out.
type EndRollout struct {
	Service string `json:"service"`
	// Index is the log index at which the roll-out began.
	Index uint64 `json:"index"`
	// Completed is false if the roll-out is rolled back, for a Reason.
	Completed bool   `json:"completed"`
	Reason    string `json:"reason,omitempty"`
}

// Claim reserves an idempotency key for one claimant.
type Claim struct {
	// AtMS is the proposer's wall clock in Unix milliseconds.
	AtMS    int64  `json:"at_ms"`
	Service string `json:"service"`
	Key     string `json:"key"`
	// Fingerprint is a hash of the request. It detects a key that is reused for
	// a different request.
	Fingerprint string `json:"fingerprint"`
	// Claimant identifies the instance, its boot and the request. The same
	// claimant may claim again after a lost answer.
	Claimant string `json:"claimant"`
}

// Settle stores the result of a claimed key.
type Settle struct {
	// AtMS is the proposer's wall clock in Unix milliseconds.
	AtMS     int64        `json:"at_ms"`
	Service  string       `json:"service"`
	Key      string       `json:"key"`
	Claimant string       `json:"claimant"`
	Answer   StoredAnswer `json:"answer"`
}

// Release releases a claimed key whose request was certainly not run.
type Release struct {
	// AtMS is the proposer's wall clock in Unix milliseconds.
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
func (BeginRollout) command()     {}
func (EndRollout) command()       {}
func (Claim) command()            {}
func (Settle) command()           {}
func (Release) command()          {}

// StoredAnswer is a server's answer to a request with an idempotency key. It is
// returned again when the request is repeated.
type StoredAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// Dropped is true if the answer was too large to store. The key stays used,
	// but the answer cannot be returned again.
	Dropped bool `json:"dropped,omitempty"`
}

// Result is the result of applying a command.
//
//sumtype:decl
type Result interface{ result() }

// Done means that the command was applied, or that it was not needed: a
// configuration whose version is not higher than the one in force, or a Settle or
// Release of a key that is not claimed by the claimant or has a result.
type Done struct {
	// Index is the log index from which the change is in force. It is zero for
	// commands on idempotency keys.
	Index uint64 `json:"index"`
	// Version is the version of the document or configuration after the change.
	// It is zero for all other commands.
	Version uint64 `json:"version,omitempty"`
}

// VersionConflict means that the document was not replaced, because its version in
// force is not the expected one.
type VersionConflict struct {
	// Current is the version in force, zero if there is no document.
	Current uint64 `json:"current"`
}

// HostConflict means that the document was not replaced, because one of its host
// names belongs to another service.
type HostConflict struct {
	Host    string `json:"host"`
	Service string `json:"service"`
}

// Overtaken means that the order changed nothing, because the domain was changed after the
// state that the order was bound to.
type Overtaken struct {
	// Index is the log index of that change.
	Index uint64 `json:"index"`
}

// RolloutConflict means that the roll-out was not begun, because another one runs for the
// service.
type RolloutConflict struct {
	// Target is the version of the running roll-out.
	Target string `json:"target"`
}

// UnknownService means that the roll-out was not begun, because the configuration does not
// name the service.
type UnknownService struct{}

// Claimed means that the claimant holds the key and may run the request.
type Claimed struct{}

// InProgress means that another claimant holds the key and there is no result
// yet.
type InProgress struct{}

// Replay means that the key already has a result, which is returned again.
type Replay struct {
	Answer StoredAnswer `json:"answer"`
}

// KeyMismatch means that the key was claimed for a different request.
type KeyMismatch struct{}

// LedgerFull means that the ledger of the service holds its maximum number of
// keys.
type LedgerFull struct{}

func (Done) result()            {}
func (Overtaken) result()       {}
func (VersionConflict) result() {}
func (HostConflict) result()    {}
func (RolloutConflict) result() {}
func (UnknownService) result()  {}
func (Claimed) result()         {}
func (InProgress) result()      {}
func (Replay) result()          {}
func (KeyMismatch) result()     {}
func (LedgerFull) result()      {}
