package slot_test

import (
	"fmt"
	"time"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/slot"
)

// reportTimeout is when an entry gives a reply up.
const reportTimeout = 300 * time.Millisecond

func (s *schedule) step(h *host, e entry.Event) {
	for _, effect := range h.core.Step(s.clock(h), e) {
		s.perform(h, effect)
	}
}

// stepOn steps an entry when it is neither frozen nor restarted.
func (s *schedule) stepOn(h *host, e entry.Event) {
	if s.entries[h.name] != h {
		return
	}
	if h.frozen > s.now {
		s.post(h.frozen-s.now, func() { s.stepOn(h, e) })
		return
	}
	s.step(h, e)
}

func (s *schedule) perform(h *host, effect entry.Effect) {
	switch e := effect.(type) {
	case entry.StartAttempt:
		s.startAttempt(h, e)
	case entry.SendReport:
		seq := e.Report.Seq
		s.travel(h, func() { s.stepOwner(slot.Reported{Report: e.Report}) })
		s.post(reportTimeout, func() { s.stepOn(h, entry.ReplyLost{Seq: seq}) })
	case entry.SendBorrow:
		lender := s.entries[e.Lender.Entry]
		s.travel(h, func() {
			s.stepOn(lender, entry.BorrowAsked{From: h.name + fmt.Sprint(h.boot), Token: e.Token, Service: e.Service})
		})
		s.post(reportTimeout, func() { s.stepOn(h, entry.BorrowAnswered{Token: e.Token}) })
	case entry.SendLoan:
		borrower := s.entries[e.To[:2]]
		if e.To == borrower.name+fmt.Sprint(borrower.boot) {
			s.travel(h, func() { s.stepOn(borrower, entry.BorrowAnswered{Token: e.Token, Loan: e.Loan}) })
		}
	case entry.SendReturn:
		lender := s.entries[e.Lender.Entry]
		s.travel(h, func() {
			s.stepOn(lender, entry.LoanReturned{From: h.name + fmt.Sprint(h.boot), Token: e.Token})
		})
	case entry.Finish, entry.SendProbe, entry.ReadyChanged, entry.ConfigurationChanged:
	}
}

// startAttempt runs a call at a server and checks what the server bears.
func (s *schedule) startAttempt(h *host, e entry.StartAttempt) {
	s.runs++
	if e.Lender != "" {
		s.borrowed++
	}
	v := s.servers[e.Server.Server]
	key := fmt.Sprintf("%s/%d/%d", h.name, e.Call, e.Attempt)
	if e.Server.BootID != s.boot(v) {
		// The connection belongs to the boot before, so the attempt fails.
		s.post(time.Millisecond, func() {
			s.stepOn(h, entry.AttemptEnded{Call: e.Call, Attempt: e.Attempt, Outcome: call.NotRun{Reason: call.ReasonConnect}})
		})
		return
	}
	boot := v.boot
	v.running[key] = s.now
	s.check(h, v, e)
	took := time.Duration(s.random.ExpFloat64() * float64(30*time.Millisecond))
	s.post(took, func() { s.end(h, v, boot, key, e, took) })
}

func (s *schedule) check(h *host, v *server, e entry.StartAttempt) {
	limit := warmSlots
	if s.now < v.coldUntil {
		limit = coldSlots
	}
	s.expect(len(v.running) <= limit, "server %s bears %d and runs %v, last from %s", v.name, limit, v.running, h.name)
	if since, out := s.outSince[v.domain]; out {
		s.expect(s.now-since <= outLimit, "%s sends to %s, whose failure domain is out since %v", h.name, v.name, since)
	}
	if v.draining {
		s.expect(s.now-v.drained <= outLimit, "%s sends to %s, which drains since %v", h.name, v.name, v.drained)
	}
	s.expect(s.clock(h).Before(e.NotAfter), "%s sends to %s after its lease", h.name, v.name)
}

func (s *schedule) end(h *host, v *server, boot int, key string, e entry.StartAttempt, took time.Duration) {
	if v.boot != boot {
		s.stepOn(h, entry.AttemptEnded{Call: e.Call, Attempt: e.Attempt, Outcome: call.Unknown{Reason: call.ReasonReset}, Took: took})
		return
	}
	if _, running := v.running[key]; !running {
		return
	}
	delete(v.running, key)
	s.stepOn(h, entry.AttemptEnded{Call: e.Call, Attempt: e.Attempt, Outcome: call.Answered{Status: 200}, Took: took})
}

func (s *schedule) stepOwner(e slot.Event) {
	for _, effect := range s.owner.Step(s.ownerClock(), e) {
		switch x := effect.(type) {
		case slot.SendReply:
			h := s.entries[x.Entry]
			s.travel(h, func() { s.stepOn(h, entry.Replied{Reply: x.Reply}) })
		case slot.Poke:
			if h := s.entries[x.Entry]; h != nil {
				s.travel(h, func() { s.stepOn(h, entry.Poked{}) })
			}
		case slot.ServerChanged, slot.EntryChanged:
		}
	}
}
