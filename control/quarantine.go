package control

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/replica"
)

const (
	// quarantineCallTimeout limits one attempt to pass a message of an entry on to the
	// leader. It is shorter than the time for which the entry waits.
	quarantineCallTimeout = 300 * time.Millisecond
	// maxWaitingSuspects limits the reports that wait until an earlier one has reached the
	// leader. Entries repeat those that are refused.
	maxWaitingSuspects = 512
)

// suspectMessage carries a report of an entry, or of a control instance that passes on
// those of its entries.
type suspectMessage struct {
	request peer.SuspectRequest
	answer  chan<- answer
}

// suspectsPassedOnMessage reports the leader's answer to the reports that this instance has
// passed on.
type suspectsPassedOnMessage struct {
	passedOn []suspectMessage
	err      error
}

// quarantineProbeMessage carries an entry's question whether it may send one request with
// a quarantined content.
type quarantineProbeMessage struct {
	request peer.QuarantineProbeRequest
	answer  chan<- answer
}

func (suspectMessage) message()          {}
func (suspectsPassedOnMessage) message() {}
func (quarantineProbeMessage) message()  {}

// listedQuarantine is a list with the time as of which its ages are.
type listedQuarantine struct {
	list peer.Quarantine
	asOf time.Time
}

// view returns the list for those that have another one; nil if there is none.
func (l listedQuarantine) view(now time.Time, known string) *peer.Quarantine {
	if l.list.ID == "" || l.list.ID == known {
		return nil
	}
	return &peer.Quarantine{ID: l.list.ID, Listings: quarantine.Aged(l.list.Listings, now.Sub(l.asOf))}
}

// takeSuspects takes a report. The leader counts it; another instance passes it on at
// once. It is acknowledged once the leader has it.
func (t *task) takeSuspects(now time.Time, m suspectMessage) {
	switch {
	case t.leads():
		t.stepQuarantine(now, quarantine.Reported{Sightings: m.request.Sightings})
		m.answer <- answer{response: peer.Nothing{}}
	case m.request.Relayed || t.leaderAddress() == "":
		m.answer <- answer{err: t.notLeaderError()}
	case len(t.suspects) >= maxWaitingSuspects:
		m.answer <- answer{err: &peer.RefusedError{Code: peer.CodeBusy, Reason: "too many reports wait"}}
	default:
		t.suspects = append(t.suspects, m)
		t.passOnSuspects()
	}
}

// suspectsPassedOn takes the leader's answer to reports, and passes on those that came
// meanwhile.
func (t *task) suspectsPassedOn(m suspectsPassedOnMessage) {
	t.passingOn = false
	for _, passedOn := range m.passedOn {
		passedOn.answer <- answer{response: peer.Nothing{}, err: m.err}
	}
	t.passOnSuspects()
}

// passOnSuspects sends the reports that wait to the leader, in one message, unless an
// earlier one is under way: when many upstreams crash at once, the leader gets at most one
// message at a time from each instance.
func (t *task) passOnSuspects() {
	address := t.leaderAddress()
	if t.passingOn || len(t.suspects) == 0 {
		return
	}
	passedOn := t.suspects
	t.suspects = nil
	if t.leads() || address == "" {
		for _, m := range passedOn {
			m.answer <- answer{err: t.notLeaderError()}
		}
		return
	}
	t.passingOn = true
	request := peer.SuspectRequest{Relayed: true}
	for _, m := range passedOn {
		request.Sightings = append(request.Sightings, m.request.Sightings...)
	}
	go func() {
		_, err := t.callLeader(address, request)
		select {
		case t.mailbox <- postedMessage{suspectsPassedOnMessage{passedOn, err}, time.Now()}:
		case <-t.ctx.Done():
		}
	}()
}

func (t *task) callLeader(address string, request peer.Request) (peer.Response, error) {
	ctx, cancel := context.WithTimeout(t.ctx, quarantineCallTimeout)
	defer cancel()
	return t.relayPool.Call(ctx, address, request)
}

// allowProbe answers whether an entry may send one request with a quarantined content. A
// leader needs a quorum that has answered it, since there may be a newer one otherwise,
// which may allow another probe.
func (t *task) allowProbe(now time.Time, m quarantineProbeMessage) {
	address := t.leaderAddress()
	switch {
	case t.leads() && !t.replica.LeaseEnd(now).IsZero():
		allowed, askAgain := t.quarantine.AllowProbe(now, m.request.Fingerprint)
		t.log.WithFields(log.Fields{
			"change": "quarantine_probe", "fingerprint": string(m.request.Fingerprint), "allowed": allowed, "ask_again_ms": askAgain.Milliseconds(), "term": t.replica.Term,
		}).Info("probe of a quarantined content decided")
		m.answer <- answer{response: peer.QuarantineProbeResponse{Allowed: allowed, AskAgainMS: askAgain.Milliseconds()}}
	case t.leads() || m.request.Relayed || address == "":
		m.answer <- answer{err: t.notLeaderError()}
	default:
		go func() {
			response, err := t.callLeader(address, peer.QuarantineProbeRequest{Fingerprint: m.request.Fingerprint, Relayed: true})
			m.answer <- answer{response: response, err: err}
		}()
	}
}

// stepQuarantine steps the state of this leader, and lists what has changed.
func (t *task) stepQuarantine(now time.Time, event quarantine.OwnerEvent) {
	before := t.quarantine.Revision
	for _, effect := range t.quarantine.Step(now, event) {
		switch e := effect.(type) {
		case quarantine.LevelChanged:
			t.log.WithFields(log.Fields{
				"change": "quarantine", "fingerprint": string(e.Fingerprint), "from": string(e.From), "to": string(e.To), "crashes": e.Crashes, "reason": e.Reason, "term": t.replica.Term,
			}).Warn("quarantine changed")
		case quarantine.Report:
		}
	}
	suspected, quarantined := t.quarantine.Count()
	t.metrics.GetOrCreateGauge("oriolepost_quarantine_suspects", nil).Set(float64(suspected))
	t.metrics.GetOrCreateGauge("oriolepost_quarantine_contents", nil).Set(float64(quarantined))
	if t.quarantine.Revision != before {
		// An entry that is answered from now on must get this change.
		t.discardViews()
	}
}

// ownQuarantine returns the list of this leader.
func (t *task) ownQuarantine(now time.Time) listedQuarantine {
	if t.quarantine.Revision == 0 {
		return listedQuarantine{}
	}
	return listedQuarantine{asOf: now, list: peer.Quarantine{
		ID: fmt.Sprintf("%d/%d", t.replica.Term, t.quarantine.Revision), Listings: t.quarantine.Listings(now),
	}}
}

// quarantineRoleChanged hands the list over when this instance begins or ceases to lead. A
// new leader starts with what it had as a relay; the entries report what they hold.
func (t *task) quarantineRoleChanged(now time.Time, former, role replica.Role) {
	switch {
	case former == replica.RoleLeader && role != replica.RoleLeader:
		if list := t.ownQuarantine(now); list.list.ID != "" {
			t.relay.quarantine = list
		}
	case former != replica.RoleLeader && role == replica.RoleLeader:
		t.quarantine = quarantine.NewOwner()
		list := t.relay.quarantine
		t.stepQuarantine(now, quarantine.Adopted{Listings: quarantine.Aged(list.list.Listings, now.Sub(list.asOf))})
		t.passOnSuspects()
	}
}
