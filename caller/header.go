package caller

import (
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/server"
)

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeader returns a copy of a header without its hop-by-hop fields: those
// in hopByHopHeaders and those that the Connection field names.
func endToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// requestHeader returns the request header of an attempt: the caller's end-to-end
// fields, with Via, X-Forwarded-For, the depth and the remaining time.
func requestHeader(request *http.Request, depth int, deadline time.Time) http.Header {
	header := endToEndHeader(request.Header)
	header.Del("Expect")
	header.Add("Via", "1.1 oriolepost")
	if host, _, err := net.SplitHostPort(request.RemoteAddr); err == nil {
		prior := strings.Join(header["X-Forwarded-For"], ", ")
		if prior != "" {
			host = prior + ", " + host
		}
		header.Set("X-Forwarded-For", host)
	}
	header.Set(HeaderDepth, strconv.Itoa(depth))
	header.Set(HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	if _, ok := header["User-Agent"]; !ok {
		// A nil value keeps net/http from adding a User-Agent of its own.
		header["User-Agent"] = nil
	}
	return header
}

// copyResponseHeader copies the end-to-end fields of a server's response to the
// response for the caller, and sets the outcome header. It removes
// [server.HeaderNotRun]: the response counts as an answer of the server.
func copyResponseHeader(to, from http.Header) {
	for name, values := range endToEndHeader(from) {
		to[name] = values
	}
	to.Del(server.HeaderNotRun)
	to.Set(HeaderOutcome, "answered")
}

// announceTrailers adds the names of the trailers that follow the body to the
// Trailer field.
func announceTrailers(to http.Header, trailer http.Header) {
	for name := range trailer {
		to.Add("Trailer", name)
	}
}

// copyTrailers sets the trailers, which are sent after the body. Those that were
// not announced need the prefix of net/http.
func copyTrailers(to, trailer http.Header, announced map[string]bool) {
	for name, values := range trailer {
		if !announced[name] {
			name = http.TrailerPrefix + name
		}
		to[name] = values
	}
}

func nameSet(h http.Header) map[string]bool {
	n := map[string]bool{}
	for name := range h {
		n[name] = true
	}
	return n
}
