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

// ended is how one attempt came back to the exchange.
type ended struct {
	attempt call.AttemptID
	result  server.Result
	cancel  context.CancelFunc
	span    trace.Span
}

// conversation is the exchange of decisions for one call.
type conversation struct {
	*exchange
	decisions chan Decision
	ended     chan ended
	// running holds how to cancel each attempt.
	running map[call.AttemptID]context.CancelFunc
	hedge   *time.Timer
}

// converse asks for attempts and makes them until the call is over.
func (x *exchange) converse() call.Outcome {
	c := &conversation{
		exchange:  x,
		decisions: make(chan Decision, DecisionRoom),
		ended:     make(chan ended, DecisionRoom),
		running:   map[call.AttemptID]context.CancelFunc{},
		hedge:     time.NewTimer(time.Hour),
	}
	defer c.hedge.Stop()
	if !x.send(x.ctx, Arrive{Request: x.call, Decisions: c.decisions}) {
		return call.NotRun{Reason: call.ReasonCanceled}
	}
	for {
		select {
		case d := <-c.decisions:
			switch d := d.(type) {
			case Start:
				c.start(d)
			case Finish:
				return d.Outcome
			}
		case e := <-c.ended:
			if outcome := c.attemptEnded(e); outcome != nil {
				return outcome
			}
		case <-c.hedge.C:
			c.tell(Tell{entry.HedgeDue{Call: x.call.ID}})
		case <-x.ctx.Done():
			return c.abandon()
		}
	}
}

// start makes an attempt in a goroutine of its own.
func (c *conversation) start(d Start) {
	c.observe("oriolepost_queue_seconds", d.Waited)
	ctx, cancel := context.WithCancel(c.ctx)
	c.running[d.Attempt] = cancel
	if d.HedgeAfter > 0 {
		c.hedge.Reset(d.HedgeAfter)
	}
	ctx, span := c.server.options.Tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient))
	span.SetAttributes(
		attribute.String("server", d.Connection.Server.Server),
		attribute.String("lender", d.Lender),
		attribute.Int64("queue_us", d.Waited.Microseconds()),
	)
	header := requestHeader(c.request, c.call.Depth, c.call.Deadline)
	header.Set(server.HeaderDomain, c.server.options.Domain)
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(header))
	a := server.Attempt{
		Method: c.request.Method, URI: c.request.URL.RequestURI(), Host: c.request.Host,
		Header: header, Trailer: c.request.Trailer,
		Body: c.body.reader(), Length: c.body.length, NotAfter: d.NotAfter,
	}
	go func() {
		r := d.Connection.Exchange(ctx, a)
		c.ended <- ended{attempt: d.Attempt, result: r, cancel: cancel, span: span}
	}()
}

// attemptEnded takes the first answer, and passes other ends on to the task,
// which decides what follows. It gives an outcome when the call is over.
func (c *conversation) attemptEnded(e ended) call.Outcome {
	delete(c.running, e.attempt)
	if e.result.Response != nil {
		return c.answer(e)
	}
	defer e.cancel()
	defer e.span.End()
	c.outcome = call.Merge(c.outcome, e.result.Outcome)
	if c.body.tooLarge.Load() {
		c.report(e, false)
		return c.give(call.Unknown{Reason: call.ReasonTooLarge})
	}
	c.report(e, false)
	return nil
}

// report tells the task that an attempt ended.
func (c *conversation) report(e ended, failed bool) {
	e.span.SetAttributes(attribute.String("outcome", call.OutcomeName(e.result.Outcome)))
	c.tell(Tell{entry.AttemptEnded{
		Call: c.call.ID, Attempt: e.attempt, Outcome: e.result.Outcome,
		Took: e.result.Took, Failed: failed, Final: e.result.NoRetry || c.body.gone(),
	}})
}

// give ends the call for the task as well.
func (c *conversation) give(o call.Outcome) call.Outcome {
	c.cancelAll()
	c.tell(Tell{entry.Left{Call: c.call.ID}})
	return o
}

// abandon ends the call because its deadline passed or its caller left. What
// runs may have run; what still waits was not run.
func (c *conversation) abandon() call.Outcome {
	reason := call.ReasonCanceled
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		reason = call.ReasonDeadline
	}
	if len(c.running) > 0 {
		return c.give(c.drain(reason))
	}
	if reason == call.ReasonDeadline {
		reason = call.ReasonNoSlot
	}
	return c.give(call.Merge(c.outcome, call.NotRun{Reason: reason}))
}

// drain waits for the attempts that the ended context cancels, since only
// they know whether a byte left.
func (c *conversation) drain(reason call.Reason) call.Outcome {
	for len(c.running) > 0 {
		e := <-c.ended
		delete(c.running, e.attempt)
		if e.result.Response != nil {
			_ = e.result.Response.Body.Close()
			e.result.Outcome = call.Unknown{Reason: reason}
		}
		e.cancel()
		e.span.End()
		c.outcome = call.Merge(c.outcome, e.result.Outcome)
	}
	return c.outcome
}

// cancelAll cancels what still runs and frees what it holds.
func (c *conversation) cancelAll() {
	n := len(c.running)
	for _, cancel := range c.running {
		cancel()
	}
	ends := c.ended
	go func() {
		for range n {
			e := <-ends
			if e.result.Response != nil {
				_ = e.result.Response.Body.Close()
			}
			e.cancel()
			e.span.End()
		}
	}()
}

// answer passes a server's answer on. Attempts that lost are canceled.
func (c *conversation) answer(e ended) call.Outcome {
	defer e.cancel()
	defer e.span.End()
	c.cancelAll()
	status := e.result.Response.StatusCode
	err := c.copyAnswer(e.result.Response)
	if err != nil {
		e.result.Outcome = call.Unknown{Reason: call.ReasonCut}
		c.count("oriolepost_answers_aborted_total")
	}
	c.report(e, status >= http.StatusInternalServerError)
	c.tell(Tell{entry.Left{Call: c.call.ID}})
	return e.result.Outcome
}
