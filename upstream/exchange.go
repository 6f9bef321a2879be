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
}

// Response is an upstream's response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is the part of the body after Body when the body is too long to be
	// buffered; nil otherwise. Whoever receives it must close it.
	Rest io.ReadCloser
	// Length is the length of the whole body in bytes; -1 if it is not known.
	Length int64
	// Load is the upstream's load report that came with the response.
	Load placement.Load
	// Limit is what the response says about the upstream's limit.
	Limit placement.RateLimit
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
	written, writeErr := c.writeRequest(names, request, remaining)
	if writeErr != nil {
		c.broken = true
		if written == 0 {
			return Response{}, placement.NotRun{Reason: placement.ReasonUnsent}
		}
		if request.Rest == nil {
			return Response{}, c.failureOutcome(ctx, writeErr)
		}
		// An upstream may respond before it has read the whole of a long body.
	}
	return c.readResponse(ctx, names, request)
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
	buffer.Write(request.Body)
	n, err := c.Write(buffer.Bytes())
	if err != nil || request.Rest == nil {
		return n, err
	}
	restBytes, err := io.Copy(c.Conn, request.Rest)
	return n + int(restBytes), err
}

func (c *Conn) writeChunked(buffer *bytes.Buffer, request Request) (int, error) {
	headerBytes := buffer.Len()
	if request.Rest == nil {
		w := httputil.NewChunkedWriter(buffer)
		if len(request.Body) > 0 {
			_, _ = w.Write(request.Body)
		}
		_ = w.Close()
		buffer.WriteString("\r\n")
		return c.Write(buffer.Bytes())
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
		if received.StatusCode < 200 {
			continue
		}
		response, err := c.readBody(received, request.Method)
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
			return c.classify(names, request.ID, received, response)
		}
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
// to HEAD has no body, and its length is that of the body that GET would get.
func (c *Conn) readBody(received *http.Response, method string) (Response, error) {
	response := Response{Status: received.StatusCode, Header: received.Header, Length: received.ContentLength}
	if method == http.MethodHead {
		return response, nil
	}
	if received.ContentLength > maxBufferedBodyBytes {
		response.Rest = received.Body
		c.broken = true
		return response, nil
	}
	var err error
	response.Body, err = io.ReadAll(io.LimitReader(received.Body, maxBufferedBodyBytes+1))
	if err != nil {
		return Response{}, err
	}
	if len(response.Body) > maxBufferedBodyBytes {
		response.Rest = received.Body
		c.broken = true
		return response, nil
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
