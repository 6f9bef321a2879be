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
)

// HeaderNotRun is set by a server that did not run a call, on an answer with
// status 429 or 503. The system sets it on its own answers as well.
const HeaderNotRun = "Oriolepost-Not-Run"

// HeaderNoRetry on an answer asks the instances further up the chain not to
// try the call again.
const HeaderNoRetry = "Oriolepost-No-Retry"

// HeaderDomain tells a server the failure domain of the instance that calls.
const HeaderDomain = "Oriolepost-Failure-Domain"

// Attempt is what is sent to a server.
type Attempt struct {
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Trailer http.Header
	// Body is nil for a request without one.
	Body io.Reader
	// Length is the length of the body, negative when it is not known.
	Length int64
	// NotAfter is when the lease of the slot ends.
	NotAfter time.Time
}

// Result is how an attempt began to end: with a response whose body is still
// to be read, or with an outcome.
type Result struct {
	// Response is nil unless the server answered.
	Response *http.Response
	// Outcome is Answered if and only if Response is set.
	Outcome call.Outcome
	// Took is the time until the header of the answer was read.
	Took time.Duration
	// NoRetry is true when the server forbade retries.
	NoRetry bool
}

// Exchange sends a request and reads the header of the answer. The body of
// the response must be closed.
func (c *Connection) Exchange(ctx context.Context, a Attempt) Result {
	if !time.Now().Before(a.NotAfter) {
		return Result{Outcome: call.NotRun{Reason: call.ReasonNoLease}}
	}
	var conn *watchedConn
	var before int64
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		conn, _ = i.Conn.(*watchedConn)
		before = conn.written.Load()
	}}
	request, err := a.request(httptrace.WithClientTrace(ctx, trace), c.Server.Address)
	if err != nil {
		return Result{Outcome: call.NotRun{Reason: call.ReasonMalformed}}
	}
	began := time.Now()
	response, err := c.transport.RoundTrip(request)
	took := time.Since(began)
	if err != nil {
		untouched := conn == nil || conn.written.Load() == before
		return Result{Outcome: failure(ctx, err, untouched), Took: took}
	}
	if response.Close && conn != nil {
		conn.closing.Store(true)
	}
	return answered(response, took)
}

// request builds the outgoing request. Its body is never nil, and can't be
// read twice, because the library would otherwise repeat the request by
// itself when a kept connection breaks.
func (a Attempt) request(ctx context.Context, address string) (*http.Request, error) {
	u, err := url.ParseRequestURI(a.URI)
	if err != nil {
		return nil, err
	}
	u.Scheme = "http"
	u.Host = address
	r := &http.Request{
		Method: a.Method, URL: u, Host: a.Host, Header: a.Header, Trailer: a.Trailer,
		Body: a.body(), ContentLength: a.Length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	return r.WithContext(ctx), nil
}

// body gives the library nothing that it takes for repeatable: an empty body
// is, in a call whose method or whose idempotency key looks harmless to it.
func (a Attempt) body() io.ReadCloser {
	if a.Body != nil {
		return once{a.Body}
	}
	keyed := a.Header.Get("Idempotency-Key") != "" || a.Header.Get("X-Idempotency-Key") != ""
	switch a.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return once{http.NoBody}
	}
	if keyed {
		return once{http.NoBody}
	}
	return http.NoBody
}

// once is a body that the library can't rewind.
type once struct{ io.Reader }

// Close implements io.Closer. The caller's body is closed by its own server.
func (once) Close() error { return nil }

func failure(ctx context.Context, err error, untouched bool) call.Outcome {
	var connect *connectError
	switch {
	case errors.As(err, &connect):
		return call.NotRun{Reason: call.ReasonConnect}
	case untouched && ctx.Err() != nil:
		return call.NotRun{Reason: contextReason(ctx)}
	case untouched:
		return call.NotRun{Reason: call.ReasonConnect}
	case ctx.Err() != nil:
		return call.Unknown{Reason: contextReason(ctx)}
	}
	return call.Unknown{Reason: call.ReasonReset}
}

func contextReason(ctx context.Context) call.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return call.ReasonDeadline
	}
	return call.ReasonCanceled
}

// maxShedBody bounds how much of a shed answer is read to keep its connection.
const maxShedBody = 4 << 10

func answered(response *http.Response, took time.Duration) Result {
	status := response.StatusCode
	shed := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if !shed || response.Header.Get(HeaderNotRun) == "" {
		return Result{Response: response, Outcome: call.Answered{Status: status}, Took: took}
	}
	_, _ = io.CopyN(io.Discard, response.Body, maxShedBody)
	_ = response.Body.Close()
	return Result{
		Outcome: call.NotRun{Reason: call.ReasonShed}, Took: took,
		NoRetry: response.Header.Get(HeaderNoRetry) != "",
	}
}

// ProbePath answers a server's load.
const ProbePath = "/oriolepost/load"

// probeTimeout bounds a probe; one takes about 6 ms.
const probeTimeout = 500 * time.Millisecond

// Probe asks the server for its load once.
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
	_, _ = io.CopyN(io.Discard, r.Response.Body, maxShedBody)
	return r.Response.Body.Close() == nil && r.Response.StatusCode < http.StatusInternalServerError
}
