package faultsoak

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/cluster"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/settings"
)

var (
	seed     = flag.Uint64("faultsoak.seed", 0, "seed of the faults; 0 runs the seeds of testdata/seeds.txt")
	duration = flag.Duration("faultsoak.duration", 8*time.Second, "duration of the faults of each run")
)

func TestFaultSoak(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "fault soak")
}

// Runs the program with each seed of a file. Seeds that once failed stay in it.
var _ = script.Describe("guarantees hold while separate processes have faults", "testdata/seeds.txt", func() script.Handler {
	return runSeed(ginkgo.GinkgoT().TempDir())
})

// runSeed builds the program into a folder and returns a handler that runs it with the
// seed of a case.
func runSeed(folder string) script.Handler {
	program := buildProgram(folder)
	return func(c script.Case) string {
		cfg := Defaults()
		cfg.Program, cfg.Seed, cfg.Control = program, uint64(c.Int("seed", 1)), c.Int("control", cfg.Control)
		cfg.Duration = max(*duration, time.Duration(c.Int("seconds", 0))*time.Second)
		if *seed != 0 {
			cfg.Seed = *seed
		}
		r, err := Run(context.Background(), cfg)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Broken()).To(gomega.Succeed())
		return fmt.Sprintf("no guarantee violated, more than half served: %v", r.Served > r.Asked/2)
	}
}

func buildProgram(folder string) string {
	program := filepath.Join(folder, "oriolepost")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/oriolepost").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
	return program
}

// Sends signals to a process that was started right before.
var _ = script.Describe("a process gets a signal only when it runs", "testdata/signals.txt", func() script.Handler {
	folder := ginkgo.GinkgoT().TempDir()
	program := buildProgram(folder)
	return func(c script.Case) string { return signalAtStart(folder, program, c) }
})

// signalAtStart starts an instance a number of times, each time sends signals to it at
// once, and returns how often it ended by itself, and the failures.
func signalAtStart(folder, program string, c script.Case) string {
	free, err := cluster.FreeAddresses(1)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	host, err := cluster.OwnHost()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	port, err := strconv.Atoi(strings.TrimPrefix(free[0], "127.0.0.1:"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	o := startObserver()
	p := startProcess(program, folder, settings.Deployment{
		Instance: "core-1", Domain: "a", IP: host, PeerPort: port, Control: fmt.Sprintf("%s:%d", host, port+1), Seeds: []string{host + ":1"},
		DataFolder: filepath.Join(folder, "data"), FirstStart: true,
	}, o)
	for range c.Int("times", 1) {
		p.mailbox <- startMessage{}
		for _, name := range c.List("signals") {
			p.mailbox <- signalMessage{map[string]syscall.Signal{"hup": syscall.SIGHUP, "term": syscall.SIGTERM}[name]}
		}
	}
	ended := make(chan struct{})
	p.mailbox <- startMessage{}
	p.mailbox <- shutdownMessage{ended}
	<-ended
	starts, failures := 0, ""
	for _, e := range o.stop() {
		if _, ok := e.(ProcessStarted); ok {
			starts++
		}
		if f, ok := e.(Failure); ok {
			failures += f.Reason + "\n"
		}
	}
	data, err := os.ReadFile(filepath.Join(folder, "core-1.log"))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return fmt.Sprintf("%sstarts=%d stopped by themselves=%d", failures, starts, strings.Count(string(data), `"instance stopped"`))
}

// fixture collects the events of a test file and judges them.
type fixture struct{ history []Event }

var _ = script.Describe("the judge reports each violated guarantee and nothing else", "testdata/judge/*.txt", func() script.Handler {
	f := &fixture{}
	return f.run
})

func (f *fixture) run(c script.Case) string {
	at := time.Duration(c.Int("at", 0)) * time.Millisecond
	id := c.Args["id"]
	switch c.Command {
	case "request_sent":
		f.history = append(f.history, RequestSent{ID: id, Entry: cmp.Or(c.Args["entry"], "e"), Path: c.Args["path"], Body: c.Args["body"], Idempotent: c.Bool("idempotent"), Version: uint64(c.Int("version", 0)), At: at})
	case "request_executed":
		f.history = append(f.history, RequestExecuted{ID: id, Upstream: c.Args["upstream"], Path: c.Args["path"], Body: c.Args["body"], Cold: c.Bool("cold"), Leaving: c.Bool("leaving"), Limit: float64(c.Int("limit", 0)), At: at})
	case "request_refused":
		f.history = append(f.history, RequestRefused{ID: id, Upstream: c.Args["upstream"], RetryAfter: time.Duration(c.Int("retry_after_ms", 0)) * time.Millisecond, Leaving: c.Bool("leaving"), Limit: float64(c.Int("limit", 0)), At: at})
	case "answer_received":
		answer := ResponseReceived{ID: id, Status: c.Int("status", 200), Upstream: c.Args["upstream"], At: at}
		if of, ok := c.Args["answer_of"]; ok {
			answer.Signature, answer.Body = signature(of), answerBody(of, c.Args["path"])
		}
		f.history = append(f.history, answer)
	case "leave_acknowledged":
		f.history = append(f.history, LeaveAcknowledged{Upstream: c.Args["upstream"], At: at})
	case "order_acknowledged":
		f.history = append(f.history, OrderAcknowledged{Version: uint64(c.Int("version", 0)), At: at})
	case "configuration_read":
		f.history = append(f.history, ConfigurationRead{Version: uint64(c.Int("version", 0)), Began: at})
	case "fault_injected":
		f.history = append(f.history, FaultInjected{Name: c.Args["name"], Fault: c.Args["fault"], At: at})
	case "process_started":
		f.history = append(f.history, ProcessStarted{Name: c.Args["name"], At: at})
	case "faults_ended":
		f.history = append(f.history, FaultsEnded{At: at})
	case "failure":
		f.history = append(f.history, Failure{Name: c.Args["name"], Reason: "killed"})
	case "judge":
		v := Judge(f.history, Bounds{Drain: drainLimit, Apply: applyLimit, FaultGrace: faultGrace, ColdPerSecond: 2})
		f.history = nil
		return strings.Join(append([]string{fmt.Sprintf("guarantee violated: %v", v.Broken())}, v.Examples...), "\n")
	default:
		return "unknown command"
	}
	return ""
}
