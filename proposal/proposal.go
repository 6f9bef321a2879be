// Package proposal helps a task that owns a replica of the log. It saves the
// replica's effects durably and keeps track of the callers that wait for
// proposals.
//
// # Usage
//
//	err := proposal.SaveEffects(folder, effects, set, nil)
//	token := proposals.Add(waiter)
//	...
//	if waiter, lost, ok := proposals.Applied(entry); ok { ... }
package proposal

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/replica"
)

// SaveEffects writes the effects that must be durable and syncs the disk. The
// other effects may be performed only after it returns. When the disk is full,
// nothing has been written, and SaveEffects calls waitForSpace, which reports
// whether to try again. With a nil waitForSpace, it does not try again.
func SaveEffects(folder *disk.Folder, effects []replica.Effect, set *metrics.Set, waitForSpace func(err error) bool) error {
	syncsBefore, skippedBefore := folder.Syncs, folder.SkippedSnapshots
	retry := func(write func() error) error {
		for {
			err := write()
			var full *disk.FullError
			if err == nil || !errors.As(err, &full) || waitForSpace == nil || !waitForSpace(err) {
				return err
			}
		}
	}
	for _, e := range effects {
		if err := retry(func() error { return folder.Append(e) }); err != nil {
			return err
		}
	}
	start := time.Now()
	if err := retry(folder.Sync); err != nil {
		return err
	}
	if folder.Syncs > syncsBefore {
		set.GetOrCreateCounter("oriolepost_disk_syncs_total").Add(folder.Syncs - syncsBefore)
		set.GetOrCreateHistogram("oriolepost_disk_sync_seconds").UpdateDuration(start)
	}
	set.GetOrCreateCounter("oriolepost_snapshots_skipped_total").Add(folder.SkippedSnapshots - skippedBefore)
	return nil
}

// Proposals keeps the waiter of each proposal: by token until the proposal is
// appended to the log, then by index until the entry at that index is applied.
type Proposals[W any] struct {
	lastToken uint64
	byToken   map[uint64]W
	byIndex   map[uint64]appendedProposal[W]
}

type appendedProposal[W any] struct {
	term   uint64
	waiter W
}

// NewProposals returns an empty set of proposals.
func NewProposals[W any]() *Proposals[W] {
	return &Proposals[W]{byToken: map[uint64]W{}, byIndex: map[uint64]appendedProposal[W]{}}
}

// Add registers a waiter and returns the token of its proposal.
func (p *Proposals[W]) Add(waiter W) uint64 {
	p.lastToken++
	p.byToken[p.lastToken] = waiter
	return p.lastToken
}

// Appended records the log position of a proposal. Membership changes have no
// waiter.
func (p *Proposals[W]) Appended(e replica.Appended) {
	waiter, ok := p.byToken[e.Token]
	if !ok {
		return
	}
	delete(p.byToken, e.Token)
	p.byIndex[e.Index] = appendedProposal[W]{term: e.Term, waiter: waiter}
}

// Refused removes and returns the waiter of a proposal that was not appended.
func (p *Proposals[W]) Refused(e replica.ProposalRefused) (waiter W, ok bool) {
	waiter, ok = p.byToken[e.Token]
	delete(p.byToken, e.Token)
	return waiter, ok
}

// Applied removes and returns the waiter for the entry's index. The proposal is
// lost if the entry's term differs: another leader's entry was committed at
// this index.
func (p *Proposals[W]) Applied(e replica.Entry) (waiter W, lost, ok bool) {
	proposal, ok := p.byIndex[e.Index]
	delete(p.byIndex, e.Index)
	return proposal.waiter, proposal.term != e.Term, ok
}

// Abandon removes and returns, in order of index, the waiters of all proposals
// in the log. It is called when this replica does not lead, so these proposals
// may or may not be committed.
func (p *Proposals[W]) Abandon() []W {
	var waiters []W
	for _, index := range slices.Sorted(maps.Keys(p.byIndex)) {
		waiters = append(waiters, p.byIndex[index].waiter)
	}
	clear(p.byIndex)
	return waiters
}
