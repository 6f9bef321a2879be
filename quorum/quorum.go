// Package quorum has what a task needs that owns a replica of the log: saving
// what the replica promises, and remembering who waits for a proposal.
//
// # Usage
//
//	err := quorum.Save(folder, effects, set, nil)
//	token := proposals.Add(waiter)
//	...
//	if waiter, lost, ok := proposals.Applied(entry); ok { ... }
package quorum

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/replica"
)

// Save writes what the effects promise and waits until it is durable. Only
// then may the other effects be performed. When there is no room, nothing is
// written, and waitForRoom says whether to try again; nil means not to.
func Save(f *disk.Folder, effects []replica.Effect, m *metrics.Set, waitForRoom func(err error) bool) error {
	syncs := f.Syncs
	for _, e := range effects {
		if err := f.Append(e); err != nil {
			return err
		}
	}
	began := time.Now()
	for {
		err := f.Sync()
		var full *disk.FullError
		if err == nil {
			break
		}
		if !errors.As(err, &full) || waitForRoom == nil || !waitForRoom(err) {
			return err
		}
	}
	if f.Syncs > syncs {
		m.GetOrCreateCounter("oriolepost_disk_syncs_total").Add(f.Syncs - syncs)
		m.GetOrCreateHistogram("oriolepost_disk_sync_seconds").UpdateDuration(began)
	}
	return nil
}

// Proposals holds who waits for a proposal: by token until it has its place in
// the log, by index until the entry there is applied.
type Proposals[W any] struct {
	next    uint64
	byToken map[uint64]W
	byIndex map[uint64]placed[W]
}

type placed[W any] struct {
	term   uint64
	waiter W
}

// NewProposals returns an empty list.
func NewProposals[W any]() *Proposals[W] {
	return &Proposals[W]{byToken: map[uint64]W{}, byIndex: map[uint64]placed[W]{}}
}

// Add takes a waiter and gives the token of its proposal.
func (p *Proposals[W]) Add(waiter W) uint64 {
	p.next++
	p.byToken[p.next] = waiter
	return p.next
}

// Appended notes the place of a proposal in the log. Changes of the members
// have no waiter.
func (p *Proposals[W]) Appended(e replica.Appended) {
	waiter, ok := p.byToken[e.Token]
	if !ok {
		return
	}
	delete(p.byToken, e.Token)
	p.byIndex[e.Index] = placed[W]{term: e.Term, waiter: waiter}
}

// Refused gives the waiter of a proposal that got no place.
func (p *Proposals[W]) Refused(e replica.Refused) (waiter W, ok bool) {
	waiter, ok = p.byToken[e.Token]
	delete(p.byToken, e.Token)
	return waiter, ok
}

// Applied gives the waiter for an entry. It is lost when another leader's
// entry has taken the place.
func (p *Proposals[W]) Applied(e replica.Entry) (waiter W, lost, ok bool) {
	at, ok := p.byIndex[e.Index]
	delete(p.byIndex, e.Index)
	return at.waiter, at.term != e.Term, ok
}

// Abandon gives the waiters, in order, whose proposals may or may not be
// committed, since another instance leads now.
func (p *Proposals[W]) Abandon() []W {
	var out []W
	for _, index := range slices.Sorted(maps.Keys(p.byIndex)) {
		out = append(out, p.byIndex[index].waiter)
	}
	clear(p.byIndex)
	return out
}
