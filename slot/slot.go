// Package slot leases the servers' slots to the entry instances. A slot is the
// right to run one call at a time on one server.
//
// One slot owner, the leader of the replicated log, knows how many concurrent
// calls each server can handle. It splits that number among the entries as
// short leases. An entry sends a call only on a slot that it holds, so the sum
// over all entries stays within the server's limit without any coordination
// between the entries. A lease ends by itself: an entry that receives no
// replies stops sending calls.
//
// An entry sends a [Report] and gets a [Reply], one exchange at a time.
// Whenever a report arrives, the owner knows exactly what the entry may hold,
// because the entry has either applied the last reply or discarded it for good.
// The lease counts from when the report was sent, by the entry's clock. It ends
// later by the owner's clock, since the owner counts from the receipt of the
// report.
//
// When an entry disappears, its slots are granted again only after its lease
// has ended and the longest call that it may have started is over.
//
// The package is part of the core: it does no input or output. [Owner.Step]
// takes the time and an event and returns effects.
//
// # Usage
//
//	o := slot.NewOwner()
//	effects := o.Step(now, slot.ReportReceived{Report: report})
package slot

import (
	"time"

	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/service"
)

const (
	// LeaseDuration is the duration of a lease, counted from when the entry sent
	// the report that was answered.
	LeaseDuration = 2 * time.Second
	// MaxClockDrift is the largest difference that clock drift can cause between
	// the owner's and an entry's clock during one lease.
	MaxClockDrift = LeaseDuration / 50
)

// Holding is the number of slots that an entry holds on one server.
type Holding struct {
	Server string `json:"server"`
	// Slots counts the held slots, those in use included.
	Slots int `json:"slots"`
	// InUse counts the slots that are taken by running or canceled attempts, loans
	// and probes.
	InUse int `json:"in_use,omitempty"`
	// Info is the server's announcement, set in full reports only.
	Info *membership.Announcement `json:"info,omitempty"`
}

// Observation is what an entry observed of a server since its last report.
type Observation struct {
	Server string `json:"server"`
	BootID string `json:"boot_id"`
	// Answers counts the successful answers. MeanServiceTimeUS is their mean
	// service time in microseconds.
	Answers           int   `json:"answers,omitempty"`
	MeanServiceTimeUS int64 `json:"mean_us,omitempty"`
	// Sheds counts the calls that the server shed. ConsecutiveSheds is the
	// longest run of consecutive shed calls.
	Sheds            int `json:"sheds,omitempty"`
	ConsecutiveSheds int `json:"shed_run,omitempty"`
	// ConnectionLost is true when the server closed a connection.
	ConnectionLost bool `json:"lost,omitempty"`
	// Probed counts the probes that ended.
	Probed int `json:"probed,omitempty"`
}

// Demand is an entry's demand for slots of one service: InUse counts its running
// attempts, those on borrowed slots included, and Waiting its queued calls.
type Demand struct {
	InUse  int `json:"in_use,omitempty"`
	Queued int `json:"waiting,omitempty"`
}

// Report is the state that an entry sends to the owner.
type Report struct {
	Entry string `json:"entry"`
	// BootID differs each time the entry starts.
	BootID string `json:"boot_id"`
	// Seq grows with each report of a boot.
	Seq uint64 `json:"seq"`
	// Full is true when the entry has not applied a reply of this owner yet,
	// discarded a reply that did not arrive in time, or lacks the description
	// of a granted server.
	Full bool `json:"full,omitempty"`
	// Address is the host:port at which other entries reach this one.
	Address string `json:"address,omitempty"`
	// Domain is the entry's failure domain.
	Domain string `json:"failure_domain,omitempty"`
	// Leaving is true when the entry shuts down and wants no more slots.
	Leaving bool `json:"leaving,omitempty"`
	// LeaseExpired is true when the entry's lease has ended. Its holdings are then
	// only calls that still run, and its information about servers is out of
	// date.
	LeaseExpired bool `json:"lapsed,omitempty"`
	// CatalogIndex is the log index of the configuration that the entry
	// follows.
	CatalogIndex  uint64                    `json:"catalog_index"`
	Demands       map[string]Demand         `json:"demands,omitempty"`
	Holdings      []Holding                 `json:"holdings,omitempty"`
	Observations  []Observation             `json:"observations,omitempty"`
	Announcements []membership.Announcement `json:"announcements,omitempty"`
}

// Grant is the number of slots of a server that an entry may hold from now on.
type Grant struct {
	Server string `json:"server"`
	Slots  int    `json:"slots"`
	// Info is the server's announcement, set when the entry does not know
	// this boot of the server yet.
	Info *membership.Announcement `json:"info,omitempty"`
	// Warming is true while the server's limit is below its full limit. The
	// limit grows only when the server answers calls.
	Warming bool `json:"warming,omitempty"`
	// Probe allows one probe of the server's load.
	Probe bool `json:"probe,omitempty"`
}

// Lender is an entry that had idle slots of a service at its last report.
type Lender struct {
	Entry   string `json:"entry"`
	Address string `json:"address"`
}

// Configuration is the part of the catalog that an entry lacks.
type Configuration struct {
	Index          uint64                      `json:"index"`
	Documents      map[string]service.Document `json:"documents,omitempty"`
	OutDomains     map[string]bool             `json:"out_domains,omitempty"`
	DrainedServers map[string]bool             `json:"drained_servers,omitempty"`
}

// Reply is the owner's answer to a report.
type Reply struct {
	// Term is the owner's term; entries discard replies of older terms.
	Term uint64 `json:"term"`
	Seq  uint64 `json:"seq"`
	// LeaseMS is the duration of the lease in milliseconds, counted from when
	// the report was sent.
	LeaseMS int64   `json:"lease_ms"`
	Grants  []Grant `json:"grants,omitempty"`
	// Configuration is nil when the entry follows the newest configuration.
	Configuration *Configuration      `json:"configuration,omitempty"`
	Lenders       map[string][]Lender `json:"lenders,omitempty"`
}

// Event is an input of [Owner.Step].
//
//sumtype:decl
type Event interface{ event() }

// BecameLeader reports that this instance became leader in a term. Until
// RenewOnlyUntil an earlier owner's grants may still be in use, so slots are
// only renewed.
type BecameLeader struct {
	Term           uint64
	RenewOnlyUntil time.Time
}

// LostLeadership reports that this instance lost leadership.
type LostLeadership struct{}

// ReportReceived delivers an entry's report.
type ReportReceived struct{ Report Report }

// CatalogChanged delivers a new catalog.
type CatalogChanged struct{ Catalog *catalog.Catalog }

// Ticked reports that time has passed; it expires leases, raises limits and
// refills probe budgets.
type Ticked struct{}

func (BecameLeader) event()   {}
func (LostLeadership) event() {}
func (ReportReceived) event() {}
func (CatalogChanged) event() {}
func (Ticked) event()         {}

// Effect is an output of [Owner.Step] that the caller has to perform.
//
//sumtype:decl
type Effect interface{ effect() }

// SendReply answers an entry's report.
type SendReply struct {
	Entry string
	Reply Reply
}

// RequestReport requests an immediate report from an entry, because its grants
// shrink or because it has to confirm a new configuration.
type RequestReport struct{ Entry string }

// ServerChanged reports that a server joined, left, or changed its state or its
// limit.
type ServerChanged struct {
	Server string
	Domain string
	From   string
	To     string
}

// EntryChanged reports that an entry joined or left, or that its lease ended.
type EntryChanged struct {
	Entry string
	From  string
	To    string
}

func (SendReply) effect()     {}
func (RequestReport) effect() {}
func (ServerChanged) effect() {}
func (EntryChanged) effect()  {}
