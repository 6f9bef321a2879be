package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/server"
)

// attemptEnd is the result of an attempt that ended, and what must be released
// after it.
type attemptEnd struct {
	attempt call.AttemptID
	result  server.Result
	cancel  context.CancelFunc
	span    trace.Span
}

// attemptLoop runs the attempts of one call as the entry's task decides.
type attemptLoop struct {
	*exchange
	decisions   chan Decision
	attemptEnds chan attemptEnd
	// running has the cancel function of each running attempt.
	running    map[call.AttemptID]context.CancelFunc
	hedgeTimer *time.Timer
}

// runAttempts asks the task for attempts and runs them until the call is over.
func (x *exchange) runAttempts() call.Outcome {
	c := &attemptLoop{
		exchange:    x,
		decisions:   make(chan Decision, DecisionCapacity),
		attemptEnds: make(chan attemptEnd, DecisionCapacity),
		running:     map[call.AttemptID]context.CancelFunc{},
		// No call lasts an hour, so the timer fires only after start has reset it.
		hedgeTimer: time.NewTimer(time.Hour),
	}
	defer c.hedgeTimer.Stop()
	if !x.send(x.ctx, AttemptRequest{Request: x.call, Decisions: c.decisions}) {
		return call.NotRun{Reason: call.ReasonCanceled}
	}
	for {
		select {
		case decision := <-c.decisions:
			switch d := decision.(type) {
			case Start:
				c.start(d)
			case FinishCall:
				return d.Outcome
			}
		case end := <-c.attemptEnds:
			if outcome := c.handleAttemptEnd(end); outcome != nil {
				return outcome
			}
		case <-c.hedgeTimer.C:
			c.notify(CallEvent{entry.HedgeDue{Call: x.call.ID}})
		case <-x.ctx.Done():
			return c.abandon()
		}
	}
}

// start runs an attempt in a goroutine of its own.
func (c *attemptLoop) start(decision Start) {
	c.observe("oriolepost_queue_seconds", decision.QueueTime)
	ctx, cancel := context.WithCancel(c.ctx)
	c.running[decision.Attempt] = cancel
	if decision.HedgeDelay > 0 {
		c.hedgeTimer.Reset(decision.HedgeDelay)
	}
	ctx, span := c.server.options.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	span.SetAttributes(
		attribute.String("server", decision.Connection.Server.Server),
		attribute.String("lender", decision.Lender),
		attribute.Int64("queue_us", decision.QueueTime.Microseconds()),
	)
	header := requestHeader(c.request, c.call.Depth, c.call.Deadline)
	header.Set(server.HeaderDomain, c.server.options.Domain)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	attempt := server.Attempt{
		Method: c.request.Method, URI: c.request.URL.RequestURI(), Host: c.request.Host,
		Header: header, Trailer: c.request.Trailer,
		Body: c.body.reader(), Length: c.body.length, NotAfter: decision.NotAfter,
	}
	go func() {
		r := decision.Connection.Exchange(ctx, attempt)
		c.attemptEnds <- attemptEnd{attempt: decision.Attempt, result: r, cancel: cancel, span: span}
	}()
}

// handleAttemptEnd forwards the response if the attempt has one. Otherwise it
// reports the end of the attempt to the task, which decides what follows. It
// returns an outcome when the call is over, and nil before.
func (c *attemptLoop) handleAttemptEnd(end attemptEnd) call.Outcome {
	delete(c.running, end.attempt)
	if end.result.Response != nil {
		return c.forwardResponse(end)
	}
	defer end.cancel()
	defer end.span.End()
	c.outcome = call.Merge(c.outcome, end.result.Outcome)
	if c.body.tooLarge.Load() {
		// The body was streamed, so the server may have received a part of it.
		c.report(end, false)
		return c.endCall(call.Unknown{Reason: call.ReasonTooLarge})
	}
	c.report(end, false)
	return nil
}

// report notifies the task that an attempt ended. failed is true when the
// response was a server error.
func (c *attemptLoop) report(end attemptEnd, failed bool) {
	end.span.SetAttributes(attribute.String("outcome", call.OutcomeName(end.result.Outcome)))
	c.notify(CallEvent{entry.AttemptEnded{
		Call: c.call.ID, Attempt: end.attempt, Outcome: end.result.Outcome,
		ServiceTime: end.result.ServiceTime, Failed: failed, NoRetry: end.result.NoRetry || c.body.consumed(),
	}})
}

// endCall cancels the running attempts and notifies the task that the call is
// over.
func (c *attemptLoop) endCall(o call.Outcome) call.Outcome {
	c.cancelAll()
	c.notify(CallEvent{entry.CallClosed{Call: c.call.ID}})
	return o
}

// abandon ends the call because its deadline passed or its caller disconnected.
// A server may have executed an attempt that still runs, so abandon waits for the
// ends of these attempts. If none runs, the call was waiting for a slot, and only
// the attempts that ended before decide its outcome.
func (c *attemptLoop) abandon() call.Outcome {
	reason := call.ReasonCanceled
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		reason = call.ReasonDeadline
	}
	if len(c.running) > 0 {
		return c.endCall(c.awaitCanceled(reason))
	}
	if reason == call.ReasonDeadline {
		reason = call.ReasonNoSlot
	}
	return c.endCall(call.Merge(c.outcome, call.NotRun{Reason: reason}))
}

// awaitCanceled waits for the attempts that the ended context cancels, since only
// their results show whether a byte was sent. It returns the combined outcome of
// all attempts of the call.
func (c *attemptLoop) awaitCanceled(reason call.Reason) call.Outcome {
	for len(c.running) > 0 {
		end := <-c.attemptEnds
		delete(c.running, end.attempt)
		if end.result.Response != nil {
			_ = end.result.Response.Body.Close()
			end.result.Outcome = call.Unknown{Reason: reason}
		}
		end.cancel()
		end.span.End()
		c.outcome = call.Merge(c.outcome, end.result.Outcome)
	}
	return c.outcome
}

// cancelAll cancels the running attempts. A goroutine waits for their ends and
// releases their responses and spans.
func (c *attemptLoop) cancelAll() {
	n := len(c.running)
	for _, cancel := range c.running {
		cancel()
	}
	attemptEnds := c.attemptEnds
	go func() {
		for range n {
			end := <-attemptEnds
			if end.result.Response != nil {
				_ = end.result.Response.Body.Close()
			}
			end.cancel()
			end.span.End()
		}
	}()
}

// forwardResponse sends the first response to the caller and cancels the other
// attempts.
func (c *attemptLoop) forwardResponse(end attemptEnd) call.Outcome {
	defer end.cancel()
	defer end.span.End()
	c.cancelAll()
	status := end.result.Response.StatusCode
	err := c.copyResponse(end.result.Response)
	if err != nil {
		end.result.Outcome = call.Unknown{Reason: call.ReasonAnswerCut}
		c.count("oriolepost_answers_aborted_total")
	}
	c.report(end, status >= http.StatusInternalServerError)
	c.notify(CallEvent{entry.CallClosed{Call: c.call.ID}})
	return end.result.Outcome
}
