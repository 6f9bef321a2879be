package node

import (
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/slot"
)

// voterMail is a message for the voter task.
//
//sumtype:decl
type voterMail interface{ voterMail() }

type replicaMail struct{ event replica.Receive }

type proposeMail struct {
	command record.Command
	data    []byte
	answer  chan<- proposeAnswer
}

type reportMail struct {
	report slot.Report
	answer chan<- slot.Reply
	refuse chan<- error
}

type joinMail struct {
	identity replica.Identity
	refuse   chan<- error
}

type statusMail struct {
	answer chan<- *peer.StatusResponse
	refuse chan<- error
}

type confirmMail struct {
	index  uint64
	answer chan<- bool
	refuse chan<- error
}

type identifyMail struct{ answer chan<- peer.IdentifyResponse }

type formMail struct{ voters []replica.Identity }

type handOverMail struct{ done chan<- bool }

func (replicaMail) voterMail()  {}
func (proposeMail) voterMail()  {}
func (reportMail) voterMail()   {}
func (joinMail) voterMail()     {}
func (statusMail) voterMail()   {}
func (confirmMail) voterMail()  {}
func (identifyMail) voterMail() {}
func (formMail) voterMail()     {}
func (handOverMail) voterMail() {}
