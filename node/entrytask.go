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
	"github.com/oriolepost/oriolepost/timer"
)

const (
	// entryMailboxSize limits the messages that wait in each of the two
	// mailboxes of the entry task.
	entryMailboxSize = 4096
	// entryTickInterval is the interval between two Ticked events.
	entryTickInterval = 20 * time.Millisecond
	// reportTimeout limits the exchange of one report with the slot owner.
	reportTimeout = 600 * time.Millisecond
	// reportRetryInterval is the minimum time from the start of a report that
	// failed to its ReplyLost event. It delays the retry after a report that
	// failed immediately.
	reportRetryInterval = 50 * time.Millisecond
	// connectionIdleTimeout is the time since the last use after which the
	// connections to a server are closed. While the entry holds slots of the
	// server, they stay open.
	connectionIdleTimeout = 30 * time.Second
)

// entryTask owns the state of the entry and the connections to the servers.
type entryTask struct {
	core          *entry.Entry
	instance      string
	domain        string
	callerMailbox chan caller.Message
	mailbox       chan entryMessage
	pool          *peer.Pool
	leader        *peer.LeaderClient
	metrics       *metrics.Set
	log           log.Interface
	// ready receives the new readiness at each change.
	ready chan<- bool

	ctx context.Context
	// decisions holds the channel to each running call.
	decisions map[call.ID]chan<- caller.Decision
	// loanAnswers holds the answer channel of each borrow request that another
	// entry sent and the core has not decided yet.
	loanAnswers map[loanKey]chan<- *entry.Loan
	connections map[connectionKey]*serverConnection
	// serviceByHost maps each host of the configuration to its service.
	serviceByHost map[string]string
	// closeIdleAt is the time of the next check for idle connections.
	closeIdleAt time.Time
}

// entryMessage is a message to the entry task: an event, or a question when
// idleAnswer is set.
type entryMessage struct {
	event entry.Event
	// loanAnswer receives the answer to a BorrowRequested event. It must have a
	// buffer of one.
	loanAnswer chan<- *entry.Loan
	// idleAnswer receives true if no calls are running and no slots are held. It
	// must have a buffer of one.
	idleAnswer chan<- bool
}

type loanKey struct {
	from  string
	token uint64
}

type connectionKey struct{ server, boot, address string }

type serverConnection struct {
	connection *server.Connection
	lastUsed   time.Time
}

func newEntryTask(ctx context.Context, cfg entry.Config, pool *peer.Pool, leader *peer.LeaderClient) *entryTask {
	return &entryTask{
		core:          entry.New(cfg, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		instance:      cfg.Name,
		domain:        cfg.Domain,
		callerMailbox: make(chan caller.Message, entryMailboxSize),
		mailbox:       make(chan entryMessage, entryMailboxSize),
		pool:          pool,
		leader:        leader,
		ctx:           ctx,
		decisions:     map[call.ID]chan<- caller.Decision{},
		loanAnswers:   map[loanKey]chan<- *entry.Loan{},
		connections:   map[connectionKey]*serverConnection{},
		serviceByHost: map[string]string{},
	}
}

// run handles messages and timers until the context ends.
func (t *entryTask) run() {
	ticker := time.NewTicker(entryTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-t.callerMailbox:
			t.handleCallerMessage(m)
		case m := <-t.mailbox:
			t.handleMessage(m)
		case <-ticker.C:
			t.step(entry.Ticked{})
			t.closeIdleConnections(time.Now())
		}
	}
}

func (t *entryTask) handleCallerMessage(m caller.Message) {
	switch m := m.(type) {
	case caller.Lookup:
		m.Found <- t.lookup(m.Host)
	case caller.AttemptRequest:
		t.decisions[m.Request.ID] = m.Decisions
		t.step(entry.Arrived{Request: m.Request})
	case caller.CallEvent:
		if left, ok := m.Event.(entry.CallClosed); ok {
			delete(t.decisions, left.Call)
		}
		t.step(m.Event)
	}
}

func (t *entryTask) lookup(host string) caller.LookupResult {
	name, ok := t.serviceByHost[host]
	if !ok {
		return caller.LookupResult{Missing: t.core.MissingServiceReason(time.Now())}
	}
	d, _ := t.core.Document(name)
	return caller.LookupResult{Document: &d}
}

func (t *entryTask) handleMessage(m entryMessage) {
	if m.idleAnswer != nil {
		m.idleAnswer <- t.core.Idle() && len(t.core.Servers) == 0
		return
	}
	if request, ok := m.event.(entry.BorrowRequested); ok {
		t.loanAnswers[loanKey{request.From, request.Token}] = m.loanAnswer
	}
	t.step(m.event)
}

// post sends the task a message from another goroutine. It waits while the
// mailbox is full, and returns false when the context has ended.
func (t *entryTask) post(m entryMessage) bool {
	select {
	case t.mailbox <- m:
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
	switch effect := effect.(type) {
	case entry.StartAttempt:
		t.startAttempt(effect)
	case entry.FinishCall:
		t.sendDecision(effect.Call, caller.FinishCall{Outcome: effect.Outcome})
		delete(t.decisions, effect.Call)
	case entry.SendReport:
		t.metrics.GetOrCreateCounter("oriolepost_reports_total").Inc()
		go t.sendReport(effect)
	case entry.SendBorrow:
		t.metrics.GetOrCreateCounter("oriolepost_borrows_total").Inc()
		go t.sendBorrow(effect)
	case entry.SendLoan:
		t.answerLoan(effect)
	case entry.SendReturn:
		t.pool.Notify(effect.Lender.Address, peer.ReturnRequest{From: t.instance, Token: effect.Token})
	case entry.SendProbe:
		t.sendProbe(effect.Server)
	case entry.ReadyChanged:
		t.readyChanged(effect)
	case entry.ConfigurationChanged:
		t.configurationChanged(effect.Index)
	}
}

func (t *entryTask) sendDecision(id call.ID, d caller.Decision) {
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
	t.sendDecision(e.Call, caller.Start{
		Attempt: e.Attempt, Connection: t.connection(e.Server), NotAfter: e.NotAfter,
		HedgeDelay: e.HedgeDelay, Lender: e.Lender, QueueTime: e.QueueTime,
	})
}

// connection returns the connection to one boot of a server, and records that it
// is used now. It creates the connection on first use.
func (t *entryTask) connection(a membership.Announcement) *server.Connection {
	key := connectionKey{a.Server, a.BootID, a.Address}
	c := t.connections[key]
	if c == nil {
		c = &serverConnection{connection: server.NewConnection(a, t.connectionLost)}
		t.connections[key] = c
	}
	c.lastUsed = time.Now()
	return c.connection
}

// connectionLost is called, from any goroutine, when a server closes a
// connection unexpectedly.
func (t *entryTask) connectionLost(a membership.Announcement) {
	t.metrics.GetOrCreateCounter("oriolepost_server_connections_lost_total").Inc()
	t.post(entryMessage{event: entry.ConnectionLost{Server: a.Server, BootID: a.BootID}})
}

func (t *entryTask) closeIdleConnections(now time.Time) {
	if now.Before(t.closeIdleAt) {
		return
	}
	t.closeIdleAt = now.Add(time.Second)
	for key, c := range t.connections {
		if now.Sub(c.lastUsed) > connectionIdleTimeout && t.core.Servers[key.server] == nil {
			c.connection.Close()
			delete(t.connections, key)
		}
	}
}

// sendReport sends a report to the slot owner, waits for the reply, and posts the
// reply or its loss to the task.
func (t *entryTask) sendReport(e entry.SendReport) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.ctx, reportTimeout)
	defer cancel()
	response, err := t.leader.Call(ctx, peer.ReportRequest{Report: e.Report})
	if r, ok := response.(peer.ReportResponse); ok && err == nil {
		t.post(entryMessage{event: entry.ReplyReceived{Reply: r.Reply}})
		return
	}
	t.metrics.GetOrCreateCounter("oriolepost_reports_lost_total").Inc()
	timer.Pause(t.ctx, reportRetryInterval-time.Since(start))
	t.post(entryMessage{event: entry.ReplyLost{Seq: e.Report.Seq}})
}

// borrowTimeout limits how long a call waits for the answer of one lender.
const borrowTimeout = 100 * time.Millisecond

func (t *entryTask) sendBorrow(e entry.SendBorrow) {
	ctx, cancel := context.WithTimeout(t.ctx, borrowTimeout)
	defer cancel()
	request := peer.BorrowRequest{From: t.instance, Token: e.Token, Service: e.Service, TraceParent: e.TraceParent}
	response, err := t.pool.Call(ctx, e.Lender.Address, request)
	answered := entry.BorrowAnswered{Token: e.Token}
	if r, ok := response.(peer.BorrowResponse); ok && err == nil {
		answered.Loan = r.Loan
	}
	if err != nil {
		// The lender may have lent a slot although its answer did not arrive:
		// return the slot unused.
		t.pool.Notify(e.Lender.Address, peer.ReturnRequest{From: t.instance, Token: e.Token})
	}
	t.post(entryMessage{event: answered})
}

func (t *entryTask) answerLoan(e entry.SendLoan) {
	key := loanKey{e.To, e.Token}
	if answer, ok := t.loanAnswers[key]; ok {
		answer <- e.Loan
		delete(t.loanAnswers, key)
	}
	if e.Loan != nil {
		t.metrics.GetOrCreateCounter("oriolepost_loans_total").Inc()
	}
}

func (t *entryTask) sendProbe(a membership.Announcement) {
	t.metrics.GetOrCreateCounter("oriolepost_probes_total").Inc()
	c := t.connection(a)
	go func() {
		c.Probe(t.ctx)
		t.post(entryMessage{event: entry.ProbeEnded{Server: a.Server}})
	}()
}

func (t *entryTask) readyChanged(e entry.ReadyChanged) {
	t.log.WithFields(log.Fields{
		"change": "ready", "from": !e.Ready, "to": e.Ready, "reason": string(e.Reason),
	}).Info("readiness changed")
	t.ready <- e.Ready
}

func (t *entryTask) configurationChanged(index uint64) {
	t.serviceByHost = map[string]string{}
	for name, s := range t.core.Services {
		for _, h := range s.Document.Hosts {
			t.serviceByHost[h] = name
		}
	}
	t.log.WithFields(log.Fields{"change": "configuration", "to": index}).Info("configuration changed")
}
