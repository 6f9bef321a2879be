package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/slot"
)

const (
	// maxUnansweredBorrowRequests limits the unanswered borrow requests of one
	// service.
	maxUnansweredBorrowRequests = 8
	// lenderBackoff is the time for which a lender that lent no slot receives no
	// further borrow requests for the service.
	lenderBackoff = 20 * time.Millisecond
)

// lending holds the state of the slots that are lent or borrowed, each for one
// call.
type lending struct {
	// borrowRequests holds the unanswered borrow requests by token.
	borrowRequests map[uint64]*borrowRequest
	// loans holds the slots that this entry has lent.
	loans map[loanKey]loan
	// backoffUntil holds, by "service/lender", the end of the lender's backoff.
	backoffUntil map[string]time.Time
	// delayedReturns holds the borrowed slots of canceled attempts, which are
	// returned when the grace period ends.
	delayedReturns []delayedReturn
}

// delayedReturn is a borrowed slot that is returned at the time due.
type delayedReturn struct {
	due  time.Time
	slot borrowedSlot
}

// borrowRequest is an unanswered borrow request of this entry.
type borrowRequest struct {
	service string
	lender  slot.Lender
	sentAt  time.Time
}

// loanKey identifies a loan by the borrower and the token of its request.
type loanKey struct {
	from  string
	token uint64
}

// loan is a slot of this entry that another entry has borrowed.
type loan struct {
	server string
	// expires is when the slot is taken back if it was not returned.
	expires time.Time
}

// borrowedSlot is a slot that another entry has lent for one attempt.
type borrowedSlot struct {
	lender slot.Lender
	token  uint64
	// notAfter is the end of the lease, from when the attempt must not start.
	notAfter time.Time
}

func newLending() lending {
	return lending{
		borrowRequests: map[uint64]*borrowRequest{}, loans: map[loanKey]loan{}, backoffUntil: map[string]time.Time{},
	}
}

// borrow sends borrow requests to lenders until there is one for each waiting
// call, at most maxOpenBorrowRequests.
func (e *Entry) borrow(now time.Time, name string, svc *Service) {
	unanswered := 0
	for _, request := range e.lending.borrowRequests {
		if request.service == name {
			unanswered++
		}
	}
	for unanswered < min(len(svc.Queue), maxUnansweredBorrowRequests) {
		waiting := e.calls[svc.Queue[unanswered]]
		lender, ok := e.nextLender(now, name, svc)
		if !ok {
			return
		}
		unanswered++
		e.lastBorrowToken++
		e.lending.borrowRequests[e.lastBorrowToken] = &borrowRequest{service: name, lender: lender, sentAt: now}
		e.emit(SendBorrow{Lender: lender, Token: e.lastBorrowToken, Service: name, TraceParent: waiting.request.TraceParent})
	}
}

// nextLender returns the first lender that is not backed off, and moves it to the
// end of the list.
func (e *Entry) nextLender(now time.Time, name string, svc *Service) (slot.Lender, bool) {
	for i, lender := range svc.Lenders {
		if now.Before(e.lending.backoffUntil[name+"/"+lender.Entry]) {
			continue
		}
		// The next borrow request goes to the next lender.
		svc.Lenders = append(append(slices.Clone(svc.Lenders[:i]), svc.Lenders[i+1:]...), lender)
		return lender, true
	}
	return slot.Lender{}, false
}

// borrowAnswered starts the first call of the queue on the borrowed slot. If none
// can use the slot, it is returned. A lender that lent none is backed off.
func (e *Entry) borrowAnswered(now time.Time, answer BorrowAnswered) {
	request := e.lending.borrowRequests[answer.Token]
	if request == nil {
		return
	}
	delete(e.lending.borrowRequests, answer.Token)
	if answer.Loan == nil {
		e.lending.backoffUntil[request.service+"/"+request.lender.Entry] = now.Add(lenderBackoff)
		return
	}
	borrowed := &borrowedSlot{lender: request.lender, token: answer.Token}
	borrowed.notAfter = request.sentAt.Add(time.Duration(answer.Loan.LeaseMS) * time.Millisecond)
	svc := e.Services[request.service]
	info := answer.Loan.Server
	excluded := e.OutDomains[info.Domain] || e.DrainedServers[info.Server]
	if svc == nil || len(svc.Queue) == 0 || excluded || !now.Before(borrowed.notAfter) {
		e.emit(SendReturn{Lender: request.lender, Token: answer.Token})
		return
	}
	pending := e.calls[svc.Queue[0]]
	svc.Queue = svc.Queue[1:]
	e.startAttempt(now, pending, info, borrowed)
}

// lend answers another entry's borrow request with a free slot. It lends none
// while own calls of the service wait, without a valid lease, and during the
// shutdown.
func (e *Entry) lend(now time.Time, request BorrowRequested) {
	svc := e.Services[request.Service]
	if svc == nil || len(svc.Queue) > 0 || !e.leased(now) || e.Stopping {
		e.emit(SendLoan{To: request.From, Token: request.Token})
		return
	}
	server := e.pick(now, request.Service, nil)
	if server == nil {
		e.emit(SendLoan{To: request.From, Token: request.Token})
		return
	}
	server.LentSlots++
	expires := e.LeaseEnd.Add(svc.Document.MaxDeadline())
	e.lending.loans[loanKey{request.From, request.Token}] = loan{server: server.Info.Server, expires: expires}
	leaseMS := e.LeaseEnd.Sub(now).Milliseconds()
	e.emit(SendLoan{To: request.From, Token: request.Token, Loan: &Loan{Server: server.Info, LeaseMS: leaseMS}})
}

// endLoan makes a lent slot available again. An unknown loan is ignored.
func (e *Entry) endLoan(returned LoanReturned) {
	key := loanKey{returned.From, returned.Token}
	l, ok := e.lending.loans[key]
	if !ok {
		return
	}
	delete(e.lending.loans, key)
	if s := e.Servers[l.server]; s != nil {
		s.LentSlots--
		e.removeUnusedServer(s)
	}
}

// returnBorrowedSlot returns a borrowed slot to its lender. If the server may
// still run the attempt, the slot is returned after cancelGrace.
func (e *Entry) returnBorrowedSlot(now time.Time, borrowed borrowedSlot, mayStillRun bool) {
	if mayStillRun {
		e.lending.delayedReturns = append(e.lending.delayedReturns, delayedReturn{now.Add(cancelGrace), borrowed})
		return
	}
	e.emit(SendReturn{Lender: borrowed.lender, Token: borrowed.token})
}

// expireLoans returns the borrowed slots of canceled attempts whose grace period
// is over. It takes back lent slots that were not returned by the time when the
// longest call on them must have ended, since their borrower has disappeared. It
// also removes backoffs that have ended.
func (e *Entry) expireLoans(now time.Time) {
	e.lending.delayedReturns = slices.DeleteFunc(e.lending.delayedReturns, func(r delayedReturn) bool {
		due := !r.due.After(now)
		if due {
			e.returnBorrowedSlot(now, r.slot, false)
		}
		return due
	})
	keys := slices.Collect(maps.Keys(e.lending.loans))
	for _, k := range keys {
		if !e.lending.loans[k].expires.After(now) {
			e.endLoan(LoanReturned{From: k.from, Token: k.token})
		}
	}
	maps.DeleteFunc(e.lending.backoffUntil, func(_ string, t time.Time) bool { return !t.After(now) })
}

// connectionLost gives up the unused slots of a server that closed a connection,
// since the server may have restarted. The next report carries the loss, and the
// slot owner then decides how many slots to grant again.
func (e *Entry) connectionLost(lost ConnectionLost) {
	server := e.Servers[lost.Server]
	if server == nil {
		// The slot owner may be about to grant slots of this server again.
		e.reporting.lostConnections[lost.Server] = lost.BootID
		e.reporting.urgent = true
		return
	}
	if server.Info.BootID != lost.BootID {
		return
	}
	server.GrantedSlots = 0
	server.Observed.ConnectionLost = true
	e.reporting.urgent = true
}

// probeEnded frees the slot of a probe and counts the probe for the next report.
func (e *Entry) probeEnded(ended ProbeEnded) {
	if server := e.Servers[ended.Server]; server != nil && server.RunningProbes > 0 {
		server.RunningProbes--
		server.Observed.Probed++
	}
}
