package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/slot"
)

// runHousekeeping does the periodic work. It starts slot ownership once this
// instance is the leader and has its lease, replaces lost voters, and requests to
// join. An error, such as a failed disk, ends the instance.
func (t *voterTask) runHousekeeping(now time.Time) error {
	leaseEnd := t.replica.LeaseEnd(now)
	if !leaseEnd.IsZero() && t.owner.Term != t.replica.Term {
		renewOnlyUntil := t.replica.LeadingSince().Add(slot.LeaseDuration + slot.MaxClockDrift)
		t.stepOwner(slot.CatalogChanged{Catalog: t.state.Catalog})
		t.stepOwner(slot.BecameLeader{Term: t.replica.Term, RenewOnlyUntil: renewOnlyUntil})
	}
	if t.replica.Role == replica.RoleLeader {
		t.stepOwner(slot.Ticked{})
		if err := t.replaceVoters(now); err != nil {
			return err
		}
	}
	t.joinOrBootstrap(now)
	t.updateGauges()
	return nil
}

func (t *voterTask) stepOwner(e slot.Event) {
	for _, effect := range t.owner.Step(time.Now(), e) {
		t.performOwnerEffect(effect)
	}
}

func (t *voterTask) performOwnerEffect(effect slot.Effect) {
	switch effect := effect.(type) {
	case slot.SendReply:
		if answer, ok := t.reportAnswers[effect.Entry]; ok {
			answer <- effect.Reply
			delete(t.reportAnswers, effect.Entry)
		}
	case slot.RequestReport:
		if address, ok := t.entryAddresses[effect.Entry]; ok {
			t.pool.Notify(address, peer.ReportNowRequest{})
		}
	case slot.ServerChanged:
		t.log.WithFields(log.Fields{
			"change": "server", "server": effect.Server, "server_failure_domain": effect.Domain, "from": effect.From, "to": effect.To,
		}).Info("server state changed")
	case slot.EntryChanged:
		t.log.WithFields(log.Fields{
			"change": "entry", "entry": effect.Entry, "from": effect.From, "to": effect.To,
		}).Info("entry state changed")
	}
}

// holdsLease reports whether this instance is the slot owner and certainly still
// the leader: the leader's lease has not expired.
func (t *voterTask) holdsLease(now time.Time) bool {
	return !t.replica.LeaseEnd(now).IsZero() && t.owner.Term == t.replica.Term
}

func (t *voterTask) report(now time.Time, message reportMessage) {
	if !t.holdsLease(now) {
		message.refusal <- t.notLeaderError()
		return
	}
	if message.report.Address != "" {
		t.entryAddresses[message.report.Entry] = message.report.Address
	}
	t.reportAnswers[message.report.Entry] = message.answer
	t.stepOwner(slot.ReportReceived{Report: message.report})
	if _, waiting := t.reportAnswers[message.report.Entry]; waiting {
		delete(t.reportAnswers, message.report.Entry)
		message.refusal <- &peer.RefusedError{Code: peer.CodeMalformed, Reason: "the report is older than the last one"}
	}
}

func (t *voterTask) confirm(now time.Time, m confirmMessage) {
	if !t.holdsLease(now) {
		m.refusal <- t.notLeaderError()
		return
	}
	m.answer <- t.owner.InForce(now, m.index)
}

// join registers an instance with a disk as a standby, for [standbyLifetime].
func (t *voterTask) join(now time.Time, m joinMessage) {
	if t.replica.Role != replica.RoleLeader {
		m.result <- t.notLeaderError()
		return
	}
	m.identity.LastContact = now
	t.standbys[m.identity.ReplicaID] = m.identity
	m.result <- nil
}

// replaceVoters takes the next step towards the planned set of voters. The steps follow one
// another without a pause: a group in which a lost voter still counts tolerates no other loss.
func (t *voterTask) replaceVoters(now time.Time) error {
	if now.Before(t.replaceVotersAt) || t.replica.ChangingMembers() {
		return nil
	}
	t.replaceVotersAt = now.Add(joinInterval / 4)
	maps.DeleteFunc(t.standbys, func(_ string, standby replica.Identity) bool {
		return now.Sub(standby.LastContact) > standbyLifetime
	})
	var standbys []replica.Identity
	for _, id := range slices.Sorted(maps.Keys(t.standbys)) {
		standbys = append(standbys, t.standbys[id])
	}
	members, due := t.plan.Next(t.replica, standbys, now)
	if !due {
		return nil
	}
	t.replaceVotersAt = time.Time{}
	t.log.WithFields(log.Fields{
		"change": "members", "from": t.replica.Members, "to": members,
	}).Info("changing the replicas of the log")
	return t.perform(t.replica.Step(now, replica.ChangeMembers{Members: members}))
}

// joinOrBootstrap sends the leader a join request, once in each [joinInterval],
// unless this instance is a voter that knows the leader. An initial voter that
// belongs to no voter group also begins to bootstrap one.
func (t *voterTask) joinOrBootstrap(now time.Time) {
	voter := slices.Contains(t.replica.Members.Voters, t.id())
	if now.Before(t.joinAt) || (voter && t.replica.Leader != "") {
		return
	}
	t.joinAt = now.Add(joinInterval)
	join := peer.JoinRequest{
		Instance: t.settings.Instance, ReplicaID: t.id(), Domain: t.settings.Domain,
	}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, joinInterval/2)
		defer cancel()
		if _, err := t.leader.Call(ctx, join); err != nil {
			t.metrics.GetOrCreateCounter("oriolepost_join_errors_total").Inc()
		}
	}()
	if t.notBootstrapped() && t.initialVoter() && !t.bootstrapping {
		t.bootstrapping = true
		go t.discoverPeers()
	}
}

func (t *voterTask) notBootstrapped() bool {
	return len(t.replica.Members.Voters) == 0
}

func (t *voterTask) initialVoter() bool {
	return slices.ContainsFunc(t.settings.Voters(), func(c settings.ControlInstance) bool {
		return c.Instance == t.settings.Instance
	})
}

// discoverPeers asks the initial voters for their replica identities, and sends
// the task those that answered.
func (t *voterTask) discoverPeers() {
	ctx, cancel := context.WithTimeout(t.ctx, identifyTimeout)
	defer cancel()
	var voters []replica.Identity
	for _, voter := range t.settings.Voters() {
		response, err := t.pool.Call(ctx, voter.Address, peer.IdentifyRequest{})
		r, ok := response.(peer.IdentifyResponse)
		if err != nil || !ok {
			continue
		}
		voters = append(voters, replica.Identity{
			ReplicaID: r.ReplicaID, Instance: r.Instance, Domain: voter.Domain, Members: r.Members,
		})
	}
	select {
	case t.mailbox <- bootstrapMessage{voters: voters}:
	case <-t.ctx.Done():
	}
}

func (t *voterTask) identify() peer.IdentifyResponse {
	r := peer.IdentifyResponse{Instance: t.settings.Instance, ReplicaID: t.id()}
	if !t.notBootstrapped() {
		m := t.replica.Members
		r.Members = &m
	}
	return r
}

// bootstrap creates the voter group if all initial voters answered and none of
// them belongs to a group. If one does, this instance adopts that group, provided
// that it is one of its voters.
func (t *voterTask) bootstrap(voters []replica.Identity) []replica.Effect {
	t.bootstrapping = false
	if !t.notBootstrapped() {
		return nil
	}
	members, ok := replica.Bootstrap(t.id(), voters, len(t.settings.Voters()))
	if !ok {
		return nil
	}
	first := replica.Snapshot{Index: 1, Term: 1, Members: members}
	t.replica = replica.New(replicaConfig(t.id()), replica.PersistentState{
		HardState: replica.HardState{Term: max(1, t.replica.Term), Vote: t.replica.Vote}, Snapshot: first,
	}, t.random, time.Now())
	t.log.WithFields(log.Fields{"change": "formed", "voters": members.Voters}).Info("voter group bootstrapped")
	return []replica.Effect{
		replica.SaveHardState{HardState: t.replica.HardState},
		replica.SaveSnapshot{Snapshot: first, DropLaterEntries: true},
	}
}

func (t *voterTask) status(now time.Time, message statusMessage) {
	if !t.holdsLease(now) {
		message.refusal <- t.notLeaderError()
		return
	}
	response := &peer.StatusResponse{
		Leader: t.settings.Instance, Term: t.replica.Term, Index: t.replica.CommitIndex,
		Members: t.replica.Members, Silent: t.replica.UnresponsiveVoters(now, time.Second),
		Catalog: t.state.Catalog.Clone(), LedgerKeys: map[string]int{},
	}
	response.Catalog.Changes = nil
	for name, l := range t.state.Ledger.Services {
		response.LedgerKeys[name] = len(l.Keys)
	}
	response.Entries = t.owner.EntryViews()
	response.Servers = t.owner.ServerViews()
	message.answer <- response
}

func (t *voterTask) updateGauges() {
	t.metrics.GetOrCreateCounter("oriolepost_replica_term").Set(t.replica.Term)
	t.metrics.GetOrCreateCounter("oriolepost_replica_commit_index").Set(t.replica.CommitIndex)
	leads := uint64(0)
	if t.replica.Role == replica.RoleLeader {
		leads = 1
	}
	t.metrics.GetOrCreateCounter("oriolepost_replica_leads").Set(leads)
}
