package control

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
)

// apply applies a committed entry and answers its proposer.
func (t *task) apply(e replica.Entry) error {
	var result record.Result = record.Done{Index: e.Index}
	if e.Members == nil && len(e.Data) > 0 {
		c, err := jsonform.DecodeCommand(e.Data)
		if err != nil {
			return fmt.Errorf("apply entry %d: %w", e.Index, err)
		}
		t.logBytes += len(e.Data)
		result = t.state.Apply(e.Index, c)
		t.follow(e.Index, c)
	} else {
		t.state.Applied = e.Index
	}
	if p, lost, ok := t.proposals.Applied(e); ok {
		var err error
		if lost {
			err = t.lost()
		}
		t.conclude(p, err, result)
	}
	return t.compact(e.Index)
}

// conclude answers whoever waits for a proposal.
func (t *task) conclude(p proposal, err error, result record.Result) {
	switch {
	case p.enrolls:
		t.enrolling = false
		t.recordSoon(time.Now())
	case p.answer == nil:
	case err != nil:
		p.answer <- answer{err: err}
	case p.read:
		p.answer <- answer{response: peer.ReadResponse{Original: t.state.Catalog.Original}}
	default:
		p.answer <- answer{response: peer.ProposeResponse{Result: result}}
	}
}

// follow takes what a command changed into what entries are told.
func (t *task) follow(index uint64, c record.Command) {
	t.committed++
	fields := log.Fields{"index": index, "term": t.replica.Term}
	switch c := c.(type) {
	case record.PutConfiguration:
		fields["change"], fields["version"] = "configuration", c.Configuration.Version
		fields["in_force"] = t.state.Catalog.Configuration.Version
	case record.SetDomain:
		fields["change"], fields["failure_domain_out"], fields["out"] = "domain", c.Domain, c.Out
	case record.Retire:
		t.fleet.Retire(c.Upstream, c.BornMS)
		fields["change"], fields["upstream"], fields["born_ms"] = "retired", c.Upstream, c.BornMS
	case record.Enroll:
		for _, u := range c.Upstreams {
			t.fleet.Restore(time.Now(), u)
		}
		return
	case record.Withdraw:
		t.fleet.Remove(c.Upstreams)
		fields["change"], fields["upstreams"] = "withdrawn", c.Upstreams
	case record.Noop, record.PutDocument, record.SetServer, record.Claim, record.Settle, record.Release:
		return
	}
	// Whoever comes from now on must hear of it.
	clear(t.wholeViews)
	t.log.WithFields(fields).Info("committed")
}

// compact replaces the log by a snapshot when it has grown long.
func (t *task) compact(index uint64) error {
	kept := compactAfter + uint64(len(t.fleet.Members))
	if index < t.replica.FirstKept()+kept && t.logBytes < compactBytes {
		return nil
	}
	t.logBytes = 0
	data, err := json.Marshal(t.state)
	if err == nil {
		data, err = jsonform.Compress(data)
	}
	if err != nil {
		return fmt.Errorf("encode state: %w", err)
	}
	t.metrics.GetOrCreateCounter("oriolepost_snapshots_total").Inc()
	return t.perform(t.replica.Step(time.Now(), replica.Compact{Index: index, Data: data}))
}
