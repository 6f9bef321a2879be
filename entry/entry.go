// Package entry decides what an entry does with its callers' calls: which wait,
// which run on which server, which are refused and which are retried.
//
// The package is part of the core: it does no input or output and reads no
// clock. [Entry.Step] takes the current time and an [Event] and returns a list
// of [Effect]. The task that owns the entry performs the effects.
//
// A slot allows one call at a time at a server. The slot owner, which is the
// leader of the voters, leases slots to the entries. The entry starts an attempt
// only on a slot that it holds under a valid lease, or on a slot that another
// entry lends it for this one call. A call without a slot waits in its service's
// queue, at most until its deadline; the task that owns the caller's connection
// then ends it with [CallClosed].
//
// A call gets another attempt only if the earlier one was certainly not run, or
// if the call is idempotent. Retries and hedges of a service share one retry
// budget.
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

// Config holds the identity and the settings of an entry.
type Config struct {
	// Name is the instance's name.
	Name string
	// BootID differs each time the entry starts.
	BootID string
	// Address is the host:port at which other entries reach this one.
	Address string
	// Domain is the entry's failure domain.
	Domain string
	// Policy selects the server among those with a free slot.
	Policy choice.Policy
}

// Entry is the state of one entry. One task owns it.
type Entry struct {
	Config Config
	// CatalogIndex is the index of the configuration that the entry follows.
	CatalogIndex uint64
	// OutDomains holds the failure domains that are out of service.
	OutDomains map[string]bool
	// DrainedServers holds the servers that an operator drains.
	DrainedServers map[string]bool
	// Services and Servers are the known services and servers, by name.
	Services map[string]*Service
	Servers  map[string]*Server
	// LeaseEnd is the time from which the entry must not start calls on its slots.
	LeaseEnd time.Time
	Stopping bool

	// leaseHeld is true from an accepted reply until the end of the lease was
	// handled.
	leaseHeld bool
	// serviceNames holds the names of the services, sorted.
	serviceNames    []string
	calls           map[call.ID]*pendingCall
	lastAttempt     call.AttemptID
	lastBorrowToken uint64
	random          *rand.Rand
	// pickCount counts the choices of a server; round robin is based on it.
	pickCount uint64
	ready     bool
	lending   lending
	reporting reporting
	effects   []Effect
}

// Service is the entry's view of a service.
type Service struct {
	Document service.Document
	Budget   retry.Budget
	// Queue holds the waiting calls in the order in which they were queued.
	Queue []call.ID
	// Servers are the known servers, sorted by name.
	Servers []*Server
	// Lenders are the entries that had idle slots when the slot owner last named
	// lenders, in the order in which they receive borrow requests.
	Lenders []slot.Lender
	// Running counts the service's running attempts, those on borrowed slots
	// included.
	Running int
	// ExpectedTime is the expected service time: the moving average over the
	// successful answers of all servers.
	ExpectedTime choice.Stats
}

// Server is the entry's view of a server.
type Server struct {
	Info membership.Announcement
	// GrantedSlots counts the slots that the slot owner granted. If more slots
	// are in use, their calls may finish, but no new call starts on the excess.
	GrantedSlots int
	// Running holds the start time of each attempt that runs on an own slot.
	Running map[call.AttemptID]time.Time
	// CanceledUntil holds, for each canceled attempt, the time until which its
	// slot counts as in use, since the cancellation may not have reached the
	// server yet.
	CanceledUntil []time.Time
	// RunningProbes counts the running probes. Each takes up a slot.
	RunningProbes int
	// LentSlots counts the slots that other entries have borrowed.
	LentSlots int
	// Stats holds the service times of the attempts at the server.
	Stats choice.Stats
	// Warming is true while the server's concurrency limit still grows, which it
	// does only when the server answers calls.
	Warming bool
	// ConsecutiveSheds counts the calls that the server shed since its last answer.
	ConsecutiveSheds int
	// Observed holds the observations since the last report.
	Observed slot.Observation
	// serviceTimeSum is the sum of the service times of Observed.Answers.
	serviceTimeSum time.Duration
}

// pendingCall is a call that has not finished.
type pendingCall struct {
	request      call.Request
	attempts     map[call.AttemptID]*attempt
	attemptCount int
	waiting      bool
	queuedAt     time.Time
	triedServers map[string]bool
	// outcome combines the outcomes of the attempts that ended; nil before.
	outcome call.Outcome
}

// attempt is a running attempt.
type attempt struct {
	server string
	bootID string
	// borrowed is the slot that another entry lent, nil for an own slot.
	borrowed *borrowedSlot
}

// New returns an entry that has no configuration and no slots yet.
func New(cfg Config, random *rand.Rand) *Entry {
	return &Entry{
		Config:         cfg,
		OutDomains:     map[string]bool{},
		DrainedServers: map[string]bool{},
		Services:       map[string]*Service{},
		Servers:        map[string]*Server{},
		calls:          map[call.ID]*pendingCall{},
		random:         random,
		lending:        newLending(),
		reporting:      reporting{fullReportNeeded: true, lostConnections: map[string]string{}, borrowedObservations: map[string]slot.Observation{}},
	}
}

// Step handles one event at the time now and returns the effects to perform, in
// order.
func (e *Entry) Step(now time.Time, event Event) []Effect {
	e.effects = nil
	e.releaseExpiredLease(now)
	switch event := event.(type) {
	case Arrived:
		e.admit(now, event.Request)
	case AttemptEnded:
		e.attemptEnded(now, event)
	case HedgeDue:
		e.hedge(now, event.Call)
	case CallClosed:
		e.closeCall(now, event)
	case ConnectionLost:
		e.connectionLost(event)
	case ProbeEnded:
		e.probeEnded(event)
	case AnnouncementReceived:
		e.announced(event.Announcement)
	case ReplyReceived:
		e.replied(event.Reply)
	case ReplyLost:
		e.abandonReply(event.Seq)
	case ReportRequested:
		e.reporting.urgent = true
	case BorrowRequested:
		e.lend(now, event)
	case BorrowAnswered:
		e.borrowAnswered(now, event)
	case LoanReturned:
		e.endLoan(event)
	case Ticked:
		e.expireLoans(now)
		e.releaseCanceledSlots(now)
	case ShutdownStarted:
		e.Stopping = true
	case LeaveStarted:
		e.Stopping = true
		e.reporting.leaving = true
		e.reporting.urgent = true
	}
	e.serveQueues(now)
	e.sendReportIfDue(now)
	e.updateReady(now)
	return e.effects
}

func (e *Entry) emit(x Effect) { e.effects = append(e.effects, x) }

// leased reports whether the lease of the entry's slots is valid.
func (e *Entry) leased(now time.Time) bool { return now.Before(e.LeaseEnd) }

// releaseExpiredLease drops all granted slots once the lease has ended. The slot
// owner may have granted them to other entries since. A later report must
// therefore not list them, and a reply to an earlier report is ignored.
func (e *Entry) releaseExpiredLease(now time.Time) {
	if !e.leaseHeld || e.leased(now) {
		return
	}
	e.leaseHeld = false
	for _, s := range e.Servers {
		s.GrantedSlots = 0
	}
	e.abandonReply(e.reporting.seq)
}

// updateReady reports a change of readiness. The platform's balancer sends no
// calls to an entry that is stopping or has no valid lease.
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

// Idle reports whether no call is waiting or running.
func (e *Entry) Idle() bool { return len(e.calls) == 0 }

// Document returns the document of a service, and whether the service is known.
func (e *Entry) Document(name string) (service.Document, bool) {
	s := e.Services[name]
	if s == nil {
		return service.Document{}, false
	}
	return s.Document, true
}

// eligible reports whether new calls may be sent to a server: it is ready, its
// failure domain is in service, and no operator drains it.
func (e *Entry) eligible(s *Server) bool {
	return s.Info.State == membership.StateReady &&
		!e.OutDomains[s.Info.Domain] && !e.DrainedServers[s.Info.Server]
}

// freeSlots returns the number of slots on which a call could start now. It is
// negative while more slots are in use than are granted.
func (s *Server) freeSlots() int { return s.GrantedSlots - s.slotsInUse() }

// heldSlots returns the number of slots that the slot owner must count as held
// by this entry: those granted, or those in use if these are more.
func (s *Server) heldSlots() int { return max(s.GrantedSlots, s.slotsInUse()) }

// slotsInUse returns the number of slots taken by attempts, canceled attempts,
// loans and probes.
func (s *Server) slotsInUse() int {
	return len(s.Running) + len(s.CanceledUntil) + s.LentSlots + s.RunningProbes
}

// oldestStart returns the start time of the oldest running attempt, or zero if
// none runs.
func (s *Server) oldestStart() time.Time {
	var oldest time.Time
	for _, began := range s.Running {
		if oldest.IsZero() || began.Before(oldest) {
			oldest = began
		}
	}
	return oldest
}
