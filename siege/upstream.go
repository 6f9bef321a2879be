package siege

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/platform"
	"github.com/oriolepost/oriolepost/timer"
)

const (
	slots         = 6
	workTime      = 15 * time.Millisecond
	announceEvery = 400 * time.Millisecond
	coldTime      = 1500 * time.Millisecond
	// ackTime is how long an upstream waits for an acknowledgement.
	ackTime = time.Second
	// goneTime is how long an upstream that leaves goes on serving.
	goneTime = 4 * time.Second
)

// behaviour is how an upstream treats requests. It never changes; whoever
// injects faults puts in another one.
type behaviour struct {
	// slow multiplies the work; loseShare and shedShare are the shares of
	// requests that run without an answer, or don't run.
	slow                 float64
	loseShare, shedShare float64
}

// upstream is one incarnation: a server and a task that announces it.
type upstream struct {
	info      fleet.Upstream
	relay     *relay
	behaviour atomic.Pointer[behaviour]
	coldUntil time.Time
	busy      chan struct{}
	witness   *witness
	control   []string
	leave     chan struct{}
	stop      context.CancelFunc
}

// startUpstream starts an upstream at an address, behind a relay at another.
func startUpstream(ctx context.Context, w *witness, id, domain, address, front string, control []string) (*upstream, error) {
	ctx, cancel := context.WithCancel(ctx)
	u := &upstream{
		info: fleet.Upstream{
			ID: id, Service: soakService, Address: front, Domain: domain, Slots: slots, BornMS: time.Now().UnixMilli(),
		},
		coldUntil: time.Now().Add(coldTime), busy: make(chan struct{}, slots), witness: w, control: control,
		leave: make(chan struct{}, 1), stop: cancel,
	}
	u.behaviour.Store(&behaviour{slow: 1})
	l, err := net.Listen("tcp", address)
	if err != nil {
		cancel()
		return nil, err
	}
	if u.relay, err = startRelay(ctx, front, address); err != nil {
		cancel()
		return nil, err
	}
	server := &http.Server{Handler: u, ReadHeaderTimeout: stopTime}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	go u.announce(ctx)
	return u, nil
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := platform.HeaderNames()
	h := w.Header()
	h.Set(names.Upstream, u.info.ID)
	h.Set(names.Load, fmt.Sprintf("%d,0,%d,100", len(u.busy), slots))
	cold := time.Until(u.coldUntil)
	if r.URL.Path == healthPath {
		if cold > 0 {
			h.Set(names.Cold, strconv.FormatInt(cold.Milliseconds(), 10))
		}
		return
	}
	id := r.Header.Get(names.RequestID)
	h.Set(names.RequestID, id)
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
	if rand.Float64() < b.shedShare {
		h.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.witness.tell(Ran{ID: id, Upstream: u.info.ID, Path: r.URL.Path, Body: string(body), Cold: cold > 0, At: u.witness.now()})
	u.work(w, r, id, b)
}

// work takes its time and answers, unless the caller leaves or the answer is
// lost.
func (u *upstream) work(w http.ResponseWriter, r *http.Request, id string, b *behaviour) {
	if !timer.Pause(r.Context(), time.Duration(b.slow*float64(workTime))) {
		return
	}
	if rand.Float64() < b.loseShare {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			abort(c)
		}
		return
	}
	w.Header().Set(platform.HeaderNames().Signature, signature(id))
	_, _ = io.WriteString(w, answerBody(id, r.URL.Path))
}

// announce announces the upstream until it has left.
func (u *upstream) announce(ctx context.Context) {
	for ctx.Err() == nil {
		u.say(ctx)
		select {
		case <-u.leave:
			u.info.Draining = true
		case <-time.After(announceEvery):
		case <-ctx.Done():
		}
	}
}

// say sends one announcement, to other instances until it is acknowledged.
func (u *upstream) say(ctx context.Context) {
	u.info.Sequence++
	u.info.ColdMS = max(0, time.Until(u.coldUntil).Milliseconds())
	c, err := platform.AnnounceCall(u.info)
	if err != nil {
		u.witness.tell(Exited{Name: u.info.ID, Reason: err.Error()})
		return
	}
	for _, i := range rand.Perm(len(u.control)) {
		status, _, err := call(ctx, u.control[i], c, ackTime)
		if err == nil && status < 300 {
			if u.info.Draining {
				u.witness.tell(Leaving{Upstream: u.info.ID, At: u.witness.now()})
			}
			return
		}
	}
}

// call sends a call of an operator or an upstream on a connection of its own.
func call(ctx context.Context, address string, c platform.Call, limit time.Duration) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return 0, nil, err
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}
