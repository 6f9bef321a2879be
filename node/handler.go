package node

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/slot"
)

// answerTimeout bounds how long a peer's request waits for its answer.
const answerTimeout = 5 * time.Second

// handlePeer hands a peer's request to the task that it is for.
func (n *Node) handlePeer(ctx context.Context, r peer.Request) (peer.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	switch r := r.(type) {
	case peer.BorrowRequest:
		return n.handleBorrow(ctx, r)
	case peer.ReturnRequest:
		n.entry.post(entryMail{event: entry.LoanReturned{From: r.From, Token: r.Token}})
		return peer.Nothing{}, nil
	case peer.PokeRequest:
		n.entry.post(entryMail{event: entry.Poked{}})
		return peer.Nothing{}, nil
	case peer.ReplicaMessage, peer.ReportRequest, peer.ProposeRequest, peer.IdentifyRequest,
		peer.JoinRequest, peer.StatusRequest, peer.ConfirmRequest,
		peer.AnnounceRequest, peer.RenewRequest, peer.ReadRequest, peer.WatchRequest:
	}
	if n.voter == nil {
		return nil, &peer.RefusedError{Code: peer.CodeNotLeader, Reason: "this instance has no disk"}
	}
	return n.voter.handle(ctx, r, n.tracer)
}

func (n *Node) handleBorrow(ctx context.Context, r peer.BorrowRequest) (peer.Response, error) {
	ctx, span := startSpan(ctx, n.tracer, "lend", r.TraceParent)
	defer span.End()
	loan := make(chan *entry.Loan, 1)
	n.entry.post(entryMail{event: entry.BorrowAsked{From: r.From, Token: r.Token, Service: r.Service}, loan: loan})
	select {
	case l := <-loan:
		span.SetAttributes(attribute.Bool("lent", l != nil))
		return peer.BorrowResponse{Loan: l}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// startSpan continues the trace of a call on another instance.
func startSpan(ctx context.Context, t trace.Tracer, name, parent string) (context.Context, trace.Span) {
	carrier := propagation.MapCarrier{"traceparent": parent}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	return t.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}

// handle passes a request on to the voter task and waits for the answer.
func (t *voterTask) handle(ctx context.Context, r peer.Request, tracer trace.Tracer) (peer.Response, error) {
	refuse := make(chan error, 1)
	switch r := r.(type) {
	case peer.ReplicaMessage:
		if r.To != t.id() {
			return peer.Nothing{}, nil
		}
		return peer.Nothing{}, t.post(replicaMail{replica.Receive{From: r.From, Message: r.Message}})
	case peer.ReportRequest:
		answer := make(chan slot.Reply, 1)
		return await(ctx, t, reportMail{r.Report, answer, refuse}, answer, refuse,
			func(reply slot.Reply) peer.Response { return peer.ReportResponse{Reply: reply} })
	case peer.ProposeRequest:
		return t.handlePropose(ctx, r, tracer)
	case peer.IdentifyRequest:
		answer := make(chan peer.IdentifyResponse, 1)
		return await(ctx, t, identifyMail{answer}, answer, refuse,
			func(i peer.IdentifyResponse) peer.Response { return i })
	case peer.JoinRequest:
		identity := replica.Identity{ReplicaID: r.ReplicaID, Instance: r.Instance, Domain: r.Domain}
		return await(ctx, t, joinMail{identity, refuse}, nil, refuse,
			func(peer.Nothing) peer.Response { return peer.Nothing{} })
	case peer.StatusRequest:
		answer := make(chan *peer.StatusResponse, 1)
		return await(ctx, t, statusMail{answer, refuse}, answer, refuse,
			func(s *peer.StatusResponse) peer.Response { return *s })
	case peer.ConfirmRequest:
		answer := make(chan bool, 1)
		return await(ctx, t, confirmMail{r.Index, answer, refuse}, answer, refuse,
			func(in bool) peer.Response { return peer.ConfirmResponse{InForce: in} })
	case peer.BorrowRequest, peer.ReturnRequest, peer.PokeRequest,
		peer.AnnounceRequest, peer.RenewRequest, peer.ReadRequest, peer.WatchRequest:
	}
	return nil, &peer.RefusedError{Code: peer.CodeMalformed, Reason: "not a request for a voter"}
}

// await posts a message and waits for its answer or its refusal.
func await[T any](ctx context.Context, t *voterTask, m voterMail, answer <-chan T, refuse <-chan error, as func(T) peer.Response) (peer.Response, error) {
	if err := t.post(m); err != nil {
		return nil, err
	}
	select {
	case a := <-answer:
		return as(a), nil
	case err := <-refuse:
		return peer.Nothing{}, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *voterTask) handlePropose(ctx context.Context, r peer.ProposeRequest, tracer trace.Tracer) (peer.Response, error) {
	ctx, span := startSpan(ctx, tracer, "commit", r.TraceParent)
	defer span.End()
	data, err := jsonform.EncodeCommand(r.Command)
	if err != nil {
		return nil, err
	}
	answer := make(chan proposeAnswer, 1)
	if err := t.post(proposeMail{command: r.Command, data: data, answer: answer}); err != nil {
		return nil, err
	}
	select {
	case a := <-answer:
		if a.err != nil {
			return nil, a.err
		}
		return peer.ProposeResponse{Result: a.result}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
