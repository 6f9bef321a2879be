package faultsoak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/platform"
	"github.com/oriolepost/oriolepost/timer"
)

const (
	slots            = 6
	serviceTime      = 15 * time.Millisecond
	announceInterval = 400 * time.Millisecond
	coldTime         = 1500 * time.Millisecond
	// ackTimeout is how long an upstream or an operator waits for the response of
	// a control instance.
	ackTimeout = time.Second
	// servingAfterLeave is how long an upstream that deregisters still serves. It
	// exceeds drainLimit, so that requests that come too late are recorded.
	servingAfterLeave = 4 * time.Second
	// announceLeaveAfter is how late some of them announce it, which only their
	// responses tell until then.
	announceLeaveAfter = 3 * time.Second
	minRest            = 600 * time.Millisecond
	maxRest            = 2 * time.Second
)

// behaviour is how an upstream treats requests. A value is never modified; the
// fault injector stores a new one.
type behaviour struct {
	// slowdown multiplies the service time; 1 is nominal.
	slowdown float64
	// shedShare is the share of requests, from 0 to 1, that are refused with 503.
	// lostResponseShare is the share of the executed requests that get no response.
	lostResponseShare, shedShare float64
	// restShare is the share of requests that are refused with 503 and a Retry-After
	// from minRest to maxRest.
	restShare float64
	// limit is the number of requests a second that the responses name as the limit; zero
	// for none.
	limit float64
}

// upstream is one incarnation of an upstream: an HTTP server, and a task that
// announces it.
type upstream struct {
	info      fleet.Upstream
	relay     *relay
	behaviour atomic.Pointer[behaviour]
	coldUntil time.Time
	// leaving is true once the responses announce that the upstream leaves.
	leaving atomic.Bool
	// busy holds one element for each request in progress.
	busy             chan struct{}
	observer         *observer
	controlAddresses []string
	// crashed receives this upstream once a request has crashed it.
	crashed chan<- *upstream
	ended   atomic.Bool
	// leave tells the announcing task to deregister the upstream.
	leave chan struct{}
	stop  context.CancelFunc
}

// startUpstream starts an upstream at address, behind a relay at relayAddress. The
// upstream announces the address of the relay.
func startUpstream(ctx context.Context, o *observer, crashed chan<- *upstream, id, domain, address, relayAddress string, control []string) (*upstream, error) {
	ctx, cancel := context.WithCancel(ctx)
	u := &upstream{
		info: fleet.Upstream{
			ID: id, Service: serviceName, Version: softwareVersion, Address: relayAddress, Domain: domain, Slots: slots,
			StartMS: time.Now().UnixMilli(),
		},
		coldUntil: time.Now().Add(coldTime), busy: make(chan struct{}, slots), observer: o, controlAddresses: control,
		leave: make(chan struct{}, 1), stop: cancel, crashed: crashed,
	}
	u.behaviour.Store(&behaviour{slowdown: 1})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cancel()
		return nil, err
	}
	if u.relay, err = startRelay(ctx, relayAddress, address); err != nil {
		cancel()
		return nil, err
	}
	server := &http.Server{Handler: u, ReadHeaderTimeout: stopTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	go u.runAnnouncements(ctx)
	return u, nil
}

// ServeHTTP implements http.Handler. A request without a free slot is shed.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := platform.HeaderNames()
	header := w.Header()
	header.Set(names.Upstream, u.info.ID)
	// The load report: busy slots, queued requests, slots, and slowdown in percent.
	header.Set(names.Load, fmt.Sprintf("%d,0,%d,100", len(u.busy), slots))
	leaving := u.leaving.Load()
	if leaving {
		header.Set(names.Leaving, "1")
	}
	limit := u.behaviour.Load().limit
	if limit > 0 {
		header.Set(names.Limit, strconv.FormatFloat(limit, 'f', 1, 64))
	}
	cold := time.Until(u.coldUntil)
	if r.URL.Path == healthPath {
		if cold > 0 {
			header.Set(names.Cold, strconv.FormatInt(cold.Milliseconds(), 10))
		}
		return
	}
	id := r.Header.Get(names.RequestID)
	header.Set(names.RequestID, id)
	if target := r.Header.Get(names.Target); target != "" && target != u.info.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b := u.behaviour.Load()
	select {
	case u.busy <- struct{}{}:
		defer func() { <-u.busy }()
	default:
		b = &behaviour{shedShare: 1}
	}
	if resting := rand.Float64() < b.restShare; resting || rand.Float64() < b.shedShare {
		refused := RequestRefused{ID: id, Upstream: u.info.ID, Leaving: leaving, Limit: limit, At: u.observer.now()}
		if resting {
			refused.RetryAfter = minRest + time.Duration(rand.Float64()*float64(maxRest-minRest)).Truncate(time.Millisecond)
			header.Set("Retry-After", strconv.FormatFloat(refused.RetryAfter.Seconds(), 'f', 3, 64))
		}
		u.observer.record(refused)
		header.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.observer.record(RequestExecuted{ID: id, Upstream: u.info.ID, Path: r.URL.Path, Body: string(body), Cold: cold > 0, Leaving: leaving, Limit: limit, At: u.observer.now()})
	if strings.HasPrefix(r.URL.Path, deadlyPrefix) {
		u.crash(r.Context(), w)
		return
	}
	u.respond(w, r, id, b)
}

// crash ends the upstream with everything that it runs, after some time. It does not
// deregister. The connection is reset first, since a handler that returns sends a response.
func (u *upstream) crash(ctx context.Context, w http.ResponseWriter) {
	timer.Pause(ctx, time.Duration(rand.Float64()*float64(maxCrashDelay)))
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		abort(c)
	}
	if u.ended.CompareAndSwap(false, true) {
		u.stop()
		u.crashed <- u
	}
}

// respond waits for the service time and sends the response. It sends none if the
// client disconnects, and resets the connection if the response is to be lost.
func (u *upstream) respond(w http.ResponseWriter, r *http.Request, id string, b *behaviour) {
	if !timer.Pause(r.Context(), time.Duration(b.slowdown*float64(serviceTime))) {
		return
	}
	if rand.Float64() < b.lostResponseShare {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			abort(c)
		}
		return
	}
	w.Header().Set(platform.HeaderNames().Signature, signature(id))
	_, _ = io.WriteString(w, answerBody(id, r.URL.Path))
}

// runAnnouncements announces the upstream until the context ends. After a leave
// message the announcements say that the upstream is draining.
func (u *upstream) runAnnouncements(ctx context.Context) {
	for ctx.Err() == nil {
		u.sendAnnouncement(ctx)
		select {
		case <-u.leave:
			u.info.Draining = true
		case <-time.After(announceInterval):
		case <-ctx.Done():
		}
	}
}

// sendAnnouncement sends one announcement to the control instances, in random
// order, until one acknowledges it.
func (u *upstream) sendAnnouncement(ctx context.Context) {
	u.info.Sequence++
	u.info.ColdMS = max(0, time.Until(u.coldUntil).Milliseconds())
	announcement, err := platform.AnnounceCall(u.info)
	if err != nil {
		u.observer.record(Failure{Name: u.info.ID, Reason: err.Error()})
		return
	}
	for _, i := range rand.Perm(len(u.controlAddresses)) {
		status, _, err := call(ctx, u.controlAddresses[i], announcement, ackTimeout)
		if err == nil && status < 300 {
			if u.info.Draining {
				u.observer.record(LeaveAcknowledged{Upstream: u.info.ID, At: u.observer.now()})
			}
			return
		}
	}
}

// call sends a request to a control instance on a new connection and returns the
// status and the body of the response.
func call(ctx context.Context, address string, c platform.Call, timeout time.Duration) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return 0, nil, err
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}
