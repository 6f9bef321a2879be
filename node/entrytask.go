package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/caller"
	"github.com/oriolepost/oriolepost/entry"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/server"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/timer"
)

const (
	// entryMailbox bounds the messages that wait for the entry task.
	entryMailbox = 4096
	// entryTick is the pause between two looks at the clock.
	entryTick = 20 * time.Millisecond
	// reportTimeout bounds one exchange with the slot owner.
	reportTimeout = 600 * time.Millisecond
	// reportRetry is the pause after a report that failed at once.
	reportRetry = 50 * time.Millisecond
	// connectionIdle is how long connections to a server are kept on which
	// the entry holds no slot.
	connectionIdle = 30 * time.Second
)

// entryTask owns the state of the entry and the connections to the servers.
type entryTask struct {
	core     *entry.Entry
	instance string
	domain   string
	callers  chan caller.Message
	events   chan entryMail
	pool     *peer.Pool
	leader   *peer.Leader
	metrics  *metrics.Set
	log      log.Interface
	// ready gets the readiness as it changes.
	ready chan<- bool

	ctx         context.Context
	decisions   map[call.ID]chan<- caller.Decision
	loans       map[loanKey]chan<- *entry.Loan
	connections map[connectionKey]*keptConnection
	hosts       map[string]string
	sweepAt     time.Time
}

// entryMail is an event for the entry task.
type entryMail struct {
	event entry.Event
	// loan answers a BorrowAsked event. It has room for one.
	loan chan<- *entry.Loan
	// idle answers whether calls or slots are left. It has room for one.
	idle chan<- bool
}

type loanKey struct {
	from  string
	token uint64
}

type connectionKey struct{ server, boot, address string }

type keptConnection struct {
	connection *server.Connection
	used       time.Time
}

func newEntryTask(ctx context.Context, cfg entry.Config, pool *peer.Pool, leader *peer.Leader) *entryTask {
	return &entryTask{
		core:        entry.New(cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		instance:    cfg.Name,
		domain:      cfg.Domain,
		callers:     make(chan caller.Message, entryMailbox),
		events:      make(chan entryMail, entryMailbox),
		pool:        pool,
		leader:      leader,
		ctx:         ctx,
		decisions:   map[call.ID]chan<- caller.Decision{},
		loans:       map[loanKey]chan<- *entry.Loan{},
		connections: map[connectionKey]*keptConnection{},
		hosts:       map[string]string{},
	}
}

// run owns the state until the context ends.
func (t *entryTask) run() {
	ticker := time.NewTicker(entryTick)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-t.callers:
			t.callerMessage(m)
		case m := <-t.events:
			t.mail(m)
		case <-ticker.C:
			t.step(entry.Ticked{})
			t.sweep(time.Now())
		}
	}
}

func (t *entryTask) callerMessage(m caller.Message) {
	switch m := m.(type) {
	case caller.Lookup:
		m.Found <- t.lookup(m.Host)
	case caller.Arrive:
		t.decisions[m.Request.ID] = m.Decisions
		t.step(entry.Arrived{Request: m.Request})
	case caller.Tell:
		if left, ok := m.Event.(entry.Left); ok {
			delete(t.decisions, left.Call)
		}
		t.step(m.Event)
	}
}

func (t *entryTask) lookup(host string) *service.Document {
	name, ok := t.hosts[host]
	if !ok {
		return nil
	}
	d, _ := t.core.Document(name)
	return &d
}

func (t *entryTask) mail(m entryMail) {
	if m.idle != nil {
		m.idle <- t.core.Idle() && len(t.core.Servers) == 0
		return
	}
	if asked, ok := m.event.(entry.BorrowAsked); ok {
		t.loans[loanKey{asked.From, asked.Token}] = m.loan
	}
	t.step(m.event)
}

// post gives the task an event from another goroutine.
func (t *entryTask) post(m entryMail) bool {
	select {
	case t.events <- m:
		return true
	case <-t.ctx.Done():
		return false
	}
}

func (t *entryTask) step(e entry.Event) {
	for _, effect := range t.core.Step(time.Now(), e) {
		t.perform(effect)
	}
}

func (t *entryTask) perform(effect entry.Effect) {
	switch e := effect.(type) {
	case entry.StartAttempt:
		t.startAttempt(e)
	case entry.Finish:
		t.decide(e.Call, caller.Finish{Outcome: e.Outcome})
		delete(t.decisions, e.Call)
	case entry.SendReport:
		t.metrics.GetOrCreateCounter("oriolepost_reports_total").Inc()
		go t.report(e)
	case entry.SendBorrow:
		t.metrics.GetOrCreateCounter("oriolepost_borrows_total").Inc()
		go t.borrow(e)
	case entry.SendLoan:
		t.answerLoan(e)
	case entry.SendReturn:
		t.pool.Notify(e.Lender.Address, peer.ReturnRequest{From: t.instance, Token: e.Token})
	case entry.SendProbe:
		t.probe(e.Server)
	case entry.ReadyChanged:
		t.readyChanged(e)
	case entry.ConfigurationChanged:
		t.configurationChanged(e.Index)
	}
}

func (t *entryTask) decide(id call.ID, d caller.Decision) {
	decisions, ok := t.decisions[id]
	if !ok {
		return
	}
	select {
	case decisions <- d:
	default:
		t.metrics.GetOrCreateCounter("oriolepost_decisions_dropped_total").Inc()
	}
}

func (t *entryTask) startAttempt(e entry.StartAttempt) {
	t.metrics.GetOrCreateCounter("oriolepost_attempts_total").Inc()
	t.decide(e.Call, caller.Start{
		Attempt: e.Attempt, Connection: t.connection(e.Server), NotAfter: e.NotAfter,
		HedgeAfter: e.HedgeAfter, Lender: e.Lender, Waited: e.Waited,
	})
}

// connection gives the connection to one boot of a server.
func (t *entryTask) connection(a membership.Announcement) *server.Connection {
	key := connectionKey{a.Server, a.BootID, a.Address}
	k := t.connections[key]
	if k == nil {
		k = &keptConnection{connection: server.NewConnection(a, t.lost)}
		t.connections[key] = k
	}
	k.used = time.Now()
	return k.connection
}

// lost is called when a server closes a connection.
func (t *entryTask) lost(a membership.Announcement) {
	t.metrics.GetOrCreateCounter("oriolepost_server_connections_lost_total").Inc()
	t.post(entryMail{event: entry.ConnectionLost{Server: a.Server, BootID: a.BootID}})
}

func (t *entryTask) sweep(now time.Time) {
	if now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = now.Add(time.Second)
	for key, k := range t.connections {
		if now.Sub(k.used) > connectionIdle && t.core.Servers[key.server] == nil {
			k.connection.Close()
			delete(t.connections, key)
		}
	}
}

// report exchanges a report for a reply.
func (t *entryTask) report(e entry.SendReport) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.ctx, reportTimeout)
	defer cancel()
	response, err := t.leader.Call(ctx, peer.ReportRequest{Report: e.Report})
	if r, ok := response.(peer.ReportResponse); ok && err == nil {
		t.post(entryMail{event: entry.Replied{Reply: r.Reply}})
		return
	}
	t.metrics.GetOrCreateCounter("oriolepost_reports_lost_total").Inc()
	timer.Pause(t.ctx, reportRetry-time.Since(began))
	t.post(entryMail{event: entry.ReplyLost{Seq: e.Report.Seq}})
}

// borrowTimeout bounds how long a call waits for one lender.
const borrowTimeout = 100 * time.Millisecond

func (t *entryTask) borrow(e entry.SendBorrow) {
	ctx, cancel := context.WithTimeout(t.ctx, borrowTimeout)
	defer cancel()
	request := peer.BorrowRequest{From: t.instance, Token: e.Token, Service: e.Service, TraceParent: e.TraceParent}
	response, err := t.pool.Call(ctx, e.Lender.Address, request)
	answered := entry.BorrowAnswered{Token: e.Token}
	if r, ok := response.(peer.BorrowResponse); ok && err == nil {
		answered.Loan = r.Loan
	}
	if err != nil {
		// The lender may have lent a slot; it is given back unused.
		t.pool.Notify(e.Lender.Address, peer.ReturnRequest{From: t.instance, Token: e.Token})
	}
	t.post(entryMail{event: answered})
}

func (t *entryTask) answerLoan(e entry.SendLoan) {
	key := loanKey{e.To, e.Token}
	if answer, ok := t.loans[key]; ok {
		answer <- e.Loan
		delete(t.loans, key)
	}
	if e.Loan != nil {
		t.metrics.GetOrCreateCounter("oriolepost_loans_total").Inc()
	}
}

func (t *entryTask) probe(a membership.Announcement) {
	t.metrics.GetOrCreateCounter("oriolepost_probes_total").Inc()
	c := t.connection(a)
	go func() {
		c.Probe(t.ctx)
		t.post(entryMail{event: entry.Probed{Server: a.Server}})
	}()
}

func (t *entryTask) readyChanged(e entry.ReadyChanged) {
	t.log.WithFields(log.Fields{
		"change": "ready", "from": !e.Ready, "to": e.Ready, "reason": string(e.Reason),
	}).Info("readiness changed")
	t.ready <- e.Ready
}

func (t *entryTask) configurationChanged(index uint64) {
	t.hosts = map[string]string{}
	for name, s := range t.core.Services {
		for _, h := range s.Document.Hosts {
			t.hosts[h] = name
		}
	}
	t.log.WithFields(log.Fields{"change": "configuration", "to": index}).Info("configuration changed")
}
