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

// lead does what time brings: ownership of the slots begins and ends with the
// lease of the leader, lost voters are replaced, standbys offer themselves. An
// error means that the disk failed.
func (t *voterTask) lead(now time.Time) error {
	lease := t.replica.LeaseEnd(now)
	if !lease.IsZero() && t.owner.Term != t.replica.Term {
		quiet := t.replica.LeadingSince().Add(slot.LeaseTime + slot.MaxDrift)
		t.stepOwner(slot.Configured{Catalog: t.state.Catalog})
		t.stepOwner(slot.Led{Term: t.replica.Term, Quiet: quiet})
	}
	if t.replica.Role == replica.RoleLeader {
		t.stepOwner(slot.Ticked{})
		if err := t.replaceVoters(now); err != nil {
			return err
		}
	}
	t.offer(now)
	t.gauges()
	return nil
}

func (t *voterTask) stepOwner(e slot.Event) {
	for _, effect := range t.owner.Step(time.Now(), e) {
		t.performOwner(effect)
	}
}

func (t *voterTask) performOwner(effect slot.Effect) {
	switch e := effect.(type) {
	case slot.SendReply:
		if answer, ok := t.reports[e.Entry]; ok {
			answer <- e.Reply
			delete(t.reports, e.Entry)
		}
	case slot.Poke:
		if address, ok := t.entries[e.Entry]; ok {
			t.pool.Notify(address, peer.PokeRequest{})
		}
	case slot.ServerChanged:
		t.log.WithFields(log.Fields{
			"change": "server", "server": e.Server, "server_failure_domain": e.Domain, "from": e.From, "to": e.To,
		}).Info("server changed")
	case slot.EntryChanged:
		t.log.WithFields(log.Fields{
			"change": "entry", "entry": e.Entry, "from": e.From, "to": e.To,
		}).Info("entry changed")
	}
}

// leased reports whether this instance leads for certain.
func (t *voterTask) leased(now time.Time) bool {
	return !t.replica.LeaseEnd(now).IsZero() && t.owner.Term == t.replica.Term
}

func (t *voterTask) report(now time.Time, m reportMail) {
	if !t.leased(now) {
		m.refuse <- t.notLeader()
		return
	}
	if m.report.Address != "" {
		t.entries[m.report.Entry] = m.report.Address
	}
	t.reports[m.report.Entry] = m.answer
	t.stepOwner(slot.Reported{Report: m.report})
	if _, waiting := t.reports[m.report.Entry]; waiting {
		delete(t.reports, m.report.Entry)
		m.refuse <- &peer.RefusedError{Code: peer.CodeMalformed, Reason: "the report is older than the last one"}
	}
}

func (t *voterTask) confirm(now time.Time, m confirmMail) {
	if !t.leased(now) {
		m.refuse <- t.notLeader()
		return
	}
	m.answer <- t.owner.InForce(now, m.index)
}

// join takes an offer of an instance with a disk.
func (t *voterTask) join(now time.Time, m joinMail) {
	if t.replica.Role != replica.RoleLeader {
		m.refuse <- t.notLeader()
		return
	}
	m.identity.Heard = now
	t.standbys[m.identity.ReplicaID] = m.identity
	m.refuse <- nil
}

// replaceVoters takes the next step of a replacement that is due.
func (t *voterTask) replaceVoters(now time.Time) error {
	if now.Before(t.planAt) {
		return nil
	}
	t.planAt = now.Add(joinEvery / 4)
	maps.DeleteFunc(t.standbys, func(_ string, s replica.Identity) bool {
		return now.Sub(s.Heard) > standbyLifetime
	})
	var standbys []replica.Identity
	for _, id := range slices.Sorted(maps.Keys(t.standbys)) {
		standbys = append(standbys, t.standbys[id])
	}
	m, due := t.plan.Next(t.replica, standbys, now)
	if !due {
		return nil
	}
	t.log.WithFields(log.Fields{
		"change": "members", "from": t.replica.Members, "to": m,
	}).Info("members change")
	return t.perform(t.replica.Step(now, replica.ChangeMembers{Members: m}))
}

// offer tells the leader of an instance that is not one of its voters, and
// forms a new system out of instances that are all empty.
func (t *voterTask) offer(now time.Time) {
	voter := slices.Contains(t.replica.Members.Voters, t.id())
	if now.Before(t.joinAt) || (voter && t.replica.Leader != "") {
		return
	}
	t.joinAt = now.Add(joinEvery)
	join := peer.JoinRequest{
		Instance: t.settings.Instance, ReplicaID: t.id(), Domain: t.settings.Domain,
	}
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, joinEvery/2)
		defer cancel()
		if _, err := t.leader.Call(ctx, join); err != nil {
			t.metrics.GetOrCreateCounter("oriolepost_join_errors_total").Inc()
		}
	}()
	if t.unformed() && t.initialVoter() && !t.forming {
		t.forming = true
		go t.lookAround()
	}
}

func (t *voterTask) unformed() bool {
	return len(t.replica.Members.Voters) == 0
}

func (t *voterTask) initialVoter() bool {
	return slices.ContainsFunc(t.settings.Voters(), func(c settings.ControlInstance) bool {
		return c.Instance == t.settings.Instance
	})
}

// lookAround asks the initial voters who they are.
func (t *voterTask) lookAround() {
	ctx, cancel := context.WithTimeout(t.ctx, formTimeout)
	defer cancel()
	var voters []replica.Identity
	for _, c := range t.settings.Voters() {
		response, err := t.pool.Call(ctx, c.Address, peer.IdentifyRequest{})
		r, ok := response.(peer.IdentifyResponse)
		if err != nil || !ok {
			continue
		}
		voters = append(voters, replica.Identity{
			ReplicaID: r.ReplicaID, Instance: r.Instance, Domain: c.Domain, Members: r.Members,
		})
	}
	select {
	case t.mailbox <- formMail{voters: voters}:
	case <-t.ctx.Done():
	}
}

func (t *voterTask) identify() peer.IdentifyResponse {
	r := peer.IdentifyResponse{Instance: t.settings.Instance, ReplicaID: t.id()}
	if !t.unformed() {
		m := t.replica.Members
		r.Members = &m
	}
	return r
}

// form begins a new system if all initial voters answered.
func (t *voterTask) form(voters []replica.Identity) []replica.Effect {
	t.forming = false
	if !t.unformed() {
		return nil
	}
	m, ok := replica.Form(t.id(), voters, len(t.settings.Voters()))
	if !ok {
		return nil
	}
	first := replica.Snapshot{Index: 1, Term: 1, Members: m}
	t.replica = replica.New(replicaConfig(t.id()), replica.Saved{
		HardState: replica.HardState{Term: max(1, t.replica.Term), Vote: t.replica.Vote}, Snapshot: first,
	}, t.random, time.Now())
	t.log.WithFields(log.Fields{"change": "formed", "to": m.Voters}).Info("system formed")
	return []replica.Effect{
		replica.SaveHardState{HardState: t.replica.HardState},
		replica.SaveSnapshot{Snapshot: first, Reset: true},
	}
}

func (t *voterTask) status(now time.Time, m statusMail) {
	if !t.leased(now) {
		m.refuse <- t.notLeader()
		return
	}
	r := &peer.StatusResponse{
		Leader: t.settings.Instance, Term: t.replica.Term, Index: t.replica.Commit,
		Members: t.replica.Members, Silent: t.replica.Silent(now, time.Second),
		Catalog: t.state.Catalog.Clone(), LedgerKeys: map[string]int{},
	}
	r.Catalog.Changes = nil
	for name, l := range t.state.Ledger.Services {
		r.LedgerKeys[name] = len(l.Keys)
	}
	r.Entries = t.owner.EntryViews()
	r.Servers = t.owner.ServerViews()
	m.answer <- r
}

func (t *voterTask) gauges() {
	t.metrics.GetOrCreateCounter("oriolepost_replica_term").Set(t.replica.Term)
	t.metrics.GetOrCreateCounter("oriolepost_replica_commit_index").Set(t.replica.Commit)
	leads := uint64(0)
	if t.replica.Role == replica.RoleLeader {
		leads = 1
	}
	t.metrics.GetOrCreateCounter("oriolepost_replica_leads").Set(leads)
}
