// Package load makes calls as the users' callers do, checks every answer, and
// measures.
//
// The load is open-loop: arrival times are fixed in advance from a seed, and
// latency counts from the intended start, so a slow system can't slow its own
// measurement down. Each call has a body of its own, and the whole answer is
// compared with it. The tool plays the platform's balancer too: it sends calls
// only to instances that say that they are ready.
//
// A verdict compares what callers were told with what the servers recorded.
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
	// Caller takes calls.
	Caller string `json:"caller"`
	// Platform answers readiness; empty counts as always ready.
	Platform string `json:"platform"`
}

// Config describes a load.
type Config struct {
	Targets []Target
	// Services are the host names to call, drawn at random.
	Services []string
	// Rate is the number of calls a second, all services together.
	Rate float64
	// Duration is how long calls begin.
	Duration time.Duration
	// WriteShare is the share of calls that are not idempotent.
	WriteShare float64
	// KeyedShare is the share of those that carry an idempotency key.
	KeyedShare float64
	// ResendShare is the share of keyed calls that are sent twice at once,
	// through two instances.
	ResendShare float64
	// BodyBytes is the mean size of a body.
	BodyBytes int
	// Deadline is what callers wait for.
	Deadline time.Duration
	// Distance is the way from the callers to the instances, one way.
	Distance time.Duration
	Seed     uint64
	// HistoryFile gets the calls as JSON lines; empty keeps them in memory.
	HistoryFile string
	// Progress gets the number of calls that ended, every second.
	Progress func(ended int)
}

// Call is the history of one call.
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
	// Wrong is true when the answer was not the whole answer to this call.
	Wrong bool `json:"wrong,omitempty"`
	// Late is true when the call began over 5 ms after its time.
	Late bool `json:"late,omitempty"`
	// Replayed is true when the answer was played back.
	Replayed bool `json:"replayed,omitempty"`
}

// Report sums up a load.
type Report struct {
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Errors counts answers with a status of 500 or more from a server.
	Errors int `json:"errors"`
	// Misdelivered counts answers that were not the call's own whole answer.
	Misdelivered int            `json:"misdelivered"`
	Reasons      map[string]int `json:"reasons,omitempty"`
	P50MS        float64        `json:"p50_ms"`
	P99MS        float64        `json:"p99_ms"`
	P999MS       float64        `json:"p999_ms"`
	MaxMS        float64        `json:"max_ms"`
	// PlainP99MS and KeyedP99MS tell calls without and with a key apart.
	PlainP99MS float64 `json:"plain_p99_ms"`
	KeyedP50MS float64 `json:"keyed_p50_ms"`
	KeyedP99MS float64 `json:"keyed_p99_ms"`
	// LateStarts counts calls that began over 5 ms after their time, because
	// the machine was busy.
	LateStarts int    `json:"late_starts"`
	History    []Call `json:"-"`
	// Plain and Keyed hold the latencies of answered calls in microseconds.
	Plain *hdrhistogram.Histogram `json:"-"`
	Keyed *hdrhistogram.Histogram `json:"-"`
}

const (
	// maxLatencyUS and digits set the range of the histograms.
	maxLatencyUS = 120_000_000
	digits       = 3
	// lateStart is when a start counts as late.
	lateStart = 5 * time.Millisecond
	filePerm  = 0o600
)

// plan is one call that is to be made.
type plan struct {
	call   Call
	at     time.Duration
	body   []byte
	resend bool
	target int
	late   bool
}

// Run makes the calls and waits until the last has ended.
func Run(ctx context.Context, c Config) (r Report, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load: %w", err)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	b := newBalancer(ctx, c.Targets)
	if err := b.waitReady(ctx); err != nil {
		return Report{}, err
	}
	ends := make(chan Call, 1024)
	started := make(chan int, 1)
	begin := time.Now()
	go dispatch(ctx, c, b, begin, ends, started)
	r = collect(c, ends, started)
	b.client.CloseIdleConnections()
	return r, r.write(c.HistoryFile)
}

// dispatch starts every call at its time.
func dispatch(ctx context.Context, c Config, b *balancer, begin time.Time, ends chan<- Call, started chan<- int) {
	random := rand.New(rand.NewPCG(c.Seed, 2))
	at := time.Duration(0)
	n, calls := 0, 0
	for ; ; n++ {
		at += time.Duration(random.ExpFloat64() / c.Rate * float64(time.Second))
		if at >= c.Duration {
			break
		}
		if !sleepUntil(ctx, begin.Add(at)) {
			break
		}
		p := c.plan(n, at, random)
		p.late = time.Since(begin) > at+lateStart
		calls++
		go func() { ends <- b.send(ctx, c, p, begin, 0) }()
		if p.resend {
			calls++
			go func() { ends <- b.send(ctx, c, p, begin, 1) }()
		}
	}
	started <- calls
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return timer.Pause(ctx, time.Until(at))
}

// plan draws a call. Its body begins with its identity, and no two are alike.
func (c Config) plan(n int, at time.Duration, random *rand.Rand) plan {
	id := fmt.Sprintf("%d-%d", c.Seed, n)
	p := plan{at: at, target: n, call: Call{
		ID: id, Service: c.Services[random.IntN(len(c.Services))], Method: "GET", StartUS: at.Microseconds(),
	}}
	if random.Float64() >= c.WriteShare {
		return p
	}
	p.call.Method = "POST"
	p.body = make([]byte, len(id)+1+random.IntN(2*max(1, c.BodyBytes)))
	for i := range p.body {
		p.body[i] = byte('a' + (n+i*7)%26)
	}
	copy(p.body, id+" ")
	if random.Float64() < c.KeyedShare {
		p.call.Key = "key-" + id
		p.resend = random.Float64() < c.ResendShare
	}
	return p
}

// collect gathers the ends of the calls.
func collect(c Config, ends <-chan Call, started <-chan int) Report {
	r := Report{
		Reasons: map[string]int{},
		Plain:   hdrhistogram.New(1, maxLatencyUS, digits),
		Keyed:   hdrhistogram.New(1, maxLatencyUS, digits),
	}
	expected := -1
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for expected < 0 || r.Calls < expected {
		select {
		case expected = <-started:
		case e := <-ends:
			r.add(e)
		case <-ticker.C:
			if c.Progress != nil {
				c.Progress(r.Calls)
			}
		}
	}
	r.PlainP99MS = quantile(r.Plain, 99)
	r.KeyedP50MS = quantile(r.Keyed, 50)
	r.KeyedP99MS = quantile(r.Keyed, 99)
	all := hdrhistogram.Import(r.Plain.Export())
	all.Merge(r.Keyed)
	r.P50MS = quantile(all, 50)
	r.P99MS = quantile(all, 99)
	r.P999MS = quantile(all, 99.9)
	r.MaxMS = quantile(all, 100)
	return r
}

func (r *Report) add(c Call) {
	r.Calls++
	r.History = append(r.History, c)
	if c.Reason != "" {
		r.Reasons[c.Reason]++
	}
	if c.Late {
		r.LateStarts++
	}
	switch c.Outcome {
	case "answered":
		r.Answered++
		h := r.Plain
		if c.Key != "" {
			h = r.Keyed
		}
		_ = h.RecordValue(max(1, c.EndUS-c.StartUS))
	case "not_run":
		r.NotRun++
	default:
		r.Unknown++
	}
	if c.Outcome == "answered" && c.Status >= 500 {
		r.Errors++
	}
	if c.Wrong {
		r.Misdelivered++
	}
}

// quantile gives a quantile of a histogram of microseconds in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (r *Report) write(file string) (err error) {
	if file == "" {
		return nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, filePerm)
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
