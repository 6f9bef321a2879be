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

	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/server"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/settings"
)

// maxKeyBytes limits the length of an idempotency key.
const maxKeyBytes = 255

// exchange is the state of one call while it is served. The goroutine that serves
// the call owns it.
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
	// outcome is the combined outcome of the attempts that ended.
	outcome call.Outcome
	// responseStarted is true once a server's or a stored response is being sent
	// to the caller.
	responseStarted bool
	// capture stores the response to a keyed call; nil for other calls.
	capture *capture
	// hold is what is reserved for the buffered body and the captured response.
	hold *budget.Hold
}

// serve handles one call from its header to its end.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	start := time.Now()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := s.options.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{server: s, writer: w, request: r, span: span}
	if s.options.Limits.Budget != nil {
		controller := http.NewResponseController(w)
		x.hold = s.options.Limits.Budget.Hold(func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
		defer x.hold.Release()
	}
	outcome := x.run(ctx, start)
	s.count(fmt.Sprintf(`oriolepost_calls_total{service=%q,outcome=%q,reason=%q}`,
		x.document.Name, call.OutcomeName(outcome), call.OutcomeReason(outcome)))
	s.observe(fmt.Sprintf(`oriolepost_call_seconds{service=%q}`, x.document.Name), time.Since(start))
	span.SetAttributes(
		attribute.String("service", x.document.Name),
		attribute.String("outcome", call.OutcomeName(outcome)),
		attribute.String("reason", string(call.OutcomeReason(outcome))),
	)
}

// run serves the call. If no server's or stored response was started, it sends a
// [Problem].
func (x *exchange) run(ctx context.Context, start time.Time) call.Outcome {
	outcome := x.prepare(ctx, start)
	if outcome == nil {
		ctx, cancel := context.WithDeadline(ctx, x.call.Deadline)
		defer cancel()
		x.ctx = ctx
		outcome = x.dispatch()
	}
	if !x.responseStarted {
		x.setWriteDeadline()
		writeProblem(x.writer, x.server.options.Instance, outcome)
	}
	return outcome
}

// prepare finds the service, and reads the headers and the body of the request.
// It returns an outcome if the call ends here.
func (x *exchange) prepare(ctx context.Context, start time.Time) call.Outcome {
	document, outcome := x.lookup(ctx)
	if outcome != nil {
		return outcome
	}
	x.document = *document
	x.key = x.request.Header.Get(HeaderKey)
	if len(x.key) > maxKeyBytes || len(x.request.Header[HeaderKey]) > 1 {
		return call.NotRun{Reason: call.ReasonMalformed}
	}
	deadline, err := x.deadline(start)
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
		ID:          call.ID(x.server.nextID.Add(1)), Service: document.Name,
		Idempotent: safeMethod(x.request.Method), Keyed: x.key != "",
		Depth: int(depth) + 1, NoRetry: x.request.Header.Get(server.HeaderNoRetry) != "",
		Arrived: start, Deadline: deadline,
	}
	return x.readBody()
}

// lookup returns the document of the service that the request's host belongs to.
// If there is none, it returns the outcome with which the call ends.
func (x *exchange) lookup(ctx context.Context) (*service.Document, call.Outcome) {
	host := x.request.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	found := make(chan LookupResult, 1)
	if !x.send(ctx, Lookup{Host: strings.ToLower(host), Found: found}) {
		return nil, call.NotRun{Reason: call.ReasonCanceled}
	}
	select {
	case result := <-found:
		if result.Document == nil {
			return nil, call.NotRun{Reason: result.Missing}
		}
		return result.Document, nil
	case <-ctx.Done():
		return nil, call.NotRun{Reason: call.ReasonCanceled}
	}
}

// send sends a message to the entry's task. While the mailbox is full, it blocks
// until the context ends. It reports whether the message was sent.
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

// notify sends an event that must not be lost, even if the caller has
// disconnected. While the mailbox is full, it blocks without a timeout.
func (x *exchange) notify(m Message) { x.server.options.Mailbox <- m }

// deadline returns the deadline of the call: the caller's, or the default of the
// service, and at most the maximum of the service.
func (x *exchange) deadline(start time.Time) (time.Time, error) {
	remaining, err := headerInt(x.request.Header, HeaderDeadline, x.document.Limits.DeadlineMS)
	if err != nil || remaining < 1 {
		return time.Time{}, errors.New("header Oriolepost-Deadline-Ms must be a whole number of milliseconds, at least 1")
	}
	remaining = min(remaining, x.document.Limits.MaxDeadlineMS)
	return start.Add(settings.Milliseconds(remaining)), nil
}

func headerInt(h http.Header, name string, fallback int64) (int64, error) {
	text := h.Get(name)
	if text == "" {
		return fallback, nil
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
	b, err := readBody(x.writer, x.request, limit, settings.Milliseconds(h.BodyIdleMS), x.call.Keyed, x.hold)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return call.NotRun{Reason: call.ReasonTooLarge}
	}
	if errors.Is(err, budget.ErrUsedUp) {
		return call.NotRun{Reason: call.ReasonBufferFull}
	}
	if err != nil {
		return call.NotRun{Reason: call.ReasonMalformed}
	}
	x.body = b
	return nil
}

// dispatch runs the call. A call with a key needs a claim first, unless its method
// is safe.
func (x *exchange) dispatch() call.Outcome {
	if x.call.Keyed && !x.call.Idempotent {
		return x.dispatchKeyed()
	}
	return x.runAttempts()
}
