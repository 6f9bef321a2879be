// Package peer carries the messages between the system's own instances, as
// JSON-RPC 2.0 over TCP with mutual TLS.
//
// [Request] and [Response] are sealed interfaces of plain structs. Their JSON
// form is in wire.go. A [Server] is a task that owns the accepted connections. A
// [Pool] is a task that owns one link for each address. A link is a task that
// owns one connection and dials again after the connection has failed. Mailboxes
// are bounded: a message for a full mailbox is dropped and counted, and its
// sender gets an [OverloadError]. [LeaderClient] finds the leader among the
// control instances, which store the replicated log on disk.
//
// # Usage
//
//	pool := peer.NewPool(ctx, peer.Options{})
//	response, err := pool.Call(ctx, "127.0.0.1:7001", peer.ReportRequest{Report: report})
package peer

import (
	"fmt"

	"github.com/oriolepost/oriolepost/allowance"
	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/quota"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/rollout"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/slot"
)

// Request is a request or a notification from one instance to another.
//
//sumtype:decl
type Request interface{ request() }

// ReplicaMessage carries a message of the replicated log. It has no response.
type ReplicaMessage struct {
	// From and To are replica identities.
	From    string
	To      string
	Message replica.Message
	// Large is that of [replica.Send]. It is not transmitted.
	Large bool
}

// ReportRequest delivers an entry's report to the slot owner.
type ReportRequest struct{ Report slot.Report }

// ProposeRequest asks the leader to commit a command to the replicated log.
type ProposeRequest struct {
	Command record.Command
	// TraceParent is the W3C trace context of the call.
	TraceParent string
}

// BorrowRequest asks an entry to lend a slot for one call.
type BorrowRequest struct {
	From        string `json:"from"`
	Token       uint64 `json:"token"`
	Service     string `json:"service"`
	TraceParent string `json:"trace_parent,omitempty"`
}

// ReturnRequest returns a borrowed slot. It has no response.
type ReturnRequest struct {
	From  string `json:"from"`
	Token uint64 `json:"token"`
}

// ReportNowRequest asks an entry to send its report immediately. It has no
// response.
type ReportNowRequest struct{}

// IdentifyRequest asks a control instance for its replica identity.
type IdentifyRequest struct{}

// JoinRequest asks the leader to register a control instance as a standby, which
// may become a replica.
type JoinRequest struct {
	Instance  string `json:"instance"`
	ReplicaID string `json:"replica_id"`
	Domain    string `json:"failure_domain"`
}

// LeaveRequest tells the leader that a replica is about to stop, so that a standby takes over
// its vote. It is repeated until the answer says that the replica may stop.
type LeaveRequest struct {
	ReplicaID string `json:"replica_id"`
}

// StatusRequest asks the leader for the state of the system.
type StatusRequest struct{}

// ConfirmRequest asks the leader whether a configuration is in force.
type ConfirmRequest struct {
	// Index is the log index of the change.
	Index uint64 `json:"index"`
}

// AnnounceRequest delivers an upstream's announcement to a control instance.
type AnnounceRequest struct {
	Upstream fleet.Upstream `json:"upstream"`
	// Sequence is the announcement's number within its incarnation.
	Sequence uint64 `json:"sequence"`
	// Leaving is true when the upstream deregisters. Only its id and its start
	// time, if given, are used then.
	Leaving bool `json:"leaving,omitempty"`
}

// RenewRequest forwards to the leader the announcements that another control
// instance has collected. It has no response: if it is lost, the upstreams'
// next announcements replace it.
type RenewRequest struct {
	Announcements []AnnounceRequest `json:"announcements,omitempty"`
	// Renewed are the ids of upstreams whose announcements changed nothing and
	// only extend their lifetime.
	Renewed []string `json:"heard,omitempty"`
}

// ReadRequest asks the leader for the newest configuration, and for the log index up to
// which the leader has applied everything that was acknowledged.
type ReadRequest struct {
	// IndexOnly is true when the response needs no configuration.
	IndexOnly bool `json:"index_only,omitempty"`
}

// IncarnationRequest asks a control instance for the newest incarnation of an upstream that
// it knows. An instance that knows none refuses it, unless it leads.
type IncarnationRequest struct {
	Upstream string `json:"upstream"`
}

// RolloutRequest asks the leader for the newest roll-out of a service.
type RolloutRequest struct {
	Service string `json:"service"`
}

// WatchRequest asks the leader for the changes since a view. The response comes
// when there is a change, or after a timeout.
type WatchRequest struct {
	// Entry is the instance that sends the request.
	Entry string `json:"entry"`
	// Epoch and Revision identify the view that the entry has.
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	// Source identifies the relay whose revisions the view has. It is empty if they are
	// those of a leader.
	Source string `json:"source,omitempty"`
	// FleetRevision is the revision of the upstreams in the entry's view.
	FleetRevision uint64 `json:"fleet_revision"`
	// Version is the version of the configuration that the entry follows, or none.
	Version route.OptionalVersion `json:"version,omitzero"`
	// FleetComplete is the value of View.FleetComplete in the entry's view.
	FleetComplete bool `json:"settled,omitempty"`
	// Index and Count are the entry's position among the entries and their
	// number, as last reported by the leader.
	Index int `json:"index"`
	Count int `json:"count"`
	// Followers is the number of entries that follow the instance that answered last, as
	// it reported. It tells both sides for how long the watch may wait.
	Followers int `json:"followers,omitempty"`
	// Compares is true when the entry can answer WatchResponse.DigestWanted. Entries
	// of earlier versions get full views.
	Compares bool `json:"compares,omitempty"`
	// Digest is the encoded [fleet.Digest] of the upstreams that the entry knows. It
	// is set after the leader asked for it, until the entry gets a view.
	Digest string `json:"digest,omitempty"`
	// Quarantine is the Quarantine.ID of the entry's view.
	Quarantine string `json:"quarantine,omitempty"`
	// Relay is set if a relay sends the watch, which then is not an entry.
	Relay *Relay `json:"relay,omitempty"`
	// Counts is what the entry, or the entries of the relay, counted in running roll-outs
	// since the last watch that was answered.
	Counts *Counts `json:"counts,omitempty"`
	// Usages is what the entry, or the entries of the relay, counted for workspaces with a
	// quota since the last watch that was answered.
	Usages *Usages `json:"usages,omitempty"`
}

// Counts holds a report for each running roll-out in which something was counted.
type Counts struct {
	Reports []rollout.Report `json:"reports"`
}

// Usages holds the usage of each workspace that sent a request.
type Usages struct {
	List []quota.Usage `json:"list"`
}

// Relay is what a relay reports to the leader: a control instance that passes the leader's
// view on to entries.
type Relay struct {
	// Entries are the names of the entries that follow the relay.
	Entries []string `json:"entries,omitempty"`
}

// SuspectRequest reports the upstreams that may have crashed under a content, or a response
// to such a content, to the leader. Any control instance passes it on. It is safe to repeat.
type SuspectRequest struct {
	Sightings []quarantine.Sighting `json:"sightings"`
	// Relayed is true if a control instance passes the request on. It is not passed on
	// again.
	Relayed bool `json:"relayed,omitempty"`
}

// QuarantineProbeRequest asks the leader whether one request with a quarantined content may
// be sent. Any control instance passes it on.
type QuarantineProbeRequest struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	Relayed     bool                   `json:"relayed,omitempty"`
}

// CopyRequest asks any control instance for its copy of the view. The copy may be
// older than the leader's view. An entry that has none yet takes a copy first, so
// that the leader has to send it only the differences.
type CopyRequest struct{}

// Group is what an instance knows of the voter group.
type Group struct {
	// Term is the term of the leader.
	Term uint64 `json:"term"`
	// Leader is the instance of the leader.
	Leader string `json:"leader"`
	// Members are the replica IDs of the voters and learners as of Index, the index of a
	// committed entry of the log.
	Members []string `json:"members"`
	Index   uint64   `json:"index"`
}

// GroupNotice tells an instance of the voter group. The leader sends it to the seeds
// again and again: one that has lost its disk, or was replaced while it was cut off, does
// not know the group, and those that know only the seeds ask it. It has no response.
type GroupNotice struct{ Group Group }

func (AnnounceRequest) request()        {}
func (GroupNotice) request()            {}
func (CopyRequest) request()            {}
func (RenewRequest) request()           {}
func (ReadRequest) request()            {}
func (IncarnationRequest) request()     {}
func (WatchRequest) request()           {}
func (ReplicaMessage) request()         {}
func (ReportRequest) request()          {}
func (ProposeRequest) request()         {}
func (BorrowRequest) request()          {}
func (ReturnRequest) request()          {}
func (ReportNowRequest) request()       {}
func (IdentifyRequest) request()        {}
func (JoinRequest) request()            {}
func (LeaveRequest) request()           {}
func (StatusRequest) request()          {}
func (ConfirmRequest) request()         {}
func (SuspectRequest) request()         {}
func (QuarantineProbeRequest) request() {}

// AllowanceRequest carries an entry's report to the owner of the limits on sums over all
// entries, who is at the leader. A relay passes it on.
type AllowanceRequest struct{ Report allowance.Report }

func (AllowanceRequest) request() {}
func (RolloutRequest) request()   {}

// Response is the response to a request.
//
//sumtype:decl
type Response interface{ response() }

// Nothing is the empty response, which only acknowledges a request.
type Nothing struct{}

// ReportResponse answers a ReportRequest.
type ReportResponse struct {
	Reply slot.Reply `json:"reply"`
}

// ProposeResponse answers a ProposeRequest.
type ProposeResponse struct{ Result record.Result }

// BorrowResponse answers a BorrowRequest. Loan is nil when no slot is free.
type BorrowResponse struct {
	Loan *entry.Loan `json:"loan,omitempty"`
}

// IdentifyResponse answers an IdentifyRequest.
type IdentifyResponse struct {
	Instance  string `json:"instance"`
	ReplicaID string `json:"replica_id"`
	// Members is set when the instance belongs to a bootstrapped voter group.
	Members *replica.Members `json:"members,omitempty"`
	// Known lists the instances that may belong to the voter group.
	Known []string `json:"known,omitempty"`
	// InitialSeeds are the seeds that the settings named at the instance's start.
	InitialSeeds []string `json:"initial_seeds,omitempty"`
	// InitialVoter is true while the instance may be an initial voter of a new group.
	InitialVoter bool `json:"initial_voter,omitempty"`
}

// JoinResponse answers a JoinRequest.
type JoinResponse struct{ Group Group }

// LeaveResponse answers a LeaveRequest. Done is true when the replica may stop: it is no voter
// any more, or there is no standby that could replace it.
type LeaveResponse struct {
	Done bool `json:"done"`
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
	// LedgerKeys is the number of idempotency keys by service.
	LedgerKeys map[string]int `json:"ledger_keys,omitempty"`
}

// ReadResponse answers a ReadRequest.
type ReadResponse struct {
	// Original is the newest configuration, byte for byte as it was submitted.
	// It is empty when there is none yet.
	Original []byte `json:"original,omitempty"`
	// Index is a log index. Everything that was acknowledged before the request has this
	// index or a lower one.
	Index uint64 `json:"index,omitempty"`
}

// IncarnationResponse answers an IncarnationRequest.
type IncarnationResponse struct {
	// StartMS is the start time of the incarnation in Unix milliseconds, and zero if none
	// is known.
	StartMS int64 `json:"born_ms"`
}

// RolloutResponse answers a RolloutRequest. Rollout is nil if the service has had none.
type RolloutResponse struct {
	Rollout *catalog.Rollout `json:"rollout,omitempty"`
}

// WatchResponse answers a WatchRequest.
type WatchResponse struct {
	// Epoch is the leader's term. Revisions of different epochs are not
	// comparable.
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	// Index and Count are the entry's position among the entries and their
	// number.
	Index int `json:"index"`
	Count int `json:"count"`
	// Followers is the number of entries that follow the instance that answers.
	Followers int `json:"followers,omitempty"`
	// Source identifies the relay that answers. It is empty if the leader does.
	Source string `json:"source,omitempty"`
	// AgeMS is the time, in milliseconds, since the leader confirmed to a relay what the
	// relay knows.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Indexes are the positions of the entries that a relay has reported, in the same
	// order, and -1 for those that are not counted yet.
	Indexes []int `json:"indexes,omitempty"`
	// View is an encoded [View]. It is empty when the entry has the newest one.
	// It is encoded once for all entries that lack the same changes.
	View []byte `json:"view,omitempty"`
	// ProofAgeMS is how long ago, at most, the leader proved that it had a majority and so
	// everything that was acknowledged, counted from the answer. It is zero if the answer
	// proves nothing.
	ProofAgeMS int64 `json:"proof_age_ms,omitempty"`
	// DigestWanted is true when the leader needs the entry's digest to tell what the
	// entry lacks. Besides, only Epoch is set then.
	DigestWanted bool `json:"digest_wanted,omitempty"`
}

// CopyResponse answers a CopyRequest.
type CopyResponse struct {
	// View is an encoded full [View].
	View []byte `json:"view"`
}

// QuarantineProbeResponse answers a QuarantineProbeRequest.
type QuarantineProbeResponse struct {
	Allowed bool `json:"allowed"`
	// AskAgainMS is the time, in milliseconds, before which no other probe of the content
	// is allowed.
	AskAgainMS int64 `json:"ask_again_ms"`
}

// Quarantine lists the contents that all entries must know of. A view without one changes
// nothing.
type Quarantine struct {
	// ID identifies the list; it is that of the leader, also in the views of relays.
	ID       string               `json:"id"`
	Listings []quarantine.Listing `json:"listings,omitempty"`
}

// View is the state that entries follow, or the changes to it since a revision.
type View struct {
	FleetRevision uint64 `json:"fleet_revision"`
	// Full is true when Upstreams lists all upstreams that the leader knows, and
	// not only the changed ones.
	Full bool `json:"full,omitempty"`
	// Buckets are the buckets of the fleet's digest that Upstreams lists completely.
	// It is set in the answer to a watch with a digest.
	Buckets []int `json:"buckets,omitempty"`
	// FleetComplete is true when the leader has led for one announcement
	// lifetime: by then every live upstream has announced itself, so the fleet
	// is complete.
	FleetComplete bool             `json:"settled,omitempty"`
	Upstreams     []fleet.Upstream `json:"upstreams,omitempty"`
	Removed       []string         `json:"removed,omitempty"`
	// OutDomains are the failure domains that operators took out of service.
	OutDomains []string `json:"out_domains,omitempty"`
	// Configuration is set when it is newer than the entry's.
	Configuration *route.Configuration `json:"configuration,omitempty"`
	// Control lists the names of the control instances, which store the
	// replicated log.
	Control []string `json:"control,omitempty"`
	// Quarantine is set when it is another one than the entry's.
	Quarantine *Quarantine `json:"quarantine,omitempty"`
	// Splits say which versions of services entries may use. A service without a split has
	// no restriction.
	Splits []rollout.Split `json:"splits,omitempty"`
	// Shares has the workspaces that would exceed their quotas at the moment.
	Shares []quota.Share `json:"shares,omitempty"`
}

func (RolloutResponse) response() {}

func (ReadResponse) response()            {}
func (IncarnationResponse) response()     {}
func (WatchResponse) response()           {}
func (CopyResponse) response()            {}
func (JoinResponse) response()            {}
func (LeaveResponse) response()           {}
func (Nothing) response()                 {}
func (ReportResponse) response()          {}
func (ProposeResponse) response()         {}
func (BorrowResponse) response()          {}
func (IdentifyResponse) response()        {}
func (ConfirmResponse) response()         {}
func (StatusResponse) response()          {}
func (QuarantineProbeResponse) response() {}

// AllowanceResponse answers an AllowanceRequest.
type AllowanceResponse struct{ Reply allowance.Reply }

func (AllowanceResponse) response() {}

// RefusedError is the error response of an instance that refused a request.
type RefusedError struct {
	// Code is one of the Code constants.
	Code int64
	// Reason is the cause in words.
	Reason string
	// Leader is the instance of the leader, or empty when it is not known.
	Leader string
	// Members are the instances that may know the leader. It is set when Leader is
	// not.
	Members []string
}

// The codes of a RefusedError.
const (
	// CodeNotLeader means that the instance is not the leader; nothing was done.
	CodeNotLeader int64 = 1
	// CodeBusy means that the instance did not take the request, for example
	// because a mailbox was full; nothing was done.
	CodeBusy int64 = 2
	// CodeLost means that the leader changed while a proposal was pending. The
	// proposal may or may not be committed.
	CodeLost int64 = 3
	// CodeMalformed means that the request could not be decoded, or that the
	// instance does not handle its kind.
	CodeMalformed int64 = 4
)

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Leader != "" {
		return fmt.Sprintf("refused: %s (leader %s)", e.Reason, e.Leader)
	}
	return "refused: " + e.Reason
}

// OverloadError reports that a mailbox of the pool was full and the message was
// dropped. Address is the receiver.
type OverloadError struct{ Address string }

// Error implements error.
func (e *OverloadError) Error() string {
	return fmt.Sprintf("too many messages wait for %s", e.Address)
}

// UnreachableError reports that an instance did not respond: connecting failed,
// or the connection or the context ended first.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("instance at %s is not reachable: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }
