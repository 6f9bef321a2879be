package gateway

import (
	"time"

	"github.com/oriolepost/oriolepost/ingress"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/rollout"
	"github.com/oriolepost/oriolepost/upstream"
)

// message is a message for the entry task.
//
//sumtype:decl
type message interface{ message() }

// arrivedMessage carries a request from a caller's connection.
type arrivedMessage struct {
	exchange    *ingress.Exchange
	fingerprint quarantine.Fingerprint
}

// disconnectedMessage carries the unanswered requests of a caller that closed
// its connection.
type disconnectedMessage struct{ exchanges []*ingress.Exchange }

// viewMessage carries the leader's answer to a watch, or a control instance's copy of
// the view.
type viewMessage struct {
	// position is the entry's index and the number of entries; zero with a copy.
	position placement.PositionReported
	// contact is nil with a copy.
	contact *controlContact
	// view holds the changes, or the full view; nil when nothing changed.
	view *peer.View
	// epoch is the term of the leader, and revision the revision of the view within
	// that term. Both are 0 when nothing changed.
	epoch    uint64
	revision uint64
	// leaderEpoch is the term of the leader, also when nothing changed; zero with a copy.
	leaderEpoch uint64
}

// probeResultMessage carries the result of a probe.
type probeResultMessage struct {
	key    placement.Key
	result placement.ProbeResult
	// conn is the probe's connection; nil when there was none.
	conn *upstream.Conn
}

// noticeMessage carries what an upstream said about itself in the header of a response.
type noticeMessage struct {
	key    placement.Key
	notice placement.Notice
}

// attemptEndedMessage carries the outcome of an attempt.
type attemptEndedMessage struct {
	key       placement.Key
	request   placement.RequestID
	attempt   placement.AttemptID
	startedAt time.Time
	response  upstream.Response
	outcome   placement.Outcome
	// conn is the attempt's connection; nil when there was none.
	conn *upstream.Conn
}

// allowanceMessage carries the leader's answer to a report on the retry budgets.
type (
	allowanceMessage struct{ event placement.Event }
	// countsMessage asks for what was counted in the running roll-outs since the last one.
	countsMessage struct{ reply chan<- []rollout.Report }
)

// stopMessage reports that the entry stops.
type stopMessage struct{ plan placement.StopPlan }

func (stopMessage) message()         {}
func (allowanceMessage) message()    {}
func (countsMessage) message()       {}
func (arrivedMessage) message()      {}
func (disconnectedMessage) message() {}
func (viewMessage) message()         {}
func (probeResultMessage) message()  {}
func (noticeMessage) message()       {}
func (attemptEndedMessage) message() {}
