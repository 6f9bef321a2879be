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

// peerRequestTimeout limits how long a peer's request waits for its answer.
const peerRequestTimeout = 5 * time.Second

// handlePeer passes a peer's request to the entry task or to the voter task.
func (n *Node) handlePeer(ctx context.Context, request peer.Request) (peer.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	switch request := request.(type) {
	case peer.BorrowRequest:
		return n.handleBorrow(ctx, request)
	case peer.ReturnRequest:
		n.entry.post(entryMessage{event: entry.LoanReturned{From: request.From, Token: request.Token}})
		return peer.Nothing{}, nil
	case peer.ReportNowRequest:
		n.entry.post(entryMessage{event: entry.ReportRequested{}})
		return peer.Nothing{}, nil
	case peer.ReplicaMessage, peer.ReportRequest, peer.ProposeRequest, peer.IdentifyRequest,
		peer.JoinRequest, peer.StatusRequest, peer.ConfirmRequest,
		peer.AnnounceRequest, peer.RenewRequest, peer.ReadRequest, peer.IncarnationRequest, peer.WatchRequest, peer.CopyRequest, peer.GroupNotice, peer.SuspectRequest, peer.QuarantineProbeRequest, peer.AllowanceRequest, peer.RolloutRequest, peer.LeaveRequest:
	}
	if n.voter == nil {
		return nil, &peer.RefusedError{Code: peer.CodeNotLeader, Reason: "this instance has no disk"}
	}
	return n.voter.handle(ctx, request, n.tracer)
}

func (n *Node) handleBorrow(ctx context.Context, request peer.BorrowRequest) (peer.Response, error) {
	ctx, span := startSpan(ctx, n.tracer, "lend", request.TraceParent)
	defer span.End()
	loan := make(chan *entry.Loan, 1)
	n.entry.post(entryMessage{event: entry.BorrowRequested{From: request.From, Token: request.Token, Service: request.Service}, loanAnswer: loan})
	select {
	case l := <-loan:
		span.SetAttributes(attribute.Bool("lent", l != nil))
		return peer.BorrowResponse{Loan: l}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// startSpan starts a server span as a child of parent, the W3C traceparent that
// another instance sent. So the trace of a call continues on this instance.
func startSpan(ctx context.Context, t trace.Tracer, name, parent string) (context.Context, trace.Span) {
	carrier := propagation.MapCarrier{"traceparent": parent}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	return t.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
}

// handle passes a request to the voter task and waits for the answer. It ignores
// a replica message to another replica identity.
func (t *voterTask) handle(ctx context.Context, request peer.Request, tracer trace.Tracer) (peer.Response, error) {
	refusal := make(chan error, 1)
	switch request := request.(type) {
	case peer.ReplicaMessage:
		if request.To != t.id() {
			return peer.Nothing{}, nil
		}
		return peer.Nothing{}, t.post(replicaMessage{replica.Receive{From: request.From, Message: request.Message}})
	case peer.ReportRequest:
		answer := make(chan slot.Reply, 1)
		return await(ctx, t, reportMessage{request.Report, answer, refusal}, answer, refusal,
			func(reply slot.Reply) peer.Response { return peer.ReportResponse{Reply: reply} })
	case peer.ProposeRequest:
		return t.handlePropose(ctx, request, tracer)
	case peer.IdentifyRequest:
		answer := make(chan peer.IdentifyResponse, 1)
		return await(ctx, t, identifyMessage{answer}, answer, refusal,
			func(i peer.IdentifyResponse) peer.Response { return i })
	case peer.JoinRequest:
		identity := replica.Identity{ReplicaID: request.ReplicaID, Instance: request.Instance, Domain: request.Domain}
		return await(ctx, t, joinMessage{identity, refusal}, nil, refusal,
			func(peer.Nothing) peer.Response { return peer.Nothing{} })
	case peer.StatusRequest:
		answer := make(chan *peer.StatusResponse, 1)
		return await(ctx, t, statusMessage{answer, refusal}, answer, refusal,
			func(s *peer.StatusResponse) peer.Response { return *s })
	case peer.ConfirmRequest:
		answer := make(chan bool, 1)
		return await(ctx, t, confirmMessage{request.Index, answer, refusal}, answer, refusal,
			func(inForce bool) peer.Response { return peer.ConfirmResponse{InForce: inForce} })
	case peer.BorrowRequest, peer.ReturnRequest, peer.ReportNowRequest,
		peer.AnnounceRequest, peer.RenewRequest, peer.ReadRequest, peer.IncarnationRequest, peer.WatchRequest, peer.CopyRequest, peer.GroupNotice, peer.SuspectRequest, peer.QuarantineProbeRequest, peer.AllowanceRequest, peer.RolloutRequest, peer.LeaveRequest:
	}
	return nil, &peer.RefusedError{Code: peer.CodeMalformed, Reason: "not a request for a voter"}
}

// await posts a message to the voter task and waits for its answer, its refusal
// or the context's end. A nil error on the refusal channel means success without
// an answer.
func await[T any](ctx context.Context, t *voterTask, m voterMessage, answer <-chan T, refusal <-chan error, toResponse func(T) peer.Response) (peer.Response, error) {
	if err := t.post(m); err != nil {
		return nil, err
	}
	select {
	case a := <-answer:
		return toResponse(a), nil
	case err := <-refusal:
		return peer.Nothing{}, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *voterTask) handlePropose(ctx context.Context, request peer.ProposeRequest, tracer trace.Tracer) (peer.Response, error) {
	ctx, span := startSpan(ctx, tracer, "commit", request.TraceParent)
	defer span.End()
	data, err := jsonform.EncodeCommand(request.Command)
	if err != nil {
		return nil, err
	}
	answer := make(chan proposeAnswer, 1)
	if err := t.post(proposeMessage{command: request.Command, data: data, answer: answer}); err != nil {
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
