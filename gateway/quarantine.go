package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/quarantine"
)

const (
	// probeQuestionTimeout limits the wait of a request for the leader's answer whether it
	// may be sent as a probe. It covers a relay and is short against the time of a caller.
	probeQuestionTimeout = 300 * time.Millisecond
	// probeQuestionInterval is the time between two questions while the leader does not
	// answer them.
	probeQuestionInterval = 5 * time.Second
)

// probeDecidedMessage carries the leader's answer whether a request may be sent although
// its content is quarantined.
type probeDecidedMessage struct {
	request placement.RequestID
	// response is nil if the leader has not answered.
	response *peer.QuarantineProbeResponse
}

func (probeDecidedMessage) message() {}

// recordContent tells the quarantine what an ended attempt shows of its content.
func (t *task) recordContent(ended attemptEndedMessage) {
	active := t.active[ended.request]
	if active == nil {
		return
	}
	f := active.request.Fingerprint
	switch o := ended.outcome.(type) {
	case placement.Answered:
		if !o.Failed {
			t.stepQuarantine(quarantine.Answered{Fingerprint: f, SentAt: ended.startedAt})
		}
	case placement.Unknown:
		if o.Reason == placement.ReasonReset {
			upstream := quarantine.Incarnation{ID: ended.key.ID, StartMS: ended.key.BornMS}
			t.stepQuarantine(quarantine.Crashed{Fingerprint: f, Upstream: upstream, SentAt: ended.startedAt})
		}
	case placement.NotRun:
	}
}

// takeQuarantine takes what an answer to a watch, or a copy of the view, says of
// quarantined contents.
func (t *task) takeQuarantine(m viewMessage) {
	if m.view != nil && m.view.Quarantine != nil {
		t.stepQuarantine(quarantine.Listed{Epoch: m.epoch, Listings: m.view.Quarantine.Listings})
	}
	if m.leaderEpoch > t.reportedEpoch {
		t.reportedEpoch = m.leaderEpoch
		t.stepQuarantine(quarantine.LeaderChanged{})
	}
	t.stepQuarantine(quarantine.Checked{})
}

// stepQuarantine steps the state that the placement reads, before the placement gets
// the same event.
func (t *task) stepQuarantine(event quarantine.HolderEvent) {
	now := time.Now()
	for _, effect := range t.placement.Quarantine.Step(now, event) {
		switch e := effect.(type) {
		case quarantine.Report:
			t.reports.post(now, e.Sightings)
		case quarantine.LevelChanged:
			t.gateway.options.Log.WithFields(log.Fields{
				"change": "quarantine", "fingerprint": string(e.Fingerprint), "from": string(e.From), "to": string(e.To), "crashes": e.Crashes, "reason": e.Reason,
				"control_contact_age_ms": t.gateway.controlContactAge().Milliseconds(),
			}).Warn("quarantine changed")
			if e.To == quarantine.LevelQuarantined {
				t.step(placement.ContentQuarantined{Fingerprint: e.Fingerprint})
			}
		}
	}
	suspected, quarantined := t.placement.Quarantine.Count()
	t.gateway.options.Metrics.GetOrCreateGauge("oriolepost_quarantine_suspects", nil).Set(float64(suspected))
	t.gateway.options.Metrics.GetOrCreateGauge("oriolepost_quarantine_contents", nil).Set(float64(quarantined))
}

// asksForProbe asks the leader whether a request with a quarantined content may be sent as a
// probe, if that may be due. The request waits for the answer. An entry without contact to
// the control instances sends no probe.
func (t *task) asksForProbe(request placement.Request) bool {
	now := time.Now()
	f, holder := request.Fingerprint, t.placement.Quarantine
	if !holder.Quarantined(now, f) || !holder.ProbeDue(now, f) || t.gateway.controlContactAge() >= controlContactTimeout {
		return false
	}
	t.stepQuarantine(quarantine.ProbeAsked{Fingerprint: f, AskAgain: probeQuestionInterval})
	go func() {
		ctx, cancel := context.WithTimeout(t.ctx, probeQuestionTimeout)
		defer cancel()
		decided := probeDecidedMessage{request: request.ID}
		response, err := t.reports.pool.Call(ctx, t.reports.leader.Address(), peer.QuarantineProbeRequest{Fingerprint: f})
		if answered, ok := response.(peer.QuarantineProbeResponse); err == nil && ok {
			decided.response = &answered
		}
		t.post(decided)
	}()
	return true
}

// probeDecided passes a request that has waited for the leader's answer to the placement,
// which refuses it unless it is the probe.
func (t *task) probeDecided(m probeDecidedMessage) {
	active := t.active[m.request]
	if active == nil {
		return
	}
	if m.response != nil {
		t.stepQuarantine(quarantine.ProbeAsked{
			Fingerprint: active.request.Fingerprint, AskAgain: time.Duration(m.response.AskAgainMS) * time.Millisecond,
		})
		active.request.Probe = m.response.Allowed
	}
	if active.request.Probe {
		t.gateway.options.Metrics.GetOrCreateCounter("oriolepost_quarantine_probes_total").Inc()
	}
	t.step(placement.Arrived{Request: active.request})
}
