package replica_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/script"
)

// A new leader a of the voters a, b and c, with the learner d/1, and the changes of the
// members that it plans.
var _ = script.Describe("membership plan", "testdata/plan/*.txt", func() script.Handler {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	members := replica.Members{Voters: []string{"a/1", "b/1", "c/1"}, Learners: []string{"d/1"}}
	saved := replica.PersistentState{HardState: replica.HardState{Term: 1}, Snapshot: replica.Snapshot{Index: 1, Term: 1, Members: members}}
	config := replica.Config{ID: "a/1", HeartbeatInterval: 90 * time.Millisecond, ElectionTimeout: 450 * time.Millisecond, MaxAppendEntries: 8, VoteAtStart: true}
	r := replica.New(config, saved, rand.New(rand.NewPCG(1, 1)), now)
	plan := replica.MembershipPlan{Target: 5, ReplaceAfter: 2500 * time.Millisecond, Domains: map[string]string{}}
	departures := replica.Departures{Lifetime: 1500 * time.Millisecond, StandbysKnownAfter: 1200 * time.Millisecond}
	answered := func(from string) {
		// The reply is to a message that was sent now.
		r.Step(now, replica.Receive{From: from, Message: replica.AppendReply{Term: r.Term, Success: true, MatchIndex: r.LastIndex(), SentNS: now.Sub(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)).Nanoseconds()}})
	}
	var handle script.Handler
	handle = func(c script.Case) string {
		now = now.Add(time.Duration(c.Int("after_ms", 0)) * time.Millisecond)
		switch c.Command {
		case "steps":
			return c.RunSteps(handle)
		case "members":
			saved.Snapshot.Members = replica.Members{Voters: c.List("voters")}
			r = replica.New(config, saved, rand.New(rand.NewPCG(1, 1)), now)
			plan.Target = c.Int("target", plan.Target)
			return ""
		case "elect":
			r.Step(now, replica.Tick{})
			for _, pre := range []bool{true, false} {
				term := r.Term
				if pre {
					term++
				}
				r.Step(now, replica.Receive{From: "b/1", Message: replica.VoteReply{Term: term, Pre: pre, Granted: true}})
			}
			return string(r.Role)
		case "answers":
			for _, from := range c.List("from") {
				answered(from)
			}
			return ""
		case "leave":
			departures.Request(now, c.Args["id"])
			return ""
		case "may_stop":
			var standbys []replica.Identity
			for _, id := range c.List("standbys") {
				standbys = append(standbys, replica.Identity{ReplicaID: id, Instance: replica.InstanceOf(id), LastContact: now})
			}
			return fmt.Sprint(departures.MayStop(now, r, plan.Target, standbys, c.Args["id"]))
		case "next":
			plan.Leaving = departures.Leaving(now)
			var standbys []replica.Identity
			// The former standbys sent their last join requests a second ago.
			for _, id := range c.List("former") {
				standbys = append(standbys, replica.Identity{ReplicaID: id, Instance: replica.InstanceOf(id), LastContact: now.Add(-time.Second)})
			}
			for _, id := range c.List("standbys") {
				standbys = append(standbys, replica.Identity{ReplicaID: id, Instance: replica.InstanceOf(id), LastContact: now})
			}
			next, due := plan.Next(r, standbys, now)
			if !due {
				return "none"
			}
			if c.Bool("apply") {
				r.Step(now, replica.ChangeMembers{Members: next})
				r.Step(now, replica.Tick{})
			}
			text := fmt.Sprintf("voters %s", strings.Join(next.Voters, " "))
			if slices.Sort(next.Learners); len(next.Learners) > 0 {
				text += " learners " + strings.Join(next.Learners, " ")
			}
			return text
		}
		return "unknown command"
	}
	return handle
})
