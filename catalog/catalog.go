// Package catalog holds the replicated configuration: service documents, the
// configuration of routes, failure domains that are out of service, drained
// servers and the recorded upstreams.
//
// The package is part of the core. Changes arrive in the order of the
// replicated log, so every replica reaches the same state. A change of a
// document, a failure domain or a server may carry a change ID. Its result is
// stored under that ID. If the answer is lost and the change is sent again, it
// gets the first answer again, also after a restart. The newest
// [MaxChangeResults] results are kept.
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

// MaxChangeResults is the maximum number of results that are kept for repeated
// changes: two days of changes at 2,000 a day.
const MaxChangeResults = 4096

// Catalog is the configuration at one index of the log. Its fields are exported
// and encoded as JSON, because the struct itself is part of a snapshot.
type Catalog struct {
	// Index is the log index of the last change.
	Index uint64 `json:"index"`
	// Documents maps each service name to its document.
	Documents map[string]service.Document `json:"documents"`
	// ChangedAt maps each service name to the log index of its document's last
	// change.
	ChangedAt map[string]uint64 `json:"changed_at"`
	// OutDomains holds the failure domains that are out of service.
	OutDomains map[string]bool `json:"out_domains"`
	// DomainChanges holds when failure domains were last taken out of service or put back.
	DomainChanges DomainChanges `json:"domain_changes,omitzero"`
	// DrainedServers holds the servers that operators have drained.
	DrainedServers map[string]bool `json:"drained_servers"`
	// Changes holds the newest results of changes, oldest first.
	Changes []ChangeResult `json:"changes"`
	// Configuration is the configuration in force, or nil before the first one.
	Configuration *route.Configuration `json:"configuration,omitempty"`
	// Original is the operator's order that set Configuration, byte for byte.
	Original []byte `json:"original,omitempty"`
	// Retired holds the incarnations of upstreams that deregistered or announced
	// that they drain, oldest first.
	Retired []record.Retire `json:"retired,omitempty"`
	// Upstreams maps the ID of each recorded upstream to its newest recorded
	// incarnation.
	Upstreams map[string]fleet.Upstream `json:"upstreams,omitempty"`
	// Rollouts maps each service name to its newest roll-out, and Versions to the versions
	// that are in use.
	Rollouts map[string]Rollout  `json:"rollouts,omitempty"`
	Versions map[string]Versions `json:"versions,omitempty"`
}

// MaxRetiredUpstreams is the maximum number of retired upstreams that are kept. An
// instance that starts from a snapshot does not know that an incarnation was
// retired if this many other upstreams were retired after it. A late announcement
// of that incarnation then counts as one that does not drain.
const MaxRetiredUpstreams = 4096

// ChangeResult is the stored result of one change. One of the pointers is set.
type ChangeResult struct {
	ID              string                  `json:"id"`
	Done            *record.Done            `json:"done,omitempty"`
	VersionConflict *record.VersionConflict `json:"conflict,omitempty"`
	HostConflict    *record.HostConflict    `json:"host,omitempty"`
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		Documents:      map[string]service.Document{},
		ChangedAt:      map[string]uint64{},
		OutDomains:     map[string]bool{},
		DrainedServers: map[string]bool{},
		Upstreams:      map[string]fleet.Upstream{},
		Rollouts:       map[string]Rollout{},
		Versions:       map[string]Versions{},
	}
}

// Clone returns a copy of the catalog for readers in other tasks.
func (c *Catalog) Clone() *Catalog {
	clone := New()
	clone.Index = c.Index
	for k, v := range c.Documents {
		v.Hosts = slices.Clone(v.Hosts)
		clone.Documents[k] = v
	}
	maps.Copy(clone.ChangedAt, c.ChangedAt)
	maps.Copy(clone.OutDomains, c.OutDomains)
	clone.DomainChanges = c.DomainChanges.clone()
	maps.Copy(clone.DrainedServers, c.DrainedServers)
	clone.Changes = slices.Clone(c.Changes)
	clone.Configuration = c.Configuration
	clone.Original = c.Original
	clone.Retired = slices.Clone(c.Retired)
	maps.Copy(clone.Upstreams, c.Upstreams)
	maps.Copy(clone.Rollouts, c.Rollouts)
	for k, v := range c.Versions {
		v.InUse = slices.Clone(v.InUse)
		clone.Versions[k] = v
	}
	return clone
}

// Apply applies a change at a log index and returns its result. A command whose
// change ID is already known changes nothing, and Apply returns the stored result.
// Apply returns nil for commands that do not belong to the catalog.
func (c *Catalog) Apply(index uint64, cmd record.Command) record.Result {
	id, ok := changeID(cmd)
	if !ok {
		return nil
	}
	if i := c.findResult(id); i >= 0 {
		return c.Changes[i].result()
	}
	result := c.execute(index, cmd)
	c.storeResult(id, result)
	return result
}

// ServiceOfHost returns the document of the service that a host name belongs to.
func (c *Catalog) ServiceOfHost(host string) (service.Document, bool) {
	for _, d := range c.Documents {
		if slices.Contains(d.Hosts, host) {
			return d, true
		}
	}
	return service.Document{}, false
}

// changeID returns the change ID of a command, which may be empty. It returns
// false for commands that do not belong to the catalog.
func changeID(cmd record.Command) (string, bool) {
	switch cmd := cmd.(type) {
	case record.PutDocument:
		return cmd.ChangeID, true
	case record.SetDomain:
		return cmd.ChangeID, true
	case record.SetServer:
		return cmd.ChangeID, true
	case record.PutConfiguration, record.Retire, record.Enroll, record.Withdraw, record.BeginRollout, record.EndRollout:
		return "", true
	case record.Noop, record.Claim, record.Settle, record.Release:
		return "", false
	}
	return "", false
}

func (c *Catalog) execute(index uint64, cmd record.Command) record.Result {
	switch cmd := cmd.(type) {
	case record.PutDocument:
		return c.putDocument(index, cmd.Document)
	case record.SetDomain:
		if changedAt := c.DomainChanges.last(cmd.Domain); cmd.AsOf > 0 && changedAt > cmd.AsOf {
			return record.Overtaken{Index: changedAt}
		}
		setOrDelete(c.OutDomains, cmd.Domain, cmd.Out)
		c.DomainChanges.set(cmd.Domain, index)
	case record.SetServer:
		setOrDelete(c.DrainedServers, cmd.Server, cmd.Drained)
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
	case record.BeginRollout:
		return c.beginRollout(index, cmd)
	case record.EndRollout:
		c.endRollout(index, cmd)
	case record.Noop, record.Claim, record.Settle, record.Release:
		return nil
	}
	c.Index = index
	return record.Done{Index: index}
}

// putConfiguration replaces the configuration if the new version is higher than
// the one in force. The result holds the version that is in force afterwards.
func (c *Catalog) putConfiguration(index uint64, p record.PutConfiguration) record.Result {
	if c.Configuration == nil || p.Configuration.Version > c.Configuration.Version {
		c.Configuration = &p.Configuration
		c.Original = p.Original
		c.Index = index
	}
	return record.Done{Index: index, Version: c.Configuration.Version}
}

// Services returns the names of the services of the configuration in force.
func (c *Catalog) Services() fleet.Services {
	if c.Configuration == nil {
		return nil
	}
	return c.Configuration.ServiceNames()
}

func (c *Catalog) enroll(e record.Enroll) {
	services := c.Services()
	for _, u := range e.Upstreams {
		if known, ok := c.Upstreams[u.ID]; !ok || !services.Outranks(known, u) {
			c.Upstreams[u.ID] = u
			c.learnVersion(u, e.AtMS)
		}
	}
}

func (c *Catalog) retire(r record.Retire) {
	c.Retired = slices.DeleteFunc(c.Retired, func(old record.Retire) bool {
		return old.Upstream == r.Upstream && old.Service == r.Service && old.StartMS <= r.StartMS
	})
	c.Retired = append(c.Retired, r)
	if over := len(c.Retired) - MaxRetiredUpstreams; over > 0 {
		c.Retired = slices.Delete(c.Retired, 0, over)
	}
}

func (c *Catalog) putDocument(index uint64, document service.Document) record.Result {
	current := c.Documents[document.Name].Version
	if document.Version != current {
		return record.VersionConflict{Current: current}
	}
	for _, host := range document.Hosts {
		if other, ok := c.ServiceOfHost(host); ok && other.Name != document.Name {
			return record.HostConflict{Host: host, Service: other.Name}
		}
	}
	document.Version = current + 1
	c.Documents[document.Name] = document
	c.ChangedAt[document.Name] = index
	c.Index = index
	return record.Done{Index: index, Version: document.Version}
}

func setOrDelete(m map[string]bool, name string, on bool) {
	if on {
		m[name] = true
		return
	}
	delete(m, name)
}

func (c *Catalog) findResult(id string) int {
	if id == "" {
		return -1
	}
	return slices.IndexFunc(c.Changes, func(ch ChangeResult) bool { return ch.ID == id })
}

func (c *Catalog) storeResult(id string, result record.Result) {
	if id == "" {
		return
	}
	change := ChangeResult{ID: id}
	switch r := result.(type) {
	case record.Done:
		change.Done = &r
	case record.VersionConflict:
		change.VersionConflict = &r
	case record.HostConflict:
		change.HostConflict = &r
	case record.Overtaken, record.RolloutConflict, record.UnknownService, record.Claimed, record.InProgress, record.Replay, record.KeyMismatch, record.LedgerFull:
		// An overtaken order is sent again, with the same ID, on a newer state.
		return
	}
	c.Changes = append(c.Changes, change)
	if over := len(c.Changes) - MaxChangeResults; over > 0 {
		c.Changes = slices.Delete(c.Changes, 0, over)
	}
}

func (ch ChangeResult) result() record.Result {
	switch {
	case ch.VersionConflict != nil:
		return *ch.VersionConflict
	case ch.HostConflict != nil:
		return *ch.HostConflict
	case ch.Done != nil:
		return *ch.Done
	}
	return record.Done{}
}
