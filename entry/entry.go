// Package entry decides what an entry instance does with its callers' calls:
// which wait, which run where, which are refused, which are tried again.
//
// The package is part of the core. [Entry.Step] takes the time and an event
// and returns effects. A call gets an attempt only on a slot that the entry
// holds under a valid lease, or that another entry lent it for this one call.
// A call without a slot waits in its service's queue, at most as long as its
// deadline; the shell ends it with [Left].
//
// A second attempt follows only when the first was certainly not run, or when
// the call is idempotent. All second attempts come out of one budget for each
// service.
//
// # Usage
//
//	e := entry.New(config, random)
//	effects := e.Step(now, entry.Arrived{Request: request})
package entry

import (
	"math/rand/v2"
	"time"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/retry"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/slot"
)

// Config names an entry.
type Config struct {
	Name   string
	BootID string
	// Address is where other entries reach this one.
	Address string
	// Domain is the entry's failure domain.
	Domain string
	// Policy picks among held slots.
	Policy choice.Policy
}

// Entry is the state of one entry. One task owns it.
type Entry struct {
	Config Config
	// CatalogIndex is the configuration that the entry follows.
	CatalogIndex   uint64
	OutDomains     map[string]bool
	DrainedServers map[string]bool
	Services       map[string]*Service
	Servers        map[string]*Server
	// LeaseEnd is when the entry must stop using its slots.
	LeaseEnd time.Time
	Stopping bool

	// holding is true from the first grant until the lease ends.
	holding bool
	// names holds the names of the services in order.
	names       []string
	calls       map[call.ID]*pending
	nextAttempt call.AttemptID
	nextToken   uint64
	random      *rand.Rand
	turn        uint64
	ready       bool
	lending     lending
	reporting   reporting
	effects     []Effect
}

// Service is the entry's view of a service.
type Service struct {
	Document service.Document
	Budget   retry.Budget
	// Queue holds the waiting calls, oldest first.
	Queue []call.ID
	// Servers are the known servers, by name.
	Servers []*Server
	// Lenders are entries that had idle slots.
	Lenders []slot.Lender
	// Running counts the service's attempts.
	Running int
	// Usual is the usual service time over all servers.
	Usual choice.Stats
}

// Server is the entry's view of a server.
type Server struct {
	Info membership.Announcement
	// Target is how many slots the owner granted. Calls that run on more
	// slots than that may end, but none follows them.
	Target int
	// Running holds when each attempt at the server began.
	Running map[call.AttemptID]time.Time
	// Lingering holds until when canceled attempts still count, since the
	// server may not have noticed yet.
	Lingering []time.Time
	// Probing counts the probes that run, each on a slot.
	Probing int
	// Lent counts the slots that other entries borrowed.
	Lent  int
	Stats choice.Stats
	// Warming is true while the server needs calls for its limit to grow.
	Warming bool
	ShedRun int
	Seen    slot.Observation
	seenSum time.Duration
}

// pending is a call that is not over.
type pending struct {
	request  call.Request
	attempts map[call.AttemptID]*attempt
	tries    int
	waiting  bool
	queued   time.Time
	tried    map[string]bool
	// outcome combines the attempts that ended.
	outcome call.Outcome
}

// attempt is one attempt that runs.
type attempt struct {
	server string
	boot   string
	// borrowed is set when the slot belongs to another entry.
	borrowed *borrowed
}

// New returns an entry without configuration and slots.
func New(cfg Config, random *rand.Rand) *Entry {
	return &Entry{
		Config:         cfg,
		OutDomains:     map[string]bool{},
		DrainedServers: map[string]bool{},
		Services:       map[string]*Service{},
		Servers:        map[string]*Server{},
		calls:          map[call.ID]*pending{},
		random:         random,
		lending:        newLending(),
		reporting:      reporting{full: true, lost: map[string]string{}, borrowed: map[string]slot.Observation{}},
	}
}

// Step handles one event.
func (e *Entry) Step(now time.Time, event Event) []Effect {
	e.effects = nil
	e.checkLease(now)
	switch ev := event.(type) {
	case Arrived:
		e.arrive(now, ev.Request)
	case AttemptEnded:
		e.attemptEnded(now, ev)
	case HedgeDue:
		e.hedge(now, ev.Call)
	case Left:
		e.leave(now, ev)
	case ConnectionLost:
		e.connectionLost(ev)
	case Probed:
		e.probed(ev)
	case Announced:
		e.announced(ev.Announcement)
	case Replied:
		e.replied(ev.Reply)
	case ReplyLost:
		e.replyLost(ev.Seq)
	case Poked:
		e.reporting.urgent = true
	case BorrowAsked:
		e.lend(now, ev)
	case BorrowAnswered:
		e.borrowAnswered(now, ev)
	case LoanReturned:
		e.loanReturned(ev)
	case Ticked:
		e.expireLoans(now)
		e.expireLingering(now)
	case Stopped:
		e.Stopping = true
	case Departing:
		e.Stopping = true
		e.reporting.leaving = true
		e.reporting.urgent = true
	}
	e.serveQueues(now)
	e.maybeReport(now)
	e.updateReady(now)
	return e.effects
}

func (e *Entry) emit(x Effect) { e.effects = append(e.effects, x) }

func (e *Entry) leased(now time.Time) bool { return now.Before(e.LeaseEnd) }

// checkLease gives up all slots when the lease has ended. The owner may have
// given them to others since, so a later report must not claim them, and the
// reply to an earlier one no longer counts.
func (e *Entry) checkLease(now time.Time) {
	if !e.holding || e.leased(now) {
		return
	}
	e.holding = false
	for _, s := range e.Servers {
		s.Target = 0
	}
	e.replyLost(e.reporting.seq)
}

// updateReady tells the platform's balancer when the entry can't serve.
func (e *Entry) updateReady(now time.Time) {
	ready, reason := true, call.Reason("")
	switch {
	case e.Stopping:
		ready, reason = false, call.ReasonStopping
	case !e.leased(now):
		ready, reason = false, call.ReasonNoLease
	}
	if ready != e.ready {
		e.ready = ready
		e.emit(ReadyChanged{Ready: ready, Reason: reason})
	}
}

// Idle reports whether no call is left.
func (e *Entry) Idle() bool { return len(e.calls) == 0 }

// Document finds a service's document.
func (e *Entry) Document(name string) (service.Document, bool) {
	s := e.Services[name]
	if s == nil {
		return service.Document{}, false
	}
	return s.Document, true
}

// usable reports whether the configuration lets a server take new work.
func (e *Entry) usable(s *Server) bool {
	return s.Info.State == membership.StateReady &&
		!e.OutDomains[s.Info.Domain] && !e.DrainedServers[s.Info.Server]
}

// free counts the slots of a server on which a call could start now.
func (s *Server) free() int { return s.Target - s.inUse() }

// held counts the slots that the owner must count as this entry's.
func (s *Server) held() int { return max(s.Target, s.inUse()) }

func (s *Server) inUse() int { return len(s.Running) + len(s.Lingering) + s.Lent + s.Probing }

func (s *Server) oldest() time.Time {
	var t time.Time
	for _, began := range s.Running {
		if t.IsZero() || began.Before(t) {
			t = began
		}
	}
	return t
}
