package faultsoak

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
	serviceName = "booking"
	serviceHost = "booking.example"
	// softwareVersion is the version that all upstreams announce.
	softwareVersion = "v1"
	healthPath      = "/health"
	// callerTimeout is the time after which a caller abandons a request.
	callerTimeout = 1500 * time.Millisecond
	// coldRate is the number of requests a second to a cold upstream that its
	// service allows. With coldFactor and coldSlack from the settings, the limit
	// is coldRate*coldFactor + coldSlack requests a second.
	coldRate   = 6
	coldFactor = 1.5
	coldSlack  = 5
	// operatorThinkTime is the mean pause of an operator between two changes.
	operatorThinkTime = 700 * time.Millisecond
	// maxOperatorAttempts limits how often an operator sends a change while it
	// gets no response or a server error, which leave the result unknown.
	maxOperatorAttempts = 4
)

// configuration returns the configuration of a version. It has the routes that
// callers use, and one route that only this version has.
func configuration(version uint64) route.Configuration {
	parts := []route.WeightedService{{Service: serviceName, Weight: 1}}
	r := func(name, prefix string, idempotent bool) route.Route {
		return route.Route{
			Name: name, Host: serviceHost, Prefix: prefix, Idempotent: idempotent, MaxAttempts: 2,
			Objective: 300 * time.Millisecond, Timeout: 1200 * time.Millisecond, Services: parts,
		}
	}
	return route.Configuration{
		Version:  version,
		Routes:   []route.Route{r("view", "/view/", true), r("book", "/book/", false), r(fmt.Sprintf("v%d", version), versionPrefix(version), true)},
		Services: []route.Service{{Name: serviceName, HealthPath: healthPath, MaxConnections: 240, ColdTime: coldTime, ColdRate: coldRate}},
		Limits:   route.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// versionPrefix is the prefix of the route that only one version has.
func versionPrefix(version uint64) string { return fmt.Sprintf("/v%d/", version) }

// caller is a task that sends one request after the other to random entries, on
// persistent connections.
type caller struct {
	name string
	// entries are the names of the entries; relayAddresses has the address of
	// the relay of each, at the same index.
	entries        []string
	relayAddresses []string
	observer       *observer
	// thinkTime is the mean pause between the end of a request and the next request.
	thinkTime time.Duration
}

func (c caller) run(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c.send(ctx, transport, fmt.Sprintf("%s-%d", c.name, n))
		timer.Pause(ctx, time.Duration(rand.Float64()*2*float64(c.thinkTime)))
	}
}

// send sends one request to a random entry and reports whether it got a complete response with a
// status below 300. Responses with other statuses are recorded too.
func (c caller) send(ctx context.Context, transport *http.Transport, id string) bool {
	sent := RequestSent{ID: id, Path: "/view/" + id, Idempotent: true}
	if rand.Float64() < 0.6 {
		sent.Path, sent.Body, sent.Idempotent = "/book/"+id, "body of "+id, false
	}
	return c.sendTo(ctx, transport, rand.IntN(len(c.entries)), sent)
}

// sendTo is like send, but sends a given request to entry number i.
func (c caller) sendTo(ctx context.Context, transport *http.Transport, i int, sent RequestSent) bool {
	sent.Entry, sent.At = c.entries[i], c.observer.now()
	method := http.MethodGet
	if !sent.Idempotent {
		method = http.MethodPost
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.relayAddresses[i]+sent.Path, strings.NewReader(sent.Body))
	if err != nil {
		c.observer.record(Failure{Name: c.name, Reason: err.Error()})
		return false
	}
	names := platform.HeaderNames()
	request.Host = serviceHost
	request.Header.Set(names.RequestID, sent.ID)
	request.Header.Set(names.Deadline, strconv.FormatInt(callerTimeout.Milliseconds(), 10))
	c.observer.record(sent)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	c.observer.record(ResponseReceived{
		ID: sent.ID, Status: response.StatusCode, Body: string(body), Signature: response.Header.Get(names.Signature),
		Upstream: response.Header.Get(names.Upstream), At: c.observer.now(),
	})
	return response.StatusCode < 300
}

// operator is a task that changes and reads the configuration. Its versions are
// firstVersion, firstVersion+versionStep and so on. Operators with the same step
// never share a version if their first versions differ by less than the step.
type operator struct {
	controlAddresses          []string
	observer                  *observer
	firstVersion, versionStep uint64
}

func (o operator) run(ctx context.Context) {
	for v := o.firstVersion; ctx.Err() == nil; v += o.versionStep {
		o.applyVersion(ctx, v)
		o.readConfiguration(ctx)
		timer.Pause(ctx, time.Duration(rand.Float64()*2*float64(operatorThinkTime)))
	}
}

// applyVersion sends the configuration of a version to random control instances,
// in up to maxOperatorAttempts attempts. It reports whether the configuration was
// acknowledged.
func (o operator) applyVersion(ctx context.Context, version uint64) bool {
	request, err := platform.ConfigureCall(configuration(version))
	if err != nil {
		o.observer.record(Failure{Name: "operator", Reason: err.Error()})
		return false
	}
	for range maxOperatorAttempts {
		status, _, err := call(ctx, o.controlAddresses[rand.IntN(len(o.controlAddresses))], request, ackTimeout)
		if err == nil && status < 300 {
			o.observer.record(OrderAcknowledged{Version: version, At: o.observer.now()})
			return true
		}
		if err == nil && status < 500 {
			o.observer.record(Failure{Name: "operator", Reason: fmt.Sprintf("configuration version %d was refused with status %d", version, status)})
			return false
		}
	}
	return false
}

// readConfiguration reads the configuration once and reports whether it got it.
func (o operator) readConfiguration(ctx context.Context) bool {
	began := o.observer.now()
	status, body, err := call(ctx, o.controlAddresses[rand.IntN(len(o.controlAddresses))], platform.ReadCall(), ackTimeout)
	if err != nil || status >= 300 {
		return false
	}
	c, err := platform.DecodeConfiguration(body)
	if err != nil {
		o.observer.record(Failure{Name: "operator", Reason: "decode the configuration: " + err.Error()})
		return false
	}
	o.observer.record(ConfigurationRead{Version: c.Version, Began: began})
	return true
}
