package control

import (
	"context"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
)

// mail is a message for the control task.
//
//sumtype:decl
type mail interface{ mail() }

type replicaMail struct{ event replica.Receive }

type proposeMail struct {
	command record.Command
	data    []byte
	answer  chan<- answer
}

type readMail struct{ answer chan<- answer }

type announceMail struct {
	request peer.AnnounceRequest
	answer  chan<- answer
}

type renewMail struct{ request peer.RenewRequest }

type watchMail struct {
	request peer.WatchRequest
	answer  chan<- answer
}

type joinMail struct {
	identity replica.Identity
	answer   chan<- answer
}

type identifyMail struct{ answer chan<- answer }

type formMail struct{ voters []replica.Identity }

type handOverMail struct{ done chan<- bool }

func (replicaMail) mail()  {}
func (proposeMail) mail()  {}
func (readMail) mail()     {}
func (announceMail) mail() {}
func (renewMail) mail()    {}
func (watchMail) mail()    {}
func (joinMail) mail()     {}
func (identifyMail) mail() {}
func (formMail) mail()     {}
func (handOverMail) mail() {}

// answer ends a request.
type answer struct {
	response peer.Response
	err      error
}

// post gives the task a message, or refuses it when the mailbox is full.
func (t *task) post(m mail) error {
	select {
	case t.mailbox <- m:
		return nil
	default:
		t.metrics.GetOrCreateCounter("oriolepost_control_mailbox_full_total").Inc()
		return &peer.RefusedError{Code: peer.CodeBusy, Reason: "too many messages wait"}
	}
}

// handle answers the requests of other instances, and of this one.
func (t *task) handle(ctx context.Context, r peer.Request) (peer.Response, error) {
	reply := make(chan answer, 1)
	m, err := t.mailOf(r, reply)
	if m == nil || err != nil {
		return peer.Nothing{}, err
	}
	if err := t.post(m); err != nil {
		return peer.Nothing{}, err
	}
	switch m.(type) {
	case replicaMail, renewMail:
		return peer.Nothing{}, nil
	case proposeMail, readMail, announceMail, watchMail, joinMail, identifyMail, formMail, handOverMail:
	}
	select {
	case a := <-reply:
		return a.response, a.err
	case <-ctx.Done():
		return peer.Nothing{}, ctx.Err()
	}
}

// mailOf gives the message for a request; nil when there is nothing to do.
func (t *task) mailOf(r peer.Request, reply chan<- answer) (mail, error) {
	switch r := r.(type) {
	case peer.ReplicaMessage:
		if r.To != t.id() {
			return nil, nil
		}
		return replicaMail{replica.Receive{From: r.From, Message: r.Message}}, nil
	case peer.ProposeRequest:
		data, err := encode(r.Command)
		return proposeMail{r.Command, data, reply}, err
	case peer.ReadRequest:
		return readMail{reply}, nil
	case peer.AnnounceRequest:
		return announceMail{r, reply}, nil
	case peer.RenewRequest:
		return renewMail{r}, nil
	case peer.WatchRequest:
		return watchMail{r, reply}, nil
	case peer.IdentifyRequest:
		return identifyMail{reply}, nil
	case peer.JoinRequest:
		return joinMail{replica.Identity{ReplicaID: r.ReplicaID, Instance: r.Instance, Domain: r.Domain}, reply}, nil
	case peer.ReportRequest, peer.BorrowRequest, peer.ReturnRequest, peer.PokeRequest,
		peer.StatusRequest, peer.ConfirmRequest:
	}
	return nil, &peer.RefusedError{Code: peer.CodeMalformed, Reason: "not a request for a control instance"}
}
