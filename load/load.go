// Package load is a load generator: it makes calls as the users' callers do, checks
// every response, and measures latencies.
//
// The load is open-loop. Arrival times are fixed in advance from a seed, and
// latency counts from the intended start, so that a slow system cannot slow down
// its own measurement. Each call that is not idempotent has a body of its own, and
// the whole response body is compared with it. The load generator also acts as the
// platform's balancer: it sends calls only to instances that report that they are
// ready.
//
// [Judge] compares the outcomes that callers received with the runs that the
// servers recorded.
//
// # Usage
//
//	r, err := load.Run(ctx, load.Config{Targets: targets, Services: names, Rate: 1000})
//	v := load.Judge(r.History, runs)
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oriolepost/oriolepost/timer"
)

// Target is one instance.
type Target struct {
	// Caller is the address that takes calls.
	Caller string `json:"caller"`
	// Platform is the address of the readiness check. If it is empty, the
	// instance counts as always ready.
	Platform string `json:"platform"`
}

// Config describes a load.
type Config struct {
	Targets []Target
	// Services are the host names to call. Each call draws one at random.
	Services []string
	// Rate is the number of calls per second to all services together.
	Rate float64
	// Duration is the time during which calls are started.
	Duration time.Duration
	// UntilFile extends the duration until this file exists and UntilAnswered calls have
	// been answered after that, so that a load spans events whose time depends on the
	// machine. It ends after maxExtension durations in any case.
	UntilFile     string
	UntilAnswered int
	// WriteShare is the share of calls that are not idempotent.
	WriteShare float64
	// KeyedShare is the share of non-idempotent calls that carry an idempotency
	// key.
	KeyedShare float64
	// ResendShare is the share of keyed calls that are sent twice at the same
	// time, through two instances.
	ResendShare float64
	// BodyBytes is the mean size of the body of a non-idempotent call, without the
	// call's ID at its start.
	BodyBytes int
	// Deadline is the time that a caller allows for its call. Each call carries
	// it.
	Deadline time.Duration
	// NetworkDelay is the one-way network delay from the callers to the instances.
	NetworkDelay time.Duration
	Seed         uint64
	// HistoryFile receives the calls as JSON lines. If it is empty, they are
	// kept in memory only.
	HistoryFile string
	// Progress is called every second with the number of calls that have ended.
	Progress func(ended int)
}

// Call is the record of one call.
type Call struct {
	ID      string `json:"call"`
	Service string `json:"service"`
	Method  string `json:"method"`
	Key     string `json:"key,omitempty"`
	// StartUS and EndUS count from the beginning of the load. StartUS is the
	// intended start.
	StartUS int64  `json:"start_us"`
	EndUS   int64  `json:"end_us"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Wrong is true if a response of status 200 did not have the body or the ID of
	// this call, or if a refusal had no valid problem document.
	Wrong bool `json:"wrong,omitempty"`
	// Late is true if the call was started over 5 ms after its intended start.
	Late bool `json:"late,omitempty"`
	// Replayed is true if a stored result was returned again.
	Replayed bool `json:"replayed,omitempty"`
}

// Report holds the results of a load.
type Report struct {
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Errors is the number of answered calls with a status of 500 or more.
	Errors int `json:"errors"`
	// Misdelivered is the number of responses that were not the complete response
	// to their call. See [Call.Wrong].
	Misdelivered int            `json:"misdelivered"`
	Reasons      map[string]int `json:"reasons,omitempty"`
	P50MS        float64        `json:"p50_ms"`
	P99MS        float64        `json:"p99_ms"`
	P999MS       float64        `json:"p999_ms"`
	MaxMS        float64        `json:"max_ms"`
	// PlainP99MS is for calls without an idempotency key, KeyedP50MS and
	// KeyedP99MS are for calls with one.
	PlainP99MS float64 `json:"plain_p99_ms"`
	KeyedP50MS float64 `json:"keyed_p50_ms"`
	KeyedP99MS float64 `json:"keyed_p99_ms"`
	// LateStarts is the number of calls that were started over 5 ms after their
	// intended start, because the machine was busy.
	LateStarts int    `json:"late_starts"`
	History    []Call `json:"-"`
	// Plain and Keyed hold the latencies of answered calls in microseconds.
	Plain *hdrhistogram.Histogram `json:"-"`
	Keyed *hdrhistogram.Histogram `json:"-"`
}

const (
	// maxLatencyUS and histogramDigits set the range and the precision of the
	// histograms.
	maxLatencyUS    = 120_000_000
	histogramDigits = 3
	// lateStartThreshold is the delay after which a start counts as late.
	lateStartThreshold = 5 * time.Millisecond
	// maxExtension limits a load with an UntilFile, as a multiple of its duration.
	maxExtension = 10
	// untilPollInterval is the interval of the checks whether that file exists.
	untilPollInterval = 50 * time.Millisecond
	historyFileMode   = 0o600
)

// plannedCall is a call that is to be made.
type plannedCall struct {
	call   Call
	at     time.Duration
	body   []byte
	resend bool
	target int
	late   bool
}

// Run makes the calls and returns when the last one has ended.
func Run(ctx context.Context, config Config) (report Report, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load: %w", err)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := newBalancer(ctx, config.Targets)
	if err := b.waitReady(ctx); err != nil {
		return Report{}, err
	}
	results := make(chan Call, 1024)
	started := make(chan int, 1)
	begin := time.Now()
	reached := make(chan struct{})
	go dispatch(ctx, config, b, begin, results, started, reached)
	report = collect(config, results, started, reached)
	b.client.CloseIdleConnections()
	return report, report.write(config.HistoryFile)
}

// dispatch starts every call at its intended time, until the duration is over and reached
// is closed.
func dispatch(ctx context.Context, config Config, b *balancer, begin time.Time, results chan<- Call, started chan<- int, reached <-chan struct{}) {
	random := rand.New(rand.NewPCG(config.Seed, 2))
	at := time.Duration(0)
	n, calls := 0, 0
	for ; ; n++ {
		at += time.Duration(random.ExpFloat64() / config.Rate * float64(time.Second))
		if at >= config.Duration && (isClosed(reached) || at >= maxExtension*config.Duration) {
			break
		}
		if !sleepUntil(ctx, begin.Add(at)) {
			break
		}
		planned := config.drawCall(n, at, random)
		planned.late = time.Since(begin) > at+lateStartThreshold
		calls++
		go func() { results <- b.send(ctx, config, planned, begin, 0) }()
		if planned.resend {
			calls++
			go func() { results <- b.send(ctx, config, planned, begin, 1) }()
		}
	}
	started <- calls
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return timer.Pause(ctx, time.Until(at))
}

// drawCall returns a random call. The body of a non-idempotent call begins with the
// call's ID, so that no two bodies are alike. Other calls have no body.
func (c Config) drawCall(sequence int, at time.Duration, random *rand.Rand) plannedCall {
	id := fmt.Sprintf("%d-%d", c.Seed, sequence)
	planned := plannedCall{at: at, target: sequence, call: Call{
		ID: id, Service: c.Services[random.IntN(len(c.Services))], Method: "GET", StartUS: at.Microseconds(),
	}}
	if random.Float64() >= c.WriteShare {
		return planned
	}
	planned.call.Method = "POST"
	planned.body = make([]byte, len(id)+1+random.IntN(2*max(1, c.BodyBytes)))
	for i := range planned.body {
		planned.body[i] = byte('a' + (sequence+i*7)%26)
	}
	copy(planned.body, id+" ")
	if random.Float64() < c.KeyedShare {
		planned.call.Key = "key-" + id
		planned.resend = random.Float64() < c.ResendShare
	}
	return planned
}

// collect adds up the results until every started call has ended. It closes reached when
// as many calls were answered as the load goes on for.
func collect(config Config, results <-chan Call, started <-chan int, reached chan<- struct{}) Report {
	report := Report{
		Reasons: map[string]int{},
		Plain:   hdrhistogram.New(1, maxLatencyUS, histogramDigits),
		Keyed:   hdrhistogram.New(1, maxLatencyUS, histogramDigits),
	}
	expected, wanted := -1, -1
	ticker, poll := time.NewTicker(time.Second), time.NewTicker(untilPollInterval)
	defer ticker.Stop()
	defer poll.Stop()
	if config.UntilFile == "" {
		poll.Stop()
		close(reached)
	}
	for expected < 0 || report.Calls < expected {
		select {
		case expected = <-started:
		case result := <-results:
			report.add(result)
		case <-poll.C:
			if _, err := os.Stat(config.UntilFile); err == nil && wanted < 0 {
				wanted = report.Answered + config.UntilAnswered
			}
			if wanted >= 0 && report.Answered >= wanted {
				poll.Stop()
				close(reached)
			}
		case <-ticker.C:
			if config.Progress != nil {
				config.Progress(report.Calls)
			}
		}
	}
	report.PlainP99MS = quantileMS(report.Plain, 99)
	report.KeyedP50MS = quantileMS(report.Keyed, 50)
	report.KeyedP99MS = quantileMS(report.Keyed, 99)
	all := hdrhistogram.Import(report.Plain.Export())
	all.Merge(report.Keyed)
	report.P50MS = quantileMS(all, 50)
	report.P99MS = quantileMS(all, 99)
	report.P999MS = quantileMS(all, 99.9)
	report.MaxMS = quantileMS(all, 100)
	return report
}

func (r *Report) add(call Call) {
	r.Calls++
	r.History = append(r.History, call)
	if call.Reason != "" {
		r.Reasons[call.Reason]++
	}
	if call.Late {
		r.LateStarts++
	}
	switch call.Outcome {
	case "answered":
		r.Answered++
		latencies := r.Plain
		if call.Key != "" {
			latencies = r.Keyed
		}
		_ = latencies.RecordValue(max(1, call.EndUS-call.StartUS))
	case "not_run":
		r.NotRun++
	default:
		r.Unknown++
	}
	if call.Outcome == "answered" && call.Status >= 500 {
		r.Errors++
	}
	if call.Wrong {
		r.Misdelivered++
	}
}

// quantileMS returns a quantile, in milliseconds, of a histogram in
// microseconds.
func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (r *Report) write(file string) (err error) {
	if file == "" {
		return nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, historyFileMode)
	if err != nil {
		return err
	}
	e := json.NewEncoder(f)
	for _, c := range r.History {
		if err := e.Encode(c); err != nil {
			return err
		}
	}
	return f.Close()
}
