package telemetry_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/telemetry"
)

func TestTelemetry(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "telemetry")
}

// logTime is how long writing the lines of a case may take: an entry must not
// wait for whoever reads its log.
const logTime = time.Second

// bench is an outlet whose output is a pipe.
type bench struct {
	outlet *telemetry.Outlet
	set    *metrics.Set
	reader *os.File
	writer *os.File
}

var _ = script.Describe("outlet", "testdata/*.txt", func() script.Handler {
	r, w, err := os.Pipe()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b := &bench{set: metrics.NewSet(), reader: r, writer: w}
	b.outlet = telemetry.NewOutlet(w, b.set)
	ginkgo.DeferCleanup(func() { _, _ = r.Close(), w.Close() })
	return b.run
})

func (b *bench) run(c script.Case) string {
	switch c.Command {
	case "log":
		return b.log(c)
	case "read":
		return b.read(c)
	case "dropped":
		return fmt.Sprint(b.set.GetOrCreateCounter("oriolepost_log_lines_dropped_total").Get() > 0)
	}
	return "unknown command"
}

// log writes lines and says whether it had to wait.
func (b *bench) log(c script.Case) string {
	l := &log.Logger{Handler: b.outlet, Level: log.InfoLevel}
	done := make(chan bool)
	go func() {
		for i := range c.Int("lines", 1) {
			l.WithFields(log.Fields{
				telemetry.OrdinaryField: c.Bool("ordinary"), "number": i, "text": strings.Repeat("x", c.Int("size", 100)),
			}).Info(c.Args["message"])
		}
		close(done)
	}()
	select {
	case <-done:
		return "did not wait"
	case <-time.After(logTime):
		return "waits for the reader"
	}
}

// read closes the outlet and counts the lines that hold a word.
func (b *bench) read(c script.Case) string {
	all := make(chan string)
	go func() {
		data, _ := io.ReadAll(b.reader)
		all <- string(data)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), logTime)
	defer cancel()
	b.outlet.Close(ctx)
	gomega.Expect(b.writer.Close()).To(gomega.Succeed())
	text := <-all
	var out []string
	for _, word := range c.List("words") {
		out = append(out, fmt.Sprintf("%s=%d", word, strings.Count(text, `"`+word+`"`)))
	}
	return strings.Join(out, " ")
}
