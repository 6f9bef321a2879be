package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/upstream"
)

// maxIdleConns limits the idle connections that are kept to one upstream.
const maxIdleConns = 4

// takeIdleConn returns an idle connection that is still open and suitable, and
// removes it from the idle ones. It returns nil when there is none.
func (t *task) takeIdleConn(key placement.Key, suitable func(*upstream.Conn) bool) *upstream.Conn {
	now := time.Now()
	list := t.idleConns[key]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if !suitable(c) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		t.idleCount--
		t.idleConns[key] = list
		if c.Alive(now) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// releaseConn keeps a connection as idle if it can be used again. It closes it
// instead if the upstream is no longer known, has announced that it leaves, or has
// enough idle connections. A connection that cannot be used again is left as it is:
// the task that owned it has closed it, or the remainder of a response is still read
// from it.
func (t *task) releaseConn(key placement.Key, c *upstream.Conn) {
	if c == nil {
		return
	}
	u := t.placement.Upstreams[key.ID]
	if !c.Reusable() || u == nil || placement.KeyOf(u.Info) != key || t.placement.IsLeaving(key) || !t.mayKeepIdle(key) {
		if c.Reusable() {
			_ = c.Close()
		}
		return
	}
	t.idleConns[key] = append(t.idleConns[key], c)
	t.idleCount++
}

// mayKeepIdle reports whether one more idle connection to an upstream may be kept. With
// many upstreams their idle connections would use up the descriptors of the process.
func (t *task) mayKeepIdle(key placement.Key) bool {
	limit := t.gateway.options.Limits.IdleUpstreams
	return len(t.idleConns[key]) < maxIdleConns && (limit == 0 || t.idleCount < limit)
}

func (t *task) closeIdleConns(key placement.Key) {
	for _, c := range t.idleConns[key] {
		_ = c.Close()
	}
	t.idleCount -= len(t.idleConns[key])
	delete(t.idleConns, key)
}

// connect returns the idle connection, or opens a new one if idle is nil. What the
// upstream says about itself on it is posted while the response is still being read.
func (t *task) connect(ctx context.Context, idle *upstream.Conn, u fleet.Upstream) (*upstream.Conn, error) {
	if idle != nil {
		return idle, nil
	}
	conn, err := upstream.Dial(ctx, u.Address)
	if err != nil {
		return nil, err
	}
	key := placement.KeyOf(u)
	conn.OnNotice = func(n placement.Notice) { t.post(noticeMessage{key: key, notice: n}) }
	return conn, nil
}

// startProbe sends a probe in a task of its own, which posts the result.
func (t *task) startProbe(effect placement.StartProbe) {
	key := placement.KeyOf(effect.Upstream)
	idle := t.takeIdleConn(key, func(*upstream.Conn) bool { return true })
	t.gateway.options.Metrics.GetOrCreateCounter("oriolepost_probes_total").Inc()
	go func() {
		conn, err := t.connect(t.ctx, idle, effect.Upstream)
		if err != nil {
			t.post(probeResultMessage{key: key, result: placement.ProbeResult{Failed: true}})
			return
		}
		result := conn.Probe(t.ctx, t.gateway.options.Names, effect.Upstream.ID, effect.Upstream.Address, effect.HealthPath)
		if !conn.Reusable() {
			_ = conn.Close()
		}
		t.post(probeResultMessage{key: key, result: result, conn: conn})
	}()
}

// startAttempt sends a request to an upstream in a task of its own, which posts
// the outcome.
func (t *task) startAttempt(effect placement.StartAttempt) {
	active := t.active[effect.Request]
	active.upstream, active.domain, active.basis = effect.Upstream.ID, effect.Upstream.Domain, effect.Basis
	key := placement.KeyOf(effect.Upstream)
	idle := t.takeIdleConn(key, func(c *upstream.Conn) bool { return c.Accepts(active.exchange.Request.ID) })
	ctx, cancel := context.WithCancel(t.ctx)
	t.cancels[effect.Attempt] = cancel
	t.gateway.options.Metrics.GetOrCreateCounter("oriolepost_attempts_total").Inc()
	r := active.exchange.Request
	request := upstream.Request{
		Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, ID: r.ID, Body: r.Body,
		Rest: r.Rest, Length: r.Length, HasBody: r.HasBody, Upstream: effect.Upstream.ID, Deadline: effect.Deadline,
		Budget: t.gateway.options.Budget,
	}
	go func() {
		ended := attemptEndedMessage{key: key, request: effect.Request, attempt: effect.Attempt, startedAt: time.Now()}
		conn, err := t.connect(ctx, idle, effect.Upstream)
		if err != nil {
			ended.outcome = placement.NotRun{Reason: placement.ReasonUnsent}
			t.post(ended)
			return
		}
		ended.response, ended.outcome = conn.Exchange(ctx, t.gateway.options.Names, request)
		if !conn.Reusable() && ended.response.Rest == nil {
			_ = conn.Close()
		}
		ended.conn = conn
		t.post(ended)
	}()
}
