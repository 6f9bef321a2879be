// Package route holds the whole configuration of a system that many services
// share: routes, services and the limits for callers, under one version.
//
// The package is part of the core. A [Configuration] is checked whole before
// it is accepted; a [Table] is its compiled form, in which an entry looks up
// the route of a request.
//
// # Usage
//
//	if err := configuration.Check(); err != nil { ... }
//	table := route.NewTable(configuration)
//	r, ok := table.Match("booking.example", "/slots/12")
package route

import (
	"fmt"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/service"
)

// Configuration is the whole configuration under one version.
type Configuration struct {
	// Version orders configurations; the highest is in force.
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route says what happens to the requests of one host below one path prefix.
type Route struct {
	Name string `json:"name"`
	// Host is compared without case and port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Timeout bounds how long a caller is kept waiting; zero means no bound.
	Timeout time.Duration `json:"timeout_ns,omitempty"`
	// Objective is the time within which an answer is on time.
	Objective time.Duration `json:"objective_ns,omitempty"`
	// Priority is the rank of the requests; zero is the highest.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int `json:"max_attempts,omitempty"`
	// Parts are the services that share the requests by weight.
	Parts []Part `json:"parts"`
}

// Part is a service's share of a route.
type Part struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	// MaxConnections bounds the connections to one upstream from everywhere.
	MaxConnections int `json:"max_connections,omitempty"`
	// ColdTime is how long an upstream is cold after it started.
	ColdTime time.Duration `json:"cold_time_ns,omitempty"`
	// ColdRate is how many requests a second a cold upstream bears, from all
	// entries together.
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes,omitempty"`
	BodyBytes     int64         `json:"body_bytes,omitempty"`
	HeaderTimeout time.Duration `json:"header_timeout_ns,omitempty"`
	IdleTimeout   time.Duration `json:"idle_timeout_ns,omitempty"`
}

// Check returns a [service.FieldError] for the first field that is wrong.
func (c Configuration) Check() error {
	services, err := c.checkServices()
	if err != nil {
		return err
	}
	places := map[string]int{}
	for i, r := range c.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		if err := r.check(field, services); err != nil {
			return err
		}
		place := normalHost(r.Host) + r.Prefix
		if other, taken := places[place]; taken {
			return wrong(field, place, fmt.Sprintf("a host and prefix other than those of routes[%d]", other))
		}
		places[place] = i
	}
	return nil
}

func (c Configuration) checkServices() (map[string]bool, error) {
	names := map[string]bool{}
	for i, s := range c.Services {
		if s.Name == "" || names[s.Name] {
			return nil, wrong(fmt.Sprintf("services[%d].name", i), fmt.Sprintf("%q", s.Name), "a name of its own")
		}
		names[s.Name] = true
	}
	return names, nil
}

func (r Route) check(field string, services map[string]bool) error {
	switch {
	case r.Host == "":
		return wrong(field+".host", `""`, "a host name")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return wrong(field+".prefix", fmt.Sprintf("%q", r.Prefix), "a path between two slashes")
	case len(r.Parts) == 0:
		return wrong(field+".parts", "empty", "one service or more")
	case r.Timeout < 0 || r.Objective < 0 || r.MaxAttempts < 0:
		return wrong(field, "negative", "times and attempts of 0 or more")
	}
	for i, p := range r.Parts {
		switch {
		case !services[p.Service]:
			return wrong(fmt.Sprintf("%s.parts[%d].service", field, i), fmt.Sprintf("%q", p.Service), "a service of this configuration")
		case p.Weight < 0:
			return wrong(fmt.Sprintf("%s.parts[%d].weight", field, i), p.Weight, "0 or more")
		}
	}
	return nil
}

// normalHost gives the form of a host in which it is compared.
func normalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Table is a configuration in the form for look-ups.
type Table struct {
	Configuration Configuration
	Services      map[string]Service
	// routes holds the routes of each host by prefix.
	routes map[string]map[string]*Route
}

// NewTable compiles a configuration.
func NewTable(c Configuration) *Table {
	t := &Table{Configuration: c, Services: map[string]Service{}, routes: map[string]map[string]*Route{}}
	for _, s := range c.Services {
		t.Services[s.Name] = s
	}
	for i := range c.Routes {
		r := &t.Configuration.Routes[i]
		host := normalHost(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = map[string]*Route{}
		}
		t.routes[host][r.Prefix] = r
	}
	return t
}

// Match finds the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	routes := t.routes[normalHost(host)]
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

// PickPart picks the part that a point between 0 and 1 falls into, by weight.
// The second result is false when all weights are zero.
func (r *Route) PickPart(point float64) (string, bool) {
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	if total <= 0 {
		return "", false
	}
	rest := point * total
	for _, p := range r.Parts {
		if rest < p.Weight {
			return p.Service, true
		}
		rest -= p.Weight
	}
	return r.Parts[len(r.Parts)-1].Service, true
}

// wrong tells which field of the configuration is wrong.
func wrong(field string, value any, allowed string) error {
	return &service.FieldError{Document: "configuration", Field: field, Value: value, Allowed: allowed}
}
