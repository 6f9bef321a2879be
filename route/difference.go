package route

import (
	"fmt"
	"strings"

	"github.com/oriolepost/oriolepost/workspace"
)

// Changes of an item between two configurations.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Difference is a difference between two configurations.
type Difference struct {
	// Section is version, services, routes, workspaces or limits.
	Section string
	// Item names the service, route or workspace.
	Item   string
	Change string
	// Field is the field that changed, as in the errors of [Configuration.Check]. It is
	// empty for an item that was added or removed.
	Field string
	// Before and After are the values of the field, as text. A key that was added to a
	// workspace or removed from it is a difference of its own, with one of them; it
	// appears as its digest.
	Before string
	After  string
}

// Compare returns the differences between two valid configurations, by section in the
// order in which [Difference.Section] lists them. Items that only moved are not different.
// Items of the later configuration come first, in its order, then the removed ones.
func Compare(before, after Configuration) []Difference {
	out := compareFields("version", "", fields{{"", before.Version}}, fields{{"", after.Version}})
	out = append(out, compareItems("services", serviceItems(before), serviceItems(after))...)
	out = append(out, compareItems("routes", routeItems(before), routeItems(after))...)
	out = append(out, compareFields("workspaces", "", fields{{"", presence(before)}}, fields{{"", presence(after)}})...)
	out = append(out, compareItems("workspaces", workspaceItems(before), workspaceItems(after))...)
	return append(out, compareFields("limits", "", limitFields(before.Limits), limitFields(after.Limits))...)
}

// Supersedes returns a finding if the configuration differs from the one in force and
// would not replace it, because its version is not higher.
func (c Configuration) Supersedes(inForce Configuration) []Finding {
	if c.Version > inForce.Version || len(Compare(inForce, c)) == 0 {
		return nil
	}
	return []Finding{{Kind: Unreachable, Field: "version", Problem: fmt.Sprintf(
		"version %d is not higher than version %d in force, so it does not come into force", c.Version, inForce.Version)}}
}

// fields are the fields of an item with their values.
type fields []struct {
	name  string
	value any
}

// item is a service, route or workspace.
type item struct {
	name   string
	fields fields
	// keys are the keys of a workspace.
	keys []workspace.Digest
}

func serviceItems(c Configuration) []item {
	var items []item
	for _, s := range c.Services {
		items = append(items, item{name: s.Name, fields: fields{
			{"health_path", s.HealthPath}, {"max_connections", s.MaxConnections}, {"cold_time", s.ColdTime}, {"cold_rate", s.ColdRate},
		}})
	}
	return items
}

func routeItems(c Configuration) []item {
	var items []item
	for _, r := range c.Routes {
		var services []string
		for _, p := range r.Services {
			services = append(services, fmt.Sprintf("%s %v", p.Service, p.Weight))
		}
		items = append(items, item{name: normalizeHost(r.Host) + r.Prefix, fields: fields{
			{"name", r.Name},
			{"idempotent", idempotence(r)},
			{"timeout", r.Timeout},
			{"objective", r.Objective},
			{"priority", r.Priority},
			{"max_attempts", r.MaxAttempts},
			{"parts", strings.Join(services, ", ")},
			{"public", r.Public},
		}})
	}
	return items
}

func idempotence(r Route) string {
	if r.Idempotent {
		return "idempotent"
	}
	return "not idempotent"
}

func workspaceItems(c Configuration) []item {
	var items []item
	for _, w := range c.Workspaces {
		priority := "none"
		if w.Priority != nil {
			priority = fmt.Sprint(*w.Priority)
		}
		items = append(items, item{name: w.Name, keys: w.Keys, fields: fields{
			{"priority", priority}, {"rate", w.Rate}, {"burst", w.Burst},
		}})
	}
	return items
}

// presence tells whether a configuration has a list of workspaces, which may be empty.
func presence(c Configuration) string {
	if c.KeysRequired {
		return "present"
	}
	return "absent"
}

func limitFields(l Limits) fields {
	return fields{
		{"header_bytes", l.HeaderBytes}, {"body_bytes", l.BodyBytes}, {"header_timeout", l.HeaderTimeout}, {"idle_timeout", l.IdleTimeout},
	}
}

func compareItems(section string, before, after []item) []Difference {
	old, present := map[string]item{}, map[string]bool{}
	for _, i := range before {
		old[i.name] = i
	}
	var out []Difference
	for _, i := range after {
		present[i.name] = true
		if former, ok := old[i.name]; ok {
			out = append(out, compareFields(section, i.name, former.fields, i.fields)...)
			out = append(out, compareKeys(section, former, i)...)
		} else {
			out = append(out, Difference{Section: section, Item: i.name, Change: Added})
		}
	}
	for _, i := range before {
		if !present[i.name] {
			out = append(out, Difference{Section: section, Item: i.name, Change: Removed})
		}
	}
	return out
}

// compareKeys returns the keys that a workspace gained, then those that it lost.
func compareKeys(section string, before, after item) []Difference {
	var out []Difference
	old, present := map[workspace.Digest]bool{}, map[workspace.Digest]bool{}
	for _, key := range before.keys {
		old[key] = true
	}
	for _, key := range after.keys {
		if !old[key] && !present[key] {
			out = append(out, Difference{Section: section, Item: after.name, Change: Added, Field: "keys", After: string(key)})
		}
		present[key] = true
	}
	for _, key := range before.keys {
		if !present[key] {
			present[key] = true
			out = append(out, Difference{Section: section, Item: after.name, Change: Removed, Field: "keys", Before: string(key)})
		}
	}
	return out
}

// compareFields compares two lists of the same fields.
func compareFields(section, name string, before, after fields) []Difference {
	var out []Difference
	for i, f := range before {
		if f.value != after[i].value {
			out = append(out, Difference{
				Section: section, Item: name, Change: Changed, Field: f.name,
				Before: fmt.Sprint(f.value), After: fmt.Sprint(after[i].value),
			})
		}
	}
	return out
}
