package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/state"
)

// apply applies a committed entry, answers the caller that proposed it, and takes
// a snapshot when one is due.
func (t *task) apply(entry replica.Entry) error {
	var result record.Result = record.Done{Index: entry.Index}
	if entry.Members == nil && len(entry.Data) > 0 {
		c, err := t.commandOf(entry)
		if err != nil {
			return fmt.Errorf("apply log entry %d: %w", entry.Index, err)
		}
		t.bytesSinceSnapshot += len(entry.Data)
		result = t.state.Apply(entry.Index, c)
		if _, overtaken := result.(record.Overtaken); !overtaken {
			t.updateWatchedState(entry.Index, c)
		}
	} else {
		t.state.Applied = entry.Index
	}
	if p, lost, ok := t.proposals.Applied(entry); ok {
		var err error
		if lost {
			err = t.lostError()
		}
		t.completeProposal(p, err, result)
	}
	return t.compact(entry.Index)
}

// completeProposal answers the caller that waits for a proposal. A command that
// records upstreams has no caller; its end allows the next one.
func (t *task) completeProposal(proposed pendingProposal, err error, result record.Result) {
	switch {
	case proposed.order != nil:
		for _, waiter := range t.orders.Ended(*proposed.order) {
			t.completeProposal(pendingProposal{answer: waiter}, err, result)
		}
	case proposed.enrolls:
		t.enrolling = false
		t.scheduleRecording(time.Now())
	case proposed.answer == nil:
	case err == nil && proposed.rolloutOf != "":
		proposed.answer <- answer{response: t.rolloutOf(proposed.rolloutOf)}
	case err != nil:
		proposed.answer <- answer{err: err}
	case proposed.indexOnly:
		proposed.answer <- answer{response: peer.ReadResponse{Index: t.state.Applied}}
	case proposed.read:
		proposed.answer <- answer{response: peer.ReadResponse{Original: t.state.Catalog.Original, Index: t.state.Applied}}
	default:
		proposed.answer <- answer{response: peer.ProposeResponse{Result: result}}
	}
}

// updateWatchedState applies a committed command to the fleet that entries watch,
// and logs it if entries act on it. Enroll is not logged, since the instances that
// received the announcements have logged them.
func (t *task) updateWatchedState(index uint64, command record.Command) {
	t.committedChanges++
	fields := log.Fields{"index": index, "term": t.replica.Term}
	switch command := command.(type) {
	case record.PutConfiguration:
		t.fleet.Services = t.state.Catalog.Services()
		t.restoreOutranking()
		fields["change"], fields["version"] = "configuration", command.Configuration.Version
		fields["in_force"] = t.state.Catalog.Configuration.Version
	case record.SetDomain:
		fields["change"], fields["failure_domain_out"], fields["out_of_service"] = "domain", command.Domain, command.Out
	case record.Retire:
		t.fleet.Retire(command.Upstream, command.Service, command.StartMS)
		fields["change"], fields["upstream"], fields["service"], fields["start_ms"] = "retired", command.Upstream, command.Service, command.StartMS
	case record.Enroll:
		for _, u := range command.Upstreams {
			t.fleet.Restore(time.Now(), u)
		}
		t.rollouts.stepAt = time.Time{}
		return
	case record.BeginRollout:
		fields["change"], fields["service"], fields["target"], fields["length_ms"] = "rollout_begun", command.Service, command.Target, command.LengthMS
		t.rollouts.stepAt = time.Time{}
	case record.EndRollout:
		fields["change"], fields["service"], fields["completed"], fields["reason"] = "rollout_ended", command.Service, command.Completed, command.Reason
		t.rollouts.stepAt = time.Time{}
	case record.Withdraw:
		t.fleet.Remove(command.Upstreams)
		fields["change"], fields["upstreams"] = "withdrawn", command.Upstreams
	case record.Noop, record.PutDocument, record.SetServer, record.Claim, record.Settle, record.Release:
		return
	}
	// An entry that is answered from now on must get this change.
	t.discardViews()
	t.log.WithFields(fields).Info("command committed")
}

// restoreOutranking puts the recorded incarnations back that outrank those in the fleet now
// that other services are named. Otherwise an instance that knows the recorded one forwards
// its announcements as renewals of the id, and this one would renew the other incarnation.
func (t *task) restoreOutranking() {
	for id, recorded := range t.state.Catalog.Upstreams {
		if member := t.fleet.Members[id]; member != nil && t.fleet.Services.Outranks(recorded, member.Upstream) {
			t.fleet.Restore(time.Now(), recorded)
		}
	}
}

// compact replaces the log by a snapshot once it holds enough entries or bytes.
func (t *task) compact(index uint64) error {
	minEntries := snapshotAfterEntries + uint64(len(t.fleet.Members))
	if index < t.replica.FirstIndex()+minEntries && t.bytesSinceSnapshot < snapshotAfterBytes {
		return nil
	}
	t.bytesSinceSnapshot = 0
	data, err := json.Marshal(t.state)
	if err == nil {
		data, err = jsonform.Compress(data)
	}
	if err != nil {
		return fmt.Errorf("encode state for a snapshot: %w", err)
	}
	t.metrics.GetOrCreateCounter("oriolepost_snapshots_total").Inc()
	return t.perform(t.replica.Step(time.Now(), replica.Compact{Index: index, Data: data}))
}

// restore replaces the state of the state machine by a snapshot, and adds the
// upstreams in it to the fleet.
func (t *task) restore(snapshot replica.Snapshot) error {
	restored := state.New()
	if len(snapshot.Data) > 0 {
		data, err := jsonform.Decompress(snapshot.Data)
		if err == nil {
			err = json.Unmarshal(data, restored)
		}
		if err != nil {
			return fmt.Errorf("restore snapshot at index %d: %w", snapshot.Index, err)
		}
	}
	t.state = restored
	t.fleet.Services = restored.Catalog.Services()
	for _, r := range restored.Catalog.Retired {
		t.fleet.Retire(r.Upstream, r.Service, r.StartMS)
	}
	now := time.Now()
	for _, id := range slices.Sorted(maps.Keys(restored.Catalog.Upstreams)) {
		t.fleet.Restore(now, restored.Catalog.Upstreams[id])
	}
	t.committedChanges++
	return nil
}
