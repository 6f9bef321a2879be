package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/oriolepost/oriolepost/service"
)

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Version is the version of the upstream's software. It is empty in logs and
	// snapshots written before it was recorded.
	Version string `json:"version,omitempty"`
	// Address is the IP:port that accepts requests.
	Address string `json:"address"`
	// Domain is the upstream's failure domain.
	Domain string `json:"failure_domain"`
	// Slots is the number of requests that the upstream handles at a time.
	Slots int `json:"slots"`
	// StartMS is the start time in Unix milliseconds. It distinguishes the
	// incarnations that share an id or an address.
	StartMS int64 `json:"born_ms"`
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"-"`
	Draining bool   `json:"draining,omitempty"`
	// ColdMS is the remaining time for which the upstream is cold, in
	// milliseconds.
	ColdMS int64 `json:"cold_ms,omitempty"`
	// Revision is the table's revision at the last change of this upstream.
	Revision uint64 `json:"-"`
}

// Validate returns a [service.FieldError] for the first invalid field.
func (u Upstream) Validate() error {
	switch {
	case u.ID == "":
		return fieldError("id", `""`, "the upstream's id")
	case u.Service == "":
		return fieldError("service", `""`, "a service")
	case u.Domain == "":
		return fieldError("failure_domain", `""`, "a failure domain")
	case u.Slots < 1 || u.Slots > maxSlots:
		return fieldError("slots", u.Slots, fmt.Sprintf("1 to %d", maxSlots))
	case u.ColdMS < 0 || u.ColdMS > maxColdMS:
		return fieldError("cold_ms", u.ColdMS, fmt.Sprintf("0 to %d", maxColdMS))
	case u.StartMS <= 0:
		return fieldError("born_ms", u.StartMS, "a Unix time in milliseconds")
	}
	if err := ValidateStart(u.StartMS); err != nil {
		return err
	}
	if !validAddress(u.Address) {
		return fieldError("address", fmt.Sprintf("%q", u.Address), "IP:port")
	}
	return nil
}

// ValidateStart returns a [service.FieldError] for a start time in the far future. Such an
// incarnation would count as newer than every other one of its id or its address.
func ValidateStart(startMS int64) error {
	if startMS > maxStartMS {
		return fieldError("born_ms", startMS, fmt.Sprintf("%d at most", int64(maxStartMS)))
	}
	return nil
}

const (
	// maxPort is the highest TCP port.
	maxPort = 65535
	// maxSlots and maxColdMS are far above what any upstream has, and low enough for sums
	// over a fleet. maxStartMS is the end of the year 9999.
	maxSlots   = 1_000_000
	maxColdMS  = 24 * 60 * 60 * 1000
	maxStartMS = 253402300799999
)

// validAddress reports whether an address is an IPv4 address with a port.
func validAddress(address string) bool {
	host, port, ok := strings.Cut(address, ":")
	parts := strings.Split(host, ".")
	if n, err := strconv.Atoi(port); !ok || err != nil || n < 1 || n > maxPort || len(parts) != 4 {
		return false
	}
	return !slices.ContainsFunc(parts, func(part string) bool {
		_, err := strconv.ParseUint(part, 10, 8)
		return err != nil
	})
}

// fieldError returns the error for an invalid field of an announcement.
func fieldError(field string, value any, allowed string) error {
	return &service.FieldError{Document: "announcement", Field: field, Value: value, Allowed: allowed}
}
