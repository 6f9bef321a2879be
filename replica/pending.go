package replica

import "time"

// Load pattern: a configuration of some hundred kilobytes, or a snapshot, takes longer to send
// and to decode than an election timeout. It goes over a connection of its own, so that the
// leader's heartbeats overtake it. A heartbeat that refers to entries that are still under way
// would be refused, and they would be sent again; so the leader keeps what each peer has not
// answered yet, and refers to the log before it.

const (
	// minRepeatDelay is the time without an answer after which a small snapshot is sent
	// again for the first time, and repeatBytesPerSecond the rate at which the time of larger
	// messages grows. It then doubles: the message may still be under way.
	minRepeatDelay       = time.Second
	repeatBytesPerSecond = 256 << 10
)

// repeatDelayOf returns the time after which data is sent again for the first time.
func repeatDelayOf(bytes int) time.Duration {
	return minRepeatDelay + time.Duration(bytes)*time.Second/repeatBytesPerSecond
}

// pendingData is a snapshot, or a large append, that a peer has not answered. Until then the
// peer gets heartbeats only, which may overtake it.
type pendingData struct {
	sentNS int64
	// prevIndex is the index before its first entry, and lastIndex that of its last one. A
	// snapshot replaces the entries from prevIndex to lastIndex.
	prevIndex, lastIndex uint64
	repeatAt             time.Time
	repeatDelay          time.Duration
}

// sendHeartbeat sends a peer a message without entries. The log may begin after prevIndex
// by now.
func (r *Replica) sendHeartbeat(now time.Time, id string, prevIndex uint64) {
	prevIndex = max(prevIndex, r.log.snapshot.Index)
	prevTerm, _ := r.log.term(prevIndex)
	r.send(id, AppendRequest{Term: r.Term, PrevIndex: prevIndex, PrevTerm: prevTerm, CommitIndex: r.CommitIndex, SentNS: r.sendTime(now)})
}

func (p *progress) setPending(now time.Time, data pendingData, repeatDelay time.Duration) {
	data.repeatAt, data.repeatDelay = now.Add(repeatDelay), repeatDelay
	p.pending = &data
}

// giveUpPending makes the next message begin where the pending one began.
func (p *progress) giveUpPending() {
	p.nextIndex = max(p.matchIndex, p.pending.prevIndex) + 1
	p.pending = nil
}

// settlePending ends the wait for the answer to the pending message if a reply is that
// answer. A peer that was silent for a while may have lost the message.
func (p *progress) settlePending(reply AppendReply, silent bool) {
	switch pending := p.pending; {
	case pending == nil:
	case reply.SentNS == pending.sentNS || reply.Success && reply.MatchIndex >= pending.lastIndex:
		p.pending = nil
	case silent:
		p.giveUpPending()
	}
}
