package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/allowance"
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/quarantine"
	"github.com/oriolepost/oriolepost/rollout"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/script"
)

const retryWindow = 10 * time.Second

// steps tests the decisions of one entry. The test file lists all its events,
// and after each event the effects that must follow.
type steps struct {
	state *placement.State
	now   time.Time
	// unansweredProbes holds the ids of the upstreams whose probes answer_probes
	// has not answered yet.
	unansweredProbes []string
	// attempts holds the incarnation to which each attempt was sent.
	attempts map[placement.AttemptID]placement.Key
	// sent holds the content and the start of each attempt.
	sent     map[placement.AttemptID]quarantine.Crashed
	contents map[placement.RequestID]quarantine.Fingerprint
}

var _ = script.Describe("steps", "testdata/steps/*.txt", func() script.Handler {
	s := &steps{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	s.restart(false)
	return s.run
})

// restart replaces the entry by one that knows nothing.
func (s *steps) restart(pooled bool) {
	s.attempts = map[placement.AttemptID]placement.Key{}
	s.sent, s.contents = map[placement.AttemptID]quarantine.Crashed{}, map[placement.RequestID]quarantine.Fingerprint{}
	s.unansweredProbes = nil
	s.state = placement.New(placement.Config{
		Name: "e1", Domain: "palermo", RetryRatio: 0.2, RetryWindow: retryWindow, RetrySlack: 80, ColdFactor: 1.5, ColdSlack: 5,
		PooledRetries: pooled,
	}, rand.New(rand.NewPCG(1, 1)))
	s.state.Quarantine = quarantine.NewHolder()
}

// wantRetry replaces the entry by one that has just started, with a number of requests that
// were refused and one whose first attempt has failed.
func (s *steps) wantRetry(c script.Case) string {
	s.restart(true)
	text := "view upstreams=a/palermo,b/palermo full\n----\n\nentry_index first\n----\n\n"
	text += strings.Repeat("request id=2 deadline=0\n----\n\n", c.Int("refused", 0)) + "request idempotent\n----\n\n"
	text += "probe_result upstream=a\n----\n\nprobe_result upstream=b\n----\n\nattempt_end failed\n----\n"
	cases, err := script.Parse(text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	last := ""
	for _, c := range cases {
		last = s.run(c)
	}
	return last
}

func (s *steps) run(c script.Case) string {
	s.now = s.now.Add(time.Duration(c.Int("after", 0)) * time.Millisecond)
	switch c.Command {
	case "view":
		return s.view(c)
	case "entry_index":
		position := placement.PositionReported{Index: c.Int("index", 0), Count: c.Int("count", 1)}
		if !c.Bool("first") {
			// The entry has known its position for a retry window.
			s.state.Step(s.now.Add(-retryWindow), position)
		}
		return s.step(position)
	case "request":
		return s.request(c)
	case "probed_request":
		probes := s.request(c)
		return strings.TrimSpace(probes + "\n" + s.answerProbes(c))
	case "probe_result":
		key := placement.Key{ID: c.Args["upstream"], BornMS: int64(c.Int("born", 1))}
		return s.stepAfterNotice(c, key, placement.ProbeResult{
			Upstream: key, Failed: c.Bool("failed"), Healthy: !c.Bool("unhealthy"),
			Cold:  time.Duration(c.Int("cold", 0)) * time.Millisecond,
			Load:  placement.Load{Running: c.Int("running", 0), Slots: 6, Slowdown: c.Int("slowdown", 100), Known: !c.Bool("no_load")},
			Limit: limit(c),
		})
	case "answer_probes":
		return s.answerProbes(c)
	case "attempt_end":
		id := placement.AttemptID(c.Int("attempt", 1))
		if outcome, ok := attemptOutcome(c).(placement.Unknown); ok && outcome.Reason == placement.ReasonReset && s.sent[id].Fingerprint != "" {
			s.state.Quarantine.Step(s.now, s.sent[id])
		}
		return s.stepAfterNotice(c, s.attempts[id], placement.AttemptEnded{Attempt: id, Outcome: attemptOutcome(c), Limit: limit(c)})
	case "notice":
		return s.stepAfterNotice(c, placement.Key{ID: c.Args["upstream"], BornMS: 1}, nil)
	case "quarantined":
		f := quarantine.Fingerprint(c.Args["content"])
		for i := range int64(c.Int("crashes", quarantine.TotalLimit)) {
			s.state.Quarantine.Step(s.now, quarantine.Listed{Epoch: 1, Listings: []quarantine.Listing{{
				Fingerprint: f, Crashes: []quarantine.Crash{{Upstream: quarantine.Incarnation{ID: "elsewhere", StartMS: i}}},
			}}})
		}
		return s.step(placement.ContentQuarantined{Fingerprint: f})
	case "stop":
		return s.step(placement.StopBegan{Plan: placement.StopPlan{
			AcceptsUntil: s.now.Add(time.Duration(c.Int("accepts", 0)) * time.Millisecond),
			EndsAt:       s.now.Add(time.Duration(c.Int("ends", 0)) * time.Millisecond),
		}})
	case "caller_disconnected":
		return s.step(placement.CallerDisconnected{Request: placement.RequestID(c.Int("id", 1))})
	case "restart":
		s.restart(c.Bool("pooled"))
		return ""
	case "retry_wanted":
		return s.wantRetry(c)
	case "granted":
		return s.step(placement.AllowanceAnswered{Reply: allowance.Reply{Owner: "1", Items: []allowance.Grant{{
			Key: allowance.RetryKey("booking"), Tokens: c.Int("tokens", 0), LifetimeMS: 1000, AskAfterMS: int64(c.Int("ask_after", 0)),
		}}}})
	case "not_granted":
		return s.step(placement.AllowanceFailed{Unsupported: c.Bool("unsupported")})
	case "counts":
		return s.counts()
	case "tick":
		return s.step(placement.TimerExpired{})
	}
	return "unknown command"
}

func (s *steps) request(c script.Case) string {
	r := &route.Route{
		Name: "r", Idempotent: c.Bool("idempotent"), MaxAttempts: c.Int("attempts", 2), Objective: time.Second,
		Priority: c.Int("priority", 0), Services: []route.WeightedService{{Service: "booking", Weight: 1}},
	}
	s.contents[placement.RequestID(c.Int("id", 1))] = quarantine.Fingerprint(c.Args["content"])
	return s.step(placement.Arrived{Request: placement.Request{
		ID: placement.RequestID(c.Int("id", 1)), Route: r, Service: "booking", ArrivedAt: s.now,
		FirstTriedAt: s.now.Add(-time.Duration(c.Int("first_try_ago", 0)) * time.Millisecond),
		Deadline:     s.now.Add(time.Duration(c.Int("deadline", 2000)) * time.Millisecond),
		Fingerprint:  quarantine.Fingerprint(c.Args["content"]), Probe: c.Bool("probe"),
	}})
}

// answerProbes answers the probes that are under way, but not those that the
// answers cause.
func (s *steps) answerProbes(c script.Case) string {
	var lines []string
	ids := s.unansweredProbes
	s.unansweredProbes = nil
	for _, id := range ids {
		text := s.step(placement.ProbeResult{
			Upstream: placement.Key{ID: id, BornMS: 1}, Healthy: true,
			Load: placement.Load{Running: c.Int("running", 0), Slots: 6, Slowdown: c.Int("slowdown", 100), Known: true},
		})
		if text != "" {
			lines = append(lines, text)
		}
	}
	return strings.Join(lines, "\n")
}

func (s *steps) view(c script.Case) string {
	v := placement.ViewReceived{
		Full: c.Bool("full"), FleetComplete: c.Bool("full"), OutDomains: c.List("out"),
		Services: map[string]route.Service{"booking": {Name: "booking", HealthPath: "/health", ColdRate: 6}},
	}
	for _, text := range c.List("upstreams") {
		id, domain, _ := strings.Cut(text, "/")
		domain, cold, _ := strings.Cut(domain, "/")
		cold, born, restarted := strings.Cut(cold, "/")
		u := fleet.Upstream{ID: id, Service: cmp.Or(c.Args["service"], "booking"), Domain: domain, Slots: 6, StartMS: 1}
		if restarted {
			n, err := strconv.ParseInt(born, 10, 64)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			u.StartMS = n
		}
		if n, err := strconv.Atoi(cold); err == nil {
			u.ColdMS = int64(n)
		}
		u.Draining = cold == "draining"
		for _, version := range c.List("versions") {
			if of, name, _ := strings.Cut(version, ":"); of == id {
				u.Version = name
			}
		}
		v.Upstreams = append(v.Upstreams, u)
	}
	if c.Args["in_use"]+c.Args["target"] != "" {
		split := rollout.Split{Service: "booking", InUse: c.List("in_use"), Target: c.Args["target"], ID: uint64(c.Int("rollout", 0)), Halted: c.Bool("halted")}
		if share, ok := c.Args["share"]; ok {
			split.Share = number(share)
		}
		v.Splits = []rollout.Split{split}
	}
	return s.step(v)
}

// counts returns what the entry counted in roll-outs, without the response times.
func (s *steps) counts() string {
	var lines []string
	for _, report := range s.state.TakeCounts() {
		for _, i := range report.Items {
			lines = append(lines, fmt.Sprintf("rollout=%d halted=%v route=%s upstream=%s sent=%d answers=%d failures=%d", report.ID, report.Halted, i.Route, i.Upstream, i.Sent, i.Answers, i.Failures))
		}
	}
	return strings.Join(lines, "\n")
}

// stepAfterNotice reports what the upstream says about itself, if it does, and then an
// event, unless it is nil.
func (s *steps) stepAfterNotice(c script.Case, key placement.Key, e placement.Event) string {
	var lines []string
	if n := notice(c); n != (placement.Notice{}) {
		lines = append(lines, s.step(placement.NoticeReceived{Upstream: key, Notice: n}))
	}
	if e != nil {
		lines = append(lines, s.step(e))
	}
	return strings.Join(slices.DeleteFunc(lines, func(l string) bool { return l == "" }), "\n")
}

// notice returns what the upstream says about itself.
func notice(c script.Case) placement.Notice {
	n := placement.Notice{Leaving: c.Bool("leaving"), Limit: limit(c)}
	if text, ok := c.Args["rest"]; ok {
		n.RestAsked, n.RestText = true, text
		var err error
		if n.RestSeconds, err = strconv.ParseFloat(text, 64); err != nil {
			n.RestSeconds = math.NaN()
		}
	}
	return n
}

// limit returns what a response says about the upstream's limit.
func limit(c script.Case) placement.RateLimit {
	text, stated := c.Args["limit"]
	if !stated {
		return placement.RateLimit{}
	}
	return placement.RateLimit{Stated: true, PerSecond: number(text)}
}

func attemptOutcome(c script.Case) placement.Outcome {
	reason := placement.Reason(c.Args["reason"])
	switch c.Args["outcome"] {
	case "not_run":
		return placement.NotRun{Reason: reason, Sent: !c.Bool("unsent")}
	case "unknown":
		return placement.Unknown{Reason: reason}
	}
	return placement.Answered{Failed: c.Bool("failed")}
}

func (s *steps) step(e placement.Event) string {
	var lines []string
	for _, effect := range s.state.Step(s.now, e) {
		if p, ok := effect.(placement.StartProbe); ok {
			s.unansweredProbes = append(s.unansweredProbes, p.Upstream.ID)
		}
		if a, ok := effect.(placement.StartAttempt); ok {
			s.attempts[a.Attempt] = placement.KeyOf(a.Upstream)
			s.sent[a.Attempt] = quarantine.Crashed{
				Fingerprint: s.contents[a.Request], Upstream: quarantine.Incarnation{ID: a.Upstream.ID, StartMS: a.Upstream.StartMS}, SentAt: s.now,
			}
		}
		lines = append(lines, effectText(effect))
	}
	return strings.Join(lines, "\n")
}

func effectText(effect placement.Effect) string {
	switch e := effect.(type) {
	case placement.StartProbe:
		return "probe " + e.Upstream.ID
	case placement.StartAttempt:
		return fmt.Sprintf("start request=%d attempt=%d at %s repeat=%v", e.Request, e.Attempt, e.Upstream.ID, e.Repeat)
	case placement.AskAllowance:
		item := e.Report.Items[0]
		return fmt.Sprintf("ask %s wanted=%d held=%d spent=%d", item.Key, item.Wanted, item.Held, item.Spent)
	case placement.CancelAttempt:
		return fmt.Sprintf("cancel attempt=%d", e.Attempt)
	case placement.Finish:
		return fmt.Sprintf("finish request=%d %s", e.Request, outcomeText(e.Outcome))
	case placement.UpstreamRemoved:
		return "upstream_removed " + e.Upstream.ID
	case placement.UpstreamLeaving:
		return fmt.Sprintf("upstream_leaving %s born=%d", e.Upstream.ID, e.Upstream.BornMS)
	case placement.RestStarted:
		return fmt.Sprintf("rest_started %s length=%s valid=%v resting=%d/%d", e.Upstream.ID, e.Length, e.Valid, e.Resting, e.Known)
	case placement.LimitStarted:
		return fmt.Sprintf("limit_started %s per_second=%g quota=%d entries=%d limited=%d/%d", e.Upstream.ID, e.PerSecond, e.Quota, e.Entries, e.Limited, e.Known)
	case placement.LimitEnded:
		return fmt.Sprintf("limit_ended %s limited=%d/%d", e.Upstream.ID, e.Limited, e.Known)
	case placement.RestEnded:
		return fmt.Sprintf("rest_ended %s resting=%d/%d", e.Upstream.ID, e.Resting, e.Known)
	}
	return "unknown effect"
}

func outcomeText(o placement.Outcome) string {
	switch o := o.(type) {
	case placement.Answered:
		return "answered"
	case placement.NotRun:
		if o.Reason == placement.ReasonResting {
			return fmt.Sprintf("not_run %s retry_after=%s", o.Reason, o.RetryAfter.Round(time.Millisecond))
		}
		return fmt.Sprintf("not_run %s retry_after=%v", o.Reason, o.RetryAfter > 0)
	case placement.Unknown:
		return "unknown " + string(o.Reason)
	}
	return "unknown outcome"
}
