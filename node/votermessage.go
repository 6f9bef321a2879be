package node

import (
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/slot"
)

// voterMessage is a message to the voter task. The channels of a message must have
// a buffer of one. A request gets either an answer or a refusal.
//
//sumtype:decl
type voterMessage interface{ voterMessage() }

type replicaMessage struct{ event replica.Receive }

type proposeMessage struct {
	command record.Command
	data    []byte
	answer  chan<- proposeAnswer
}

type reportMessage struct {
	report  slot.Report
	answer  chan<- slot.Reply
	refusal chan<- error
}

type joinMessage struct {
	identity replica.Identity
	// result receives nil when the instance was registered as a standby.
	result chan<- error
}

type statusMessage struct {
	answer  chan<- *peer.StatusResponse
	refusal chan<- error
}

type confirmMessage struct {
	index   uint64
	answer  chan<- bool
	refusal chan<- error
}

type identifyMessage struct{ answer chan<- peer.IdentifyResponse }

// bootstrapMessage carries the initial voters that answered.
type bootstrapMessage struct{ voters []replica.Identity }

// transferMessage asks the voter to transfer leadership. done receives true if it
// is not the leader.
type transferMessage struct{ done chan<- bool }

func (replicaMessage) voterMessage()   {}
func (proposeMessage) voterMessage()   {}
func (reportMessage) voterMessage()    {}
func (joinMessage) voterMessage()      {}
func (statusMessage) voterMessage()    {}
func (confirmMessage) voterMessage()   {}
func (identifyMessage) voterMessage()  {}
func (bootstrapMessage) voterMessage() {}
func (transferMessage) voterMessage()  {}
