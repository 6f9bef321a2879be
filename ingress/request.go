package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/route"
)

const (
	// maxKept is how many bytes of a body are kept in memory, so that the
	// request can be sent again; what follows is passed on as it comes.
	maxKept = 256 << 10
	// The limits before the first configuration.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// Limits fills what a configuration leaves open.
func Limits(l route.Limits) route.Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Request is a caller's request.
type Request struct {
	Method string
	// Target is the path and the query as sent; Path is without the query.
	Target string
	Path   string
	Host   string
	Header http.Header
	ID     string
	// Patience is how long the caller waits; zero when it does not tell.
	Patience time.Duration
	Received time.Time
	Body     []byte
	// Rest is what follows Body when the body is too long to be kept.
	Rest    io.Reader
	Length  int64
	HasBody bool
	// close is true when the caller wants the connection closed afterwards.
	close bool
	old   bool
}

// StatusError is a request that can't be taken, with the answer to it.
type StatusError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *StatusError) Error() string { return e.Reason }

func malformed(reason string) error { return &StatusError{http.StatusBadRequest, reason} }

// readHead reads the header of a request line by line. It takes only what has
// one reading: lines end with CR LF, none is continued, and the length of the
// body is given in one way.
func readHead(r *bufio.Reader, limit int) ([]byte, error) {
	var head []byte
	lengths, codings := 0, 0
	for {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		if len(head) > limit {
			return nil, &StatusError{http.StatusRequestHeaderFieldsTooLarge, "header too large"}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		start := bytes.LastIndexByte(head[:len(head)-1], '\n') + 1
		whole := head[start:]
		if !bytes.HasSuffix(whole, []byte("\r\n")) || bytes.IndexByte(whole[:len(whole)-2], '\r') >= 0 {
			return nil, malformed("a header line does not end with CR LF")
		}
		if len(whole) == 2 {
			if start == 0 {
				head = head[:0] // Empty lines before a request are skipped.
				continue
			}
			break
		}
		if start > 0 && (whole[0] == ' ' || whole[0] == '\t') {
			return nil, malformed("a header line is continued")
		}
		name, _, _ := bytes.Cut(whole, []byte(":"))
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
		}
	}
	if lengths+codings > 1 {
		return nil, malformed("the length of the body is given twice")
	}
	return head, nil
}

// parse reads a request's header; the body is still to be read.
func parse(head []byte, names header.Names, now time.Time) (*Request, error) {
	parsed, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil {
		return nil, malformed(err.Error())
	}
	if parsed.Host == "" || parsed.Method == http.MethodConnect || parsed.ProtoMajor != 1 {
		return nil, malformed("no host, or a method or protocol that is not served")
	}
	r := &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Path: parsed.URL.EscapedPath(), Host: parsed.Host,
		Header: parsed.Header, ID: parsed.Header.Get(names.RequestID), Received: now,
		Length: parsed.ContentLength, close: parsed.Close, old: parsed.ProtoMinor == 0,
	}
	if path, _, _ := strings.Cut(r.Target, "?"); strings.HasPrefix(path, "/") {
		r.Path = path
	} else {
		return nil, malformed("the target is not a path")
	}
	if len(parsed.TransferEncoding) > 0 {
		r.Length = -1
	}
	r.HasBody = r.Length != 0 || parsed.Header.Get("Content-Length") != ""
	if patience := parsed.Header.Get(names.Deadline); patience != "" {
		ms, err := strconv.ParseFloat(patience, 64)
		if err != nil || ms < 0 {
			return nil, malformed("the deadline is not a number of milliseconds")
		}
		r.Patience = time.Duration(ms * float64(time.Millisecond))
	}
	return r, nil
}

// expectsContinue reports whether the caller waits for a go-ahead.
func (r *Request) expectsContinue() bool {
	return r.HasBody && strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// readBody reads the body, or its beginning if it is long.
func (r *Request) readBody(from *bufio.Reader, limit int64) error {
	if r.Length > limit {
		return &StatusError{http.StatusRequestEntityTooLarge, "body too large"}
	}
	var body io.Reader
	switch {
	case r.Length == 0:
		return nil
	case r.Length > 0:
		body = io.LimitReader(from, r.Length)
	default:
		body = &chunkedBody{chunks: httputil.NewChunkedReader(from), from: from, left: limit}
	}
	kept, err := io.ReadAll(io.LimitReader(body, maxKept))
	if err != nil {
		return bodyError(err)
	}
	r.Body = kept
	if r.Length > 0 && int64(len(kept)) < r.Length {
		if len(kept) < maxKept {
			return malformed("the body ended early")
		}
		r.Rest = &exactBody{from: body, left: r.Length - int64(len(kept))}
	}
	if r.Length < 0 {
		return r.restOfChunks(body)
	}
	return nil
}

// restOfChunks turns a chunked body that is already whole into a counted one
// for the upstream's sake, and keeps a longer one as a stream.
func (r *Request) restOfChunks(body io.Reader) error {
	if len(r.Body) == maxKept {
		r.Rest = body
		return nil
	}
	if !body.(*chunkedBody).ended {
		return malformed("the body ended early")
	}
	return nil
}

func bodyError(err error) error {
	var status *StatusError
	var network net.Error
	if errors.As(err, &status) || errors.As(err, &network) || errors.Is(err, io.EOF) {
		return err
	}
	return malformed("the body is broken: " + err.Error())
}

// exactBody is a body that must be as long as it said.
type exactBody struct {
	from io.Reader
	left int64
}

// Read implements io.Reader.
func (b *exactBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	b.left -= int64(n)
	if errors.Is(err, io.EOF) && b.left > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a chunked body and the trailer behind it.
type chunkedBody struct {
	chunks io.Reader
	from   *bufio.Reader
	left   int64
	ended  bool
}

// maxTrailer bounds the trailer in lines; trailers are dropped.
const maxTrailer = 32

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return n, &StatusError{http.StatusRequestEntityTooLarge, "body too large"}
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for range maxTrailer {
		line, err := b.from.ReadSlice('\n')
		if err != nil || !bytes.HasSuffix(line, []byte("\r\n")) {
			return n, malformed("the trailer is broken")
		}
		if len(line) == 2 {
			b.ended = true
			return n, io.EOF
		}
	}
	return n, malformed("the trailer is too long")
}
