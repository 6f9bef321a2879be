package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/route"
)

const (
	// maxBufferedBodyBytes is how much of a request body is buffered, so that the
	// request can be sent to an upstream again. The remainder of a longer body is
	// streamed.
	maxBufferedBodyBytes = 256 << 10
	// Defaults for limits that the configuration does not set, and for all limits
	// before the first configuration.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// minRequestLineBytes is the length that every server should accept for a request
	// line (RFC 9112, section 3). The limit for the header does not count the request
	// line.
	minRequestLineBytes = 8000
	// maxCallerTimeout replaces longer timeouts of callers.
	maxCallerTimeout = 24 * time.Hour
)

// limitsWithDefaults returns the limits of a configuration, with defaults for
// those that are not set.
func limitsWithDefaults(limits route.Limits) route.Limits {
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.BodyBytes <= 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

// Request is a caller's request.
type Request struct {
	Method string
	// Target is the path and the query as sent, without the host of a target in
	// absolute form. Path is Target without the query.
	Target string
	Path   string
	Host   string
	Header http.Header
	// ID is the value of the request ID header; empty if the caller sends none.
	ID string
	// CallerTimeout is the caller's timeout; zero when the caller sends none. A timeout
	// that has passed is the shortest duration, one nanosecond.
	CallerTimeout time.Duration
	// Received is when the header of the request was read.
	Received time.Time
	Body     []byte
	// Rest is the part of the body after Body when the body is too long to be
	// buffered; nil otherwise.
	Rest io.Reader
	// Length is the length of the whole body in bytes; -1 for a chunked body.
	Length int64
	// HasBody is true when the caller sends a body, even an empty one.
	HasBody bool
	// close is true when the caller asks to close the connection after the
	// response.
	close bool
	// http10 is true for a request in HTTP/1.0.
	http10 bool
	// conn is the connection of the request, and bodyTimeout the time for the buffered
	// part of the body. conn is nil in tests of the decoding.
	conn        *conn
	bodyTimeout time.Duration
}

// StatusError is the error for a request that can't be accepted. It holds the
// HTTP status and the text of the response.
type StatusError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *StatusError) Error() string { return e.Reason }

func malformed(reason string) error { return &StatusError{http.StatusBadRequest, reason} }

var (
	// errLineTooLong is the error for a line above the limit.
	errLineTooLong = errors.New("line too long")
	// errLineEnd is the error for a line that ends with a bare LF or holds a CR.
	errLineEnd = errors.New("line does not end with CR LF")
)

// readLine reads a line of at most limit bytes with the CR LF at its end. With an
// error it returns what it has read.
func readLine(reader *bufio.Reader, limit int) (line []byte, err error) {
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > limit:
			return line, errLineTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return line, err
		case !bytes.HasSuffix(line, []byte("\r\n")) || bytes.IndexByte(line[:len(line)-2], '\r') >= 0:
			return line, errLineEnd
		}
		return line, nil
	}
}

// requestHead is the request line and the header of a request as sent, the number of its
// fields, and how often it has those that determine the host and the length of the body.
type requestHead struct {
	bytes             []byte
	fields            int
	hosts             int
	contentLengths    int
	transferEncodings int
}

// readHead reads the request line and the header of a request line by line. It
// accepts only what can be understood in one way: every line ends with CR LF, no
// header line is folded, no name is followed by a space, and the length of the body
// is given only once. With an error it returns what it has read. The limit is that of
// the header; a request line of that length is accepted besides.
func readHead(reader *bufio.Reader, limit int) (head requestHead, err error) {
	remaining := limit
	for {
		first := len(head.bytes) == 0
		lineLimit := remaining
		if first {
			lineLimit = max(limit, minRequestLineBytes)
		}
		line, err := readLine(reader, lineLimit)
		head.bytes = append(head.bytes, line...)
		if !first {
			remaining -= len(line)
		}
		switch {
		case errors.Is(err, errLineTooLong):
			return head, &StatusError{http.StatusRequestHeaderFieldsTooLarge, "header too large"}
		case errors.Is(err, errLineEnd):
			return head, malformed("a header line does not end with CR LF")
		case err != nil:
			return head, err
		case first && len(line) == 2:
			head.bytes = nil // Empty lines before a request are skipped.
		case first:
		case len(line) == 2:
			return head, head.checkLengths()
		default:
			if err := head.addField(line); err != nil {
				return head, err
			}
		}
	}
}

// addField checks the syntax of a header line, as far as [http.ReadRequest] does not
// check it, and counts its field.
func (h *requestHead) addField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return malformed("a header line is continued")
	}
	h.fields++
	name, _, _ := bytes.Cut(line, []byte(":"))
	if bytes.ContainsAny(name, " \t") {
		return malformed("a header name holds a space")
	}
	switch strings.ToLower(string(name)) {
	case "host":
		h.hosts++
	case "content-length":
		h.contentLengths++
	case "transfer-encoding":
		h.transferEncodings++
	}
	return nil
}

func (h *requestHead) checkLengths() error {
	if h.contentLengths+h.transferEncodings > 1 {
		return malformed("the length of the body is given twice")
	}
	return nil
}

// maxIdentifyingBytes limits the ID, the host and the path that are logged of a
// request that can't be accepted.
const maxIdentifyingBytes = 256

// identify returns what can be read of a request that can't be accepted: its method,
// path, host and ID, so that it is found in the log. The request must not be served.
func identify(head []byte, names header.Names) *Request {
	firstLine, fields, _ := strings.Cut(string(head), "\n")
	request := &Request{Header: http.Header{}}
	request.Method, request.Target, _ = strings.Cut(strings.TrimSpace(firstLine), " ")
	request.Target, _, _ = strings.Cut(request.Target, " ")
	path, _, _ := strings.Cut(request.Target, "?")
	request.Path = shortened(path)
	for line := range strings.Lines(fields) {
		name, value, found := strings.Cut(line, ":")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		switch {
		case line == "\r\n":
			return request
		case !found || !strings.HasSuffix(line, "\n"):
		case request.ID == "" && strings.EqualFold(name, names.RequestID):
			request.ID = shortened(value)
		case request.Host == "" && strings.EqualFold(name, "Host"):
			request.Host = shortened(value)
		}
	}
	return request
}

func shortened(text string) string { return text[:min(len(text), maxIdentifyingBytes)] }

// parseHead parses the request line and the header of a request. The body is not
// read yet.
func parseHead(head requestHead, names header.Names, now time.Time) (*Request, error) {
	parsed, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head.bytes)))
	if err != nil {
		return nil, malformed(err.Error())
	}
	http10 := parsed.ProtoMinor == 0
	if parsed.Host == "" || head.hosts == 0 && !http10 || parsed.Method == http.MethodConnect || parsed.ProtoMajor != 1 {
		return nil, malformed("no host, or a method or protocol that is not served")
	}
	if http10 && head.transferEncodings > 0 {
		return nil, malformed("a transfer coding in HTTP/1.0")
	}
	target, err := originForm(parsed)
	if err != nil {
		return nil, err
	}
	path, _, _ := strings.Cut(target, "?")
	timeout, err := parseTimeout(parsed.Header.Get(names.Deadline))
	if err != nil {
		return nil, err
	}
	request := &Request{
		Method: parsed.Method, Target: target, Path: path, Host: parsed.Host,
		Header: parsed.Header, ID: parsed.Header.Get(names.RequestID), CallerTimeout: timeout, Received: now,
		Length: parsed.ContentLength, close: parsed.Close, http10: http10,
	}
	if len(parsed.TransferEncoding) > 0 {
		request.Length = -1
	}
	request.HasBody = request.Length != 0 || parsed.Header.Get("Content-Length") != ""
	return request, nil
}

// originForm returns the path and the query of the target. Servers must accept a
// target in absolute form, which callers send to proxies (RFC 9112, section 3.2.2).
func originForm(parsed *http.Request) (string, error) {
	target := parsed.RequestURI
	if strings.HasPrefix(target, "/") {
		return target, nil
	}
	if u := parsed.URL; u.Scheme != "http" && u.Scheme != "https" || u.Hostname() == "" || u.User != nil {
		return "", malformed("the target is not a path")
	}
	_, target, _ = strings.Cut(target, "://")
	start := strings.IndexAny(target, "/?")
	switch {
	case start < 0:
		return "/", nil
	case target[start] == '?':
		return "/" + target[start:], nil
	}
	return target[start:], nil
}

// parseTimeout parses the caller's timeout in milliseconds; an empty value means that
// there is none. It returns maxCallerTimeout for longer timeouts, and one nanosecond
// for a timeout that has passed.
func parseTimeout(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(ms) {
		return 0, malformed("the deadline is not a number of milliseconds")
	}
	nanoseconds := min(ms*float64(time.Millisecond), float64(maxCallerTimeout))
	return time.Duration(max(nanoseconds, 1)), nil
}

// expectsContinue reports whether the caller waits for status 100 (Continue)
// before it sends the body. Status 100 is unknown in HTTP/1.0.
func (r *Request) expectsContinue() bool {
	return r.HasBody && !r.http10 && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}
