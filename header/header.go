// Package header holds what callers, entries and upstreams tell each other in
// HTTP headers beside the request itself, and which headers concern one
// connection only.
//
// The names differ from deployment to deployment; an adapter gives them.
//
// # Usage
//
//	names := platform.HeaderNames()
//	load, ok := header.ParseLoad(response.Header.Get(names.Load))
package header

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/oriolepost/oriolepost/placement"
)

// Names are the names of the headers.
type Names struct {
	// RequestID identifies one attempt of a caller; upstreams echo it.
	RequestID string
	// Deadline holds how many milliseconds the sender still waits.
	Deadline string
	// Target names the upstream that is to run the request.
	Target string
	// Signature marks an upstream's own answers.
	Signature string
	// NotRun is present when an upstream did not run the request.
	NotRun string
	// Load holds running, waiting, slots and pace.
	Load string
	// Cold holds how many milliseconds the upstream stays cold.
	Cold string
	// Upstream names the upstream that answered.
	Upstream string
}

// perConnection are the headers that are not forwarded.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// DropPerConnection removes the headers that concern one connection only.
func DropPerConnection(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range perConnection {
		h.Del(name)
	}
}

// ParseLoad reads a load: running, waiting, slots and, if given, the pace. The
// result is not known when the value is none.
func ParseLoad(value string) placement.Load {
	parts := strings.Split(value, ",")
	if len(parts) < 3 {
		return placement.Load{}
	}
	numbers := [4]int{3: 100}
	for i := range min(len(parts), len(numbers)) {
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || n < 0 {
			return placement.Load{}
		}
		numbers[i] = n
	}
	return placement.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], Pace: numbers[3], Known: true}
}
