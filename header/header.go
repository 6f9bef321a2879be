// Package header reads the HTTP headers that callers, entries and upstreams add
// to requests and responses, and removes the headers that an entry must not
// forward.
//
// The names of the headers differ between deployments, so the platform adapter
// supplies them as [Names].
//
// # Usage
//
//	names := platform.HeaderNames()
//	load := header.ParseLoad(response.Header.Get(names.Load))
//	if load.Known { ... }
package header

import (
	"errors"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/oriolepost/oriolepost/placement"
)

// MinStatus and MaxStatus are the lowest and the highest status of HTTP. net/http accepts any
// three digits in a response.
const (
	MinStatus = 100
	MaxStatus = 599
)

// Names holds the names of the headers in one deployment.
type Names struct {
	// RequestID identifies one try of a caller. Upstreams echo it.
	RequestID string
	// Deadline holds the remaining time, in milliseconds, for which the sender
	// waits for the response.
	Deadline string
	// Target holds the ID of the upstream that is to run the request.
	Target string
	// Signature marks a response that an upstream itself produced.
	Signature string
	// NotRun is present in a response when the upstream did not run the request.
	NotRun string
	// Load holds an upstream's load report; see [ParseLoad].
	Load string
	// Cold holds the time, in milliseconds, for which the upstream stays cold.
	Cold string
	// Upstream holds the ID of the upstream that produced the response.
	Upstream string
	// Leaving is present in a response when the upstream that produced it leaves.
	Leaving string
	// Limit holds the number of requests a second that the upstream takes from all entries
	// together, while it limits them; see [Names.ParseLimit].
	Limit string
	// Credential holds the key of the caller's workspace, after the scheme "Bearer".
	Credential string
	// Workspace holds the name of the workspace for which an upstream runs a request.
	Workspace string
}

// retryAfter is the header in which a response with status 503 states, in seconds with
// fractions, for how long the upstream wants nothing from this entry.
const retryAfter = "Retry-After"

// maxRestTextBytes limits the part of a stated time that is kept for the log.
const maxRestTextBytes = 32

// ParseNotice returns what an upstream says about itself in the header of a response.
// Any value marks it as leaving, except an empty one and 0.
func (n Names) ParseNotice(response *http.Response) placement.Notice {
	value := textproto.TrimString(response.Header.Get(n.Leaving))
	notice := placement.Notice{Leaving: value != "" && value != "0", Limit: n.ParseLimit(response.Header)}
	if lines := response.Header[retryAfter]; response.StatusCode == http.StatusServiceUnavailable && len(lines) > 0 {
		text := textproto.TrimString(lines[0])
		notice.RestAsked, notice.RestSeconds = true, parseNumber(text)
		notice.RestText = text[:min(len(text), maxRestTextBytes)]
	}
	return notice
}

// parseNumber returns NaN if the text is not a number, and an infinite number if it is
// too large.
func parseNumber(text string) float64 {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return math.NaN()
	}
	return number
}

// ParseLimit returns the limit that a response names. A value that is not a number of zero
// or more is ignored.
func (n Names) ParseLimit(h http.Header) placement.RateLimit {
	if n.Limit == "" {
		return placement.RateLimit{}
	}
	perSecond := parseNumber(textproto.TrimString(h.Get(n.Limit)))
	if math.IsNaN(perSecond) || perSecond < 0 {
		return placement.RateLimit{}
	}
	return placement.RateLimit{Stated: true, PerSecond: perSecond}
}

// RemoveNotice removes what an upstream says about itself: that it leaves, and its limit.
// It concerns this entry and one upstream, and says nothing about the service that the
// caller sees. A response that asks for rest is not forwarded.
func (n Names) RemoveNotice(h http.Header) {
	h.Del(n.Leaving)
	h.Del(n.Limit)
}

// hopByHopHeaders are not forwarded. Besides the headers that concern a single
// connection, these are Content-Length, which an entry sets again, and Expect,
// which it handles itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// RemoveHopByHop removes the hop-by-hop headers, including those that the
// Connection header lists.
func RemoveHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// ParseLoad parses a load report: the numbers of running and waiting requests,
// the number of slots and the slowdown in percent of nominal, separated by
// commas. A missing slowdown counts as 100. If the value is missing or
// malformed, ParseLoad returns a Load whose Known is false.
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
	return placement.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], Slowdown: numbers[3], Known: true}
}
