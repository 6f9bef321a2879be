package route

import (
	"fmt"
	"strings"
)

// Kinds of findings.
const (
	// Unreachable is an item that never takes part in serving a request.
	Unreachable = "unreachable"
	// Contradiction is a limit that contradicts another one, or that limits nothing.
	Contradiction = "contradiction"
)

// Finding is a part of a valid configuration that can't be meant as it is.
type Finding struct {
	Kind string
	// Field is the path of the field, as in the errors of [Configuration.Check].
	Field   string
	Problem string
}

// Terms are the terms of a deployment that a configuration is held against.
type Terms struct {
	// NoRetryBudget is true when the deployment allows no retries.
	NoRetryBudget bool
}

// Findings returns what a configuration that has passed [Configuration.Check] contains in
// vain: items that never match, and limits that contradict each other. Failure: such a
// configuration is accepted, and the mistake shows only in the responses to callers.
//
// The longest prefix wins, so a route is shadowed in every case only by one with the same
// host and prefix, which Check refuses. What remains are hosts and prefixes that no request
// can have.
func (c Configuration) Findings(terms Terms) []Finding {
	var f findings
	f.checkServices(c)
	for i, r := range c.Routes {
		f.checkRoute(fmt.Sprintf("routes[%d]", i), r, terms)
	}
	f.checkWorkspaces(c)
	f.checkLimits(c.Limits)
	return f.list
}

// findings collects the findings of a configuration.
type findings struct{ list []Finding }

func (f *findings) add(kind, field, format string, args ...any) {
	f.list = append(f.list, Finding{Kind: kind, Field: field, Problem: fmt.Sprintf(format, args...)})
}

func (f *findings) checkServices(c Configuration) {
	named, weighted := map[string]bool{}, map[string]bool{}
	for _, r := range c.Routes {
		for _, p := range r.Services {
			named[p.Service] = true
			weighted[p.Service] = weighted[p.Service] || p.Weight > 0
		}
	}
	for i, s := range c.Services {
		field := fmt.Sprintf("services[%d]", i)
		switch {
		case !named[s.Name]:
			f.add(Unreachable, field+".name", "no route names service %q", s.Name)
		case !weighted[s.Name]:
			f.add(Unreachable, field+".name", "no route gives service %q a weight above 0", s.Name)
		}
		if s.ColdTime > 0 && s.ColdRate == 0 {
			f.add(Contradiction, field+".cold_rate", "0 requests a second while upstreams are cold for %v", s.ColdTime)
		}
	}
}

func (f *findings) checkRoute(field string, r Route, terms Terms) {
	if strings.ContainsAny(normalizeHost(r.Host), impossibleInHost) || normalizeHost(r.Host) == "" {
		f.add(Unreachable, field+".host", "no request has the host %q; hosts are compared in full, without wildcards", r.Host)
	}
	if strings.ContainsAny(r.Prefix, impossibleInPath) {
		f.add(Unreachable, field+".prefix", "no path of a request begins with %q", r.Prefix)
	}
	if _, ok := r.PickService(0); !ok {
		f.add(Unreachable, field+".parts", "all weights are 0, so no service gets the requests")
	}
	if r.Objective > r.Timeout {
		f.add(Contradiction, field+".objective", "the objective of %v is longer than the timeout of %v", r.Objective, r.Timeout)
	}
	if r.MaxAttempts > 1 && terms.NoRetryBudget {
		f.add(Contradiction, field+".max_attempts", "%d attempts, but the deployment has no retry budget", r.MaxAttempts)
	}
}

const (
	// impossibleInHost are characters that a host name or an address can't contain, and the
	// asterisk, which does not stand for other names.
	impossibleInHost = " \t\r\n/?#@*"
	// impossibleInPath are characters that end the path of a request target.
	impossibleInPath = " \t\r\n?#"
)

func (f *findings) checkWorkspaces(c Configuration) {
	keys := 0
	for i, w := range c.Workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		keys += len(w.Keys)
		if len(w.Keys) == 0 {
			f.add(Unreachable, field+".keys", "workspace %q has no keys, so no request belongs to it", w.Name)
		}
		switch {
		case w.Rate == 0 && w.Burst > 0:
			f.add(Contradiction, field+".burst", "a burst of %v without a rate limits nothing", w.Burst)
		case w.Rate > 0 && w.Rate < 1 && w.Burst == 0:
			f.add(Contradiction, field+".rate", "%v requests a second with a burst of 0 never add up to a whole request at once", w.Rate)
		}
	}
	if !c.KeysRequired {
		return
	}
	public := 0
	for i, r := range c.Routes {
		if r.Public {
			public++
		} else if keys == 0 {
			f.add(Unreachable, fmt.Sprintf("routes[%d]", i), "requests need a key, and no workspace has one")
		}
	}
	if public > 0 && public == len(c.Routes) && keys > 0 {
		f.add(Unreachable, "workspaces", "all routes are public, so no request needs a key")
	}
}

func (f *findings) checkLimits(l Limits) {
	if l.HeaderBytes == 0 {
		f.add(Contradiction, "limits.header_bytes", "0 or missing, so entries use their default")
	}
	if l.BodyBytes == 0 {
		f.add(Contradiction, "limits.body_bytes", "0 or missing, so entries use their default")
	}
}
