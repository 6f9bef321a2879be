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

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwarded copies a header without what concerns one connection only.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// requestHeader makes the header of an attempt.
func requestHeader(r *http.Request, depth int, deadline time.Time) http.Header {
	h := forwarded(r.Header)
	h.Del("Expect")
	h.Add("Via", "1.1 oriolepost")
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		prior := strings.Join(h["X-Forwarded-For"], ", ")
		if prior != "" {
			host = prior + ", " + host
		}
		h.Set("X-Forwarded-For", host)
	}
	h.Set(HeaderDepth, strconv.Itoa(depth))
	h.Set(HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	if _, ok := h["User-Agent"]; !ok {
		// An absent value keeps the library from adding its own.
		h["User-Agent"] = nil
	}
	return h
}

// copyResponseHeader copies a server's header to the caller's answer.
func copyResponseHeader(to, from http.Header) {
	for name, values := range forwarded(from) {
		to[name] = values
	}
	to.Del(server.HeaderNotRun)
	to.Set(HeaderOutcome, "answered")
}

// announceTrailers names the trailers that the answer's body is followed by.
func announceTrailers(to http.Header, trailer http.Header) {
	for name := range trailer {
		to.Add("Trailer", name)
	}
}

// copyTrailers sends the trailers after the body. Those that were not
// announced need the library's prefix.
func copyTrailers(to, trailer http.Header, announced map[string]bool) {
	for name, values := range trailer {
		if !announced[name] {
			name = http.TrailerPrefix + name
		}
		to[name] = values
	}
}

func names(h http.Header) map[string]bool {
	n := map[string]bool{}
	for name := range h {
		n[name] = true
	}
	return n
}
