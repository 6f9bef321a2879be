package control

import (
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/proposal"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/timer"
)

// perform saves and syncs the effects, and only then sends messages and applies
// entries.
func (t *task) perform(effects []replica.Effect) error {
	if err := t.save(effects); err != nil {
		return err
	}
	for _, e := range effects {
		if err := t.performOne(e); err != nil {
			return err
		}
	}
	return nil
}

// diskFullRetryInterval is the interval between two attempts to write to a full
// disk.
const diskFullRetryInterval = 200 * time.Millisecond

// save waits for space on a full disk as if the disk were slow. Nothing has
// been acknowledged yet, and another instance can become leader meanwhile. Only
// the sync of all effects waits. A full disk while a snapshot is saved ends the
// instance, unless the folder can skip that snapshot.
func (t *task) save(effects []replica.Effect) error {
	logged := false
	return proposal.SaveEffects(t.folder, effects, t.metrics, func(err error) bool {
		t.metrics.GetOrCreateCounter("oriolepost_disk_full_total").Inc()
		if !logged {
			logged = true
			t.log.WithError(err).WithField("change", "disk").Error("disk is full; retrying the write until there is space")
		}
		return timer.Pause(t.ctx, diskFullRetryInterval)
	})
}

func (t *task) performOne(effect replica.Effect) error {
	switch effect := effect.(type) {
	case replica.SaveHardState, replica.SaveSnapshot:
	case replica.SaveEntries:
		t.decodeAhead(effect.Entries)
	case replica.Send:
		t.pool.Notify(PeerAddress(replica.InstanceOf(effect.To), t.settings.PeerPort),
			peer.ReplicaMessage{From: t.id(), To: effect.To, Message: effect.Message, Large: effect.Large})
	case replica.Apply:
		return t.apply(effect.Entry)
	case replica.Restore:
		t.dropDecodings(effect.Snapshot.Index)
		return t.restore(effect.Snapshot)
	case replica.Appended:
		t.proposals.Appended(effect)
	case replica.ProposalRefused:
		if p, ok := t.proposals.Refused(effect); ok {
			t.completeProposal(p, t.notLeaderError(), nil)
		}
	case replica.RoleChanged:
		t.roleChanged(effect)
	}
	return nil
}

func (t *task) lostError() error {
	return &peer.RefusedError{
		Code: peer.CodeLost, Reason: "the leader changed while the proposal was under way",
		Leader: replica.InstanceOf(t.replica.Leader),
	}
}

func (t *task) roleChanged(change replica.RoleChanged) {
	if change == t.role {
		return
	}
	formerRole := t.role.Role
	t.log.WithFields(log.Fields{
		"change": "role", "from": string(t.role.Role), "to": string(change.Role),
		"term": change.Term, "leader": replica.InstanceOf(change.Leader),
		"leader_contact_age_ms": t.replica.LeaderContactAge(time.Now()).Milliseconds(), "longest_wait_ms": t.backlog.longestWait.Milliseconds(),
	}).Info("replica role changed")
	t.role = change
	t.discardViews()
	t.quarantineRoleChanged(time.Now(), formerRole, change.Role)
	if (formerRole == replica.RoleLeader) != (change.Role == replica.RoleLeader) {
		t.refuseWatches()
	}
	if change.Role == replica.RoleLeader {
		t.fleet.RenewAll(time.Now())
		return
	}
	for _, p := range t.proposals.Abandon() {
		t.completeProposal(p, t.lostError(), nil)
	}
}
