// Package route defines the configuration of the entries: routes, services and
// the limits for callers' requests. One configuration covers all services that
// share the system and has a single version.
//
// A route maps a host and a path prefix to one or more services by weight. A
// [Configuration] is validated as a whole before it is accepted. A [Table] is
// its compiled form, in which an entry looks up the route of a request. The
// package is part of the core.
//
// # Usage
//
//	if err := configuration.Check(); err != nil { ... }
//	table := route.NewTable(configuration)
//	matched, ok := table.Match("booking.example", "/slots/12")
package route

import (
	"fmt"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/workspace"
)

// Configuration is the complete configuration of all routes and services.
type Configuration struct {
	// Version orders configurations. The one with the highest version applies.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	// KeysRequired is true when a request needs the key of a workspace, unless its route is
	// public. Workspaces is empty otherwise.
	KeysRequired bool                  `json:"keys_required,omitempty"`
	Workspaces   []workspace.Workspace `json:"workspaces,omitempty"`
}

// Route defines how requests for one host and path prefix are handled.
type Route struct {
	Name string `json:"name"`
	// Host is compared case-insensitively and without the port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent is true when a request may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Timeout limits how long a caller waits for its response, besides its own
	// timeout. Zero means that the route sets no limit.
	Timeout time.Duration `json:"timeout_ns,omitempty"`
	// Objective is the latency objective. A response that takes longer, counted
	// from the first try of the caller, is past its objective. Zero means the
	// default of the entry.
	Objective time.Duration `json:"objective_ns,omitempty"`
	// Priority is the priority of the requests. Zero is the highest; a greater
	// number is a lower priority.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts limits how many attempts of one request may reach an upstream,
	// hedges included. Zero means the default of the entry.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Services are the services among which the requests are split by weight.
	Services []WeightedService `json:"parts"`
	// Public is true when requests need no key of a workspace.
	Public bool `json:"public,omitempty"`
}

// WeightedService is a service of a route with its weight. A service gets
// requests in proportion to its weight.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// MaxConnections is the limit for the connections to one upstream from all
	// entries together. It is stored and shown, but not enforced.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdTime is how long an upstream is cold after its start. It is stored and
	// shown; entries use the remaining cold time that the upstream reports.
	ColdTime time.Duration `json:"cold_time_ns,omitempty"`
	// ColdRate is how many requests per second a cold upstream can handle, from
	// all entries together.
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// Limits are the limits for callers' requests and connections. For a limit that
// is zero or less, entries use their default.
type Limits struct {
	// HeaderBytes limits the header without the request line, and the trailer of a
	// chunked body.
	HeaderBytes int   `json:"header_bytes,omitempty"`
	BodyBytes   int64 `json:"body_bytes,omitempty"`
	// HeaderTimeout limits the time between the first byte of a request and the
	// end of its header. The buffered part of the body has as much time again, or
	// the caller timeout if that is longer; the route's timeout counts for a caller
	// that sends none.
	HeaderTimeout time.Duration `json:"header_timeout_ns,omitempty"`
	// IdleTimeout limits the time between a response and the next request on a
	// connection.
	IdleTimeout time.Duration `json:"idle_timeout_ns,omitempty"`
}

// Check returns a [service.FieldError] for the first invalid field, or nil.
func (c Configuration) Check() error {
	services, err := c.checkServices()
	if err != nil {
		return err
	}
	routeIndexes := map[string]int{}
	for i, r := range c.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		if err := r.check(field, services); err != nil {
			return err
		}
		hostAndPrefix := normalizeHost(r.Host) + r.Prefix
		if other, taken := routeIndexes[hostAndPrefix]; taken {
			return fieldError(field, hostAndPrefix, fmt.Sprintf("a host and prefix other than those of routes[%d]", other))
		}
		routeIndexes[hostAndPrefix] = i
	}
	return workspace.Check(c.Workspaces)
}

// checkServices returns the set of service names, or an error for a name that is
// empty or not unique.
func (c Configuration) checkServices() (map[string]bool, error) {
	names := map[string]bool{}
	for i, s := range c.Services {
		if s.Name == "" || names[s.Name] {
			return nil, fieldError(fmt.Sprintf("services[%d].name", i), fmt.Sprintf("%q", s.Name), "a name that is not empty and that no other service has")
		}
		names[s.Name] = true
	}
	return names, nil
}

func (r Route) check(field string, services map[string]bool) error {
	switch {
	case r.Host == "":
		return fieldError(field+".host", `""`, "a host name")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fieldError(field+".prefix", fmt.Sprintf("%q", r.Prefix), "a path that begins and ends with a slash")
	case len(r.Services) == 0:
		return fieldError(field+".parts", "empty", "one service or more")
	case r.Objective < 0 || r.MaxAttempts < 0:
		return fieldError(field, "negative", "objective and attempts of 0 or more")
	}
	if err := r.checkServices(field, services); err != nil {
		return err
	}
	// A request of a route without time could not be served.
	if r.Timeout <= 0 {
		return fieldError(field+".timeout", r.Timeout, "more than 0")
	}
	return nil
}

// checkServices checks the services of a route against those of the configuration.
func (r Route) checkServices(field string, services map[string]bool) error {
	for i, p := range r.Services {
		switch {
		case !services[p.Service]:
			return fieldError(fmt.Sprintf("%s.parts[%d].service", field, i), fmt.Sprintf("%q", p.Service), "a service of this configuration")
		case p.Weight < 0:
			return fieldError(fmt.Sprintf("%s.parts[%d].weight", field, i), p.Weight, "0 or more")
		}
	}
	return nil
}

// normalizeHost returns the host in lower case and without its port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// ServiceNames returns the set of the names of the services.
func (c Configuration) ServiceNames() map[string]bool {
	names := map[string]bool{}
	for _, s := range c.Services {
		names[s.Name] = true
	}
	return names
}

// Table is a configuration compiled for lookups.
type Table struct {
	Configuration Configuration
	// Services holds the services by name.
	Services map[string]Service
	// Workspaces holds the workspaces by key; nil if requests need no key.
	Workspaces *workspace.Directory
	// routes holds the routes by normalized host and by path prefix.
	routes map[string]map[string]*Route
}

// NewTable compiles a configuration that has passed [Configuration.Check].
func NewTable(c Configuration) *Table {
	t := &Table{Configuration: c, Services: map[string]Service{}, routes: map[string]map[string]*Route{}}
	for _, s := range c.Services {
		t.Services[s.Name] = s
	}
	if c.KeysRequired {
		t.Workspaces = workspace.NewDirectory(t.Configuration.Workspaces)
	}
	for i := range c.Routes {
		r := &t.Configuration.Routes[i]
		host := normalizeHost(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = map[string]*Route{}
		}
		t.routes[host][r.Prefix] = r
	}
	return t
}

// Match returns the route of the host with the longest prefix that matches the
// path. The second result is false when there is none. A dot at the end of the host
// marks a full domain name and is ignored when there are no routes for it.
func (t *Table) Match(host, path string) (*Route, bool) {
	host = normalizeHost(host)
	routes := t.routes[host]
	if routes == nil {
		routes = t.routes[strings.TrimSuffix(host, ".")]
	}
	for end := len(path); end > 0 && len(routes) > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil, false
		}
		if r, ok := routes[path[:slash+1]]; ok {
			return r, true
		}
		end = slash
	}
	return nil, false
}

// PickService returns the name of one of the route's services. Each service
// owns a part of the range [0, 1) in proportion to its weight. The service
// whose part contains point is returned, so a random point picks the services
// by weight. The second result is false when all weights are zero.
func (r *Route) PickService(point float64) (string, bool) {
	total := 0.0
	for _, p := range r.Services {
		total += p.Weight
	}
	if total <= 0 {
		return "", false
	}
	remaining := point * total
	last := ""
	for _, p := range r.Services {
		if p.Weight <= 0 {
			continue
		}
		if remaining < p.Weight {
			return p.Service, true
		}
		remaining -= p.Weight
		last = p.Service
	}
	return last, true
}

// fieldError returns an error that names an invalid field of the configuration,
// its value and what is allowed.
func fieldError(field string, value any, allowed string) error {
	return &service.FieldError{Document: "configuration", Field: field, Value: value, Allowed: allowed}
}
