// Package peer carries the messages between the system's own instances, as
// JSON-RPC 2.0 over TCP, with mutual TLS.
//
// [Request] and [Response] are sealed interfaces of plain structs; their JSON
// form is in wire.go. A [Server] is a task that owns the accepted
// connections. A [Pool] is a task that owns one link for each address; a link
// is a task that owns one connection and dials it anew when it breaks.
// Mailboxes are bounded: a message for a full one is dropped and counted, and
// its sender gets an [OverloadError].
//
// # Usage
//
//	pool := peer.NewPool(ctx, peer.Options{})
//	response, err := pool.Call(ctx, "127.0.0.1:7001", peer.ReportRequest{Report: report})
package peer

import (
	"fmt"

	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/slot"
)

// Request is what one instance asks or tells another.
//
//sumtype:decl
type Request interface{ request() }

// ReplicaMessage carries a message of the replicated log. It has no response.
type ReplicaMessage struct {
	// From and To are replica identities.
	From    string
	To      string
	Message replica.Message
}

// ReportRequest brings an entry's report to the slot owner.
type ReportRequest struct{ Report slot.Report }

// ProposeRequest asks the leader to commit a command.
type ProposeRequest struct {
	Command record.Command
	// TraceParent is the W3C trace context of the call.
	TraceParent string
}

// BorrowRequest asks an entry for a slot for one call.
type BorrowRequest struct {
	From        string `json:"from"`
	Token       uint64 `json:"token"`
	Service     string `json:"service"`
	TraceParent string `json:"trace_parent,omitempty"`
}

// ReturnRequest gives a borrowed slot back. It has no response.
type ReturnRequest struct {
	From  string `json:"from"`
	Token uint64 `json:"token"`
}

// PokeRequest asks an entry to report at once. It has no response.
type PokeRequest struct{}

// IdentifyRequest asks an instance with a disk for its replica identity.
type IdentifyRequest struct{}

// JoinRequest offers the leader an instance with a disk as a replica.
type JoinRequest struct {
	Instance  string `json:"instance"`
	ReplicaID string `json:"replica_id"`
	Domain    string `json:"failure_domain"`
}

// StatusRequest asks the leader for the state of the system.
type StatusRequest struct{}

// ConfirmRequest asks the leader whether a configuration is in force.
type ConfirmRequest struct {
	Index uint64 `json:"index"`
}

// AnnounceRequest brings an upstream's announcement to the leader.
type AnnounceRequest struct {
	Upstream fleet.Upstream `json:"upstream"`
	// Sequence is the announcement's number within its incarnation.
	Sequence uint64 `json:"sequence"`
	// Leaving is true when the upstream deregisters; only the id and, if
	// given, the start time count then.
	Leaving bool `json:"leaving,omitempty"`
}

// RenewRequest brings the leader the announcements that another control
// instance has gathered. It has no response; what is lost comes again.
type RenewRequest struct {
	Announcements []AnnounceRequest `json:"announcements,omitempty"`
	// Heard are the ids of upstreams that said nothing new.
	Heard []string `json:"heard,omitempty"`
}

// ReadRequest asks the leader for the newest configuration.
type ReadRequest struct{}

// WatchRequest asks the leader for what changed since a view. The answer
// comes when there is news, or after a pause.
type WatchRequest struct {
	// Entry is the instance that asks.
	Entry string `json:"entry"`
	// Epoch and Revision name the view that the entry has.
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	// FleetRevision is the part of the revision that counts upstreams.
	FleetRevision uint64 `json:"fleet_revision"`
	// Version is the configuration that the entry follows.
	Version uint64 `json:"version"`
	// Settled is true when the entry knows that the view is complete.
	Settled bool `json:"settled,omitempty"`
	// Index and Count are the entry's place among the entries as last told.
	Index int `json:"index"`
	Count int `json:"count"`
}

func (AnnounceRequest) request() {}
func (RenewRequest) request()    {}
func (ReadRequest) request()     {}
func (WatchRequest) request()    {}
func (ReplicaMessage) request()  {}
func (ReportRequest) request()   {}
func (ProposeRequest) request()  {}
func (BorrowRequest) request()   {}
func (ReturnRequest) request()   {}
func (PokeRequest) request()     {}
func (IdentifyRequest) request() {}
func (JoinRequest) request()     {}
func (StatusRequest) request()   {}
func (ConfirmRequest) request()  {}

// Response answers a request.
//
//sumtype:decl
type Response interface{ response() }

// Nothing answers requests that need no answer.
type Nothing struct{}

// ReportResponse answers a ReportRequest.
type ReportResponse struct {
	Reply slot.Reply `json:"reply"`
}

// ProposeResponse answers a ProposeRequest.
type ProposeResponse struct{ Result record.Result }

// BorrowResponse answers a BorrowRequest; Loan is nil without a free slot.
type BorrowResponse struct {
	Loan *entry.Loan `json:"loan,omitempty"`
}

// IdentifyResponse answers an IdentifyRequest.
type IdentifyResponse struct {
	Instance  string `json:"instance"`
	ReplicaID string `json:"replica_id"`
	// Members is set when the instance belongs to a formed system.
	Members *replica.Members `json:"members,omitempty"`
}

// ConfirmResponse answers a ConfirmRequest.
type ConfirmResponse struct {
	InForce bool `json:"in_force"`
}

// StatusResponse answers a StatusRequest.
type StatusResponse struct {
	Leader  string          `json:"leader"`
	Term    uint64          `json:"term"`
	Index   uint64          `json:"index"`
	Members replica.Members `json:"members"`
	// Silent lists the voters that do not answer the leader.
	Silent  []string          `json:"silent,omitempty"`
	Catalog *catalog.Catalog  `json:"catalog"`
	Entries []slot.EntryView  `json:"entries"`
	Servers []slot.ServerView `json:"servers"`
	// LedgerKeys counts the idempotency keys of each service.
	LedgerKeys map[string]int `json:"ledger_keys,omitempty"`
}

// ReadResponse answers a ReadRequest.
type ReadResponse struct {
	// Original is the newest configuration as it was sent; empty when there
	// is none yet.
	Original []byte `json:"original,omitempty"`
}

// WatchResponse answers a WatchRequest.
type WatchResponse struct {
	// Epoch is the leader's term; revisions of two epochs don't compare.
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	// Index and Count are the entry's place among the entries.
	Index int `json:"index"`
	Count int `json:"count"`
	// View is an encoded [View]; empty when the entry's is the newest. It is
	// encoded once for all entries that lack the same.
	View []byte `json:"view,omitempty"`
}

// View is what entries follow, or what changed of it.
type View struct {
	FleetRevision uint64 `json:"fleet_revision"`
	// Full is true when Upstreams lists all that the leader knows.
	Full bool `json:"full,omitempty"`
	// Settled is true when the leader has led for long enough to know all.
	Settled   bool             `json:"settled,omitempty"`
	Upstreams []fleet.Upstream `json:"upstreams,omitempty"`
	Removed   []string         `json:"removed,omitempty"`
	// OutDomains are the failure domains that operators took out.
	OutDomains []string `json:"out_domains,omitempty"`
	// Configuration is set when it is newer than the entry's.
	Configuration *route.Configuration `json:"configuration,omitempty"`
	// Control lists the instances that hold the replicated log.
	Control []string `json:"control,omitempty"`
}

func (ReadResponse) response()     {}
func (WatchResponse) response()    {}
func (Nothing) response()          {}
func (ReportResponse) response()   {}
func (ProposeResponse) response()  {}
func (BorrowResponse) response()   {}
func (IdentifyResponse) response() {}
func (ConfirmResponse) response()  {}
func (StatusResponse) response()   {}

// RefusedError is the answer of an instance that will not do what was asked.
type RefusedError struct {
	// Code is one of the Code constants.
	Code int64
	// Reason says why in words.
	Reason string
	// Leader is the leader's instance, if it is known.
	Leader string
}

// The codes of a RefusedError.
const (
	// CodeNotLeader means that another instance leads; nothing was done.
	CodeNotLeader int64 = 1
	// CodeBusy means that a mailbox was full; nothing was done.
	CodeBusy int64 = 2
	// CodeLost means that the leader changed while a proposal was under way;
	// it may or may not be committed.
	CodeLost int64 = 3
	// CodeMalformed means that the request could not be read.
	CodeMalformed int64 = 4
)

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Leader != "" {
		return fmt.Sprintf("refused: %s (leader %s)", e.Reason, e.Leader)
	}
	return "refused: " + e.Reason
}

// OverloadError says that a mailbox was full.
type OverloadError struct{ Address string }

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("too many messages wait for %s", e.Address)
}

// UnreachableError says that there is no connection to an instance.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("instance at %s is not reachable: %v", e.Address, e.Cause)
}

// Unwrap gives the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
