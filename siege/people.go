package siege

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oriolepost/oriolepost/platform"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/timer"
)

const (
	soakService = "booking"
	soakHost    = "booking.example"
	healthPath  = "/health"
	// patience is how long callers wait.
	patience = 1500 * time.Millisecond
	// coldRate, and the factor and slack of the settings, bound a cold upstream.
	coldRate   = 6
	coldFactor = 1.5
	coldSlack  = 5
	// operatorPause is the mean pause of an operator between two changes.
	operatorPause = 700 * time.Millisecond
	// operatorTries is how often an operator sends a change that gets no clear
	// answer.
	operatorTries = 4
)

// configuration is the configuration under a version: the routes of the
// callers, and one that only this version has.
func configuration(version uint64) route.Configuration {
	parts := []route.Part{{Service: soakService, Weight: 1}}
	r := func(name, prefix string, idempotent bool) route.Route {
		return route.Route{
			Name: name, Host: soakHost, Prefix: prefix, Idempotent: idempotent, MaxAttempts: 2,
			Objective: 300 * time.Millisecond, Timeout: 1200 * time.Millisecond, Parts: parts,
		}
	}
	v := strconv.FormatUint(version, 10)
	return route.Configuration{
		Version:  version,
		Routes:   []route.Route{r("view", "/view/", true), r("book", "/book/", false), r("v"+v, "/v"+v+"/", true)},
		Services: []route.Service{{Name: soakService, HealthPath: healthPath, MaxConnections: 240, ColdTime: coldTime, ColdRate: coldRate}},
		Limits:   route.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// caller is a task that asks one request after the other, on connections that
// stay open while they can.
type caller struct {
	name    string
	entries []string
	fronts  []string
	witness *witness
	pause   time.Duration
}

func (c caller) run(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c.ask(ctx, transport, fmt.Sprintf("%s-%d", c.name, n))
		timer.Pause(ctx, time.Duration(rand.Float64()*2*float64(c.pause)))
	}
}

// ask sends one request, and reports whether it was served.
func (c caller) ask(ctx context.Context, transport *http.Transport, id string) bool {
	i := rand.IntN(len(c.entries))
	a := Asked{ID: id, Entry: c.entries[i], Path: "/view/" + id, Idempotent: true}
	method := http.MethodGet
	if rand.Float64() < 0.6 {
		a.Path, a.Body, a.Idempotent, method = "/book/"+id, "body of "+id, false, http.MethodPost
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.fronts[i]+a.Path, strings.NewReader(a.Body))
	if err != nil {
		c.witness.tell(Exited{Name: c.name, Reason: err.Error()})
		return false
	}
	names := platform.HeaderNames()
	r.Host = soakHost
	r.Header.Set(names.RequestID, id)
	r.Header.Set(names.Deadline, strconv.FormatInt(patience.Milliseconds(), 10))
	c.witness.tell(a)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	c.witness.tell(Told{ID: id, Status: response.StatusCode, Body: string(body), Signature: response.Header.Get(names.Signature)})
	return response.StatusCode < 300
}

// operator is a task that puts configurations in force and reads them. Each
// operator has the versions that leave a rest of its own.
type operator struct {
	control     []string
	witness     *witness
	first, step uint64
}

func (o operator) run(ctx context.Context) {
	for v := o.first; ctx.Err() == nil; v += o.step {
		o.change(ctx, v)
		o.read(ctx)
		timer.Pause(ctx, time.Duration(rand.Float64()*2*float64(operatorPause)))
	}
}

// change sends a configuration until it is acknowledged.
func (o operator) change(ctx context.Context, version uint64) bool {
	c, err := platform.ConfigureCall(configuration(version))
	if err != nil {
		o.witness.tell(Exited{Name: "operator", Reason: err.Error()})
		return false
	}
	for range operatorTries {
		status, _, err := call(ctx, o.control[rand.IntN(len(o.control))], c, ackTime)
		if err == nil && status < 300 {
			o.witness.tell(Acknowledged{Version: version, At: o.witness.now()})
			return true
		}
		if err == nil && status < 500 {
			o.witness.tell(Exited{Name: "operator", Reason: fmt.Sprintf("version %d was refused with %d", version, status)})
			return false
		}
	}
	return false
}

// read reads the configuration and reports whether it came.
func (o operator) read(ctx context.Context) bool {
	began := o.witness.now()
	status, body, err := call(ctx, o.control[rand.IntN(len(o.control))], platform.ReadCall(), ackTime)
	if err != nil || status >= 300 {
		return false
	}
	c, err := platform.DecodeConfiguration(body)
	if err != nil {
		o.witness.tell(Exited{Name: "operator", Reason: "read: " + err.Error()})
		return false
	}
	o.witness.tell(Read{Version: c.Version, Began: began})
	return true
}
