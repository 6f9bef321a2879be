package upstream

import (
	"errors"
	"io"
	"math"
	"net/http"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/placement"
)

// maxHeadBytes limits the status line and the header of a response. A faulty
// upstream may send bytes without end, and net/http buffers a header of any size.
const maxHeadBytes = 32 << 10

// errHeadTooLong reports a response whose header has no end within maxHeadBytes.
var errHeadTooLong = errors.New("response header too long")

// limitedSource reads from a connection and fails once limit bytes were read. It
// is owned by the task that owns the connection.
type limitedSource struct {
	source io.Reader
	// remaining is the number of bytes that may still be read.
	remaining int64
}

// Read implements io.Reader.
func (l *limitedSource) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// errNotHTTP11 reports a response in another version of HTTP. net/http ignores chunked
// encoding in an HTTP/1.0 response, so the frames of the chunks would become the body.
var errNotHTTP11 = errors.New("response is not HTTP/1.1")

// readHead reads the status line and the header of the next response, and reports what
// the upstream says about itself there. The body is limited by whoever reads it. id is the
// ID of the upstream that the response to a probe must carry; empty for other requests.
func (c *Conn) readHead(names header.Names, method, id string) (*http.Response, error) {
	c.source.remaining = maxHeadBytes
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	c.source.remaining = math.MaxInt64
	switch {
	case err != nil:
		return nil, err
	case response.Proto != "HTTP/1.1":
		return nil, errNotHTTP11
	case response.StatusCode < header.MinStatus || response.StatusCode > header.MaxStatus, response.StatusCode == http.StatusSwitchingProtocols:
		return nil, errInvalidStatus
	}
	if !isInterim(response) {
		c.reportNotice(names, response, id)
	}
	return response, nil
}

// errInvalidStatus reports a status that no final or interim response has.
var errInvalidStatus = errors.New("response status is not valid")

// isInterim reports whether another response follows to the same request.
func isInterim(response *http.Response) bool { return response.StatusCode < http.StatusOK }

// reportNotice reports what a response says about the upstream. All responses on a
// connection come from the same process. Once one of them shows that this is another
// upstream, which has the address now, none says anything about the expected one.
func (c *Conn) reportNotice(names header.Names, response *http.Response, id string) {
	// A response with a request's ID is a late copy, which need not name its upstream.
	isOther := id != "" && response.Header.Get(names.RequestID) == "" && response.Header.Get(names.Upstream) != id
	if response.StatusCode == http.StatusMisdirectedRequest || isOther {
		c.misdirected = true
	}
	if n := names.ParseNotice(response); !c.misdirected && c.OnNotice != nil && n != (placement.Notice{}) {
		c.OnNotice(n)
	}
}
