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
	"github.com/oriolepost/oriolepost/standin"
)

// Direct describes calls that go to the servers without the system: each of
// several callers chooses by what it sees itself. It is the baseline that the
// system's choice is measured against.
type Direct struct {
	Servers []string
	Service string
	Callers int
	Policy  choice.Policy
	Rate    float64
	// Duration is how long calls begin.
	Duration time.Duration
	Deadline time.Duration
	Seed     uint64
}

// DirectReport sums up a direct load.
type DirectReport struct {
	Calls int
	// Failed counts calls without a good answer.
	Failed               int
	P50MS, P99MS, P999MS float64
}

// directCaller is one caller with its own view of the servers.
type directCaller struct {
	inFlight []atomic.Int64
	turn     uint64
}

// directEnd is the end of one direct call.
type directEnd struct {
	took time.Duration
	good bool
}

// RunDirect makes the calls and waits until the last has ended.
func RunDirect(ctx context.Context, d Direct) DirectReport {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientConnections}}
	random := rand.New(rand.NewPCG(d.Seed, 4))
	callers := make([]*directCaller, d.Callers)
	for i := range callers {
		callers[i] = &directCaller{inFlight: make([]atomic.Int64, len(d.Servers))}
	}
	ends := make(chan directEnd, 1024)
	started := make(chan int, 1)
	begin := time.Now()
	go func() {
		n := 0
		for at := time.Duration(0); ; n++ {
			at += time.Duration(random.ExpFloat64() / d.Rate * float64(time.Second))
			if at >= d.Duration || !sleepUntil(ctx, begin.Add(at)) {
				break
			}
			c := callers[n%len(callers)]
			server := c.pick(d.Policy, random)
			go func() { ends <- c.call(ctx, client, d, server, begin.Add(at)) }()
		}
		started <- n
	}()
	r := collectDirect(ends, started)
	client.CloseIdleConnections()
	return r
}

func collectDirect(ends <-chan directEnd, started <-chan int) DirectReport {
	var r DirectReport
	h := hdrhistogram.New(1, maxLatencyUS, digits)
	for expected := -1; expected < 0 || r.Calls < expected; {
		select {
		case expected = <-started:
		case e := <-ends:
			r.Calls++
			if !e.good {
				r.Failed++
				continue
			}
			_ = h.RecordValue(max(1, e.took.Microseconds()))
		}
	}
	r.P50MS, r.P99MS, r.P999MS = quantile(h, 50), quantile(h, 99), quantile(h, 99.9)
	return r
}

// pick chooses a server and counts the call. Only the dispatcher calls it.
func (c *directCaller) pick(p choice.Policy, random *rand.Rand) int {
	c.turn++
	if _, ok := p.(choice.RoundRobin); ok {
		p = choice.RoundRobin{Turn: c.turn}
	}
	candidates := make([]choice.Candidate, len(c.inFlight))
	for i := range candidates {
		candidates[i].InFlight = int(c.inFlight[i].Load())
	}
	i := choice.Pick(p, time.Time{}, candidates, random)
	c.inFlight[i].Add(1)
	return i
}

func (c *directCaller) call(ctx context.Context, client *http.Client, d Direct, server int, at time.Time) directEnd {
	defer c.inFlight[server].Add(-1)
	ctx, cancel := context.WithDeadline(ctx, at.Add(d.Deadline))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Servers[server]+"/", nil)
	if err != nil {
		return directEnd{}
	}
	r.Host = d.Service
	r.Header.Set(standin.HeaderCall, "direct")
	response, err := client.Do(r)
	if err != nil {
		return directEnd{}
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return directEnd{took: time.Since(at), good: err == nil && response.StatusCode == http.StatusOK}
}
