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
	"github.com/oriolepost/oriolepost/allowance"
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
