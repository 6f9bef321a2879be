package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
	"weak"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/admission"
	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/ingress"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/upstream"
	"github.com/oriolepost/oriolepost/workspace"
)

func TestIngress(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "ingress")
}

const (
	// eventTimeout is how long a case waits for its first event. quietPeriod is
	// the time without an event after which a case ends.
	eventTimeout = 2 * time.Second
	quietPeriod  = 60 * time.Millisecond
	// longTimeout is the timeout of a route whose requests may take longer than the
	// header timeout.
	longTimeout = 1200 * time.Millisecond
)

// fixture is a server on the loopback interface. The test file plays the
// callers, and the entry that sends the responses.
type fixture struct {
	server    *ingress.Server
	table     atomic.Pointer[route.Table]
	address   string
	events    chan string
	exchanges map[string]*ingress.Exchange
	arrived   chan *ingress.Exchange
	conns     map[string]net.Conn
	// forwarded has the results of what is forwarded in the background.
	forwarded chan string
	// outdated is true while the table may not be the newest.
	outdated atomic.Bool
	// expired is true while the keys of the table may not be relied on, and keys is true
	// when requests need one.
	expired atomic.Bool
	keys    bool
	// configured is closed once the server has a table.
	configured chan struct{}
}

var _ = script.Describe("ingress", "testdata/*.txt", func() script.Handler {
	b := &fixture{
		events: make(chan string, 64), arrived: make(chan *ingress.Exchange, 64),
		exchanges: map[string]*ingress.Exchange{}, conns: map[string]net.Conn{}, forwarded: make(chan string, 1), configured: make(chan struct{}),
	}
	b.configure()
	b.listen(admission.Limits{})
	ginkgo.DeferCleanup(func() {
		for _, c := range b.conns {
			_ = c.Close()
		}
		_ = b.server.CloseListener()
	})
	return b.run
})

// configure gives the server its first table.
func (b *fixture) configure() {
	b.setLimits(route.Limits{HeaderBytes: 1024, BodyBytes: 1 << 20, HeaderTimeout: 300 * time.Millisecond})
	close(b.configured)
}

// listen starts the server, which keeps the limits that are not zero.
func (b *fixture) listen(limits admission.Limits) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b.address = free.Addr().String()
	gomega.Expect(free.Close()).To(gomega.Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	b.server, err = ingress.Listen(ingress.Options{
		Address: b.address, Names: header.Names{RequestID: "Request-Id", Deadline: "Deadline", Credential: "Authorization", Workspace: "Workspace"},
		Table: b.table.Load, TableConfirmed: func() bool { return !b.outdated.Load() }, KeysValid: func() bool { return !b.expired.Load() }, Configured: b.configured, Metrics: metrics.NewSet(),
		Callbacks: ingress.Callbacks{Arrived: b.onArrived, Disconnected: b.onDisconnected, Refused: b.onRefused},
		Budget:    budget.Start(ctx, limits, metrics.NewSet(), &log.Logger{Handler: discard.New()}), MaxConns: limits.Conns,
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// setLimits makes a configuration with these limits the current one.
func (b *fixture) setLimits(limits route.Limits) {
	b.table.Store(route.NewTable(route.Configuration{
		Version: 1,
		Routes: []route.Route{
			{Name: "view", Host: "booking", Prefix: "/view/", Idempotent: true, Services: []route.WeightedService{{Service: "booking", Weight: 1}}},
			{Name: "book", Host: "booking", Prefix: "/book/", Services: []route.WeightedService{{Service: "booking", Weight: 1}}},
			{Name: "open", Host: "booking", Prefix: "/open/", Idempotent: true, Public: true, Services: []route.WeightedService{{Service: "booking", Weight: 1}}},
			{Name: "long", Host: "booking", Prefix: "/long/", Timeout: longTimeout, Services: []route.WeightedService{{Service: "booking", Weight: 1}}},
		},
		Services: []route.Service{{Name: "booking"}},
		Limits:   limits, KeysRequired: b.keys, Workspaces: []workspace.Workspace{{Name: "stables", Keys: []workspace.Digest{header.KeyDigest("k1")}}},
	}))
}

func (b *fixture) onArrived(e *ingress.Exchange) {
	r := e.Request
	line := fmt.Sprintf("arrived %s %s %s route=%s", r.ID, r.Method, r.Target, e.Route.Name)
	switch {
	case r.Rest != nil:
		line += fmt.Sprintf(" buffered=%d streamed", len(r.Body))
	case len(r.Body) > longBody:
		line += fmt.Sprintf(" body of %d bytes", len(r.Body))
	case r.HasBody:
		line += fmt.Sprintf(" body=%q", r.Body)
	}
	if e.Workspace != nil {
		line += " workspace=" + e.Workspace.Name
	}
	for _, name := range []string{"Authorization", "Workspace"} {
		if values := r.Header.Values(name); len(values) > 0 {
			line += fmt.Sprintf(" %s=%q", name, values)
		}
	}
	if e.Request.Host != "booking" {
		line += " host=" + r.Host
	}
	if r.CallerTimeout > 0 {
		line += fmt.Sprintf(" timeout=%s", r.CallerTimeout)
	}
	b.arrived <- e
	b.events <- line
}

func (b *fixture) onDisconnected(list []*ingress.Exchange) {
	var ids []string
	for _, e := range list {
		ids = append(ids, e.Request.ID)
	}
	b.events <- "disconnected " + strings.Join(ids, ",")
}

func (b *fixture) onRefused(r *ingress.Request, status int, reason string) {
	b.events <- fmt.Sprintf("refused %d %s id=%s host=%s path=%s", status, reason, r.ID, r.Host, r.Path)
}

func (b *fixture) run(c script.Case) string {
	name := c.Args["conn"]
	switch c.Command {
	case "send":
		return b.send(name, c)
	case "dial":
		b.dialSmall(name, c.Int("window", 0))
		return ""
	case "lose_contact":
		b.outdated.Store(true)
		return ""
	case "restart":
		// The server starts again, without a table.
		gomega.Expect(b.server.CloseListener()).To(gomega.Succeed())
		b.configured = make(chan struct{})
		b.table.Store(nil)
		b.listen(admission.Limits{})
		return ""
	case "configure":
		b.configure()
		return b.waitEvents(false)
	case "expire_keys":
		b.expired.Store(true)
		return ""
	case "require_keys":
		b.keys = true
		b.setLimits(route.Limits{HeaderBytes: 1024, BodyBytes: 1 << 20, HeaderTimeout: 300 * time.Millisecond})
		return ""
	case "forward":
		if c.Bool("background") {
			body := b.exchange(c.Args["id"]).Request.Rest
			go func() { b.forwarded <- forward(body) }()
			return ""
		}
		return forward(b.exchange(c.Args["id"]).Request.Rest)
	case "forwarded":
		select {
		case result := <-b.forwarded:
			// How much was read until the body was cut depends on the time.
			_, cut, _ := strings.Cut(result, " ")
			return cut
		case <-time.After(eventTimeout):
			return "still reading"
		}
	case "answer":
		return b.answer(c)
	case "read":
		return b.read(name)
	case "collect":
		return b.collect(c.Args["id"])
	case "close":
		_ = b.conns[name].Close()
		delete(b.conns, name)
		return b.waitEvents(c.Bool("silent"))
	case "limits":
		b.setLimits(route.Limits{
			HeaderBytes: c.Int("header_bytes", 1024), BodyBytes: int64(c.Int("body_bytes", 1<<20)),
			HeaderTimeout: time.Duration(c.Int("header_ms", 300)) * time.Millisecond,
			IdleTimeout:   time.Duration(c.Int("idle_ms", 0)) * time.Millisecond,
		})
		return ""
	case "wait":
		<-time.After(time.Duration(c.Int("ms", 0)) * time.Millisecond)
		return b.waitEvents(true)
	case "admission":
		gomega.Expect(b.server.CloseListener()).To(gomega.Succeed())
		b.listen(admission.Limits{Bytes: int64(c.Int("bytes", 0)), Conns: c.Int("conns", 0), Pipelined: c.Int("pipelined", 0)})
		return ""
	case "drain":
		b.server.Drain()
		return b.waitEvents(true)
	}
	return "unknown command"
}

func (b *fixture) dial(name string) {
	if b.conns[name] == nil {
		conn, err := net.Dial("tcp", b.address)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		b.conns[name] = conn
	}
}

// dialSmall opens a connection that takes only so many bytes before they are read; zero means
// no limit.
func (b *fixture) dialSmall(name string, window int) {
	if window == 0 {
		b.dial(name)
		return
	}
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window) })
	}}
	conn, err := d.Dial("tcp", b.address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b.conns[name] = conn
}

// forward reads the streamed part of a body, as an attempt does.
func forward(body io.Reader) string {
	n, err := io.Copy(io.Discard, body)
	return fmt.Sprintf("streamed=%d cut=%v", n, err != nil)
}

// filler is the length of the text that <filler> stands for: more than the part of
// a body that is buffered.
const filler = 300_000

// longBody is the length above which only the length of a body is shown.
const longBody = 100

// repeated matches <x*100>, which stands for 100 times the letter x.
var repeated = regexp.MustCompile(`<(\w)\*(\d+)>`)

// longRun matches the filler of an answer.
var longRun = regexp.MustCompile(`x{1000,}`)

// fields matches <fields*100>, which stands for 100 empty header fields.
var fields = regexp.MustCompile(`<fields\*(\d+)>`)

// send writes the input with CR LF line ends, and an empty line after it unless
// the case says "unended". In a line, \n and \t stand for a bare line feed and a
// tab, <empty> stands for an empty line, <filler> for many bytes and <x*N> for N
// times the letter x.
func (b *fixture) send(name string, c script.Case) string {
	b.dial(name)
	text := strings.TrimSuffix(c.Input, "\n")
	text = strings.ReplaceAll(text, "\n", "\r\n")
	text = strings.NewReplacer(`\n`, "\n", `\t`, "\t", "<empty>", "", "<filler>", strings.Repeat("x", filler)).Replace(text)
	text = fields.ReplaceAllStringFunc(text, func(match string) string {
		n, err := strconv.Atoi(fields.FindStringSubmatch(match)[1])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var lines []string
		for i := range n {
			lines = append(lines, fmt.Sprintf("f%x:", i))
		}
		return strings.Join(lines, "\r\n")
	})
	text = repeated.ReplaceAllStringFunc(text, func(match string) string {
		parts := repeated.FindStringSubmatch(match)
		n, err := strconv.Atoi(parts[2])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return strings.Repeat(parts[1], n)
	})
	if !c.Bool("unended") {
		text += "\r\n\r\n"
	}
	_, err := io.WriteString(b.conns[name], text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return b.waitEvents(c.Bool("silent"))
}

// waitEvents returns the events until the quiet period. They are sorted, since
// they come from different tasks in any order.
func (b *fixture) waitEvents(silent bool) string {
	first := eventTimeout
	if silent {
		first = quietPeriod
	}
	var lines []string
	for wait := first; ; wait = quietPeriod {
		select {
		case l := <-b.events:
			lines = append(lines, l)
		case <-time.After(wait):
			sort.Strings(lines)
			return strings.Join(lines, "\n")
		}
	}
}

// exchange returns the exchange of the request that has arrived with this ID.
func (b *fixture) exchange(id string) *ingress.Exchange {
	for len(b.arrived) > 0 {
		e := <-b.arrived
		b.exchanges[e.Request.ID] = e
	}
	gomega.Expect(b.exchanges[id]).NotTo(gomega.BeNil(), id)
	return b.exchanges[id]
}

func (b *fixture) answer(c script.Case) string {
	e := b.exchange(c.Args["id"])
	body := c.Args["body"] + strings.Repeat("x", c.Int("filler", 0))
	e.Response <- upstream.Response{
		Status: c.Int("status", http.StatusOK), Header: http.Header{"Request-Id": {e.Request.ID}},
		Body: []byte(body), Length: int64(c.Int("length", len(body))),
	}
	return b.waitEvents(true)
}

// collect reports whether the body of a request is garbage, once the fixture has forgotten it.
func (b *fixture) collect(id string) string {
	body := weak.Make(&b.exchange(id).Request.Body[0])
	delete(b.exchanges, id)
	collected := false
	for end := time.Now().Add(eventTimeout); !collected && time.Now().Before(end); {
		runtime.GC()
		collected = body.Value() == nil
	}
	return fmt.Sprintf("collected=%v", collected)
}

// read returns what was received on the connection, and whether it was closed.
func (b *fixture) read(name string) string {
	var received []byte
	buffer := make([]byte, 4096)
	for wait := eventTimeout; ; wait = quietPeriod {
		_ = b.conns[name].SetReadDeadline(time.Now().Add(wait))
		n, err := b.conns[name].Read(buffer)
		received = append(received, buffer[:n]...)
		if err == nil {
			continue
		}
		text := strings.ReplaceAll(string(received), "\r\n", "\n")
		text = longRun.ReplaceAllStringFunc(text, func(run string) string { return fmt.Sprintf("%d times x", len(run)) })
		if !strings.Contains(err.Error(), "timeout") {
			text += "\nclosed"
		}
		return strings.TrimSpace(text)
	}
}
