package slot_test

import (
	"fmt"
	"time"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/slot"
)

// replyTimeout is the time after which an entry discards the reply to a report,
// or the answer to a borrow request.
const replyTimeout = 300 * time.Millisecond

func (s *schedule) step(host *entryHost, e entry.Event) {
	for _, effect := range host.core.Step(s.clock(host), e) {
		s.perform(host, effect)
	}
}

// stepWhenRunning delivers an event to an entry: after its pause when it is
// frozen, and never when it was restarted.
func (s *schedule) stepWhenRunning(host *entryHost, e entry.Event) {
	if s.entries[host.name] != host {
		return
	}
	if host.frozenUntil > s.now {
		s.runAfter(host.frozenUntil-s.now, func() { s.stepWhenRunning(host, e) })
		return
	}
	s.step(host, e)
}

func (s *schedule) perform(host *entryHost, effect entry.Effect) {
	switch e := effect.(type) {
	case entry.StartAttempt:
		s.startAttempt(host, e)
	case entry.SendReport:
		seq := e.Report.Seq
		s.transmit(host, func() { s.stepOwner(slot.ReportReceived{Report: e.Report}) })
		s.runAfter(replyTimeout, func() { s.stepWhenRunning(host, entry.ReplyLost{Seq: seq}) })
	case entry.SendBorrow:
		lender := s.entries[e.Lender.Entry]
		s.transmit(host, func() {
			s.stepWhenRunning(lender, entry.BorrowRequested{From: host.name + fmt.Sprint(host.boot), Token: e.Token, Service: e.Service})
		})
		s.runAfter(replyTimeout, func() { s.stepWhenRunning(host, entry.BorrowAnswered{Token: e.Token}) })
	case entry.SendLoan:
		borrower := s.entries[e.To[:2]]
		if e.To == borrower.name+fmt.Sprint(borrower.boot) {
			s.transmit(host, func() { s.stepWhenRunning(borrower, entry.BorrowAnswered{Token: e.Token, Loan: e.Loan}) })
		}
	case entry.SendReturn:
		lender := s.entries[e.Lender.Entry]
		s.transmit(host, func() {
			s.stepWhenRunning(lender, entry.LoanReturned{From: host.name + fmt.Sprint(host.boot), Token: e.Token})
		})
	case entry.FinishCall, entry.SendProbe, entry.ReadyChanged, entry.ConfigurationChanged:
	}
}

// startAttempt runs an attempt on a server and checks that the server can
// handle it.
func (s *schedule) startAttempt(host *entryHost, e entry.StartAttempt) {
	s.attempts++
	if e.Lender != "" {
		s.borrowedAttempts++
	}
	server := s.servers[e.Server.Server]
	key := fmt.Sprintf("%s/%d/%d", host.name, e.Call, e.Attempt)
	if e.Server.BootID != s.bootID(server) {
		// The connection belongs to an earlier boot, so the attempt fails.
		s.runAfter(time.Millisecond, func() {
			s.stepWhenRunning(host, entry.AttemptEnded{Call: e.Call, Attempt: e.Attempt, Outcome: call.NotRun{Reason: call.ReasonConnectFailed}})
		})
		return
	}
	boot := server.boot
	server.running[key] = s.now
	s.checkAttempt(host, server, e)
	took := time.Duration(s.random.ExpFloat64() * float64(30*time.Millisecond))
	s.runAfter(took, func() { s.endAttempt(host, server, boot, key, e, took) })
}

// checkAttempt fails the test when an attempt exceeds the server's concurrency
// limit, goes to a server that has been out of service or draining for longer
// than maxOrderDelay, or starts after the lease ended.
func (s *schedule) checkAttempt(host *entryHost, server *simulatedServer, e entry.StartAttempt) {
	limit := warmSlots
	if s.now < server.coldUntil {
		limit = coldSlots
	}
	s.expect(len(server.running) <= limit, "server %s can handle %d attempts but runs %v, the last from %s", server.name, limit, server.running, host.name)
	if since, out := s.outSince[server.domain]; out {
		s.expect(s.now-since <= maxOrderDelay, "entry %s sends to server %s, whose failure domain has been out of service since %v", host.name, server.name, since)
	}
	if server.draining {
		s.expect(s.now-server.drainingSince <= maxOrderDelay, "entry %s sends to server %s, which has been draining since %v", host.name, server.name, server.drainingSince)
	}
	s.expect(s.clock(host).Before(e.NotAfter), "entry %s sends to server %s after its lease ended", host.name, server.name)
}

func (s *schedule) endAttempt(host *entryHost, server *simulatedServer, boot int, key string, e entry.StartAttempt, took time.Duration) {
	if server.boot != boot {
		s.stepWhenRunning(host, entry.AttemptEnded{Call: e.Call, Attempt: e.Attempt, Outcome: call.Unknown{Reason: call.ReasonConnectionLost}, ServiceTime: took})
		return
	}
	if _, running := server.running[key]; !running {
		return
	}
	delete(server.running, key)
	s.stepWhenRunning(host, entry.AttemptEnded{Call: e.Call, Attempt: e.Attempt, Outcome: call.Answered{Status: 200}, ServiceTime: took})
}

func (s *schedule) stepOwner(e slot.Event) {
	for _, effect := range s.owner.Step(s.ownerClock(), e) {
		switch x := effect.(type) {
		case slot.SendReply:
			host := s.entries[x.Entry]
			s.transmit(host, func() { s.stepWhenRunning(host, entry.ReplyReceived{Reply: x.Reply}) })
		case slot.RequestReport:
			if host := s.entries[x.Entry]; host != nil {
				s.transmit(host, func() { s.stepWhenRunning(host, entry.ReportRequested{}) })
			}
		case slot.ServerChanged, slot.EntryChanged:
		}
	}
}
