package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/ingress"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/upstream"
)

const (
	// mailboxSize bounds the messages that wait for the entry task.
	mailboxSize = 1024
	// defaultTimeout serves requests whose route and caller set no limit.
	defaultTimeout = 30 * time.Second
	// patienceSpread is by which share callers that come new on a route differ
	// in how long they wait: 10 in 100 were seen.
	patienceSpread = 0.15
	// answerMargin is taken off the time that the caller waits, for the way.
	answerMargin = 15 * time.Millisecond
)

// mail is a message for the entry task.
//
//sumtype:decl
type mail interface{ mail() }

type arrivedMail struct{ exchange *ingress.Exchange }

type leftMail struct{ exchanges []*ingress.Exchange }

type viewMail struct {
	place placement.Placed
	// view is what changed; nil when nothing did.
	view     *peer.View
	epoch    uint64
	revision uint64
}

type probedMail struct {
	key    placement.Key
	result placement.Probed
	conn   *upstream.Conn
}

type attemptMail struct {
	key     placement.Key
	request placement.RequestID
	attempt placement.AttemptID
	began   time.Time
	answer  upstream.Answer
	outcome placement.Outcome
	conn    *upstream.Conn
}

func (arrivedMail) mail() {}
func (leftMail) mail()    {}
func (viewMail) mail()    {}
func (probedMail) mail()  {}
func (attemptMail) mail() {}

// task owns the placement, the unused connections and the requests.
type task struct {
	gateway   *Gateway
	ctx       context.Context
	mailbox   chan mail
	placement *placement.State
	random    *rand.Rand

	nextID    placement.RequestID
	exchanges map[placement.RequestID]*work
	ids       map[*ingress.Exchange]placement.RequestID
	// cancels holds how to give up the attempts under way.
	cancels map[placement.AttemptID]context.CancelFunc
	// answers holds the answers of attempts until their request is finished.
	answers map[placement.AttemptID]upstream.Answer
	conns   map[placement.Key][]*upstream.Conn
	// patience is the longest time that a caller on a route said it waits.
	patience map[string]time.Duration
}

// work is a request under way.
type work struct {
	exchange *ingress.Exchange
	request  placement.Request
	// upstream, attempt and basis tell of the last attempt.
	upstream string
	domain   string
	basis    placement.Basis
	// tries tells of each attempt that ended, for the log.
	tries []string
}

func newTask(ctx context.Context, g *Gateway, p *placement.State) *task {
	return &task{
		gateway: g, ctx: ctx, mailbox: make(chan mail, mailboxSize), placement: p,
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		exchanges: map[placement.RequestID]*work{}, ids: map[*ingress.Exchange]placement.RequestID{},
		cancels: map[placement.AttemptID]context.CancelFunc{}, answers: map[placement.AttemptID]upstream.Answer{},
		conns: map[placement.Key][]*upstream.Conn{}, patience: map[string]time.Duration{},
	}
}

func (t *task) arrived(e *ingress.Exchange) {
	select {
	case t.mailbox <- arrivedMail{e}:
	case <-t.ctx.Done():
		e.Answer <- upstream.Answer{}
	}
}

func (t *task) left(list []*ingress.Exchange) {
	if len(list) == 0 {
		return
	}
	select {
	case t.mailbox <- leftMail{list}:
	case <-t.ctx.Done():
	}
}

func (t *task) post(m mail) {
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
			t.step(placement.Ticked{})
		case m := <-t.mailbox:
			t.take(m)
		}
		if next := t.placement.NextWake(); !next.IsZero() {
			timer.Reset(max(0, time.Until(next)))
		} else {
			timer.Stop()
		}
	}
}

func (t *task) take(m mail) {
	switch m := m.(type) {
	case arrivedMail:
		t.arrive(m.exchange)
	case leftMail:
		for _, e := range m.exchanges {
			if id, ok := t.ids[e]; ok {
				t.step(placement.Left{Request: id})
				t.logLeft(t.exchanges[id])
				t.answer(id, upstream.Answer{})
			}
		}
	case viewMail:
		t.view(m)
	case probedMail:
		t.keep(m.key, m.conn)
		m.result.Upstream = m.key
		t.step(m.result)
	case attemptMail:
		t.keep(m.key, m.conn)
		t.ended(m)
	}
}

// arrive gives a request its part of the route and its deadline.
func (t *task) arrive(e *ingress.Exchange) {
	r := e.Request
	t.nextID++
	id := t.nextID
	wait := defaultTimeout
	if r.Patience > 0 {
		wait = r.Patience - answerMargin
	}
	if e.Route.Timeout > 0 {
		wait = min(wait, e.Route.Timeout)
	}
	service, weighted := e.Route.PickPart(t.random.Float64())
	request := placement.Request{
		ID: id, Route: e.Route, Service: service, Arrived: r.Received, First: t.firstTry(r, e.Route.Name),
		Deadline: r.Received.Add(wait), Once: r.Rest != nil,
	}
	t.exchanges[id] = &work{exchange: e, request: request}
	t.ids[e] = id
	if !weighted {
		t.perform(placement.Finish{Request: id, Outcome: placement.NotRun{Reason: placement.ReasonNoWeight}})
		return
	}
	t.step(placement.Arrived{Request: request})
}

// firstTry tells when a caller first tried: callers that come back have less
// time left than any that come new on the same route.
func (t *task) firstTry(r *ingress.Request, name string) time.Time {
	t.patience[name] = max(t.patience[name], r.Patience)
	shortest := time.Duration((1 - patienceSpread) * float64(t.patience[name]))
	return r.Received.Add(min(0, r.Patience-shortest))
}

func (t *task) step(e placement.Event) {
	for _, effect := range t.placement.Step(time.Now(), e) {
		t.perform(effect)
	}
}

func (t *task) perform(effect placement.Effect) {
	switch e := effect.(type) {
	case placement.StartProbe:
		t.probe(e)
	case placement.StartAttempt:
		t.attempt(e)
	case placement.CancelAttempt:
		if cancel := t.cancels[e.Attempt]; cancel != nil {
			cancel()
			delete(t.cancels, e.Attempt)
		}
	case placement.Finish:
		t.finish(e)
	case placement.Forget:
		t.forget(e.Upstream)
	}
}

// ended takes the end of an attempt.
func (t *task) ended(m attemptMail) {
	if cancel := t.cancels[m.attempt]; cancel != nil {
		cancel()
		delete(t.cancels, m.attempt)
	}
	t.answers[m.attempt] = m.answer
	t.note(m)
	t.step(placement.AttemptEnded{Attempt: m.attempt, Outcome: m.outcome, Load: m.answer.Load})
	if a, left := t.answers[m.attempt]; left {
		if a.Rest != nil {
			_ = a.Rest.Close()
		}
		delete(t.answers, m.attempt)
	}
}

// view takes what the leader told.
func (t *task) view(m viewMail) {
	if m.view != nil {
		t.changed(m)
	}
	t.step(m.place)
}

func (t *task) changed(m viewMail) {
	v := m.view
	event := placement.Viewed{
		Full: v.Full, Settled: v.Settled, Upstreams: v.Upstreams, Removed: v.Removed, OutDomains: v.OutDomains,
	}
	if c := v.Configuration; c != nil && (t.gateway.table.Load() == nil || c.Version > t.gateway.version()) {
		table := route.NewTable(*c)
		event.Services = table.Services
		t.gateway.table.Store(table)
		t.gateway.options.Log.WithFields(log.Fields{
			"change": "configuration", "version": c.Version, "routes": len(c.Routes), "epoch": m.epoch, "revision": m.revision,
		}).Info("configuration in force")
	}
	if len(v.Upstreams)+len(v.Removed) > 0 || v.Full {
		t.gateway.options.Log.WithFields(log.Fields{
			"change": "upstreams", "listed": len(v.Upstreams), "removed": len(v.Removed), "full": v.Full,
			"settled": v.Settled, "out_domains": v.OutDomains, "epoch": m.epoch, "revision": m.revision,
		}).Info("view changed")
	}
	t.step(event)
}

// finish answers a request.
func (t *task) finish(e placement.Finish) {
	w := t.exchanges[e.Request]
	if w == nil {
		return
	}
	status, reason := 0, ""
	switch o := e.Outcome.(type) {
	case placement.Answered:
		a := t.answers[e.Attempt]
		delete(t.answers, e.Attempt)
		status = a.Status
		t.answer(e.Request, a)
	case placement.NotRun:
		status, reason = http.StatusServiceUnavailable, string(o.Reason)
		t.answer(e.Request, ingress.Refusal(status, "not run: "+reason, o.RetryAfter))
	case placement.Unknown:
		status, reason = http.StatusBadGateway, string(o.Reason)
		if o.Reason == placement.ReasonTimeout {
			status = http.StatusGatewayTimeout
		}
		t.answer(e.Request, ingress.Refusal(status, "no answer: "+reason, 0))
	}
	t.logFinished(w, e, status, reason)
}

func (t *task) answer(id placement.RequestID, a upstream.Answer) {
	w := t.exchanges[id]
	if w == nil {
		return
	}
	delete(t.exchanges, id)
	delete(t.ids, w.exchange)
	w.exchange.Answer <- a
}
