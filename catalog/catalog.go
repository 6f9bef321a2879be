// Package catalog is the replicated configuration: service documents, failure
// domains that are out and servers that are drained.
//
// The package is part of the core. Changes arrive in the order of the
// replicated log, so every replica reaches the same state. A change carries a
// change id. The result of a change is kept under that id, so that a resend
// after a lost answer gets the first answer again, also after a restart; the
// newest [MaxChanges] results are kept.
//
// # Usage
//
//	c := catalog.New()
//	result := c.Apply(index, record.SetDomain{ChangeID: "42", Domain: "catania", Out: true})
package catalog

import (
	"maps"
	"slices"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/service"
)

// MaxChanges is how many results of changes are kept for resends: two days of
// changes at 2,000 a day.
const MaxChanges = 4096

// Catalog is the configuration at one index of the log. Its fields are
// exported so that a snapshot is the struct itself.
type Catalog struct {
	// Index is the log index of the last change.
	Index uint64 `json:"index"`
	// Documents holds the document of each service by name.
	Documents map[string]service.Document `json:"documents"`
	// ChangedAt holds the log index of each document's last change.
	ChangedAt map[string]uint64 `json:"changed_at"`
	// OutDomains holds the failure domains that are out.
	OutDomains map[string]bool `json:"out_domains"`
	// DrainedServers holds the servers that operators drained.
	DrainedServers map[string]bool `json:"drained_servers"`
	// Changes holds the newest results, oldest first.
	Changes []Change `json:"changes"`
	// Configuration is the whole configuration; nil before the first one.
	Configuration *route.Configuration `json:"configuration,omitempty"`
	// Original is the order that brought it, as the operator sent it.
	Original []byte `json:"original,omitempty"`
	// Retired holds the upstreams that said that they leave, oldest first.
	Retired []record.Retire `json:"retired,omitempty"`
	// Upstreams holds the fleet by id, as far as it was recorded.
	Upstreams map[string]fleet.Upstream `json:"upstreams,omitempty"`
}

// MaxRetired is how many leaving upstreams are remembered: announcements that
// arrive later than this many departures would count again.
const MaxRetired = 4096

// Change is the remembered result of one change.
type Change struct {
	ID       string                  `json:"id"`
	Done     *record.Done            `json:"done,omitempty"`
	Conflict *record.VersionConflict `json:"conflict,omitempty"`
	Host     *record.HostConflict    `json:"host,omitempty"`
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		Documents:      map[string]service.Document{},
		ChangedAt:      map[string]uint64{},
		OutDomains:     map[string]bool{},
		DrainedServers: map[string]bool{},
		Upstreams:      map[string]fleet.Upstream{},
	}
}

// Clone copies the catalog for readers in other tasks.
func (c *Catalog) Clone() *Catalog {
	n := New()
	n.Index = c.Index
	for k, v := range c.Documents {
		v.Hosts = slices.Clone(v.Hosts)
		n.Documents[k] = v
	}
	maps.Copy(n.ChangedAt, c.ChangedAt)
	maps.Copy(n.OutDomains, c.OutDomains)
	maps.Copy(n.DrainedServers, c.DrainedServers)
	n.Changes = slices.Clone(c.Changes)
	n.Configuration = c.Configuration
	n.Original = c.Original
	n.Retired = slices.Clone(c.Retired)
	maps.Copy(n.Upstreams, c.Upstreams)
	return n
}

// Apply applies a change at a log index. Commands of the ledger give nil.
func (c *Catalog) Apply(index uint64, cmd record.Command) record.Result {
	id, ok := changeID(cmd)
	if !ok {
		return nil
	}
	if i := c.findChange(id); i >= 0 {
		return c.Changes[i].result()
	}
	result := c.change(index, cmd)
	c.remember(id, result)
	return result
}

// ServiceOfHost finds the service that a host name belongs to.
func (c *Catalog) ServiceOfHost(host string) (service.Document, bool) {
	for _, d := range c.Documents {
		if slices.Contains(d.Hosts, host) {
			return d, true
		}
	}
	return service.Document{}, false
}

func changeID(cmd record.Command) (string, bool) {
	switch cmd := cmd.(type) {
	case record.PutDocument:
		return cmd.ChangeID, true
	case record.SetDomain:
		return cmd.ChangeID, true
	case record.SetServer:
		return cmd.ChangeID, true
	case record.PutConfiguration, record.Retire, record.Enroll, record.Withdraw:
		return "", true
	case record.Noop, record.Claim, record.Settle, record.Release:
		return "", false
	}
	return "", false
}

func (c *Catalog) change(index uint64, cmd record.Command) record.Result {
	switch cmd := cmd.(type) {
	case record.PutDocument:
		return c.putDocument(index, cmd.Document)
	case record.SetDomain:
		set(c.OutDomains, cmd.Domain, cmd.Out)
	case record.SetServer:
		set(c.DrainedServers, cmd.Server, cmd.Drained)
	case record.PutConfiguration:
		return c.putConfiguration(index, cmd)
	case record.Retire:
		c.retire(cmd)
	case record.Enroll:
		c.enroll(cmd)
	case record.Withdraw:
		for _, id := range cmd.Upstreams {
			delete(c.Upstreams, id)
		}
	case record.Noop, record.Claim, record.Settle, record.Release:
		return nil
	}
	c.Index = index
	return record.Done{Index: index}
}

// putConfiguration takes a configuration whose version is higher than the one
// in force. The result names the version that is in force afterwards.
func (c *Catalog) putConfiguration(index uint64, p record.PutConfiguration) record.Result {
	if c.Configuration == nil || p.Configuration.Version > c.Configuration.Version {
		c.Configuration = &p.Configuration
		c.Original = p.Original
		c.Index = index
	}
	return record.Done{Index: index, Version: c.Configuration.Version}
}

func (c *Catalog) enroll(e record.Enroll) {
	for _, u := range e.Upstreams {
		if known, ok := c.Upstreams[u.ID]; !ok || known.BornMS <= u.BornMS {
			c.Upstreams[u.ID] = u
		}
	}
}

func (c *Catalog) retire(r record.Retire) {
	c.Retired = slices.DeleteFunc(c.Retired, func(old record.Retire) bool {
		return old.Upstream == r.Upstream && old.BornMS <= r.BornMS
	})
	c.Retired = append(c.Retired, r)
	if over := len(c.Retired) - MaxRetired; over > 0 {
		c.Retired = slices.Delete(c.Retired, 0, over)
	}
}

func (c *Catalog) putDocument(index uint64, d service.Document) record.Result {
	current := c.Documents[d.Name].Version
	if d.Version != current {
		return record.VersionConflict{Current: current}
	}
	for _, h := range d.Hosts {
		if other, ok := c.ServiceOfHost(h); ok && other.Name != d.Name {
			return record.HostConflict{Host: h, Service: other.Name}
		}
	}
	d.Version = current + 1
	c.Documents[d.Name] = d
	c.ChangedAt[d.Name] = index
	c.Index = index
	return record.Done{Index: index, Version: d.Version}
}

func set(m map[string]bool, name string, on bool) {
	if on {
		m[name] = true
		return
	}
	delete(m, name)
}

func (c *Catalog) findChange(id string) int {
	if id == "" {
		return -1
	}
	return slices.IndexFunc(c.Changes, func(ch Change) bool { return ch.ID == id })
}

func (c *Catalog) remember(id string, result record.Result) {
	if id == "" {
		return
	}
	ch := Change{ID: id}
	switch r := result.(type) {
	case record.Done:
		ch.Done = &r
	case record.VersionConflict:
		ch.Conflict = &r
	case record.HostConflict:
		ch.Host = &r
	case record.Claimed, record.InProgress, record.Replay, record.KeyMismatch, record.LedgerFull:
		return
	}
	c.Changes = append(c.Changes, ch)
	if over := len(c.Changes) - MaxChanges; over > 0 {
		c.Changes = slices.Delete(c.Changes, 0, over)
	}
}

func (ch Change) result() record.Result {
	switch {
	case ch.Conflict != nil:
		return *ch.Conflict
	case ch.Host != nil:
		return *ch.Host
	case ch.Done != nil:
		return *ch.Done
	}
	return record.Done{}
}
