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
	"github.com/oriolepost/oriolepost/testserver"
)

const (
	// readyInterval is the interval between two readiness checks of an
	// instance.
	readyInterval = 200 * time.Millisecond
	// readyTimeout is the timeout of one readiness check.
	readyTimeout = 150 * time.Millisecond
	// startTimeout is the time to wait for the first ready instance.
	startTimeout = 30 * time.Second
	// maxIdleConnections is the maximum number of idle connections to one
	// instance.
	maxIdleConnections = 512
	// timeoutMargin is the time that a caller waits for the response after its
	// deadline.
	timeoutMargin = 2 * time.Second
)

// balancer spreads calls over the ready instances, as the platform's balancer
// does.
type balancer struct {
	targets []Target
	ready   []atomic.Bool
	client  *http.Client
}

func newBalancer(ctx context.Context, targets []Target) *balancer {
	b := &balancer{
		targets: targets, ready: make([]atomic.Bool, len(targets)),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		}},
	}
	for i := range targets {
		go b.pollReadiness(ctx, i)
	}
	return b
}

func (b *balancer) pollReadiness(ctx context.Context, i int) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		b.ready[i].Store(b.isReady(ctx, i))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) isReady(ctx context.Context, i int) bool {
	if b.targets[i].Platform == "" {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.targets[i].Platform+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
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
		if !sleepUntil(ctx, time.Now().Add(readyInterval/4)) {
			return errors.New("no instance became ready within 30 s, or the load was canceled before")
		}
	}
}

// pick returns the next ready instance, or the offset-th ready one after it, so
// that a resend goes through another instance. If too few instances are ready, it
// returns the one whose turn it is, ready or not.
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

// send makes one call and returns its outcome.
func (b *balancer) send(ctx context.Context, config Config, planned plannedCall, begin time.Time, offset int) Call {
	result := planned.call
	result.Late = planned.late
	if config.NetworkDelay > 0 {
		sleepUntil(ctx, begin.Add(planned.at+config.NetworkDelay))
	}
	ctx, cancel := context.WithTimeout(ctx, config.Deadline+timeoutMargin)
	defer cancel()
	b.exchange(ctx, config, planned, offset, &result)
	result.EndUS = (time.Since(begin) + config.NetworkDelay).Microseconds()
	return result
}

func (b *balancer) exchange(ctx context.Context, config Config, planned plannedCall, offset int, result *Call) {
	target := b.pick(planned.target, offset)
	// net/http retries some requests itself. A dial error of its last attempt
	// therefore does not prove that nothing was sent.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, planned.call.Method, "http://"+target.Caller+"/"+planned.call.ID, bytes.NewReader(planned.body))
	if err != nil {
		result.Outcome, result.Reason = "not_run", "malformed"
		return
	}
	request.Host = planned.call.Service
	request.Header.Set(testserver.HeaderCallID, planned.call.ID)
	request.Header.Set(caller.HeaderDeadline, strconv.FormatInt(config.Deadline.Milliseconds(), 10))
	if planned.call.Key != "" {
		request.Header.Set(caller.HeaderKey, planned.call.Key)
	}
	response, err := b.client.Do(request)
	if err != nil {
		result.Outcome, result.Reason = clientOutcome(err, sent.Load())
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	result.Status = response.StatusCode
	if err != nil {
		result.Outcome, result.Reason = "unknown", "answer_cut"
		return
	}
	result.checkResponse(response, body, planned)
}

// clientOutcome returns not_run if the connection could not be opened, because
// then nothing was sent. Any other error leaves the outcome unknown.
func clientOutcome(err error, sent bool) (outcome, reason string) {
	var opError *net.OpError
	if !sent && errors.As(err, &opError) && opError.Op == "dial" {
		return "not_run", "instance_unreachable"
	}
	return "unknown", "instance_lost"
}

// checkResponse sets the outcome from the response. It also checks that a response
// of status 200 is complete and belongs to this call, and that a refusal has a valid
// problem document.
func (c *Call) checkResponse(response *http.Response, body []byte, planned plannedCall) {
	c.Outcome = response.Header.Get(caller.HeaderOutcome)
	c.Replayed = response.Header.Get(caller.HeaderReplayed) != ""
	if c.Outcome == "" {
		// The call went to a test server directly.
		c.Outcome = "answered"
	}
	if c.Outcome != "answered" {
		var problem caller.Problem
		if json.Unmarshal(body, &problem) != nil || problem.Status != response.StatusCode {
			c.Wrong = true
		}
		c.Reason = string(problem.Reason)
		return
	}
	if response.StatusCode != http.StatusOK {
		return
	}
	c.Wrong = !bytes.Equal(body, planned.body) || response.Header.Get(testserver.HeaderCallID) != planned.call.ID
}
