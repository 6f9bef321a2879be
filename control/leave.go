package control

import (
	"context"
	"errors"
	"time"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/timer"
)

const (
	// leaveInterval is the interval between two leave requests of an instance that stops.
	leaveInterval = 50 * time.Millisecond
	// leaveTimeout limits one leave request.
	leaveTimeout = 500 * time.Millisecond
	// leaveLifetime is how long a leave request is valid: several intervals and time-outs.
	leaveLifetime = 1500 * time.Millisecond
	// standbysKnownAfter is the time after an election from which a leader knows the standbys.
	standbysKnownAfter = 2 * joinInterval
)

// Leave hands over the leadership and the vote of this instance before it stops. The vote goes
// to a standby, if there is one: an instance that is removed for good may stop counting as
// lost from the moment at which it ends, and the voters must then tolerate another loss. Leave
// returns when both are handed over, when no standby can take the vote, when the mailbox is
// full, or when the context ends.
func (c *Control) Leave(ctx context.Context) {
	for !c.handOver(ctx) && timer.Pause(ctx, leaveInterval) {
	}
}

// handOver takes one step of [Control.Leave], and reports whether the instance may end.
func (c *Control) handOver(ctx context.Context) bool {
	transferred := make(chan bool, 1)
	if c.task.post(transferMessage{transferred}) != nil {
		return true
	}
	select {
	case done := <-transferred:
		if !done {
			return false
		}
	case <-ctx.Done():
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	response, err := c.Call(ctx, peer.LeaveRequest{ReplicaID: c.task.id()})
	var refused *peer.RefusedError
	if errors.As(err, &refused) && refused.Code == peer.CodeMalformed {
		// A leader of an earlier version does not know the request.
		return true
	}
	leave, ok := response.(peer.LeaveResponse)
	return err == nil && ok && leave.Done
}

// leaveMessage carries a leave request.
type leaveMessage struct {
	replicaID string
	answer    chan<- answer
}

func (leaveMessage) message() {}

// transfer transfers the leadership before this instance stops, and reports whether it has
// none to transfer. From the first call on, the instance is no standby.
func (t *task) transfer(now time.Time, m transferMessage) []replica.Effect {
	t.stopping = true
	if !t.leads() {
		m.done <- true
		return nil
	}
	t.departs(now, t.id())
	m.done <- len(t.replica.Members.Voters) == 1 && t.mayStop(now, t.id())
	return t.replica.Step(now, replica.TransferLeadership{})
}

// leave takes the request of a replica that is about to stop.
func (t *task) leave(now time.Time, m leaveMessage) {
	if !t.leads() {
		m.answer <- answer{err: t.notLeaderError()}
		return
	}
	t.departs(now, m.replicaID)
	m.answer <- answer{response: peer.LeaveResponse{Done: t.mayStop(now, m.replicaID)}}
}

// departs records that a replica is about to stop. The plan acts on it immediately.
func (t *task) departs(now time.Time, id string) {
	t.departures.Request(now, id)
	t.replaceVotersAt = time.Time{}
}

func (t *task) mayStop(now time.Time, id string) bool {
	return t.departures.MayStop(now, t.replica, t.plan.Target, t.currentStandbys(now), id)
}
