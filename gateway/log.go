package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/telemetry"
)

// note remembers the end of an attempt for the line of its request.
func (t *task) note(m attemptMail) {
	w := t.exchanges[m.request]
	if w == nil {
		return
	}
	text := outcomeName(m.outcome)
	switch o := m.outcome.(type) {
	case placement.Answered:
		text += " " + strconv.Itoa(m.answer.Status)
	case placement.NotRun:
		text += " " + string(o.Reason)
	case placement.Unknown:
		text += " " + string(o.Reason)
	}
	w.tries = append(w.tries, fmt.Sprintf("%s after %d ms: %s", m.key.ID, time.Since(m.began).Milliseconds(), text))
}

// logFinished writes the one line that joins the decisions on a request.
func (t *task) logFinished(w *work, e placement.Finish, status int, reason string) {
	g := t.gateway
	took := time.Since(w.request.Arrived)
	g.options.Metrics.GetOrCreateCounter(fmt.Sprintf(`oriolepost_requests_total{outcome=%q,status="%d"}`, outcomeName(e.Outcome), status)).Inc()
	g.options.Metrics.GetOrCreateHistogram("oriolepost_request_seconds").Update(took.Seconds())
	_, served := e.Outcome.(placement.Answered)
	g.options.Log.WithFields(log.Fields{
		telemetry.OrdinaryField: served && status < http.StatusInternalServerError,
		"request_id":            w.exchange.Request.ID, "route": w.request.Route.Name, "service": w.request.Service,
		"version": g.version(), "status": status, "outcome": outcomeName(e.Outcome), "reason": reason,
		"took_ms": took.Milliseconds(), "patience_ms": w.exchange.Request.Patience.Milliseconds(), "left_ms": time.Until(w.request.Deadline).Milliseconds(), "attempts": e.Attempts,
		"upstream": w.upstream, "upstream_domain": w.domain, "load_age_ms": w.basis.Age.Milliseconds(), "cost": w.basis.Cost,
		"known_upstreams": w.basis.Candidates, "open_upstreams": e.Open, "room": e.Room, "load": w.basis.Load, "waited_ms": w.basis.Waited.Milliseconds(),
		"tries": strings.Join(w.tries, "; "), "touch_age_ms": g.touchAge().Milliseconds(),
	}).Info("request finished")
}

func (t *task) logLeft(w *work) {
	if w == nil {
		return
	}
	t.gateway.options.Metrics.GetOrCreateCounter(`oriolepost_requests_total{outcome="left",status="0"}`).Inc()
	t.gateway.options.Log.WithFields(log.Fields{
		"request_id": w.exchange.Request.ID, "route": w.request.Route.Name, "upstream": w.upstream,
		"took_ms": time.Since(w.request.Arrived).Milliseconds(), "outcome": "left",
	}).Info("caller left")
}

func outcomeName(o placement.Outcome) string {
	switch o.(type) {
	case placement.Answered:
		return "answered"
	case placement.NotRun:
		return "not_run"
	case placement.Unknown:
		return "unknown"
	}
	return "unknown"
}
