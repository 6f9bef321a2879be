package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oriolepost/oriolepost/caller"
	"github.com/oriolepost/oriolepost/standin"
)

const (
	// readyEvery is the pause between two looks at an instance's readiness.
	readyEvery = 200 * time.Millisecond
	// readyTimeout bounds one look.
	readyTimeout = 150 * time.Millisecond
	// startTimeout bounds the wait for the first ready instance.
	startTimeout = 30 * time.Second
	// clientConnections bounds the idle connections to one instance.
	clientConnections = 512
	// patience is how much longer than its deadline a caller waits.
	patience = 2 * time.Second
)

// balancer spreads calls over the ready instances, as the platform does.
type balancer struct {
	targets []Target
	ready   []atomic.Bool
	client  *http.Client
}

func newBalancer(ctx context.Context, targets []Target) *balancer {
	b := &balancer{
		targets: targets, ready: make([]atomic.Bool, len(targets)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: clientConnections, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
	for i := range targets {
		go b.watch(ctx, i)
	}
	return b
}

func (b *balancer) watch(ctx context.Context, i int) {
	ticker := time.NewTicker(readyEvery)
	defer ticker.Stop()
	for {
		b.ready[i].Store(b.look(ctx, i))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) look(ctx context.Context, i int) bool {
	if b.targets[i].Platform == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.targets[i].Platform+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

func (b *balancer) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		for i := range b.ready {
			if b.ready[i].Load() {
				return nil
			}
		}
		if !sleepUntil(ctx, time.Now().Add(readyEvery/4)) {
			return errors.New("no instance became ready")
		}
	}
}

// pick finds the next ready instance; offset gives another one to a resend.
func (b *balancer) pick(turn, offset int) Target {
	n := len(b.targets)
	for i := range n {
		j := (turn + i) % n
		if !b.ready[j].Load() {
			continue
		}
		if offset == 0 {
			return b.targets[j]
		}
		offset--
	}
	return b.targets[turn%n]
}

// send makes one call and says what became of it.
func (b *balancer) send(ctx context.Context, c Config, p plan, begin time.Time, offset int) Call {
	e := p.call
	e.Late = p.late
	if c.Distance > 0 {
		sleepUntil(ctx, begin.Add(p.at+c.Distance))
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline+patience)
	defer cancel()
	b.exchange(ctx, c, p, offset, &e)
	e.EndUS = (time.Since(begin) + c.Distance).Microseconds()
	return e
}

func (b *balancer) exchange(ctx context.Context, c Config, p plan, offset int, e *Call) {
	target := b.pick(p.target, offset)
	// The library repeats some calls silently, so an error of its last dial
	// does not tell that nothing was sent.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	r, err := http.NewRequestWithContext(ctx, p.call.Method, "http://"+target.Caller+"/"+p.call.ID, bytes.NewReader(p.body))
	if err != nil {
		e.Outcome, e.Reason = "not_run", "malformed"
		return
	}
	r.Host = p.call.Service
	r.Header.Set(standin.HeaderCall, p.call.ID)
	r.Header.Set(caller.HeaderDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if p.call.Key != "" {
		r.Header.Set(caller.HeaderKey, p.call.Key)
	}
	response, err := b.client.Do(r)
	if err != nil {
		e.Outcome, e.Reason = clientOutcome(err, sent.Load())
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	e.Status = response.StatusCode
	if err != nil {
		e.Outcome, e.Reason = "unknown", "answer_cut"
		return
	}
	e.judge(response, body, p)
}

// clientOutcome tells a refused connection, after which nothing ran, from
// everything else.
func clientOutcome(err error, sent bool) (outcome, reason string) {
	var op *net.OpError
	if !sent && errors.As(err, &op) && op.Op == "dial" {
		return "not_run", "instance_unreachable"
	}
	return "unknown", "instance_lost"
}

// judge reads the outcome and checks the whole answer.
func (e *Call) judge(r *http.Response, body []byte, p plan) {
	e.Outcome = r.Header.Get(caller.HeaderOutcome)
	e.Replayed = r.Header.Get(caller.HeaderReplayed) != ""
	if e.Outcome == "" {
		// The call went to a stand-in directly.
		e.Outcome = "answered"
	}
	if e.Outcome != "answered" {
		var problem caller.Problem
		if json.Unmarshal(body, &problem) != nil || problem.Status != r.StatusCode {
			e.Wrong = true
		}
		e.Reason = string(problem.Reason)
		return
	}
	if r.StatusCode != http.StatusOK {
		return
	}
	e.Wrong = !bytes.Equal(body, p.body) || r.Header.Get(standin.HeaderCall) != p.call.ID
}
