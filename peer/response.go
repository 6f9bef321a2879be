package peer

import (
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
