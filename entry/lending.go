package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/slot"
)

const (
	// maxBorrows bounds the wishes of one service that are unanswered.
	maxBorrows = 8
	// lenderPause is how long a lender that had nothing is not asked again.
	lenderPause = 20 * time.Millisecond
)

// lending is the state of slots that are lent or borrowed for single calls.
type lending struct {
	// wishes holds the wishes that are not answered yet.
	wishes map[uint64]*wish
	// loans holds the slots that this entry lent.
	loans map[loanKey]loan
	// refused holds until when a lender is not asked again.
	refused map[string]time.Time
	// returns holds the borrowed slots of canceled attempts.
	returns []lateReturn
}

// lateReturn gives a borrowed slot back at a time.
type lateReturn struct {
	at   time.Time
	loan borrowed
}

type wish struct {
	service string
	lender  slot.Lender
	asked   time.Time
}

type loanKey struct {
	from  string
	token uint64
}

type loan struct {
	server string
	until  time.Time
}

// borrowed is a slot of another entry that one attempt uses.
type borrowed struct {
	lender   slot.Lender
	token    uint64
	notAfter time.Time
}

func newLending() lending {
	return lending{
		wishes: map[uint64]*wish{}, loans: map[loanKey]loan{}, refused: map[string]time.Time{},
	}
}

// borrow asks lenders for slots, one for each waiting call.
func (e *Entry) borrow(now time.Time, name string, s *Service) {
	open := 0
	for _, w := range e.lending.wishes {
		if w.service == name {
			open++
		}
	}
	for open < min(len(s.Queue), maxBorrows) {
		waiting := e.calls[s.Queue[open]]
		lender, ok := e.nextLender(now, name, s)
		if !ok {
			return
		}
		open++
		e.nextToken++
		e.lending.wishes[e.nextToken] = &wish{service: name, lender: lender, asked: now}
		e.emit(SendBorrow{Lender: lender, Token: e.nextToken, Service: name, TraceParent: waiting.request.TraceParent})
	}
}

func (e *Entry) nextLender(now time.Time, name string, s *Service) (slot.Lender, bool) {
	for i, l := range s.Lenders {
		if now.Before(e.lending.refused[name+"/"+l.Entry]) {
			continue
		}
		// The next wish goes to the next lender.
		s.Lenders = append(append(slices.Clone(s.Lenders[:i]), s.Lenders[i+1:]...), l)
		return l, true
	}
	return slot.Lender{}, false
}

func (e *Entry) borrowAnswered(now time.Time, ev BorrowAnswered) {
	w := e.lending.wishes[ev.Token]
	if w == nil {
		return
	}
	delete(e.lending.wishes, ev.Token)
	if ev.Loan == nil {
		e.lending.refused[w.service+"/"+w.lender.Entry] = now.Add(lenderPause)
		return
	}
	b := &borrowed{lender: w.lender, token: ev.Token}
	b.notAfter = w.asked.Add(time.Duration(ev.Loan.LeaseMS) * time.Millisecond)
	s := e.Services[w.service]
	info := ev.Loan.Server
	ordered := e.OutDomains[info.Domain] || e.DrainedServers[info.Server]
	if s == nil || len(s.Queue) == 0 || ordered || !now.Before(b.notAfter) {
		e.emit(SendReturn{Lender: w.lender, Token: ev.Token})
		return
	}
	p := e.calls[s.Queue[0]]
	s.Queue = s.Queue[1:]
	e.start(now, p, info, b)
}

// lend gives a free slot to another entry, unless calls wait here.
func (e *Entry) lend(now time.Time, ev BorrowAsked) {
	s := e.Services[ev.Service]
	if s == nil || len(s.Queue) > 0 || !e.leased(now) || e.Stopping {
		e.emit(SendLoan{To: ev.From, Token: ev.Token})
		return
	}
	server := e.pick(now, ev.Service, nil)
	if server == nil {
		e.emit(SendLoan{To: ev.From, Token: ev.Token})
		return
	}
	server.Lent++
	until := e.LeaseEnd.Add(s.Document.MaxDeadline())
	e.lending.loans[loanKey{ev.From, ev.Token}] = loan{server: server.Info.Server, until: until}
	left := e.LeaseEnd.Sub(now).Milliseconds()
	e.emit(SendLoan{To: ev.From, Token: ev.Token, Loan: &Loan{Server: server.Info, LeaseMS: left}})
}

func (e *Entry) loanReturned(ev LoanReturned) {
	key := loanKey{ev.From, ev.Token}
	l, ok := e.lending.loans[key]
	if !ok {
		return
	}
	delete(e.lending.loans, key)
	if s := e.Servers[l.server]; s != nil {
		s.Lent--
		e.forgetServer(s)
	}
}

// giveLoanBack returns a borrowed slot, later if the server may still use it.
func (e *Entry) giveLoanBack(now time.Time, b borrowed, running bool) {
	if running {
		e.lending.returns = append(e.lending.returns, lateReturn{now.Add(cancelGrace), b})
		return
	}
	e.emit(SendReturn{Lender: b.lender, Token: b.token})
}

// expireLoans takes back slots whose borrower disappeared, and returns the
// borrowed slots of canceled attempts.
func (e *Entry) expireLoans(now time.Time) {
	e.lending.returns = slices.DeleteFunc(e.lending.returns, func(r lateReturn) bool {
		due := !r.at.After(now)
		if due {
			e.giveLoanBack(now, r.loan, false)
		}
		return due
	})
	keys := slices.Collect(maps.Keys(e.lending.loans))
	for _, k := range keys {
		if !e.lending.loans[k].until.After(now) {
			e.loanReturned(LoanReturned{From: k.from, Token: k.token})
		}
	}
	maps.DeleteFunc(e.lending.refused, func(_ string, t time.Time) bool { return !t.After(now) })
}

// connectionLost gives up the unused slots of a server that may have
// restarted. The owner grants them anew when it knows more.
func (e *Entry) connectionLost(ev ConnectionLost) {
	s := e.Servers[ev.Server]
	if s == nil {
		// The owner may be about to grant its slots again.
		e.reporting.lost[ev.Server] = ev.BootID
		e.reporting.urgent = true
		return
	}
	if s.Info.BootID != ev.BootID {
		return
	}
	s.Target = 0
	s.Seen.Lost = true
	e.reporting.urgent = true
}

func (e *Entry) probed(ev Probed) {
	if s := e.Servers[ev.Server]; s != nil && s.Probing > 0 {
		s.Probing--
		s.Seen.Probed++
	}
}
