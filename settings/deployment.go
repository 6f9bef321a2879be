package settings

import (
	"fmt"
	"net"
	"time"

	"github.com/oriolepost/oriolepost/service"
)

// Deployment is what an instance is told when a platform places it: itself,
// where to find the others, and the bounds that it must keep. Nobody tells it
// how many instances there are.
type Deployment struct {
	// Instance is the instance's name.
	Instance string
	// Domain is its failure domain.
	Domain string
	// IP is the address under which the other instances reach it.
	IP string
	// Caller, Balancer and Control are the addresses to listen on for
	// callers, readiness checks, and operators and upstreams; empty for what
	// the instance does not serve.
	Caller   string
	Balancer string
	Control  string
	// PeerPort is the port for messages between instances, the same on all.
	PeerPort int
	// Seeds are control addresses of a few instances, as IP:port.
	Seeds []string
	// DataFolder keeps the durable state; empty for an instance without disk.
	DataFolder string
	// FirstStart is true when the whole system starts for the first time.
	FirstStart bool
	// LostInstances is how many instances with a disk may be lost at once.
	LostInstances int
	// MemoryMB is the memory limit of the process in megabytes.
	MemoryMB int
	Bounds   Bounds
}

// Bounds are the limits that the platform's users set.
type Bounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the repeats of a service
	// over all entries: ratio times the requests of a window, and slack more.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdFactor and ColdSlack widen a cold upstream's rate to the limit that
	// must not be passed in any second.
	ColdFactor float64
	ColdSlack  float64
}

// Voters is how many instances hold the log, so that a majority remains when
// as many as may be lost are lost.
func (d Deployment) Voters() int { return 2*d.LostInstances + 1 }

// Check returns a [service.FieldError] for the first field that is wrong. The
// file is where the settings come from.
func (d Deployment) Check(file string) error {
	wrong := func(field string, value any, allowed string) error {
		return &service.FieldError{Document: file, Field: field, Value: value, Allowed: allowed}
	}
	if d.Instance == "" {
		return wrong("instance", `""`, "a name")
	}
	if net.ParseIP(d.IP) == nil {
		return wrong("ip", fmt.Sprintf("%q", d.IP), "an IP address")
	}
	listen := []struct{ name, value string }{{"caller", d.Caller}, {"balancer", d.Balancer}, {"control", d.Control}}
	for _, l := range listen {
		if l.value != "" && !validAddress(l.value) {
			return wrong("listen."+l.name, fmt.Sprintf("%q", l.value), "IP:port")
		}
	}
	for i, s := range d.Seeds {
		if !validAddress(s) {
			return wrong(fmt.Sprintf("seeds[%d]", i), fmt.Sprintf("%q", s), "IP:port")
		}
	}
	switch {
	case d.PeerPort < 1 || d.PeerPort > 65535:
		return wrong("peer_port", d.PeerPort, "1 to 65535")
	case len(d.Seeds) == 0:
		return wrong("seeds", "empty", "one address or more")
	case d.Control != "" && d.DataFolder == "":
		return wrong("data_folder", `""`, "a folder on an instance that serves control")
	case d.LostInstances < 0 || d.LostInstances > 3:
		return wrong("lost_instances", d.LostInstances, "0 to 3")
	}
	return nil
}
