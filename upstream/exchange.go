package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/placement"
)

const (
	// maxBufferedBodyBytes is how much of a response body is buffered before the
	// caller receives any of it. A longer body is streamed.
	maxBufferedBodyBytes = 256 << 10
	// maxSkippedResponses is how many responses may be skipped before the one to
	// the request: responses to earlier requests, and interim ones (1xx).
	maxSkippedResponses = 2
	// networkDelayMargin is subtracted from the remaining time that is sent to
	// the upstream as its deadline. It allows for the network delay.
	networkDelayMargin = 2 * time.Millisecond
)

// Request is a request for an upstream.
type Request struct {
	Method string
	// Target is the path and the query as the caller sent them.
	Target string
	Host   string
	// Header holds the caller's headers without the hop-by-hop headers.
	Header http.Header
	// ID is the request ID that the response must echo. The first response on a
	// connection may omit it if its status is 300 or above, or if the request has
	// none.
	ID   string
	Body []byte
	// Rest is the part of the body after Body when the body is too long to be
	// buffered; nil otherwise.
	Rest io.Reader
	// Length is the length of the whole body in bytes; -1 means that it is sent
	// in chunked encoding.
	Length int64
	// HasBody is true when the caller sent a body, even an empty one.
	HasBody bool
	// Upstream is the ID of the upstream that is to run the request.
	Upstream string
	Deadline time.Time
	// Budget limits what is buffered of the response; nil means no limit.
	Budget *budget.Budget
}

// Response is an upstream's response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is the part of the body after Body when the body is too long to be
	// buffered; nil otherwise. Whoever receives it must close it, which closes the
	// connection.
	Rest io.ReadCloser
	// Length is the length of the whole body in bytes; -1 if it is not known.
	Length int64
	// Load is the upstream's load report that came with the response.
	Load placement.Load
	// Limit is what the response says about the upstream's limit.
	Limit placement.RateLimit
	// Hold is what is reserved for Body. Whoever receives it must release it.
	Hold *budget.Hold
}

// Exchange sends a request and waits for its response until the deadline of the
// request. Cancelling the context closes the connection. The response is set
// only when the outcome is [placement.Answered].
func (c *Conn) Exchange(ctx context.Context, names header.Names, request Request) (response Response, outcome placement.Outcome) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer func() {
		if !stop() {
			c.broken = true
		}
	}()
	if err := c.SetDeadline(request.Deadline); err != nil {
		c.broken = true
		return Response{}, placement.NotRun{Reason: placement.ReasonUnsent}
	}
	remaining := time.Until(request.Deadline) - networkDelayMargin
	if remaining <= 0 || ctx.Err() != nil {
		c.broken = true
		return Response{}, placement.NotRun{Reason: placement.ReasonUnsent}
	}
	var rest *callerBody
	if request.Rest != nil {
		rest = &callerBody{source: request.Rest}
		request.Rest = rest
	}
	written, writeErr := c.writeRequest(names, request, remaining)
	if writeErr != nil {
		c.broken = true
		switch {
		case written == 0:
			return Response{}, placement.NotRun{Reason: placement.ReasonUnsent}
		case rest == nil:
			return Response{}, c.failureOutcome(ctx, writeErr)
		case rest.failed:
			// The upstream waits for the rest of the body, which never comes. Waiting for its
			// response would keep the body in memory until the deadline.
			return Response{}, placement.Unknown{Reason: placement.ReasonCanceled}
		}
		// An upstream may respond before it has read the whole of a long body.
	}
	return c.readResponse(ctx, names, request)
}

// callerBody is a body that is streamed from a caller. It remembers whether the caller's
// side failed.
type callerBody struct {
	source io.Reader
	failed bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed = true
	}
	return n, err
}

// writeRequest sends the request. It returns how many bytes the connection
// accepted. For a chunked body that is streamed, the count is that of the header
// only.
func (c *Conn) writeRequest(names header.Names, request Request, remaining time.Duration) (int, error) {
	var buffer bytes.Buffer
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if err := request.Header.WriteSubset(&buffer, map[string]bool{"Host": true, names.Deadline: true, names.Target: true}); err != nil {
		return 0, err
	}
	buffer.WriteString(names.Deadline + ": " + strconv.FormatInt(remaining.Milliseconds(), 10) + "\r\n")
	buffer.WriteString(names.Target + ": " + request.Upstream + "\r\n")
	switch {
	case request.HasBody && request.Length < 0:
		buffer.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		return c.writeChunked(&buffer, request)
	case request.HasBody:
		buffer.WriteString("Content-Length: " + strconv.FormatInt(request.Length, 10) + "\r\n")
	}
	buffer.WriteString("\r\n")
	n, err := c.writeParts(&buffer, request.Body, "")
	if err != nil || request.Rest == nil {
		return n, err
	}
	restBytes, err := io.Copy(c.Conn, request.Rest)
	return n + int(restBytes), err
}

// maxCopiedBytes is the size up to which a body is copied behind its header, so that one
// write sends both. A longer one is not copied: it may be 256 KB for each attempt.
const maxCopiedBytes = 4 << 10

// writeParts writes a header, a body and what follows it.
func (c *Conn) writeParts(head *bytes.Buffer, body []byte, end string) (int, error) {
	if len(body) <= maxCopiedBytes {
		head.Write(body)
		head.WriteString(end)
		return c.Write(head.Bytes())
	}
	parts := net.Buffers{head.Bytes(), body, []byte(end)}
	n, err := parts.WriteTo(c.Conn)
	return int(n), err
}

func (c *Conn) writeChunked(buffer *bytes.Buffer, request Request) (int, error) {
	headerBytes := buffer.Len()
	if request.Rest == nil {
		end := "0\r\n\r\n"
		if len(request.Body) > 0 {
			buffer.WriteString(strconv.FormatInt(int64(len(request.Body)), 16) + "\r\n")
			end = "\r\n" + end
		}
		return c.writeParts(buffer, request.Body, end)
	}
	if _, err := c.Write(buffer.Bytes()); err != nil {
		return 0, err
	}
	w := httputil.NewChunkedWriter(c.Conn)
	_, err := io.Copy(w, io.MultiReader(bytes.NewReader(request.Body), request.Rest))
	if err == nil {
		err = w.Close()
	}
	if err == nil {
		_, err = io.WriteString(c.Conn, "\r\n")
	}
	return headerBytes, err
}

// readResponse reads responses until one belongs to the request.
func (c *Conn) readResponse(ctx context.Context, names header.Names, request Request) (Response, placement.Outcome) {
	mayBeLate := c.used
	c.used = true
	for range maxSkippedResponses + 1 {
		//nolint:bodyclose // A body that is read to its end needs no close, and whoever receives Response.Rest closes it.
		received, err := c.readHead(names, request.Method, "")
		if err != nil {
			c.broken = true
			return Response{}, c.failureOutcome(ctx, err)
		}
		if isInterim(received) {
			continue
		}
		response, err := c.readBody(received, request)
		if err != nil {
			c.broken = true
			return Response{}, c.failureOutcome(ctx, err)
		}
		id := received.Header.Get(names.RequestID)
		belongs := id == request.ID
		if id == "" {
			belongs = !mayBeLate && (received.StatusCode >= 300 || request.ID == "")
		}
		if belongs {
			classified, outcome := c.classify(names, request.ID, received, response)
			if _, answered := outcome.(placement.Answered); !answered {
				response.Hold.Release()
			}
			return classified, outcome
		}
		response.Hold.Release()
		// This is the response to an earlier request. The next one may belong to
		// this request, but the connection is not used afterwards.
		c.broken, mayBeLate = true, true
		// The remainder of a long body is not read, so no response after it can be
		// read either.
		if response.Rest != nil {
			break
		}
	}
	c.broken = true
	return Response{}, placement.Unknown{Reason: placement.ReasonMalformed}
}

// classify returns the response and the outcome for a received response that
// belongs to the request.
func (c *Conn) classify(names header.Names, id string, received *http.Response, response Response) (Response, placement.Outcome) {
	if received.Close || c.reader.Buffered() > 0 {
		c.broken = true
	}
	c.markIdle(received.Header.Get("Keep-Alive"))
	response.Load = header.ParseLoad(received.Header.Get(names.Load))
	response.Limit = names.ParseLimit(received.Header)
	claim := Claim{
		Status: received.StatusCode, Signed: received.Header.Get(names.Signature) != "",
		NotRun: received.Header.Get(names.NotRun) != "",
	}
	switch o := claim.Outcome().(type) {
	case placement.Answered:
		if o.Failed {
			c.keepRepeatable(id)
		}
		header.RemoveHopByHop(response.Header)
		names.RemoveNotice(response.Header)
		return response, o
	case placement.NotRun:
		c.keepRepeatable(id)
		return Response{}, o
	case placement.Unknown:
		c.broken = true
		return Response{}, o
	}
	return Response{}, placement.Unknown{Reason: placement.ReasonMalformed}
}

// keepRepeatable keeps the ID of a request that may be sent once more. See
// [Conn.Accepts].
func (c *Conn) keepRepeatable(id string) {
	c.repeatable = append(c.repeatable, id)
	if len(c.repeatable) >= maxRepeatableIDs {
		c.broken = true
	}
}

// readBody reads the body of a response if it can be buffered. Of a longer body
// it reads the beginning or nothing, and leaves the remainder in Rest. A response
// to HEAD has no body, and its length is that of the body that GET would get. A header that
// does not fit into the budget is an error, since it can't be passed on in parts.
func (c *Conn) readBody(received *http.Response, request Request) (Response, error) {
	response := Response{
		Status: received.StatusCode, Header: received.Header, Length: received.ContentLength, Hold: request.Budget.Hold(nil),
	}
	if !response.Hold.ReserveHeader(received.Header) {
		return Response{}, budget.ErrUsedUp
	}
	if request.Method == http.MethodHead {
		return response, nil
	}
	limit := maxBufferedBodyBytes + 1
	switch length := received.ContentLength; {
	case length > maxBufferedBodyBytes || length > maxCopiedBytes && !response.Hold.Reserve(length, 0, false):
		// Without a reservation, a shorter body is streamed too.
		response.Rest = c.stream(received.Body)
		return response, nil
	case length >= 0:
		response.Body = make([]byte, length)
		_, err := io.ReadFull(received.Body, response.Body)
		return c.whole(response, err)
	}
	buffer := budget.Buffer{Limit: limit, Grow: func(n int64) error {
		if !response.Hold.Reserve(n, 0, false) {
			return budget.ErrUsedUp
		}
		return nil
	}}
	err := buffer.Fill(received.Body)
	response.Body = buffer.Bytes
	if errors.Is(err, budget.ErrUsedUp) || err == nil && len(response.Body) == limit {
		response.Rest = c.stream(received.Body)
		return response, nil
	}
	return c.whole(response, err)
}

// stream returns the part of a body that is read while it is passed on. The connection is not
// used again.
func (c *Conn) stream(body io.Reader) io.ReadCloser {
	c.broken = true
	return &streamedBody{Reader: body, conn: c}
}

// streamedBody is the part of a body that is streamed. Its close closes the connection; that
// of the body itself would first read to its end.
type streamedBody struct {
	io.Reader
	conn *Conn
}

// Close implements io.Closer.
func (b *streamedBody) Close() error { return b.conn.Close() }

// whole returns a response whose body is buffered whole, unless that failed.
func (c *Conn) whole(response Response, err error) (Response, error) {
	if err != nil {
		response.Hold.Release()
		return Response{}, err
	}
	response.Length = int64(len(response.Body))
	return response, nil
}

// failureOutcome returns the outcome of a request that could only be sent in
// part, or whose response could not be read.
func (c *Conn) failureOutcome(ctx context.Context, err error) placement.Outcome {
	var opError *net.OpError
	switch {
	case ctx.Err() != nil:
		return placement.Unknown{Reason: placement.ReasonCanceled}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return placement.Unknown{Reason: placement.ReasonTimeout}
	case errors.As(err, &opError), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return placement.Unknown{Reason: placement.ReasonReset}
	}
	return placement.Unknown{Reason: placement.ReasonMalformed}
}
