package control

import (
	"context"
	"strconv"
	"time"

	"github.com/oriolepost/oriolepost/allowance"
	"github.com/oriolepost/oriolepost/peer"
)

// allowanceTimeout limits a relay's request to the leader. The entry waits no longer.
const allowanceTimeout = 700 * time.Millisecond

// grantAllowance answers the report of an entry on its part of limits on sums. Only a
// leader grants that a quorum has confirmed: its successor waits until its lease has ended.
// A relay asks the leader.
func (t *task) grantAllowance(now time.Time, message allowanceMessage) {
	address := t.leaderAddress()
	switch {
	case t.leads() && t.replica.LeaseEnd(now).IsZero():
		message.answer <- answer{err: &peer.RefusedError{Code: peer.CodeBusy, Reason: "no quorum has confirmed this leader"}}
	case t.leads():
		reply := t.allowanceOwner().Handle(now, message.request.Report)
		t.metrics.GetOrCreateCounter("oriolepost_allowance_reports_total").Inc()
		for _, g := range reply.Items {
			t.metrics.GetOrCreateCounter("oriolepost_allowance_tokens_granted_total").Add(g.Tokens + g.TokensLow)
		}
		message.answer <- answer{response: peer.AllowanceResponse{Reply: reply}}
	case t.relays(now) && address != "":
		go func() {
			ctx, cancel := context.WithTimeout(t.ctx, allowanceTimeout)
			defer cancel()
			response, err := t.relayPool.Call(ctx, address, message.request)
			message.answer <- answer{response: response, err: err}
		}()
	default:
		message.answer <- answer{err: t.notLeaderError()}
	}
}

// allowanceOwner returns the owner of the present term.
func (t *task) allowanceOwner() *allowance.Owner {
	if t.owner == nil || t.ownerTerm != t.replica.Term {
		t.ownerTerm = t.replica.Term
		t.owner = allowance.NewOwner(t.replica.LeadingSince(), t.startedAt, strconv.FormatUint(t.replica.Term, 10), t.allowanceLimit)
	}
	return t.owner
}

// allowanceLimit returns the limit of a key. Only the services of the configuration have
// one, so that entries can't add keys without end.
func (t *task) allowanceLimit(key string) (allowance.Limit, bool) {
	service, ok := allowance.RetryService(key)
	if !ok || t.state.Catalog.Configuration == nil {
		return nil, false
	}
	for _, s := range t.state.Catalog.Configuration.Services {
		if s.Name == service {
			b := t.settings.Bounds
			return allowance.Window{Ratio: b.RetryRatio, Length: b.RetryWindow, Slack: b.RetrySlack}, true
		}
	}
	return nil, false
}

// pruneAllowance forgets the entries that have not asked for long, and all of them when
// this instance does not lead.
func (t *task) pruneAllowance(now time.Time) {
	if t.owner == nil {
		return
	}
	if !t.leads() {
		t.owner = nil
		return
	}
	// Requests count for two windows.
	t.owner.Prune(now, 3*t.settings.Bounds.RetryWindow)
}
