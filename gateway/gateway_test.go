package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/gateway"
	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/timer"
)

func TestGateway(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gateway")
}

// settleTime bounds how long a state may take to come.
const settleTime = 5 * time.Second

var names = header.Names{
	RequestID: "Request-Id", Deadline: "Deadline", Target: "Target", Signature: "Signature",
	NotRun: "Not-Run", Load: "Load", Cold: "Cold", Upstream: "Upstream",
}

// bench runs an entry, a control instance and upstreams on loopback.
type bench struct {
	folder    string
	port      int
	caller    string
	control   *control.Control
	entry     *gateway.Gateway
	cancels   []context.CancelFunc
	upstreams map[string]*fakeUpstream
	sequence  uint64
	answers   map[string]chan string
}

// fakeUpstream answers as the test file says.
type fakeUpstream struct {
	id       string
	address  string
	mode     atomic.Value
	requests atomic.Int64
	running  atomic.Int64
}

var quiet = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}

var _ = script.Describe("gateway", "testdata/*.txt", func() script.Handler {
	folder, err := os.MkdirTemp("", "oriolepost-gateway-")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b := &bench{
		folder: folder, port: freePort("127.0.8.1"), caller: fmt.Sprintf("127.0.8.2:%d", freePort("127.0.8.2")),
		upstreams: map[string]*fakeUpstream{}, answers: map[string]chan string{},
	}
	ginkgo.DeferCleanup(func() {
		for _, cancel := range b.cancels {
			cancel()
		}
		if b.control != nil {
			gomega.Eventually(b.control.Done, settleTime).Should(gomega.Receive())
		}
		gomega.Expect(os.RemoveAll(folder)).To(gomega.Succeed())
	})
	return b.run
})

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func (b *bench) run(c script.Case) string {
	switch c.Command {
	case "start":
		return b.start(c)
	case "stop":
		return b.stop(c)
	case "reseed":
		gomega.Expect(b.entry.Reseed(settings.Deployment{PeerPort: b.port, Seeds: c.List("seeds")})).To(gomega.Succeed())
		return ""
	case "configure":
		return b.order(record.PutConfiguration{Configuration: configuration(uint64(c.Int("version", 1))), Original: []byte("x")})
	case "upstream":
		return b.upstream(c)
	case "announce":
		return b.announce(c)
	case "ready":
		gomega.Eventually(b.entry.Ready, settleTime).Should(gomega.Equal(!c.Bool("not")))
		return ""
	case "request":
		return b.request(c)
	case "answer":
		return <-b.answers[c.Args["id"]]
	case "running":
		u := b.upstreams[c.Args["at"]]
		gomega.Eventually(u.running.Load, settleTime).Should(gomega.Equal(int64(c.Int("count", 0))))
		return ""
	case "wait":
		timer.Pause(context.Background(), time.Duration(c.Int("ms", 0))*time.Millisecond)
		return ""
	}
	return "unknown command"
}

func configuration(version uint64) route.Configuration {
	parts := []route.Part{{Service: "booking", Weight: 1}}
	return route.Configuration{
		Version:  version,
		Services: []route.Service{{Name: "booking", HealthPath: "/health"}},
		Routes: []route.Route{
			{Name: "view", Host: "booking", Prefix: "/view/", Idempotent: true, MaxAttempts: 2, Objective: time.Second, Timeout: 2 * time.Second, Parts: parts},
			{Name: "book", Host: "booking", Prefix: "/book/", MaxAttempts: 2, Objective: time.Second, Timeout: 2 * time.Second, Parts: parts},
		},
	}
}

func (b *bench) start(c script.Case) string {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancels = append(b.cancels, cancel)
	d := settings.Deployment{
		Instance: c.Args["role"], Domain: "palermo", IP: "127.0.8.1", PeerPort: b.port, Seeds: []string{"127.0.8.1:1"},
		DataFolder: filepath.Join(b.folder, "data"), FirstStart: true, Caller: b.caller,
		Bounds: settings.Bounds{Grace: 3 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60, ColdFactor: 1.5, ColdSlack: 5},
	}
	if seeds := c.List("seeds"); len(seeds) > 0 {
		d.Seeds = seeds
	}
	var err error
	if c.Args["role"] == "control" {
		b.control, err = control.Start(ctx, d, control.Options{Log: quiet, Metrics: metrics.NewSet()})
	} else {
		b.entry, err = gateway.Start(ctx, d, gateway.Options{Log: quiet, Metrics: metrics.NewSet(), Names: names})
	}
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return ""
}

// stop ends the control instance at once, or the entry gracefully.
func (b *bench) stop(c script.Case) string {
	if c.Args["role"] == "control" {
		b.cancels[0]()
		gomega.Eventually(b.control.Done, settleTime).Should(gomega.Receive())
		b.control = nil
		return ""
	}
	stopped := make(chan string, 1)
	b.answers["stop"] = stopped
	go func() { stopped <- fmt.Sprint(b.entry.Stop(context.Background())) }()
	return ""
}

func (b *bench) order(command record.Command) string {
	return b.call(peer.ProposeRequest{Command: command})
}

func (b *bench) call(r peer.Request) string {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if _, err := b.control.Call(ctx, r); err != nil {
		return err.Error()
	}
	return "acknowledged"
}

func (b *bench) upstream(c script.Case) string {
	id := c.Args["id"]
	u := b.upstreams[id]
	if u == nil {
		l, err := net.Listen("tcp", "127.0.8.3:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		u = &fakeUpstream{id: id, address: l.Addr().String()}
		b.upstreams[id] = u
		server := &http.Server{Handler: u, ReadHeaderTimeout: settleTime}
		go func() { _ = server.Serve(l) }()
		ginkgo.DeferCleanup(server.Close)
	}
	u.mode.Store(c.Args["mode"])
	return ""
}

// ServeHTTP implements http.Handler.
func (u *fakeUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Upstream", u.id)
	w.Header().Set("Load", fmt.Sprintf("%d,0,6,100", u.running.Load()))
	if r.URL.Path == "/health" {
		return
	}
	u.requests.Add(1)
	u.running.Add(1)
	defer u.running.Add(-1)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	switch u.mode.Load() {
	case "shed":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "reset":
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close()
		}
		return
	case "slow":
		select {
		case <-time.After(700 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Signature", "s")
	_, _ = io.WriteString(w, "from "+u.id)
}

func (b *bench) announce(c script.Case) string {
	b.sequence++
	u := b.upstreams[c.Args["id"]]
	return b.call(peer.AnnounceRequest{
		Upstream: fleet.Upstream{
			ID: u.id, Service: "booking", Address: u.address, Domain: "palermo", Slots: 6, BornMS: 1,
			Draining: c.Bool("draining"), ColdMS: int64(c.Int("cold", 0)),
		},
		Sequence: b.sequence,
	})
}

// request sends a request. With id it does not wait for the answer; with leave
// the caller goes away after so many milliseconds.
func (b *bench) request(c script.Case) string {
	ctx := context.Background()
	if ms := c.Int("leave", 0); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	r, err := http.NewRequestWithContext(ctx, c.Args["method"], "http://"+b.caller+c.Args["path"], http.NoBody)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "booking"
	r.Header.Set("Request-Id", "r"+c.Args["path"])
	r.Header.Set("Deadline", "2000")
	if id := c.Args["id"]; id != "" {
		answer := make(chan string, 1)
		b.answers[id] = answer
		go func() { answer <- b.do(r) }()
		return ""
	}
	before := map[string]int64{}
	for id, u := range b.upstreams {
		before[id] = u.requests.Load()
	}
	text := b.do(r)
	if c.Bool("count") {
		total := int64(0)
		for id, u := range b.upstreams {
			total += u.requests.Load() - before[id]
		}
		text += fmt.Sprintf(" after %d at upstreams", total)
	}
	return text
}

func (b *bench) do(r *http.Request) string {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "cut"
	}
	text := fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(body)))
	if response.Header.Get("Retry-After") != "" {
		text += " (come back)"
	}
	return text
}
