package httplisten_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/httplisten"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/timer"
)

func TestHTTPListen(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "httplisten")
}

// A connection waits in the queue of the listener, as before a process that is stopped, or
// is accepted at once. Its request comes some time later.
var _ = script.Describe("age of a connection", "testdata/opened*.txt", func() script.Handler {
	return func(c script.Case) string {
		queued := time.Duration(c.Int("queued_ms", 0)) * time.Millisecond
		idle := time.Duration(c.Int("idle_ms", 0)) * time.Millisecond
		began := time.Now()
		openedFor, known := openedFor(queued, idle)
		atMost := time.Since(began) + 20*time.Millisecond
		return fmt.Sprintf("known=%v at_least=%v at_most=%v", known, openedFor >= queued+idle, openedFor <= atMost)
	}
})

// openedFor returns what a server says of a connection that it accepts after queued, and on
// which a request comes after idle.
func openedFor(queued, idle time.Duration) (age time.Duration, known bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	conn, err := net.Dial("tcp", l.Addr().String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { gomega.Expect(conn.Close()).To(gomega.Succeed()) }()
	timer.Pause(context.Background(), queued)
	handled := make(chan bool)
	server := &http.Server{
		ReadHeaderTimeout: time.Minute, ConnContext: httplisten.KeepConnections(),
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			age, known = httplisten.OpenedFor(r.Context())
			close(handled)
		}),
	}
	go func() { _ = server.Serve(l) }()
	defer func() { gomega.Expect(server.Close()).To(gomega.Succeed()) }()
	timer.Pause(context.Background(), idle)
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: control\r\n\r\n")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	<-handled
	return age, known
}
