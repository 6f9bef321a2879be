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

// recordAttempt adds a summary of an ended attempt to its request, for the log
// line of the request.
func (t *task) recordAttempt(ended attemptEndedMessage) {
	active := t.active[ended.request]
	if active == nil {
		return
	}
	text := outcomeName(ended.outcome)
	switch o := ended.outcome.(type) {
	case placement.Answered:
		text += " " + strconv.Itoa(ended.response.Status)
	case placement.NotRun:
		text += " " + string(o.Reason)
	case placement.Unknown:
		text += " " + string(o.Reason)
	}
	active.attemptSummaries = append(active.attemptSummaries, fmt.Sprintf("%s after %d ms: %s", ended.key.ID, time.Since(ended.startedAt).Milliseconds(), text))
}

// logFinished counts a finished request and writes its log line, which holds
// all decisions that were made for it.
func (t *task) logFinished(active *activeRequest, finish placement.Finish, status int, reason string) {
	gateway := t.gateway
	took := time.Since(active.request.ArrivedAt)
	gateway.options.Metrics.GetOrCreateCounter(fmt.Sprintf(`oriolepost_requests_total{outcome=%q,status="%d"}`, outcomeName(finish.Outcome), status)).Inc()
	gateway.options.Metrics.GetOrCreateHistogram("oriolepost_request_seconds").Update(took.Seconds())
	_, served := finish.Outcome.(placement.Answered)
	fields := log.Fields{
		telemetry.LowPriorityField: served && status < http.StatusInternalServerError,
		"request_id":               active.exchange.Request.ID, "route": active.request.Route.Name, "service": active.request.Service,
		"version": gateway.configurationVersion(), "status": status, "outcome": outcomeName(finish.Outcome), "reason": reason,
		"took_ms": took.Milliseconds(), "caller_timeout_ms": active.exchange.Request.CallerTimeout.Milliseconds(), "remaining_ms": time.Until(active.request.Deadline).Milliseconds(), "attempts": finish.AttemptsStarted,
		"upstream": active.upstream, "upstream_domain": active.domain, "load_age_ms": active.basis.LoadAge.Milliseconds(), "cost": active.basis.Cost,
		"known_upstreams": active.basis.Candidates, "eligible_upstreams": finish.EligibleUpstreams, "resting_upstreams": finish.RestingUpstreams, "leaving_upstreams": finish.LeavingUpstreams, "limited_upstreams": finish.LimitedUpstreams, "queue_length": finish.QueueLength, "load": active.basis.Load, "queue_time_ms": active.basis.Waited.Milliseconds(),
		"tries": strings.Join(active.attemptSummaries, "; "), "control_contact_age_ms": gateway.controlContactAge().Milliseconds(),
	}
	if active.request.Workspace != nil {
		fields["workspace"] = active.request.Workspace.Name
	}
	if reason == string(placement.ReasonQuarantined) {
		gateway.options.Metrics.GetOrCreateCounter("oriolepost_quarantine_refused_total").Inc()
	}
	if reason == string(placement.ReasonQuarantined) || reason == string(placement.ReasonReset) {
		fields["fingerprint"] = string(active.request.Fingerprint)
	}
	if stop := t.placement.Stop; !stop.EndsAt.IsZero() {
		fields["stop_remaining_ms"] = time.Until(stop.EndsAt).Milliseconds()
		fields["response_time_ms"] = finish.ResponseTime.Mean.Milliseconds()
		fields["response_deviation_ms"] = finish.ResponseTime.Deviation.Milliseconds()
	}
	gateway.options.Log.WithFields(fields).Info("request finished")
}

// logLeaving counts an upstream that has announced in a response that it leaves, and
// logs the change.
func (t *task) logLeaving(effect placement.UpstreamLeaving) {
	t.gateway.options.Metrics.GetOrCreateCounter("oriolepost_upstreams_leaving_total").Inc()
	t.gateway.options.Log.WithFields(log.Fields{
		"change": "upstream_leaving", "upstream": effect.Upstream.ID, "started_ms": effect.Upstream.BornMS, "service": effect.Service,
		"control_contact_age_ms": t.gateway.controlContactAge().Milliseconds(),
	}).Info("upstream announced that it leaves")
}

// countInvalidRest counts a response whose time of rest could not be used as it was sent.
func (t *task) countInvalidRest(n placement.Notice) {
	if _, valid := n.RestTime(); !valid {
		t.gateway.options.Metrics.GetOrCreateCounter("oriolepost_rests_invalid_total").Inc()
	}
}

// logRestStarted counts an upstream that has asked for rest, and logs the change.
func (t *task) logRestStarted(effect placement.RestStarted) {
	t.gateway.options.Metrics.GetOrCreateCounter("oriolepost_rests_total").Inc()
	t.setRestingRatio(effect.Service, effect.Resting, effect.Known)
	fields := log.Fields{
		"change": "upstream_rest", "to": "resting", "upstream": effect.Upstream.ID, "service": effect.Service,
		"length_ms": effect.Length.Milliseconds(), "resting_upstreams": effect.Resting, "known_upstreams": effect.Known,
	}
	if !effect.Valid {
		t.gateway.options.Log.WithFields(fields).WithField("sent", effect.Text).Warn("upstream asked for rest, for a time that was replaced or limited")
		return
	}
	t.gateway.options.Log.WithFields(fields).Info("upstream asked for rest")
}

func (t *task) logRestEnded(effect placement.RestEnded) {
	t.setRestingRatio(effect.Service, effect.Resting, effect.Known)
	t.gateway.options.Log.WithFields(log.Fields{
		"change": "upstream_rest", "to": "in_use", "upstream": effect.Upstream.ID, "service": effect.Service,
		"resting_upstreams": effect.Resting, "known_upstreams": effect.Known,
	}).Info("rest of upstream ended")
}

// setRestingRatio sets the ratio of a service's upstreams that are resting.
func (t *task) setRestingRatio(service string, resting, known int) {
	if service == "" {
		return
	}
	t.gateway.options.Metrics.GetOrCreateGauge(fmt.Sprintf("oriolepost_resting_upstreams_ratio{service=%q}", service), nil).Set(float64(resting) / float64(max(1, known)))
}

// logLimitStarted counts an upstream that has named a limit, and logs the change.
func (t *task) logLimitStarted(effect placement.LimitStarted) {
	t.gateway.options.Metrics.GetOrCreateCounter("oriolepost_upstream_limits_total").Inc()
	t.setLimitedRatio(effect.Service, effect.Limited, effect.Known)
	t.gateway.options.Log.WithFields(log.Fields{
		"change": "upstream_limit", "to": "limited", "upstream": effect.Upstream.ID, "service": effect.Service, "per_second": effect.PerSecond,
		"quota": effect.Quota, "entries": effect.Entries, "limited_upstreams": effect.Limited, "known_upstreams": effect.Known,
	}).Info("upstream named a limit")
}

func (t *task) logLimitEnded(effect placement.LimitEnded) {
	t.setLimitedRatio(effect.Service, effect.Limited, effect.Known)
	t.gateway.options.Log.WithFields(log.Fields{
		"change": "upstream_limit", "to": "unlimited", "upstream": effect.Upstream.ID, "service": effect.Service,
		"limited_upstreams": effect.Limited, "known_upstreams": effect.Known,
	}).Info("limit of upstream ended")
}

// setLimitedRatio sets the ratio of a service's upstreams that have named a limit.
func (t *task) setLimitedRatio(service string, limited, known int) {
	if service == "" {
		return
	}
	t.gateway.options.Metrics.GetOrCreateGauge(fmt.Sprintf("oriolepost_limited_upstreams_ratio{service=%q}", service), nil).Set(float64(limited) / float64(max(1, known)))
}

func (t *task) logDisconnected(active *activeRequest) {
	if active == nil {
		return
	}
	t.gateway.options.Metrics.GetOrCreateCounter(`oriolepost_requests_total{outcome="left",status="0"}`).Inc()
	t.gateway.options.Log.WithFields(log.Fields{
		"request_id": active.exchange.Request.ID, "route": active.request.Route.Name, "upstream": active.upstream,
		"took_ms": time.Since(active.request.ArrivedAt).Milliseconds(), "outcome": "left",
	}).Info("caller disconnected before the response")
}

// outcomeName returns the name of an outcome in logs and metrics.
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
