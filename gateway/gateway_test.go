package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/gateway"
	"github.com/oriolepost/oriolepost/header"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/timer"
	"github.com/oriolepost/oriolepost/workspace"
)

func TestGateway(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gateway")
}

// maxRetryAfterSeconds is a third of the caller timeout of the requests of the tests, the
// longest time for which callers wait.
const maxRetryAfterSeconds = 2.0 / 3

// stateTimeout limits the wait for an expected state.
const stateTimeout = 5 * time.Second

// deliveryTimeout limits the wait for bytes that were sent before an entry ended.
const deliveryTimeout = 500 * time.Millisecond

var names = header.Names{
	RequestID: "Request-Id", Deadline: "Deadline", Target: "Target", Signature: "Signature",
	NotRun: "Not-Run", Load: "Load", Cold: "Cold", Upstream: "Upstream", Leaving: "Leaving", Limit: "Limit", Credential: "Credential", Workspace: "Workspace",
}

// fixture runs an entry, a control instance and upstreams on loopback addresses.
type fixture struct {
	folder string
	// port is the peer port of the control instance.
	port int
	// caller is the address on which the entry accepts callers.
	caller  string
	control *control.Control
	entry   *gateway.Gateway
	// cancels holds the functions that end the instances, in the order of start.
	cancels   []context.CancelFunc
	upstreams map[string]*fakeUpstream
	// sequence is the sequence number of the last announcement.
	sequence uint64
	// answers receives the results of commands that run in the background.
	answers map[string]chan string
	// callers holds the callers' open connections by name.
	callers map[string]*callerConn
}

var discardLog = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}

var _ = script.Describe("gateway", "testdata/*.txt", func() script.Handler {
	folder, err := os.MkdirTemp("", "oriolepost-gateway-")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b := &fixture{
		folder: folder, port: freePort("127.0.8.1"), caller: fmt.Sprintf("127.0.8.2:%d", freePort("127.0.8.2")),
		upstreams: map[string]*fakeUpstream{}, answers: map[string]chan string{},
		callers: map[string]*callerConn{},
	}
	ginkgo.DeferCleanup(func() {
		for _, cancel := range b.cancels {
			cancel()
		}
		if b.control != nil {
			gomega.Eventually(b.control.Done, stateTimeout).Should(gomega.Receive())
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

func (b *fixture) run(testCase script.Case) string {
	switch testCase.Command {
	case "start":
		return b.start(testCase)
	case "stop":
		return b.stop(testCase)
	case "update_seeds":
		gomega.Expect(b.entry.UpdateSeeds(settings.Deployment{PeerPort: b.port, Seeds: testCase.List("seeds")})).To(gomega.Succeed())
		return ""
	case "configure":
		c := configuration(uint64(testCase.Int("version", 1)), time.Duration(testCase.Int("timeout", 2000))*time.Millisecond)
		if keys, required := testCase.Args["keys"]; required {
			c.KeysRequired = true
			c.Workspaces = []workspace.Workspace{{Name: "stables", Keys: []workspace.Digest{header.KeyDigest(keys)}, Rate: float64(testCase.Int("rate_per_1000s", 0)) / 1000}}
		}
		return b.propose(record.PutConfiguration{Configuration: c, Original: []byte("x")})
	case "deploy":
		for _, id := range testCase.List("ids") {
			testCase.Args["id"] = id
			b.upstream(testCase)
			gomega.Expect(b.announce(testCase)).To(gomega.Equal("acknowledged"))
		}
		return ""
	case "roll_out":
		return b.rollOut(testCase)
	case "upstream":
		return b.upstream(testCase)
	case "announce":
		return b.announce(testCase)
	case "ready":
		gomega.Eventually(b.entry.Ready, stateTimeout).Should(gomega.Equal(!testCase.Bool("not")))
		return ""
	case "request":
		return b.request(testCase)
	case "dial":
		b.dial(testCase.Args["conn"])
		return ""
	case "send":
		text := strings.ReplaceAll(strings.ReplaceAll(testCase.Input, "<empty>", ""), "\n", "\r\n")
		if !testCase.Bool("ended") {
			text = strings.TrimSuffix(text, "\r\n")
		}
		_, err := io.WriteString(b.callers[testCase.Args["conn"]], text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		return ""
	case "read":
		response, more := <-b.callers[testCase.Args["conn"]].responses
		if !more {
			return "no answer"
		}
		return response
	case "exit":
		return b.exit()
	case "answer":
		return <-b.answers[testCase.Args["id"]]
	case "running":
		u := b.upstreams[testCase.Args["at"]]
		gomega.Eventually(u.running.Load, stateTimeout).Should(gomega.Equal(int64(testCase.Int("count", 0))))
		return ""
	case "connections":
		u := b.upstreams[testCase.Args["at"]]
		gomega.Eventually(u.connections.Load, stateTimeout).Should(gomega.Equal(int64(testCase.Int("count", 0))))
		return ""
	case "refused":
		gomega.Eventually(b.upstreams[testCase.Args["at"]].refused.Load, stateTimeout).Should(gomega.BeTrue())
		return ""
	case "ran_behind_refusal":
		return fmt.Sprint(b.upstreams[testCase.Args["at"]].ranBehindRefusal.Load())
	case "listed":
		return b.listed(testCase)
	case "elsewhere":
		return b.elsewhere(testCase)
	case "wait":
		timer.Pause(context.Background(), time.Duration(testCase.Int("ms", 0))*time.Millisecond)
		return ""
	}
	return "unknown command"
}

func configuration(version uint64, timeout time.Duration) route.Configuration {
	parts := []route.WeightedService{{Service: "booking", Weight: 1}}
	return route.Configuration{
		Version:  version,
		Services: []route.Service{{Name: "booking", HealthPath: "/health"}},
		Routes: []route.Route{
			{Name: "view", Host: "booking", Prefix: "/view/", Idempotent: true, MaxAttempts: 2, Objective: time.Second, Timeout: timeout, Services: parts},
			{Name: "wait", Host: "booking", Prefix: "/wait/", MaxAttempts: 2, Objective: 8 * time.Second, Timeout: 8 * time.Second, Services: parts},
			{Name: "book", Host: "booking", Prefix: "/book/", MaxAttempts: 2, Objective: time.Second, Timeout: timeout, Services: parts},
		},
	}
}

func (b *fixture) start(testCase script.Case) string {
	ctx, cancel := context.WithCancel(context.Background())
	b.cancels = append(b.cancels, cancel)
	deployment := settings.Deployment{
		Instance: testCase.Args["role"], Domain: "palermo", IP: "127.0.8.1", PeerPort: b.port, Seeds: []string{"127.0.8.1:1"},
		DataFolder: filepath.Join(b.folder, "data"), FirstStart: true, Caller: b.caller,
		// The entry has its share of the retry slack once it has been connected for a window.
		Bounds: settings.Bounds{Grace: 3 * time.Second, RetryRatio: 0.2, RetryWindow: 200 * time.Millisecond, RetrySlack: float64(testCase.Int("slack", 60)), ColdFactor: 1.5, ColdSlack: 5, Revocation: time.Duration(testCase.Int("revocation", 0)) * time.Millisecond, QuotaWindow: time.Duration(testCase.Int("quota_window", 0)) * time.Millisecond},
	}
	if seeds := testCase.List("seeds"); len(seeds) > 0 {
		deployment.Seeds = seeds
	}
	var err error
	if testCase.Args["role"] == "control" {
		b.control, err = control.Start(ctx, deployment, control.Options{Log: discardLog, Metrics: metrics.NewSet()})
	} else {
		b.entry, err = gateway.Start(ctx, deployment, gateway.Options{Log: discardLog, Metrics: metrics.NewSet(), Names: names})
	}
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return ""
}

// stop ends the control instance immediately, or shuts the entry down gracefully
// in the background.
func (b *fixture) stop(testCase script.Case) string {
	if testCase.Args["role"] == "control" {
		b.cancels[0]()
		gomega.Eventually(b.control.Done, stateTimeout).Should(gomega.Receive())
		b.control = nil
		return ""
	}
	stopped := make(chan string, 1)
	b.answers["stop"] = stopped
	go func() { stopped <- fmt.Sprint(b.entry.Stop(context.Background())) }()
	return ""
}

// exit waits until the entry has stopped, and then ends its tasks, as the end of the
// process does. Callers still receive what was sent before.
func (b *fixture) exit() string {
	result := <-b.answers["stop"]
	b.cancels[1]()
	for _, c := range b.callers {
		_ = c.SetReadDeadline(time.Now().Add(deliveryTimeout))
	}
	return result
}

func (b *fixture) propose(command record.Command) string {
	return b.call(peer.ProposeRequest{Command: command})
}

func (b *fixture) call(r peer.Request) string {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	if _, err := b.control.Call(ctx, r); err != nil {
		return err.Error()
	}
	return "acknowledged"
}
