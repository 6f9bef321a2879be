package settings

import (
	"fmt"
	"net"
	"time"

	"github.com/oriolepost/oriolepost/service"
)

// Deployment holds the settings of an instance that a platform starts: its own
// identity and addresses, addresses of other instances, and the limits that it
// must keep. The number of instances is not among them: no instance knows it.
// Package platform decodes a Deployment from the platform's settings file.
type Deployment struct {
	// Instance is the instance's name.
	Instance string
	// Domain is its failure domain.
	Domain string
	// IP is the address at which the other instances reach it.
	IP string
	// Caller, Balancer and Control are the addresses to listen on, as IP:port:
	// Caller for callers, Balancer for readiness checks, Control for operators
	// and upstreams. An empty one is not served by this instance.
	Caller   string
	Balancer string
	Control  string
	// PeerPort is the port for messages between instances, the same on all.
	PeerPort int
	// Seeds are control addresses of a few instances, as IP:port.
	Seeds []string
	// DataFolder is the path of the folder with the durable state. It is empty
	// for an instance without a disk.
	DataFolder string
	// FirstStart is true when the whole system starts for the first time. Only
	// then may instances bootstrap the voter group.
	FirstStart bool
	// LostInstances is the number of instances with a disk that may be lost at
	// the same time. It sets the number of voters.
	LostInstances int
	// MemoryMB is the memory limit of the process in MiB; 0 if the platform
	// names none.
	MemoryMB int
	// MaxFDs is the limit on the open descriptors of the process; 0 if the platform
	// names none.
	MaxFDs int
	Bounds Bounds
}

// Bounds are the limits that the platform's users set for all instances.
type Bounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// RetryRatio, RetryWindow and RetrySlack limit the retries and hedges of a
	// service over all entries together: in any window of length RetryWindow,
	// at most RetryRatio times the requests, plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdFactor and ColdSlack set the limit on the requests that a cold
	// upstream gets in any second: its cold rate times ColdFactor, plus
	// ColdSlack.
	ColdFactor float64
	ColdSlack  float64
	// Revocation is the time after the acknowledgement of a configuration that revokes a
	// key, from which on no instance may run a request with it, in contact with the others
	// or not. Zero means that only instances in contact are bound.
	Revocation time.Duration
	// QuotaWindow, QuotaOverage and QuotaSlack limit the requests of a workspace that has a
	// quota, over all entries together: in any window of length QuotaWindow, at most its
	// rate times the window plus its burst, that times 1 + QuotaOverage, plus QuotaSlack.
	// Without a window, quotas are not enforced.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// ExposureShare and ExposureSlack limit the requests that a bad version of a service may
	// get in its roll-out: the share of the service's requests until the deadline, plus the
	// slack. A share above zero also keeps versions that no roll-out has named from getting
	// requests. RollBack is the time after the fiftieth bad response from which a bad version
	// gets no more requests.
	ExposureShare float64
	ExposureSlack float64
	RollBack      time.Duration
}

// Voters returns the number of voters that is needed for a majority to remain
// after the loss of LostInstances of them.
func (d Deployment) Voters() int { return 2*d.LostInstances + 1 }

// Check returns a [service.FieldError] for the first invalid field. The file is
// the one that the settings were read from; the error names it.
func (d Deployment) Check(file string) error {
	fieldError := func(field string, value any, allowed string) error {
		return &service.FieldError{Document: file, Field: field, Value: value, Allowed: allowed}
	}
	if d.Instance == "" {
		return fieldError("instance", `""`, "a name")
	}
	if net.ParseIP(d.IP) == nil {
		return fieldError("ip", fmt.Sprintf("%q", d.IP), "an IP address")
	}
	listen := []struct{ name, value string }{{"caller", d.Caller}, {"balancer", d.Balancer}, {"control", d.Control}}
	for _, l := range listen {
		if l.value != "" && !validAddress(l.value) {
			return fieldError("listen."+l.name, fmt.Sprintf("%q", l.value), "IP:port")
		}
	}
	for i, s := range d.Seeds {
		if !validAddress(s) {
			return fieldError(fmt.Sprintf("seeds[%d]", i), fmt.Sprintf("%q", s), "IP:port")
		}
	}
	switch {
	case d.PeerPort < 1 || d.PeerPort > 65535:
		return fieldError("peer_port", d.PeerPort, "1 to 65535")
	case len(d.Seeds) == 0:
		return fieldError("seeds", "empty", "one address or more")
	case d.Control != "" && d.DataFolder == "":
		return fieldError("data_folder", `""`, "a folder on an instance that serves control")
	case d.LostInstances < 0 || d.LostInstances > 3:
		return fieldError("lost_instances", d.LostInstances, "0 to 3")
	case d.MemoryMB < 0:
		return fieldError("memory_mb", d.MemoryMB, "0 or more")
	case d.MaxFDs < 0:
		return fieldError("max_fds", d.MaxFDs, "0 or more")
	}
	return nil
}
