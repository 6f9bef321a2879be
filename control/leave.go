package control

import (
	"context"
	"errors"
	"slices"
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
	// leaveLifetime is how long a leave request is valid: several intervals and time-outs. An
	// instance that was only restarted is then a voter like any other.
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
	t.leaving[t.id()] = now
	t.replaceVotersAt = time.Time{}
	m.done <- len(t.replica.Members.Voters) == 1 && t.mayEnd(now, t.id())
	return t.replica.Step(now, replica.TransferLeadership{})
}

// leave takes the request of a replica that is about to stop.
func (t *task) leave(now time.Time, m leaveMessage) {
	if !t.leads() {
		m.answer <- answer{err: t.notLeaderError()}
		return
	}
	t.leaving[m.replicaID] = now
	t.replaceVotersAt = time.Time{}
	m.answer <- answer{response: peer.LeaveResponse{Done: t.mayEnd(now, m.replicaID)}}
}

// mayEnd reports whether a replica may stop: it is no voter, or nobody can take its vote. A
// leader that no quorum has confirmed can't know.
func (t *task) mayEnd(now time.Time, id string) bool {
	members := t.replica.Members
	switch {
	case t.replica.LeaseEnd(now).IsZero() || t.replica.ChangingMembers():
		return false
	case !slices.Contains(members.Voters, id):
		return true
	case len(members.Voters) > t.plan.Target || len(members.Learners) > 0:
		return false
	}
	for standby := range t.standbys {
		if _, leaving := t.leaving[standby]; !leaving && !slices.Contains(members.Voters, standby) {
			return false
		}
	}
	return now.Sub(t.replica.LeadingSince()) >= standbysKnownAfter
}

// forgetLeaving forgets the leave requests that are no longer valid, and tells the plan of the
// others.
func (t *task) forgetLeaving(now time.Time) {
	clear(t.plan.Leaving)
	for id, at := range t.leaving {
		if now.Sub(at) > leaveLifetime {
			delete(t.leaving, id)
			continue
		}
		t.plan.Leaving[id] = true
	}
}
