package gateway

import (
	"context"
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/upstream"
)

// maxUnused is how many unused connections to one upstream are kept.
const maxUnused = 4

// unused takes an unused connection that still stands; nil when there is none.
func (t *task) unused(k placement.Key) *upstream.Conn {
	now := time.Now()
	for list := t.conns[k]; len(list) > 0; list = t.conns[k] {
		c := list[len(list)-1]
		t.conns[k] = list[:len(list)-1]
		if c.Alive(now) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// keep takes a connection back, or closes it.
func (t *task) keep(k placement.Key, c *upstream.Conn) {
	if c == nil {
		return
	}
	u := t.placement.Upstreams[k.ID]
	if !c.Reusable() || u == nil || placement.KeyOf(u.Info) != k || len(t.conns[k]) >= maxUnused {
		if c.Reusable() {
			_ = c.Close()
		}
		return
	}
	t.conns[k] = append(t.conns[k], c)
}

func (t *task) forget(k placement.Key) {
	for _, c := range t.conns[k] {
		_ = c.Close()
	}
	delete(t.conns, k)
}

// connected gives a connection for a new task: an unused one or a new one.
func connected(ctx context.Context, unused *upstream.Conn, u fleet.Upstream) (*upstream.Conn, error) {
	if unused != nil {
		return unused, nil
	}
	return upstream.Dial(ctx, u.Address)
}

// probe starts a probe.
func (t *task) probe(e placement.StartProbe) {
	key := placement.KeyOf(e.Upstream)
	unused := t.unused(key)
	t.gateway.options.Metrics.GetOrCreateCounter("oriolepost_probes_total").Inc()
	go func() {
		c, err := connected(t.ctx, unused, e.Upstream)
		if err != nil {
			t.post(probedMail{key: key, result: placement.Probed{Failed: true}})
			return
		}
		result := c.Probe(t.ctx, t.gateway.options.Names, e.Upstream.ID, e.Upstream.Address, e.HealthPath)
		if !c.Reusable() {
			_ = c.Close()
		}
		t.post(probedMail{key: key, result: result, conn: c})
	}()
}

// attempt starts an attempt.
func (t *task) attempt(e placement.StartAttempt) {
	w := t.exchanges[e.Request]
	w.upstream, w.domain, w.basis = e.Upstream.ID, e.Upstream.Domain, e.Basis
	key := placement.KeyOf(e.Upstream)
	unused := t.unused(key)
	ctx, cancel := context.WithCancel(t.ctx)
	t.cancels[e.Attempt] = cancel
	t.gateway.options.Metrics.GetOrCreateCounter("oriolepost_attempts_total").Inc()
	r := w.exchange.Request
	request := upstream.Request{
		Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, ID: r.ID, Body: r.Body,
		Rest: r.Rest, Length: r.Length, HasBody: r.HasBody, Upstream: e.Upstream.ID, Deadline: e.Deadline,
	}
	go func() {
		m := attemptMail{key: key, request: e.Request, attempt: e.Attempt, began: time.Now()}
		c, err := connected(ctx, unused, e.Upstream)
		if err != nil {
			m.outcome = placement.NotRun{Reason: placement.ReasonUnsent}
			t.post(m)
			return
		}
		m.answer, m.outcome = c.Exchange(ctx, t.gateway.options.Names, request)
		if !c.Reusable() && m.answer.Rest == nil {
			_ = c.Close()
		}
		m.conn = c
		t.post(m)
	}()
}
