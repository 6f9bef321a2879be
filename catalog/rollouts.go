package catalog

import (
	"maps"
	"slices"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/route"
)

// Rollout is the newest roll-out of a service.
type Rollout struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// AtMS is the time of the order in Unix milliseconds, and LengthMS the time from there
	// to the deadline.
	AtMS     int64 `json:"at_ms"`
	LengthMS int64 `json:"length_ms"`
	// Index is the log index of the order, and EndIndex that of the end. EndIndex is zero
	// while the roll-out runs.
	Index    uint64 `json:"index"`
	EndIndex uint64 `json:"end_index,omitempty"`
	// Completed is false if an ended roll-out was rolled back, for a Reason.
	Completed bool   `json:"completed,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// Running reports whether the roll-out has not ended.
func (r Rollout) Running() bool { return r.EndIndex == 0 }

// Versions are the versions of a service that are in use.
type Versions struct {
	InUse []string `json:"in_use"`
	// SinceMS is the time, in Unix milliseconds, at which the first upstream was recorded.
	SinceMS int64 `json:"since_ms"`
}

// LearningMS is the time, in milliseconds, for which all versions of a new service count
// as in use. Within the lifetime of an announcement, each upstream that runs when a system
// starts has announced itself. A service that has several versions then keeps them. A
// version that comes later is not in use before a roll-out.
var LearningMS = fleet.AnnouncementLifetime.Milliseconds()

// beginRollout records a roll-out that begins. The version of the newest roll-out is not
// rolled out again, whether that runs or has ended: the order is a repetition. A delayed
// copy of an order does not begin on top of a newer roll-out.
func (c *Catalog) beginRollout(index uint64, b record.BeginRollout) record.Result {
	newest, known := c.Rollouts[b.Service]
	switch {
	case known && newest.Target == b.Target:
		return record.Done{Index: index}
	case c.Configuration == nil || !slices.ContainsFunc(c.Configuration.Services, func(s route.Service) bool { return s.Name == b.Service }):
		return record.UnknownService{}
	case known && b.AsOf != 0 && max(newest.Index, newest.EndIndex) > b.AsOf:
		return record.Overtaken{Index: max(newest.Index, newest.EndIndex)}
	case known && newest.Running():
		return record.RolloutConflict{Target: newest.Target}
	}
	c.Rollouts[b.Service] = Rollout{Service: b.Service, Target: b.Target, AtMS: b.AtMS, LengthMS: b.LengthMS, Index: index}
	c.Index = index
	return record.Done{Index: index}
}

// endRollout ends a roll-out, unless it has ended. After it was completed, its version is
// the only one in use.
func (c *Catalog) endRollout(index uint64, e record.EndRollout) {
	r, known := c.Rollouts[e.Service]
	if !known || !r.Running() || r.Index != e.Index {
		return
	}
	r.EndIndex, r.Completed, r.Reason = index, e.Completed, e.Reason
	c.Rollouts[e.Service] = r
	versions := c.Versions[e.Service]
	if e.Completed {
		versions.InUse = []string{r.Target}
	} else {
		versions.InUse = slices.DeleteFunc(slices.Clone(versions.InUse), func(v string) bool { return v == r.Target })
	}
	c.Versions[e.Service] = versions
}

// learnVersion records the version of an upstream as in use if its service is new, or if no
// upstream of the versions in use is left.
func (c *Catalog) learnVersion(u fleet.Upstream, atMS int64) {
	if u.Version == "" {
		return
	}
	versions, known := c.Versions[u.Service]
	if slices.Contains(versions.InUse, u.Version) {
		return
	}
	if r, ordered := c.Rollouts[u.Service]; ordered && r.Target == u.Version && !r.Completed && c.hasOther(u) {
		return
	}
	switch {
	case !known || !c.hasInUse(u.Service, versions):
		c.Versions[u.Service] = Versions{InUse: c.runningVersions(u.Service), SinceMS: atMS}
	case atMS-versions.SinceMS <= LearningMS:
		versions.InUse = append(slices.Clone(versions.InUse), u.Version)
		c.Versions[u.Service] = versions
	}
}

// hasInUse reports whether an upstream of a service has a version that is in use.
func (c *Catalog) hasInUse(service string, versions Versions) bool {
	for _, u := range c.Upstreams {
		if u.Service == service && slices.Contains(versions.InUse, u.Version) {
			return true
		}
	}
	return false
}

// runningVersions returns the sorted versions of the recorded upstreams of a service.
func (c *Catalog) runningVersions(service string) []string {
	versions := map[string]bool{}
	for _, u := range c.Upstreams {
		if u.Service == service && u.Version != "" {
			versions[u.Version] = true
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

// hasOther reports whether the service of an upstream has another one with another version.
func (c *Catalog) hasOther(u fleet.Upstream) bool {
	for _, other := range c.Upstreams {
		if other.Service == u.Service && other.Version != u.Version {
			return true
		}
	}
	return false
}
