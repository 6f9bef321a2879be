package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/script"
)

// callerConn is a caller's connection on which several requests may be sent.
type callerConn struct {
	net.Conn
	// responses has a text for each response. It is closed when the connection ends.
	responses chan string
}

// dial opens a caller's connection and reads its responses in the background.
func (b *fixture) dial(name string) {
	conn, err := net.Dial("tcp", b.caller)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(conn.Close)
	c := &callerConn{Conn: conn, responses: make(chan string, 16)}
	b.callers[name] = c
	go func() {
		defer close(c.responses)
		reader := bufio.NewReader(conn)
		for {
			text, err := readResponse(reader)
			if err != nil {
				return
			}
			c.responses <- text
		}
	}()
}

func readResponse(reader *bufio.Reader) (string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := responseText(response)
	if response.Close {
		text += " (close)"
	}
	return text, err
}

// request sends a request and returns the response. With id it runs in the
// background, and the command answer returns the response. With disconnect_ms
// the caller closes the connection after so many milliseconds. With count the
// text also has the number of requests that the upstreams received. With any it does not
// name the upstream.
func (b *fixture) request(testCase script.Case) string {
	ctx := context.Background()
	if ms := testCase.Int("disconnect_ms", 0); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, testCase.Args["method"], "http://"+b.caller+testCase.Args["path"], http.NoBody)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request.Host = "booking"
	request.Header.Set("Request-Id", "r"+testCase.Args["path"])
	request.Header.Set("Deadline", "2000")
	if key := testCase.Args["key"]; key != "" {
		request.Header.Set("Credential", "Bearer "+key)
	}
	if id := testCase.Args["id"]; id != "" {
		answer := make(chan string, 1)
		b.answers[id] = answer
		go func() { answer <- b.send(request) }()
		return ""
	}
	before := map[string]int64{}
	for id, u := range b.upstreams {
		before[id] = u.requests.Load()
	}
	text := b.send(request)
	if testCase.Bool("any") {
		text, _, _ = strings.Cut(text, " from ")
	}
	if testCase.Bool("count") {
		total := int64(0)
		for id, u := range b.upstreams {
			total += u.requests.Load() - before[id]
		}
		text += fmt.Sprintf(" (requests at upstreams: %d)", total)
	}
	return text
}

func (b *fixture) send(r *http.Request) string {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Do(r)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	text, err := responseText(response)
	if err != nil {
		return "incomplete body"
	}
	return text
}

func responseText(response *http.Response) (string, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	text := fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(body)))
	if response.Header.Get("Leaving") != "" {
		text += " (Leaving)"
	}
	if value := response.Header.Get("Retry-After"); value != "" {
		text += " (Retry-After)"
		seconds, err := strconv.ParseFloat(value, 64)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(seconds).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", maxRetryAfterSeconds)))
	}
	return text, nil
}
