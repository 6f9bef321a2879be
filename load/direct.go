package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oriolepost/oriolepost/choice"
	"github.com/oriolepost/oriolepost/testserver"
)

// Direct describes calls that go to the servers without the load balancer. Each
// of several callers selects a server by the calls that it has in flight
// itself. This is the baseline for the load balancer's selection.
type Direct struct {
	Servers []string
	Service string
	Callers int
	Policy  choice.Policy
	Rate    float64
	// Duration is the time during which calls are started.
	Duration time.Duration
	Deadline time.Duration
	Seed     uint64
}

// DirectReport holds the results of a direct load.
type DirectReport struct {
	Calls int
	// Failed is the number of calls without a complete response of status 200.
	Failed               int
	P50MS, P99MS, P999MS float64
}

// directCaller is one caller, which knows only its own calls in flight.
type directCaller struct {
	inFlight  []atomic.Int64
	callCount uint64
}

// directResult is the result of one direct call.
type directResult struct {
	took      time.Duration
	succeeded bool
}

// RunDirect makes the calls and returns when the last one has ended.
func RunDirect(ctx context.Context, direct Direct) DirectReport {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}}
	random := rand.New(rand.NewPCG(direct.Seed, 4))
	callers := make([]*directCaller, direct.Callers)
	for i := range callers {
		callers[i] = &directCaller{inFlight: make([]atomic.Int64, len(direct.Servers))}
	}
	results := make(chan directResult, 1024)
	started := make(chan int, 1)
	begin := time.Now()
	go func() {
		callCount := 0
		for at := time.Duration(0); ; callCount++ {
			at += time.Duration(random.ExpFloat64() / direct.Rate * float64(time.Second))
			if at >= direct.Duration || !sleepUntil(ctx, begin.Add(at)) {
				break
			}
			caller := callers[callCount%len(callers)]
			server := caller.pick(direct.Policy, random)
			go func() { results <- caller.call(ctx, client, direct, server, begin.Add(at)) }()
		}
		started <- callCount
	}()
	report := collectDirect(results, started)
	client.CloseIdleConnections()
	return report
}

func collectDirect(results <-chan directResult, started <-chan int) DirectReport {
	var report DirectReport
	latencies := hdrhistogram.New(1, maxLatencyUS, histogramDigits)
	for expected := -1; expected < 0 || report.Calls < expected; {
		select {
		case expected = <-started:
		case result := <-results:
			report.Calls++
			if !result.succeeded {
				report.Failed++
				continue
			}
			_ = latencies.RecordValue(max(1, result.took.Microseconds()))
		}
	}
	report.P50MS, report.P99MS, report.P999MS = quantileMS(latencies, 50), quantileMS(latencies, 99), quantileMS(latencies, 99.9)
	return report
}

// pick selects a server and counts the call as in flight there. Only the
// dispatcher goroutine calls it.
func (c *directCaller) pick(policy choice.Policy, random *rand.Rand) int {
	c.callCount++
	if _, ok := policy.(choice.RoundRobin); ok {
		policy = choice.RoundRobin{Turn: c.callCount}
	}
	candidates := make([]choice.Candidate, len(c.inFlight))
	for i := range candidates {
		candidates[i].InFlight = int(c.inFlight[i].Load())
	}
	i := choice.Pick(policy, time.Time{}, candidates, random)
	c.inFlight[i].Add(1)
	return i
}

func (c *directCaller) call(ctx context.Context, client *http.Client, direct Direct, server int, at time.Time) directResult {
	defer c.inFlight[server].Add(-1)
	ctx, cancel := context.WithDeadline(ctx, at.Add(direct.Deadline))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+direct.Servers[server]+"/", nil)
	if err != nil {
		return directResult{}
	}
	request.Host = direct.Service
	request.Header.Set(testserver.HeaderCallID, "direct")
	response, err := client.Do(request)
	if err != nil {
		return directResult{}
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return directResult{took: time.Since(at), succeeded: err == nil && response.StatusCode == http.StatusOK}
}
