package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/ingress"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/quota"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/upstream"
)

const (
	// mailboxSize is how many messages may wait for the entry task. A task that
	// posts another one blocks.
	mailboxSize = 1024
	// defaultTimeout applies to requests whose caller sends no timeout. The
	// route's timeout may shorten it.
	defaultTimeout = 30 * time.Second
	// responseMargin is subtracted from the caller timeout. It allows for the
	// network delay between the caller and this entry.
	responseMargin = 15 * time.Millisecond
)

// task is the entry task. It owns the placement state, the idle connections and
// the active requests.
type task struct {
	gateway   *Gateway
	ctx       context.Context
	mailbox   chan message
	placement *placement.State
	random    *rand.Rand

	nextID placement.RequestID
	// active holds the requests that are not answered yet.
	active map[placement.RequestID]*activeRequest
	// requestIDs holds the IDs of the active requests by exchange.
	requestIDs map[*ingress.Exchange]placement.RequestID
	// cancels holds the functions that cancel the running attempts.
	cancels map[placement.AttemptID]context.CancelFunc
	// responses holds the responses to ended attempts while the placement decides
	// which of them the caller gets.
	responses map[placement.AttemptID]upstream.Response
	idleConns map[placement.Key][]*upstream.Conn
	// idleCount is the number of connections in idleConns.
	idleCount int
	// gate keeps workspaces within their quotas, and entries is the number of entries that
	// the leader last reported.
	gate       *quota.Gate
	entries    int
	firstTries placement.FirstTries
	// configured is true once requests can be routed.
	configured bool
	// reports sends crashes to the leader. reportedEpoch is the term of the leader that
	// everything was last reported to.
	reports       *reportTask
	reportedEpoch uint64
}

// activeRequest is a request that is not answered yet.
type activeRequest struct {
	exchange *ingress.Exchange
	request  placement.Request
	// upstream, domain and basis describe the last attempt: the upstream's ID and
	// failure domain, and the data behind the decision for it.
	upstream string
	domain   string
	basis    placement.ChoiceBasis
	// attemptSummaries has a text for each ended attempt, for the log.
	attemptSummaries []string
}

func newTask(ctx context.Context, gateway *Gateway, state *placement.State, reports *reportTask) *task {
	state.Quarantine = quarantine.NewHolder()
	return &task{
		reports: reports,
		gateway: gateway, ctx: ctx, mailbox: make(chan message, mailboxSize), placement: state,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		active: map[placement.RequestID]*activeRequest{}, requestIDs: map[*ingress.Exchange]placement.RequestID{},
		cancels: map[placement.AttemptID]context.CancelFunc{}, responses: map[placement.AttemptID]upstream.Response{},
		idleConns: map[placement.Key][]*upstream.Conn{}, firstTries: placement.FirstTries{}, gate: quota.NewGate(),
	}
}

// requestArrived posts a request of a caller. After the context has ended it
// sends an empty response, which closes the connection of the caller.
func (t *task) requestArrived(e *ingress.Exchange) {
	select {
	case t.mailbox <- arrivedMessage{e, fingerprint(e.Request)}:
	case <-t.ctx.Done():
		e.Response <- upstream.Response{}
	}
}

// callersDisconnected posts the unanswered requests of a caller that closed its
// connection.
func (t *task) callersDisconnected(exchanges []*ingress.Exchange) {
	if len(exchanges) == 0 {
		return
	}
	select {
	case t.mailbox <- disconnectedMessage{exchanges}:
	case <-t.ctx.Done():
	}
}

func (t *task) post(m message) {
	select {
	case t.mailbox <- m:
	case <-t.ctx.Done():
	}
}

func (t *task) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-timer.C:
			t.step(placement.TimerExpired{})
		case m := <-t.mailbox:
			t.handle(m)
		}
		if next := t.placement.NextWake(); !next.IsZero() {
			timer.Reset(max(0, time.Until(next)))
		} else {
			timer.Stop()
		}
	}
}

func (t *task) handle(m message) {
	switch m := m.(type) {
	case arrivedMessage:
		t.startRequest(m)
	case disconnectedMessage:
		for _, e := range m.exchanges {
			if id, ok := t.requestIDs[e]; ok {
				t.step(placement.CallerDisconnected{Request: id})
				t.logDisconnected(t.active[id])
				t.respond(id, upstream.Response{})
			}
		}
	case countsMessage:
		m.reply <- t.placement.TakeCounts()
	case usagesMessage:
		m.reply <- t.gate.Take(time.Now())
	case stopMessage:
		t.step(placement.StopBegan{Plan: m.plan})
	case viewMessage:
		t.handleView(m)
	case probeResultMessage:
		t.releaseConn(m.key, m.conn)
		m.result.Upstream = m.key
		t.step(m.result)
	case noticeMessage:
		t.countInvalidRest(m.notice)
		t.step(placement.NoticeReceived{Upstream: m.key, Notice: m.notice})
	case probeDecidedMessage:
		t.probeDecided(m)
	case allowanceMessage:
		t.step(m.event)
	case attemptEndedMessage:
		t.releaseConn(m.key, m.conn)
		t.attemptEnded(m)
	}
}

// startRequest passes a request to the placement, with the service that is to run
// it and its deadline.
func (t *task) startRequest(arrived arrivedMessage) {
	exchange, received := arrived.exchange, arrived.exchange.Request
	t.nextID++
	id := t.nextID
	timeout := defaultTimeout
	if received.CallerTimeout > 0 {
		timeout = received.CallerTimeout - responseMargin
	}
	if exchange.Route.Timeout > 0 {
		timeout = min(timeout, exchange.Route.Timeout)
	}
	service, weighted := exchange.Route.PickService(t.random.Float64())
	request := placement.Request{
		ID: id, Route: exchange.Route, Service: service, ArrivedAt: received.Received, FirstTriedAt: t.firstTries.Estimate(exchange.Route.Name, received.Received, received.CallerTimeout),
		Deadline: received.Received.Add(timeout), BodyNotReplayable: received.Rest != nil, Workspace: exchange.Workspace, Fingerprint: arrived.fingerprint,
	}
	t.active[id] = &activeRequest{exchange: exchange, request: request}
	t.requestIDs[exchange] = id
	if !weighted {
		t.perform(placement.Finish{Request: id, Outcome: placement.NotRun{Reason: placement.ReasonNoWeight}})
		return
	}
	if t.refuseBeyondQuota(request) {
		return
	}
	if !t.asksForProbe(request) {
		t.step(placement.Arrived{Request: request})
	}
}

func (t *task) step(e placement.Event) {
	for _, effect := range t.placement.Step(time.Now(), e) {
		t.perform(effect)
	}
}

func (t *task) perform(effect placement.Effect) {
	switch e := effect.(type) {
	case placement.StartProbe:
		t.startProbe(e)
	case placement.StartAttempt:
		t.startAttempt(e)
	case placement.AskAllowance:
		t.askAllowance(e)
	case placement.CancelAttempt:
		if cancel := t.cancels[e.Attempt]; cancel != nil {
			cancel()
			delete(t.cancels, e.Attempt)
		}
	case placement.Finish:
		t.finish(e)
	case placement.UpstreamRemoved:
		t.closeIdleConns(e.Upstream)
	case placement.UpstreamLeaving:
		t.closeIdleConns(e.Upstream)
		t.logLeaving(e)
	case placement.RestStarted:
		t.logRestStarted(e)
	case placement.RestEnded:
		t.logRestEnded(e)
	case placement.LimitStarted:
		t.logLimitStarted(e)
	case placement.LimitEnded:
		t.logLimitEnded(e)
	}
}

// attemptEnded reports the outcome of an attempt to the placement, and discards
// the response if the caller does not get it.
func (t *task) attemptEnded(ended attemptEndedMessage) {
	if cancel := t.cancels[ended.attempt]; cancel != nil {
		cancel()
		delete(t.cancels, ended.attempt)
	}
	t.responses[ended.attempt] = ended.response
	t.recordAttempt(ended)
	t.recordContent(ended)
	t.step(placement.AttemptEnded{Attempt: ended.attempt, Outcome: ended.outcome, Load: ended.response.Load, Limit: ended.response.Limit})
	if response, unused := t.responses[ended.attempt]; unused {
		response.Hold.Release()
		if response.Rest != nil {
			_ = response.Rest.Close()
		}
		delete(t.responses, ended.attempt)
	}
}

// handleView handles the leader's answer to a watch.
func (t *task) handleView(m viewMessage) {
	t.takeQuarantine(m)
	if m.view != nil {
		t.applyView(m)
	}
	// Only now does the table have what the answer confirms.
	if m.contact != nil {
		if m.contact.proven == nil {
			m.contact.proven = t.gateway.lastContact.Load().proven
		}
		t.gateway.lastContact.Store(m.contact)
	}
	if m.position.Count > 0 {
		t.entries = m.position.Count
		t.step(m.position)
	}
	if !t.configured && t.gateway.routes() {
		t.configured = true
		close(t.gateway.configured)
	}
}

// applyView passes the changes of a view to the placement, and makes a newer
// configuration the one that applies to new requests.
func (t *task) applyView(message viewMessage) {
	view := message.view
	t.gate.SetShares(view.Shares)
	event := placement.ViewReceived{
		Full: view.Full, FleetComplete: view.FleetComplete, Upstreams: view.Upstreams, Removed: view.Removed, OutDomains: view.OutDomains, Splits: view.Splits,
	}
	if configuration := view.Configuration; configuration != nil && t.gateway.configurationVersion().OlderThan(configuration.Version) {
		table := route.NewTable(*configuration)
		event.Services = table.Services
		t.gateway.table.Store(table)
		t.gateway.options.Log.WithFields(log.Fields{
			"change": "configuration", "version": configuration.Version, "routes": len(configuration.Routes), "epoch": message.epoch, "revision": message.revision,
		}).Info("configuration changed")
	}
	if len(view.Upstreams)+len(view.Removed) > 0 || view.Full {
		t.gateway.options.Log.WithFields(log.Fields{
			"change": "upstreams", "upstreams_changed": len(view.Upstreams), "removed": len(view.Removed), "full_view": view.Full,
			"fleet_complete": view.FleetComplete, "domains_out_of_service": view.OutDomains, "epoch": message.epoch, "revision": message.revision,
		}).Info("upstream view changed")
	}
	t.step(event)
}

// finish answers the caller with the outcome of its request, and logs it.
func (t *task) finish(effect placement.Finish) {
	active := t.active[effect.Request]
	if active == nil {
		return
	}
	status, reason := 0, ""
	switch o := effect.Outcome.(type) {
	case placement.Answered:
		response := t.responses[effect.Attempt]
		delete(t.responses, effect.Attempt)
		status = response.Status
		t.respond(effect.Request, response)
	case placement.NotRun:
		status, reason = http.StatusServiceUnavailable, string(o.Reason)
		if o.Reason == placement.ReasonQuota {
			status = http.StatusTooManyRequests
		}
		t.respond(effect.Request, ingress.Refusal(status, "not run: "+reason, o.RetryAfter))
	case placement.Unknown:
		status, reason = http.StatusBadGateway, string(o.Reason)
		if o.Reason == placement.ReasonTimeout {
			status = http.StatusGatewayTimeout
		}
		t.respond(effect.Request, ingress.Refusal(status, "no answer: "+reason, 0))
	}
	t.logFinished(active, effect, status, reason)
}

// respond sends the response to the caller and removes the request from the
// active ones. It does nothing if the request was answered before.
func (t *task) respond(id placement.RequestID, a upstream.Response) {
	active := t.active[id]
	if active == nil {
		return
	}
	delete(t.active, id)
	delete(t.requestIDs, active.exchange)
	active.exchange.Response <- a
}
