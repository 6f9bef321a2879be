package replica_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/script"
)

// A voter b that receives the messages of the leader a. The output has the effects that
// change the disk or the state machine, the replies, and the extent of the log.
var _ = script.Describe("follower", "testdata/follower/*.txt", func() script.Handler {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	members := replica.Members{Voters: []string{"a", "b", "c"}}
	saved := replica.PersistentState{
		HardState: replica.HardState{Term: 1},
		Snapshot:  replica.Snapshot{Index: 1, Term: 1, Members: members},
	}
	config := replica.Config{ID: "b", HeartbeatInterval: 90 * time.Millisecond, ElectionTimeout: 450 * time.Millisecond, MaxAppendEntries: 8}
	r := replica.New(config, saved, rand.New(rand.NewPCG(1, 1)), now)
	return func(c script.Case) string {
		term := uint64(c.Int("term", 1))
		entryTerm := uint64(c.Int("entry_term", int(term)))
		var message replica.Message
		switch c.Command {
		case "pre_vote":
			// The candidate has no entries.
			now = now.Add(time.Duration(c.Int("after_ms", 0)) * time.Millisecond)
			r.Step(now, replica.Receive{From: c.Args["from"], Message: replica.VoteRequest{Term: r.Term + 1, Pre: true}})
			return fmt.Sprintf("starts an election: %v", !r.NextWake().After(now))
		case "entries":
			message = appendRequestOf(c, term, entryTerm)
		case "snapshot":
			message = replica.SnapshotRequest{Term: term, Snapshot: replica.Snapshot{
				Index: uint64(c.Int("index", 0)), Term: entryTerm, Members: members,
			}}
		}
		effects := r.Step(now, replica.Receive{From: "a", Message: message})
		return fmt.Sprintf("%slog %d to %d, committed %d", followerEffects(effects), r.FirstIndex(), r.LastIndex(), r.CommitIndex)
	}
})

// appendRequestOf returns a request with the entries from one index to another.
func appendRequestOf(c script.Case, term, entryTerm uint64) replica.AppendRequest {
	from := uint64(c.Int("from", 1))
	request := replica.AppendRequest{
		Term: term, PrevIndex: from - 1, PrevTerm: uint64(c.Int("prev_term", 1)), CommitIndex: uint64(c.Int("commit", 1)),
	}
	for i := from; i <= uint64(c.Int("to", 0)); i++ {
		request.Entries = append(request.Entries, replica.Entry{Index: i, Term: entryTerm})
	}
	return request
}

func followerEffects(effects []replica.Effect) string {
	var lines []string
	for _, effect := range effects {
		switch e := effect.(type) {
		case replica.SaveEntries:
			lines = append(lines, fmt.Sprintf("save entries %d to %d\n", e.Entries[0].Index, e.Entries[len(e.Entries)-1].Index))
		case replica.SaveSnapshot:
			lines = append(lines, fmt.Sprintf("save snapshot %d drop_later=%v\n", e.Snapshot.Index, e.DropLaterEntries))
		case replica.Restore:
			lines = append(lines, fmt.Sprintf("restore %d\n", e.Snapshot.Index))
		case replica.Apply:
			lines = append(lines, fmt.Sprintf("apply %d\n", e.Entry.Index))
		case replica.Send:
			if reply, ok := e.Message.(replica.AppendReply); ok {
				lines = append(lines, fmt.Sprintf("reply success=%v match=%d\n", reply.Success, reply.MatchIndex))
			}
		case replica.SaveHardState, replica.Appended, replica.ProposalRefused, replica.RoleChanged:
		}
	}
	return strings.Join(lines, "")
}
