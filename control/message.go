package control

import (
	"context"
	"time"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/search"
)

// message is a message to the control task.
//
//sumtype:decl
type message interface{ message() }

type replicaMessage struct{ event replica.Receive }

type proposeMessage struct {
	command record.Command
	data    []byte
	answer  chan<- answer
}

type readMessage struct {
	indexOnly bool
	answer    chan<- answer
}

type incarnationMessage struct {
	upstream string
	answer   chan<- answer
}

type rolloutMessage struct {
	service string
	answer  chan<- answer
}

type announceMessage struct {
	request peer.AnnounceRequest
	answer  chan<- answer
}

type renewMessage struct{ request peer.RenewRequest }

type watchMessage struct {
	request peer.WatchRequest
	answer  chan<- answer
}

type copyMessage struct{ answer chan<- answer }

type allowanceMessage struct {
	request peer.AllowanceRequest
	answer  chan<- answer
}

type joinMessage struct {
	identity replica.Identity
	answer   chan<- answer
}

// joinEndedMessage reports the end of this instance's join request.
type joinEndedMessage struct {
	accepted bool
	// group is the voter group of the leader that accepted it.
	group peer.Group
}

type groupMessage struct{ group peer.Group }

type seedsMessage struct{ seeds []search.Instance }

type identifyMessage struct{ answer chan<- answer }

type bootstrapMessage struct{ answers []replica.SeedAnswer }

type transferMessage struct{ done chan<- bool }

func (replicaMessage) message()     {}
func (proposeMessage) message()     {}
func (readMessage) message()        {}
func (incarnationMessage) message() {}
func (announceMessage) message()    {}
func (renewMessage) message()       {}
func (watchMessage) message()       {}
func (copyMessage) message()        {}
func (joinMessage) message()        {}
func (joinEndedMessage) message()   {}
func (groupMessage) message()       {}
func (seedsMessage) message()       {}
func (identifyMessage) message()    {}
func (bootstrapMessage) message()   {}
func (transferMessage) message()    {}
func (allowanceMessage) message()   {}
func (rolloutMessage) message()     {}

// answer is the outcome of a request.
type answer struct {
	response peer.Response
	err      error
}

// post sends the task a message, or returns an error when the mailbox is full.
func (t *task) post(m message) error {
	select {
	case t.mailbox <- postedMessage{m, time.Now()}:
		return nil
	default:
		t.metrics.GetOrCreateCounter("oriolepost_control_mailbox_full_total").Inc()
		return &peer.RefusedError{Code: peer.CodeBusy, Reason: "too many messages wait"}
	}
}

// handle answers a request of another instance or of this one.
func (t *task) handle(ctx context.Context, request peer.Request) (peer.Response, error) {
	reply := make(chan answer, 1)
	message, err := t.messageOf(request, reply)
	if message == nil || err != nil {
		return peer.Nothing{}, err
	}
	if err := t.post(message); err != nil {
		return peer.Nothing{}, err
	}
	switch message.(type) {
	case replicaMessage, renewMessage, groupMessage:
		return peer.Nothing{}, nil
	case proposeMessage, readMessage, incarnationMessage, announceMessage, watchMessage, copyMessage, joinMessage, leaveMessage, joinEndedMessage, relayAnswerMessage, seedsMessage, identifyMessage, bootstrapMessage, transferMessage, suspectMessage, suspectsPassedOnMessage, quarantineProbeMessage, allowanceMessage, rolloutMessage:
	}
	select {
	case a := <-reply:
		return a.response, a.err
	case <-t.ctx.Done():
		// The request may still be in force. Whoever sent it asks another instance.
		return peer.Nothing{}, &peer.RefusedError{Code: peer.CodeLost, Reason: "the instance stops"}
	case <-ctx.Done():
		if t.ctx.Err() != nil {
			return peer.Nothing{}, &peer.RefusedError{Code: peer.CodeLost, Reason: "the instance stops"}
		}
		return peer.Nothing{}, ctx.Err()
	}
}

// messageOf returns the message for a request. It returns nil for a replica
// message to another replica ID, such as one of an earlier data folder, which is
// ignored.
func (t *task) messageOf(request peer.Request, reply chan<- answer) (message, error) {
	switch request := request.(type) {
	case peer.ReplicaMessage:
		if request.To != t.id() {
			return nil, nil
		}
		return replicaMessage{replica.Receive{From: request.From, Message: request.Message}}, nil
	case peer.ProposeRequest:
		data, err := encode(request.Command)
		return proposeMessage{request.Command, data, reply}, err
	case peer.ReadRequest:
		return readMessage{request.IndexOnly, reply}, nil
	case peer.IncarnationRequest:
		return incarnationMessage{request.Upstream, reply}, nil
	case peer.RolloutRequest:
		return rolloutMessage{request.Service, reply}, nil
	case peer.AnnounceRequest:
		return announceMessage{request, reply}, nil
	case peer.RenewRequest:
		return renewMessage{request}, nil
	case peer.WatchRequest:
		return watchMessage{request, reply}, nil
	case peer.CopyRequest:
		return copyMessage{reply}, nil
	case peer.SuspectRequest:
		return suspectMessage{request, reply}, nil
	case peer.QuarantineProbeRequest:
		return quarantineProbeMessage{request, reply}, nil
	case peer.AllowanceRequest:
		return allowanceMessage{request, reply}, nil
	case peer.GroupNotice:
		return groupMessage{request.Group}, nil
	case peer.IdentifyRequest:
		return identifyMessage{reply}, nil
	case peer.JoinRequest:
		return joinMessage{replica.Identity{ReplicaID: request.ReplicaID, Instance: request.Instance, Domain: request.Domain}, reply}, nil
	case peer.LeaveRequest:
		return leaveMessage{request.ReplicaID, reply}, nil
	case peer.ReportRequest, peer.BorrowRequest, peer.ReturnRequest, peer.ReportNowRequest,
		peer.StatusRequest, peer.ConfirmRequest:
	}
	return nil, &peer.RefusedError{Code: peer.CodeMalformed, Reason: "not a request for a control instance"}
}
