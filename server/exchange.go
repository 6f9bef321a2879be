package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/header"
)

// HeaderNotRun is set by a server that did not run a call, on an answer with
// status 429 or 503. Any value but the empty one counts. Instances also set it on
// their own answers to calls that were not run.
const HeaderNotRun = "Oriolepost-Not-Run"

// HeaderNoRetry on an answer asks the instances further up the chain of calls not
// to retry the call. On a caller's request it forbids retries of that call. Any
// value but the empty one counts.
const HeaderNoRetry = "Oriolepost-No-Retry"

// HeaderDomain carries the failure domain of the calling instance to the server.
const HeaderDomain = "Oriolepost-Failure-Domain"

// Attempt is a request to a server.
type Attempt struct {
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Trailer http.Header
	// Body is nil for a request without one.
	Body io.Reader
	// Length is the length of the body in bytes, negative when it is not known.
	Length int64
	// NotAfter is the end of the slot's lease. The attempt must start before it.
	NotAfter time.Time
}

// Result is the result of an attempt: a response whose body has not been read yet,
// or an outcome without a response.
type Result struct {
	// Response is nil unless Outcome is Answered.
	Response *http.Response
	// Outcome is Answered if and only if Response is set. A rejection by the
	// server (see [HeaderNotRun]) is NotRun.
	Outcome call.Outcome
	// ServiceTime is the time, connecting included, until the header of the answer
	// was read or the attempt failed. It is zero if the attempt was not started.
	ServiceTime time.Duration
	// NoRetry is true when the server did not run the call and forbade retries.
	NoRetry bool
}

// Exchange sends a request and reads the header of the answer. The caller must
// close the body of the response. If the slot's lease has expired, Exchange sends
// nothing.
func (c *Connection) Exchange(ctx context.Context, attempt Attempt) Result {
	if !time.Now().Before(attempt.NotAfter) {
		return Result{Outcome: call.NotRun{Reason: call.ReasonNoLease}}
	}
	var conn *monitoredConn
	var writtenBefore int64
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn, _ = i.Conn.(*monitoredConn)
		writtenBefore = conn.writtenBytes.Load()
	}}
	request, err := attempt.request(httptrace.WithClientTrace(ctx, trace), c.Server.Address)
	if err != nil {
		return Result{Outcome: call.NotRun{Reason: call.ReasonMalformed}}
	}
	start := time.Now()
	response, err := c.transport.RoundTrip(request)
	took := time.Since(start)
	if err != nil {
		nothingWritten := conn == nil || conn.writtenBytes.Load() == writtenBefore
		return Result{Outcome: failedOutcome(ctx, err, nothingWritten), ServiceTime: took}
	}
	if response.Close && conn != nil {
		conn.closeExpected.Store(true)
	}
	return responseResult(response, took)
}

// request builds the outgoing request. Its body is never nil and has no GetBody.
// Otherwise net/http would retry the request by itself when a reused connection
// breaks.
func (a Attempt) request(ctx context.Context, address string) (*http.Request, error) {
	target, err := url.ParseRequestURI(a.URI)
	if err != nil {
		return nil, err
	}
	target.Scheme = "http"
	target.Host = address
	r := &http.Request{
		Method: a.Method, URL: target, Host: a.Host, Header: a.Header, Trailer: a.Trailer,
		Body: a.body(), ContentLength: a.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return r.WithContext(ctx), nil
}

// body returns a body that net/http does not retry. By itself, net/http would
// retry a request with an empty body if its method is GET, HEAD, OPTIONS or
// TRACE, or if it has an idempotency key, even an empty one. Such a request gets an
// empty body of a type that net/http does not recognize as empty. Any other request
// with an empty body keeps [http.NoBody]: net/http sends it again only if nothing was written.
func (a Attempt) body() io.ReadCloser {
	if a.Body != nil {
		return oneTimeBody{a.Body}
	}
	_, keyed := a.Header["Idempotency-Key"]
	_, otherKeyed := a.Header["X-Idempotency-Key"]
	switch a.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return oneTimeBody{http.NoBody}
	}
	if keyed || otherKeyed {
		return oneTimeBody{http.NoBody}
	}
	return http.NoBody
}

// oneTimeBody is a body that net/http can't rewind.
type oneTimeBody struct{ io.Reader }

// Close implements io.Closer and does nothing: the HTTP server that received the
// caller's request closes its body.
func (oneTimeBody) Close() error { return nil }

func failedOutcome(ctx context.Context, err error, nothingWritten bool) call.Outcome {
	var connect *connectError
	switch {
	case errors.As(err, &connect):
		return call.NotRun{Reason: call.ReasonConnectFailed}
	case nothingWritten && ctx.Err() != nil:
		return call.NotRun{Reason: contextReason(ctx)}
	case nothingWritten:
		return call.NotRun{Reason: call.ReasonConnectFailed}
	case ctx.Err() != nil:
		return call.Unknown{Reason: contextReason(ctx)}
	}
	return call.Unknown{Reason: call.ReasonConnectionLost}
}

func contextReason(ctx context.Context) call.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return call.ReasonDeadline
	}
	return call.ReasonCanceled
}

// maxDiscardedBytes limits how much of an unneeded body is read so that its
// connection can be reused.
const maxDiscardedBytes = 4 << 10

// responseResult returns the result for a response: not run if the server shed the
// call, which is status 429 or 503 with [HeaderNotRun], unknown if it has no status of a
// final answer, and answered otherwise.
func responseResult(response *http.Response, took time.Duration) Result {
	status := response.StatusCode
	if status < http.StatusOK || status > header.MaxStatus {
		_ = response.Body.Close()
		return Result{Outcome: call.Unknown{Reason: call.ReasonAnswerMalformed}, ServiceTime: took}
	}
	shed := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if !shed || response.Header.Get(HeaderNotRun) == "" {
		return Result{Response: response, Outcome: call.Answered{Status: status}, ServiceTime: took}
	}
	_, _ = io.CopyN(io.Discard, response.Body, maxDiscardedBytes)
	_ = response.Body.Close()
	return Result{
		Outcome: call.NotRun{Reason: call.ReasonShed}, ServiceTime: took,
		NoRetry: response.Header.Get(HeaderNoRetry) != "",
	}
}

// ProbePath is the path at which a server reports its load.
const ProbePath = "/oriolepost/load"

// probeTimeout limits the time of a probe, which is normally about 6 ms.
const probeTimeout = 500 * time.Millisecond

// Probe requests the server's load once and discards the answer. It returns false
// if no answer came within probeTimeout, if the server shed the request, or if the
// status was 500 or above.
func (c *Connection) Probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r := c.Exchange(ctx, Attempt{
		Method: http.MethodGet, URI: ProbePath, Host: c.Server.Service,
		Header: http.Header{}, NotAfter: time.Now().Add(probeTimeout),
	})
	if r.Response == nil {
		return false
	}
	_, _ = io.CopyN(io.Discard, r.Response.Body, maxDiscardedBytes)
	return r.Response.Body.Close() == nil && r.Response.StatusCode < http.StatusInternalServerError
}
