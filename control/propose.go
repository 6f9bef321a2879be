package control

import (
	"time"

	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/proposal"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/route"
)

// pendingProposal is a command that was proposed and is not applied yet.
type pendingProposal struct {
	answer chan<- answer
	// read is true when the answer is the configuration and the index, and indexOnly when
	// it is only the index.
	read, indexOnly bool
	// rolloutOf is the service whose roll-out is the answer; empty for others.
	rolloutOf string
	// enrolls is true for a command that records upstreams.
	enrolls bool
	// order is the key of a configuration, whose waiters are in task.orders.
	order *proposal.OrderKey
}

// propose appends a command to the log. Empty data gives an entry that changes
// nothing; a read proposes one. When it is applied, everything that was
// acknowledged before it has been applied too. This needs no leader lease, which
// would rely on clocks.
func (t *task) propose(now time.Time, data []byte, p pendingProposal) []replica.Effect {
	return t.replica.Step(now, replica.Propose{Token: t.proposals.Add(p), Data: data})
}

// proposeCommand proposes a command, or a configuration unless that repeats another one.
func (t *task) proposeCommand(now time.Time, message proposeMessage) []replica.Effect {
	put, ok := message.command.(record.PutConfiguration)
	if !ok || !t.leads() {
		return t.propose(now, message.data, pendingProposal{answer: message.answer})
	}
	committed := route.VersionOf(t.state.Catalog.Configuration)
	key := proposal.KeyOf(message.data)
	switch t.orders.Add(key, put.Configuration.Version, committed, message.answer) {
	case proposal.DecisionPropose:
		return t.propose(now, message.data, pendingProposal{order: &key})
	case proposal.DecisionInForce:
		message.answer <- answer{response: peer.ProposeResponse{Result: record.Done{Index: t.state.Catalog.Index, Version: committed.Number}}}
	case proposal.DecisionWait:
	}
	return nil
}
