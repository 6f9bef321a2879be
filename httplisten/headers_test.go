package httplisten_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/admission"
	"github.com/oriolepost/oriolepost/budget"
	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/httplisten"
	"github.com/oriolepost/oriolepost/script"
)

// A server with a budget, whose requests are held until the case ends them.
var _ = script.Describe("headers", "testdata/headers*.txt", func() script.Handler {
	ctx, cancel := context.WithCancel(context.Background())
	set := metrics.NewSet()
	addresses, err := cluster.FreeAddresses(1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	held, arrived := make(chan bool), make(chan bool)
	l, err := httplisten.StartLimited(addresses[0], &http.Server{
		ReadHeaderTimeout: httplisten.HeaderTimeout,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			arrived <- true
			<-held
		}),
	}, set, httplisten.Limits{MaxConns: 10, Budget: budget.Start(ctx, admission.Limits{Bytes: 100_000}, set, &log.Logger{Handler: discard.New()})})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() {
		close(held)
		gomega.Expect(l.Stop(context.Background())).To(gomega.Succeed())
		cancel()
	})
	results := make(chan string, 10)
	return func(c script.Case) string {
		switch c.Command {
		case "end":
			held <- true
			return <-results
		case "request":
			go func() { results <- requestWithFields(addresses[0], c.Int("fields", 0)) }()
			select {
			case <-arrived:
				return "arrived"
			case result := <-results:
				return result
			}
		}
		return "unknown command"
	}
})

// requestWithFields sends a request with so many short fields, and returns the status of the
// response.
func requestWithFields(address string, fields int) string {
	r, err := http.NewRequest(http.MethodGet, "http://"+address, strings.NewReader(""))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range fields {
		r.Header.Set(fmt.Sprintf("f%x", i), "")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(response.Body.Close()).To(gomega.Succeed())
	return fmt.Sprintf("%d close=%v", response.StatusCode, response.Close)
}
