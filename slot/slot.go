// Package slot leases the servers' slots to the entry instances.
//
// One owner, the leader of the replicated log, knows how many calls each
// server can bear and splits that number among the entries as short leases. An
// entry sends a call only on a slot that it holds, so the sum over all entries
// stays within the limit although no two entries ever ask each other. A lease
// ends by itself: an entry that hears nothing sends nothing.
//
// The entry and the owner exchange a [Report] for a [Reply], one at a time.
// The owner's view of what an entry may hold is exact whenever a report
// arrives: the entry has either used the last reply or given it up for good.
// The lease counts from when the report was sent, by the entry's clock, and
// ends later by the owner's clock, since the owner counts from the receipt.
//
// Slots of an entry that disappears come back when its lease has ended and the
// longest call that it may have started is over.
//
// The package is part of the core.
//
// # Usage
//
//	o := slot.NewOwner()
//	effects := o.Step(now, slot.Reported{Report: report})
package slot

import (
	"time"

	"github.com/oriolepost/oriolepost/catalog"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/service"
)

const (
	// LeaseTime is how long an entry may use its slots after it sent the
	// report that was answered.
	LeaseTime = 2 * time.Second
	// MaxDrift bounds by how much two clocks diverge within a lease.
	MaxDrift = LeaseTime / 50
)

// Holding is what an entry holds on one server.
type Holding struct {
	Server string `json:"server"`
	// Slots counts the slots that the entry holds, those in use included.
	Slots int `json:"slots"`
	// InUse counts the calls that run on them.
	InUse int `json:"in_use,omitempty"`
	// Info is set in full reports only.
	Info *membership.Announcement `json:"info,omitempty"`
}

// Observation is what an entry saw of a server since its last report.
type Observation struct {
	Server string `json:"server"`
	BootID string `json:"boot_id"`
	// Answers counts the answers, MeanUS is their mean service time.
	Answers int   `json:"answers,omitempty"`
	MeanUS  int64 `json:"mean_us,omitempty"`
	// Sheds counts the calls that the server shed; ShedRun those in a row.
	Sheds   int `json:"sheds,omitempty"`
	ShedRun int `json:"shed_run,omitempty"`
	// Lost is true when the server closed a connection.
	Lost bool `json:"lost,omitempty"`
	// Probed counts the probes that were sent.
	Probed int `json:"probed,omitempty"`
}

// Demand is what an entry's callers want of one service.
type Demand struct {
	InUse   int `json:"in_use,omitempty"`
	Waiting int `json:"waiting,omitempty"`
}

// Report is what an entry tells the owner.
type Report struct {
	Entry string `json:"entry"`
	// BootID differs each time the entry starts.
	BootID string `json:"boot_id"`
	// Seq grows with each report of a boot.
	Seq uint64 `json:"seq"`
	// Full is true when the entry knows nothing from this owner yet, or gave
	// up a reply.
	Full bool `json:"full,omitempty"`
	// Address is where other entries reach this one.
	Address string `json:"address,omitempty"`
	// Domain is the entry's failure domain.
	Domain string `json:"failure_domain,omitempty"`
	// Leaving is true when the entry shuts down and wants no more slots.
	Leaving bool `json:"leaving,omitempty"`
	// Lapsed is true when the entry's lease has ended: its holdings are only
	// calls that still run, and what it knows of servers is old.
	Lapsed bool `json:"lapsed,omitempty"`
	// CatalogIndex is the configuration that the entry follows.
	CatalogIndex  uint64                    `json:"catalog_index"`
	Demands       map[string]Demand         `json:"demands,omitempty"`
	Holdings      []Holding                 `json:"holdings,omitempty"`
	Observations  []Observation             `json:"observations,omitempty"`
	Announcements []membership.Announcement `json:"announcements,omitempty"`
}

// Grant is how many slots of a server an entry may hold from now on.
type Grant struct {
	Server string `json:"server"`
	Slots  int    `json:"slots"`
	// Info describes the server when the entry does not know it yet.
	Info *membership.Announcement `json:"info,omitempty"`
	// Warming is true while the server's limit grows, for which it needs calls.
	Warming bool `json:"warming,omitempty"`
	// Probe allows one probe of the server's load.
	Probe bool `json:"probe,omitempty"`
}

// Lender is an entry that had idle slots of a service.
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

// Reply is what the owner answers.
type Reply struct {
	// Term is the owner's term; replies of older terms are void.
	Term uint64 `json:"term"`
	Seq  uint64 `json:"seq"`
	// LeaseMS is how long the grants last after the report was sent.
	LeaseMS int64   `json:"lease_ms"`
	Grants  []Grant `json:"grants,omitempty"`
	// Configuration is nil when the entry follows the newest.
	Configuration *Configuration      `json:"configuration,omitempty"`
	Lenders       map[string][]Lender `json:"lenders,omitempty"`
}

// Event is what the owner reacts to.
//
//sumtype:decl
type Event interface{ event() }

// Led starts ownership in a term. Until Quiet an earlier owner's grants may
// still be in use, so slots are only renewed.
type Led struct {
	Term  uint64
	Quiet time.Time
}

// Deposed ends the ownership.
type Deposed struct{}

// Reported delivers an entry's report.
type Reported struct{ Report Report }

// Configured delivers a new catalog.
type Configured struct{ Catalog *catalog.Catalog }

// Ticked lets time pass.
type Ticked struct{}

func (Led) event()        {}
func (Deposed) event()    {}
func (Reported) event()   {}
func (Configured) event() {}
func (Ticked) event()     {}

// Effect is what the shell does for the owner.
//
//sumtype:decl
type Effect interface{ effect() }

// SendReply answers an entry's report.
type SendReply struct {
	Entry string
	Reply Reply
}

// Poke asks an entry to report at once, since its grants shrink.
type Poke struct{ Entry string }

// ServerChanged says that a server joined, left, or changed its limit.
type ServerChanged struct {
	Server string
	Domain string
	From   string
	To     string
}

// EntryChanged says that an entry joined or that its lease ended.
type EntryChanged struct {
	Entry string
	From  string
	To    string
}

func (SendReply) effect()     {}
func (Poke) effect()          {}
func (ServerChanged) effect() {}
func (EntryChanged) effect()  {}
