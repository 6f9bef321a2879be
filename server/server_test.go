package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/call"
	"github.com/oriolepost/oriolepost/membership"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/server"
)

func TestServer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "server")
}

// attemptTimeout limits one attempt of a case.
const attemptTimeout = 2 * time.Second

// fixture is a server that answers the first request on each connection, and reads
// the second and closes the connection.
type fixture struct {
	connection *server.Connection
	requests   atomic.Int64
}

var _ = script.Describe("server", "testdata/*.txt", func() script.Handler {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b := &fixture{}
	go b.accept(l)
	b.connection = server.NewConnection(membership.Announcement{Address: l.Addr().String()}, func(membership.Announcement) {})
	ginkgo.DeferCleanup(func() {
		b.connection.Close()
		_ = l.Close()
	})
	return b.run
})

func (b *fixture) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

func (b *fixture) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		b.requests.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func (b *fixture) run(c script.Case) string {
	switch c.Command {
	case "exchange":
		return b.exchange(c)
	case "cut":
		return cut(c)
	case "answer":
		text := strings.ReplaceAll(strings.TrimSuffix(c.Input, "\n"), "\n", "\r\n")
		return exchangeCut(strings.ReplaceAll(text, "<empty>", ""), false)
	case "probe":
		return probe(c.Args["status"])
	}
	return "unknown command"
}

// probe probes a server that answers with a status.
func probe(status string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	go answerOnce(l, "HTTP/1.1 "+status+" Status\r\nContent-Length: 0\r\n\r\n", false)
	connection := server.NewConnection(membership.Announcement{Address: l.Addr().String()}, func(membership.Announcement) {})
	defer connection.Close()
	return fmt.Sprint(connection.Probe(context.Background()))
}

// answerOnce answers one request with a text and then closes or resets the connection.
func answerOnce(l net.Listener, text string, reset bool) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
		_, _ = io.WriteString(conn, text)
	}
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// cut sends the answer of a case once for each of its beginnings, each on a
// connection of its own that then ends. It returns the outcome of the whole answer,
// and each beginning that was taken for a complete one.
func cut(c script.Case) string {
	text := strings.ReplaceAll(strings.TrimSuffix(c.Input, "\n"), "\n", "\r\n")
	text = strings.ReplaceAll(text, "<empty>", "")
	lines := []string{"whole: " + exchangeCut(text, false)}
	for n := range len(text) {
		if outcome := exchangeCut(text[:n], c.Bool("reset")); outcome != "unknown" && outcome != "incomplete body" {
			lines = append(lines, fmt.Sprintf("%q: %s", text[:n], outcome))
		}
	}
	return strings.Join(append(lines, fmt.Sprintf("%d cuts", len(text))), "\n")
}

// exchangeCut makes one attempt at a server that answers with a text and then closes
// or resets the connection.
func exchangeCut(text string, reset bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	go answerOnce(l, text, reset)
	connection := server.NewConnection(membership.Announcement{Address: l.Addr().String()}, func(membership.Announcement) {})
	defer connection.Close()
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	r := connection.Exchange(ctx, server.Attempt{
		Method: http.MethodPost, URI: "/book", Host: "booking", Header: http.Header{}, NotAfter: time.Now().Add(attemptTimeout),
	})
	if r.Response == nil {
		return call.OutcomeName(r.Outcome)
	}
	body, err := io.ReadAll(r.Response.Body)
	_ = r.Response.Body.Close()
	if err != nil {
		return "incomplete body"
	}
	return fmt.Sprintf("%s %d %q", call.OutcomeName(r.Outcome), r.Response.StatusCode, body)
}

func (b *fixture) exchange(c script.Case) string {
	header := http.Header{}
	if name := c.Args["header"]; name != "" {
		header[name] = []string{c.Args["value"]}
	}
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	before := b.requests.Load()
	r := b.connection.Exchange(ctx, server.Attempt{
		Method: c.Args["method"], URI: "/book", Host: "booking", Header: header, NotAfter: time.Now().Add(attemptTimeout),
	})
	if r.Response != nil {
		_, _ = io.Copy(io.Discard, r.Response.Body)
		_ = r.Response.Body.Close()
	}
	return fmt.Sprintf("%s, reached the server %d times", call.OutcomeName(r.Outcome), b.requests.Load()-before)
}
