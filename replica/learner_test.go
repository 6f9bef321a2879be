package replica_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/script"
)

// A learner l that follows the voter a, with a clock that the test file advances.
var _ = script.Describe("learner", "testdata/learner/*.txt", func() script.Handler {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	saved := replica.PersistentState{
		HardState: replica.HardState{Term: 1},
		Snapshot:  replica.Snapshot{Index: 1, Term: 1, Members: replica.Members{Voters: []string{"a"}, Learners: []string{"l"}}},
	}
	config := replica.Config{ID: "l", HeartbeatInterval: 90 * time.Millisecond, ElectionTimeout: 450 * time.Millisecond, MaxAppendEntries: 8}
	r := replica.New(config, saved, rand.New(rand.NewPCG(1, 1)), now)
	return func(c script.Case) string {
		now = now.Add(time.Duration(c.Int("after_ms", 0)) * time.Millisecond)
		switch c.Command {
		case "heartbeat":
			r.Step(now, replica.Receive{From: "a", Message: replica.AppendRequest{Term: 1, PrevIndex: 1, PrevTerm: 1, CommitIndex: 1}})
		case "tick":
			r.Step(now, replica.Tick{})
		}
		return fmt.Sprintf("leader=%q knows_committed=%v", r.Leader, r.KnowsCommitted())
	}
})
