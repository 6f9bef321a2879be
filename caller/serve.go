package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/server"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/settings"
)

// maxKeyLength bounds an idempotency key in bytes.
const maxKeyLength = 255

// exchange is one call while it is served. Its goroutine owns it.
type exchange struct {
	server   *Server
	writer   http.ResponseWriter
	request  *http.Request
	document service.Document
	call     call.Request
	key      string
	body     *body
	ctx      context.Context
	span     trace.Span
	// outcome combines the attempts that ended.
	outcome call.Outcome
	// begun is true once a server's answer goes out to the caller.
	begun bool
	// capture keeps the answer of a keyed call.
	capture *capture
}

// serve takes one call from its header to its end.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	began := time.Now()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.options.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{server: s, writer: w, request: r, span: span}
	outcome := x.run(ctx, began)
	s.count(fmt.Sprintf(`oriolepost_calls_total{service=%q,outcome=%q,reason=%q}`,
		x.document.Name, call.OutcomeName(outcome), call.OutcomeReason(outcome)))
	s.observe(fmt.Sprintf(`oriolepost_call_seconds{service=%q}`, x.document.Name), time.Since(began))
	span.SetAttributes(
		attribute.String("service", x.document.Name),
		attribute.String("outcome", call.OutcomeName(outcome)),
		attribute.String("reason", string(call.OutcomeReason(outcome))),
	)
}

// run serves the call and writes an answer of the system if no server's
// answer was written.
func (x *exchange) run(ctx context.Context, began time.Time) call.Outcome {
	outcome := x.prepare(ctx, began)
	if outcome == nil {
		ctx, cancel := context.WithDeadline(ctx, x.call.Deadline)
		defer cancel()
		x.ctx = ctx
		outcome = x.dispatch()
	}
	if !x.begun {
		x.boundWrite()
		writeProblem(x.writer, x.server.options.Instance, outcome)
	}
	return outcome
}

// prepare reads what the request says of itself. It gives an outcome if the
// call ends here.
func (x *exchange) prepare(ctx context.Context, began time.Time) call.Outcome {
	d, outcome := x.lookup(ctx)
	if outcome != nil {
		return outcome
	}
	x.document = *d
	x.key = x.request.Header.Get(HeaderKey)
	if len(x.key) > maxKeyLength || len(x.request.Header[HeaderKey]) > 1 {
		return call.NotRun{Reason: call.ReasonMalformed}
	}
	deadline, err := x.deadline(began)
	if err != nil {
		return call.NotRun{Reason: call.ReasonMalformed}
	}
	depth, err := headerInt(x.request.Header, HeaderDepth, 0)
	if err != nil || depth < 0 {
		return call.NotRun{Reason: call.ReasonMalformed}
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	x.call = call.Request{
		TraceParent: carrier["traceparent"],
		ID:          call.ID(x.server.nextID.Add(1)), Service: d.Name,
		Idempotent: safeMethod(x.request.Method), Keyed: x.key != "",
		Depth: int(depth) + 1, NoRetry: x.request.Header.Get(server.HeaderNoRetry) != "",
		Arrived: began, Deadline: deadline,
	}
	return x.readBody()
}

func (x *exchange) lookup(ctx context.Context) (*service.Document, call.Outcome) {
	host := x.request.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	found := make(chan *service.Document, 1)
	if !x.send(ctx, Lookup{Host: strings.ToLower(host), Found: found}) {
		return nil, call.NotRun{Reason: call.ReasonCanceled}
	}
	select {
	case d := <-found:
		if d == nil {
			return nil, call.NotRun{Reason: call.ReasonNoService}
		}
		return d, nil
	case <-ctx.Done():
		return nil, call.NotRun{Reason: call.ReasonCanceled}
	}
}

// send gives the task a message. A caller waits while the mailbox is full.
func (x *exchange) send(ctx context.Context, m Message) bool {
	select {
	case x.server.options.Mailbox <- m:
		return true
	default:
	}
	x.server.count("oriolepost_entry_mailbox_full_total")
	select {
	case x.server.options.Mailbox <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// tell passes an event on that must not be lost, whatever became of the
// caller.
func (x *exchange) tell(m Message) { x.server.options.Mailbox <- m }

func (x *exchange) deadline(began time.Time) (time.Time, error) {
	left, err := headerInt(x.request.Header, HeaderDeadline, x.document.Limits.DeadlineMS)
	if err != nil || left < 1 {
		return time.Time{}, errors.New("deadline is malformed")
	}
	left = min(left, x.document.Limits.MaxDeadlineMS)
	return began.Add(settings.Milliseconds(left)), nil
}

func headerInt(h http.Header, name string, absent int64) (int64, error) {
	text := h.Get(name)
	if text == "" {
		return absent, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func (x *exchange) readBody() call.Outcome {
	h := x.server.options.HTTP
	limit := x.document.Limits.MaxBodyBytes
	b, err := readBody(x.writer, x.request, limit, settings.Milliseconds(h.BodyIdleMS), x.call.Keyed)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return call.NotRun{Reason: call.ReasonTooLarge}
	}
	if err != nil {
		return call.NotRun{Reason: call.ReasonMalformed}
	}
	x.body = b
	return nil
}

// dispatch runs the call, behind a claim if it has a key.
func (x *exchange) dispatch() call.Outcome {
	if x.call.Keyed && !x.call.Idempotent {
		return x.dispatchKeyed()
	}
	return x.converse()
}
