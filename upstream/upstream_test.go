package upstream_test

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/admission"
	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/placement"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/timer"
	"github.com/oriolepost/oriolepost/upstream"
)

func TestUpstream(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "upstream")
}

var names = header.Names{
	RequestID: "Request-Id", Deadline: "Deadline", Target: "Target", Signature: "Signature",
	NotRun: "Not-Run", Load: "Load", Cold: "Cold", Upstream: "Upstream", Leaving: "Leaving",
}

// fixture is an upstream whose responses are in the test file.
type fixture struct {
	listener net.Listener
	accepted chan net.Conn
	// conn is the connection under test, and peer its other end.
	conn *upstream.Conn
	peer net.Conn
	// notices holds what the upstream said about itself since the last result.
	notices []placement.Notice
}

var _ = script.Describe("upstream", "testdata/*.txt", func() script.Handler {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b := &fixture{listener: l, accepted: make(chan net.Conn, 1)}
	ginkgo.DeferCleanup(func() {
		_ = l.Close()
		if b.peer != nil {
			_ = b.peer.Close()
		}
	})
	return b.run
})

func (b *fixture) run(c script.Case) string {
	switch c.Command {
	case "dial":
		return b.dial()
	case "exchange":
		return b.exchange(c)
	case "claims":
		return claims(c)
	case "cut":
		return b.cut(c)
	case "probe":
		return b.probe(c)
	case "unsolicited":
		// The upstream sends bytes while the connection is idle.
		_, err := io.WriteString(b.peer, strings.ReplaceAll(c.Input, "\n", "\r\n"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		timer.Pause(context.Background(), 20*time.Millisecond)
		return fmt.Sprintf("alive=%v", b.conn.Alive(time.Now()))
	case "accepts":
		return fmt.Sprint(b.conn.Accepts(request(c).ID))
	case "refuse":
		return b.refuse(c)
	case "alive":
		return fmt.Sprintf("alive=%v", b.conn.Alive(time.Now().Add(time.Duration(c.Int("after", 0))*time.Millisecond)))
	}
	return "unknown command"
}

func (b *fixture) dial() string {
	go func() {
		conn, err := b.listener.Accept()
		if err == nil {
			b.accepted <- conn
		}
	}()
	conn, err := upstream.Dial(context.Background(), b.listener.Addr().String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	conn.OnNotice = func(n placement.Notice) { b.notices = append(b.notices, n) }
	b.conn = conn
	b.peer = <-b.accepted
	return ""
}

// reply reads a request from the connection and answers it as the case says. It
// sends its result last, so that nothing is left running once a case has
// received it.
func reply(peer net.Conn, c script.Case, result chan<- string) {
	r, err := http.ReadRequest(bufio.NewReader(peer))
	if err != nil {
		result <- "no request"
		return
	}
	body, _ := io.ReadAll(r.Body)
	text := strings.ReplaceAll(strings.TrimSuffix(c.Input, "\n"), "\n", "\r\n")
	text = strings.ReplaceAll(text, "<empty>", "")
	text = strings.ReplaceAll(text, "<fields>", manyFields)
	if unit := floodUnits[c.Args["flood"]]; unit != "" {
		most := maxFloodBytes
		if c.Bool("streamed") {
			most = math.MaxInt
		}
		stopped := flood(peer, text, unit, most)
		// A reader that has not stopped would wait for ever.
		_ = peer.Close()
		result <- fmt.Sprintf("%s flood stopped=%v", r.Method, stopped)
		return
	}
	_, _ = io.WriteString(peer, text)
	switch {
	case c.Bool("reset"):
		_ = peer.(*net.TCPConn).SetLinger(0)
		_ = peer.Close()
	case c.Bool("close"):
		_ = peer.Close()
	}
	result <- fmt.Sprintf("%s %s target=%s body=%q", r.Method, r.RequestURI, r.Header.Get("Target"), body)
}

// manyFields stands for short header fields that take 90 KB once they are parsed.
var manyFields = func() string {
	var lines []string
	for i := range 700 {
		lines = append(lines, fmt.Sprintf("F%x:", i))
	}
	return strings.Join(lines, "\r\n")
}()

// floodUnits holds, by name, what a faulty upstream repeats without end.
var floodUnits = map[string]string{
	"byte": "0", "line": "Filler: x\r\n", "interim": "HTTP/1.1 100 Continue\r\n\r\n", "chunk": "5\r\nhello\r\n",
}

// maxFloodBytes is more than the buffers of a loopback connection hold, so that a
// flood ends below it only if the other end closes the connection. A body that is streamed
// has no such limit: how much of it is read until the deadline depends on the machine.
const maxFloodBytes = 64 << 20

// floodTimeout is the time after which a flood ends by itself. It is many times the deadline
// of the request.
const floodTimeout = 5 * time.Second

// flood sends a beginning and then repeats a text until the connection is closed.
// It returns false if the connection stays open, or accepts most bytes.
func flood(peer net.Conn, beginning, unit string, most int) bool {
	block := strings.Repeat(unit, 4096/len(unit))
	_ = peer.SetWriteDeadline(time.Now().Add(floodTimeout))
	_, err := io.WriteString(peer, beginning+block)
	for sent := 0; err == nil && sent < most; sent += len(block) {
		_, err = io.WriteString(peer, block)
	}
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// request returns the request of a case. By default its ID is r1.
func request(c script.Case) upstream.Request {
	body := c.Args["body"]
	header, id := http.Header{}, "r1"
	if value, ok := c.Args["id"]; ok {
		id = value
	}
	if c.Bool("without_id") {
		id = ""
	} else {
		header.Set("Request-Id", id)
	}
	r := upstream.Request{
		Method: cmp.Or(c.Args["method"], "POST"), Target: "/book/1?x=%20", Host: "booking", Header: header, ID: id,
		Body: []byte(body), Length: int64(len(body)), HasBody: body != "", Upstream: "i-1",
		Deadline: time.Now().Add(time.Duration(c.Int("deadline", 1000)) * time.Millisecond),
	}
	if name := c.Args["rest"]; name != "" {
		r.Rest = io.MultiReader(strings.NewReader("part"), iotest.ErrReader(bodyErrors[name]))
		r.Length += int64(c.Int("rest_length", 0))
	}
	return r
}

// bodyErrors are, by name, the errors with which a streamed body ends on the way from the
// caller: the caller sends nothing more, or too little, or the connection is closed.
var bodyErrors = map[string]error{"stalled": os.ErrDeadlineExceeded, "short": io.ErrUnexpectedEOF, "closed": net.ErrClosed}

func (b *fixture) exchange(c script.Case) string {
	replied := make(chan string, 1)
	go reply(b.peer, c, replied)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.Bool("cancel") {
		time.AfterFunc(50*time.Millisecond, cancel)
	}
	r := request(c)
	r.Budget = budget.Start(ctx, admission.Limits{Bytes: int64(c.Int("budget", 0))}, metrics.NewSet(), &log.Logger{Handler: discard.New()})
	response, outcome := b.conn.Exchange(ctx, names, r)
	rest := ""
	switch {
	case response.Rest != nil && c.Bool("abandon"):
		gomega.Expect(response.Rest.Close()).To(gomega.Succeed())
		return <-replied + "\n" + formatOutcome(outcome)
	case response.Rest != nil:
		_, err := io.Copy(io.Discard, response.Rest)
		rest = fmt.Sprintf("\nrest cut=%v", err != nil)
		gomega.Expect(response.Rest.Close()).To(gomega.Succeed())
	}
	if !b.conn.Reusable() {
		_ = b.conn.Close()
	}
	text := <-replied + "\n" + formatOutcome(outcome)
	if response.Rest != nil {
		return text + rest + b.takeNotices()
	}
	if _, answered := outcome.(placement.Answered); answered {
		text += fmt.Sprintf(" status=%d body=%q signature=%q", response.Status, response.Body, response.Header.Get("Signature"))
		if response.Header.Get("Leaving") != "" {
			text += " leaving passed on"
		}
		if response.Header.Get("Retry-After") != "" {
			text += " rest passed on"
		}
		if c.Bool("length") {
			text += fmt.Sprintf(" length=%d", response.Length)
		}
	}
	return fmt.Sprintf("%s\nreusable=%v%s", text, b.conn.Reusable(), b.takeNotices())
}

// takeNotices returns what the upstream said about itself since the last call; nothing
// if it said nothing.
func (b *fixture) takeNotices() string {
	text := ""
	for _, n := range b.notices {
		if n.Leaving {
			text += "\nleaving"
		}
		if n.RestAsked {
			length, valid := n.RestTime()
			text += fmt.Sprintf("\nrest=%s valid=%v sent=%q", length, valid, n.RestText)
		}
	}
	b.notices = nil
	return text
}

// claims returns what a response proves, for all statuses of a final response.
func claims(c script.Case) string {
	const firstStatus, lastStatus = 200, 999
	var lines []string
	first, last := firstStatus, ""
	for status := firstStatus; status <= lastStatus+1; status++ {
		outcome := ""
		if status <= lastStatus {
			outcome = formatOutcome(upstream.Claim{Status: status, Signed: c.Bool("signed"), NotRun: c.Bool("not_run")}.Outcome())
		}
		if status > firstStatus && outcome != last {
			lines = append(lines, fmt.Sprintf("%d to %d: %s", first, status-1, last))
			first = status
		}
		last = outcome
	}
	return strings.Join(lines, "\n")
}

// refuse refuses requests, each with an ID of its own, and reports whether the
// connection can be used after that.
func (b *fixture) refuse(c script.Case) string {
	for i := range c.Int("times", 1) {
		r := request(c)
		r.ID = fmt.Sprintf("refused-%d", i)
		go reply(b.peer, script.Case{Input: "HTTP/1.1 503 Service Unavailable\nNot-Run: 1\nRequest-Id: " + r.ID + "\nContent-Length: 0\n<empty>\n<empty>\n"}, make(chan string, 1))
		if _, outcome := b.conn.Exchange(context.Background(), names, r); outcome != (placement.NotRun{Reason: placement.ReasonShed, Sent: true}) {
			return formatOutcome(outcome)
		}
	}
	return fmt.Sprintf("reusable=%v", b.conn.Reusable())
}

// cut sends the response of a case once for each of its beginnings, each on a
// connection of its own that then ends. It returns the outcome of the whole
// response, and each beginning that did not make the outcome unknown.
func (b *fixture) cut(c script.Case) string {
	text := strings.ReplaceAll(strings.TrimSuffix(c.Input, "\n"), "\n", "\r\n")
	text = strings.ReplaceAll(text, "<empty>", "") + strings.Repeat("x", c.Int("padding", 0))
	lines := []string{"whole: " + b.exchangeCut(c, text, false)}
	cuts := 0
	for n := 0; n < len(text); n += max(1, len(text)/maxDenseCuts) {
		cuts++
		if outcome := b.exchangeCut(c, text[:n], c.Bool("reset")); !strings.HasPrefix(outcome, "unknown ") {
			lines = append(lines, fmt.Sprintf("%q: %s", text[:n], outcome))
		}
	}
	return strings.Join(append(lines, fmt.Sprintf("%d cuts", cuts)), "\n")
}

// maxDenseCuts is the length from which on a response is not cut after each byte,
// but at so many places.
const maxDenseCuts = 512

// exchangeCut makes one exchange in which the upstream sends a text and then
// closes or resets the connection. The outcome is that of the whole response with
// its streamed body.
func (b *fixture) exchangeCut(c script.Case, text string, reset bool) string {
	b.dial()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if _, err := http.ReadRequest(bufio.NewReader(b.peer)); err != nil {
			return
		}
		_, _ = io.WriteString(b.peer, text)
		if reset {
			_ = b.peer.(*net.TCPConn).SetLinger(0)
		}
		_ = b.peer.Close()
	}()
	response, outcome := b.conn.Exchange(context.Background(), names, request(c))
	result := formatOutcome(outcome)
	if _, answered := outcome.(placement.Answered); answered {
		length := len(response.Body)
		if response.Rest != nil {
			n, err := io.Copy(io.Discard, response.Rest)
			length += int(n)
			if err != nil {
				result = "unknown incomplete body"
			}
		}
		result += fmt.Sprintf(" status=%d length=%d", response.Status, length)
	}
	_ = b.conn.Close()
	<-sent
	return result
}

func formatOutcome(o placement.Outcome) string {
	switch o := o.(type) {
	case placement.Answered:
		return fmt.Sprintf("answered failed=%v", o.Failed)
	case placement.NotRun:
		return fmt.Sprintf("not_run %s sent=%v", o.Reason, o.Sent)
	case placement.Unknown:
		return "unknown " + string(o.Reason)
	}
	return "unknown outcome"
}

func (b *fixture) probe(c script.Case) string {
	replied := make(chan string, 1)
	go reply(b.peer, c, replied)
	p := b.conn.Probe(context.Background(), names, "i-1", "10.0.0.1:80", "/health")
	if !b.conn.Reusable() {
		_ = b.conn.Close()
	}
	return fmt.Sprintf("%s\nfailed=%v healthy=%v cold=%s load=%+v reusable=%v%s",
		<-replied, p.Failed, p.Healthy, p.Cold, p.Load, b.conn.Reusable(), b.takeNotices())
}
