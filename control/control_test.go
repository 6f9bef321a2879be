package control_test

import (
	"context"
	"errors"
	"fmt"
	"net"
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
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/record"
	"github.com/oriolepost/oriolepost/route"
	"github.com/oriolepost/oriolepost/script"
	"github.com/oriolepost/oriolepost/settings"
	"github.com/oriolepost/oriolepost/timer"
)

func TestControl(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "control")
}

// callTime bounds a call of a test file, elections included.
const callTime = 5 * time.Second

// bench runs control instances on loopback addresses of their own.
type bench struct {
	folder    string
	port      int
	instances map[string]*instance
	// cut holds the addresses that nobody reaches.
	cut    atomic.Pointer[map[string]bool]
	stamps map[string]peer.WatchRequest
}

type instance struct {
	control *control.Control
	metrics *metrics.Set
	cancel  context.CancelFunc
}

// addresses gives each instance of a test file its own.
var addresses = map[string]string{"a": "127.0.7.1", "b": "127.0.7.2", "c": "127.0.7.3", "d": "127.0.7.4"}

var _ = script.Describe("control", "testdata/*.txt", func() script.Handler {
	folder, err := os.MkdirTemp("", "oriolepost-control-")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	l, err := net.Listen("tcp", "127.0.7.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b := &bench{
		folder: folder, port: l.Addr().(*net.TCPAddr).Port, instances: map[string]*instance{},
		stamps: map[string]peer.WatchRequest{},
	}
	gomega.Expect(l.Close()).To(gomega.Succeed())
	b.cut.Store(&map[string]bool{})
	ginkgo.DeferCleanup(func() {
		for name := range b.instances {
			b.stop(name)
		}
		gomega.Expect(os.RemoveAll(folder)).To(gomega.Succeed())
	})
	return b.run
})

func (b *bench) run(c script.Case) string {
	name := c.Args["at"]
	switch c.Command {
	case "start":
		for _, n := range c.List("names") {
			b.start(n, c.Bool("first"))
		}
		return ""
	case "stop":
		for _, n := range c.List("names") {
			b.stop(n)
		}
		return ""
	case "wipe":
		gomega.Expect(os.RemoveAll(filepath.Join(b.folder, c.Args["name"]))).To(gomega.Succeed())
		return ""
	case "cut":
		cut := map[string]bool{}
		for _, n := range c.List("names") {
			cut[addresses[n]] = true
		}
		b.cut.Store(&cut)
		return ""
	case "wait":
		timer.Pause(context.Background(), time.Duration(c.Int("ms", 0))*time.Millisecond)
		return ""
	case "configure":
		return b.call(c, name, peer.ProposeRequest{Command: record.PutConfiguration{
			Configuration: route.Configuration{Version: uint64(c.Int("version", 0))},
			Original:      []byte(c.Args["text"]),
		}})
	case "domain":
		return b.call(c, name, peer.ProposeRequest{Command: record.SetDomain{Domain: c.Args["domain"], Out: c.Bool("out")}})
	case "read":
		return b.call(c, name, peer.ReadRequest{})
	case "announce":
		u := fleet.Upstream{
			ID: c.Args["id"], Service: "booking", Address: "10.0.0.1:80", Domain: "palermo", Slots: 6,
			BornMS: int64(c.Int("born", 1)), Draining: c.Bool("draining"),
		}
		return b.call(c, name, peer.AnnounceRequest{Upstream: u, Sequence: uint64(c.Int("sequence", 1)), Leaving: c.Bool("leaving")})
	case "watch":
		return b.watch(c, name)
	case "refused":
		return b.refused(name)
	case "crowd":
		return b.crowd(c, name)
	}
	return "unknown command"
}

func (b *bench) start(name string, first bool) {
	var seeds []string
	for _, n := range []string{"a", "b", "c"} {
		seeds = append(seeds, net.JoinHostPort(addresses[n], "1"))
	}
	ctx, cancel := context.WithCancel(context.Background())
	set := metrics.NewSet()
	started, err := control.Start(ctx, settings.Deployment{
		Instance: name, IP: addresses[name], Domain: name, PeerPort: b.port, Seeds: seeds,
		DataFolder: filepath.Join(b.folder, name), FirstStart: first, LostInstances: 1,
	}, control.Options{
		Log: &log.Logger{Handler: discard.Default, Level: log.ErrorLevel}, Metrics: set,
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return b.dial(ctx, name, address) },
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b.instances[name] = &instance{started, set, cancel}
}

var errCut = errors.New("no way")

// dial connects unless one of the two ends is cut off. Connections that stand
// are cut as well.
func (b *bench) dial(ctx context.Context, from, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if b.isCut(from, host) {
		return nil, errCut
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &cuttable{Conn: c, isCut: func() bool { return b.isCut(from, host) }}, nil
}

func (b *bench) isCut(from, host string) bool {
	cut := *b.cut.Load()
	return cut[host] != cut[addresses[from]]
}

// cuttable is a connection that a cut makes useless.
type cuttable struct {
	net.Conn
	isCut func() bool
}

func (c *cuttable) Write(p []byte) (int, error) {
	if c.isCut() {
		return 0, errors.Join(errCut, c.Close())
	}
	return c.Conn.Write(p)
}

func (b *bench) stop(name string) {
	i := b.instances[name]
	i.cancel()
	gomega.Eventually(i.control.Done, callTime).Should(gomega.Receive())
	delete(b.instances, name)
	// The listener closes with the context, in another task.
	gomega.Eventually(func() error {
		l, err := net.Listen("tcp", control.PeerAddress(addresses[name], b.port))
		if err != nil {
			return err
		}
		return l.Close()
	}, callTime).Should(gomega.Succeed())
}

func (b *bench) call(c script.Case, name string, r peer.Request) string {
	limit := callTime
	if c.Bool("hopeless") {
		limit = time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	response, err := b.instances[name].control.Call(ctx, r)
	if err != nil {
		return "refused"
	}
	if read, ok := response.(peer.ReadResponse); ok {
		return string(read.Original)
	}
	if proposed, ok := response.(peer.ProposeResponse); ok {
		if done, ok := proposed.Result.(record.Done); ok && done.Version > 0 {
			return fmt.Sprintf("in force: %d", done.Version)
		}
	}
	return "acknowledged"
}

// watch follows the leader's view as an entry does, and prints what it tells.
// With expect it goes on until the text begins so, and with holds until it
// contains that: what upstreams announce reaches the leader some time later.
func (b *bench) watch(c script.Case, name string) string {
	request := b.stamps[c.Args["entry"]]
	request.Entry = c.Args["entry"]
	deadline := time.Now().Add(callTime)
	full := false
	for {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		response, err := b.instances[name].control.Call(ctx, request)
		cancel()
		v, ok := response.(peer.WatchResponse)
		if err != nil || !ok {
			return "refused"
		}
		var view peer.View
		if len(v.View) > 0 {
			view, err = peer.DecodeView(v.View)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			request.FleetRevision, request.Settled = view.FleetRevision, view.Settled
		}
		request.Epoch, request.Revision, request.Index, request.Count = v.Epoch, v.Revision, v.Index, v.Count
		b.stamps[c.Args["entry"]] = request
		view.Full = view.Full || full
		text := viewText(v, view)
		if strings.HasPrefix(text, c.Args["expect"]) && strings.Contains(text, c.Args["holds"]) || time.Now().After(deadline) {
			return text
		}
		full = view.Full
	}
}

// refused sends one watch to one instance, which has no leader, and tells
// whether it took its time to refuse it: callers would ask again at once.
func (b *bench) refused(name string) string {
	pool := peer.NewPool(context.Background(), peer.Options{})
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	_, err := pool.Call(ctx, control.PeerAddress(addresses[name], b.port), peer.WatchRequest{Entry: "e1"})
	return fmt.Sprintf("refused: %v, at once: %v", err != nil, time.Since(began) < 50*time.Millisecond)
}

// crowd lets many entries that know nothing come one after the other, and tells
// whether everything was encoded more often than allowed.
func (b *bench) crowd(c script.Case, name string) string {
	for i := range c.Int("entries", 1) {
		ctx, cancel := context.WithTimeout(context.Background(), callTime)
		response, err := b.instances[name].control.Call(ctx, peer.WatchRequest{Entry: fmt.Sprintf("crowd-%d", i)})
		cancel()
		v, ok := response.(peer.WatchResponse)
		if err != nil || !ok || len(v.View) == 0 {
			return "refused"
		}
	}
	encoded := uint64(0)
	for _, i := range b.instances {
		encoded += i.metrics.GetOrCreateCounter("oriolepost_whole_views_total").Get()
	}
	return fmt.Sprintf("encoded often: %v", encoded > uint64(c.Int("most", 1)))
}

func viewText(r peer.WatchResponse, v peer.View) string {
	lines := []string{fmt.Sprintf("entry %d of %d full=%v", r.Index, r.Count, v.Full)}
	for _, u := range v.Upstreams {
		lines = append(lines, fmt.Sprintf("%s born=%d draining=%v", u.ID, u.BornMS, u.Draining))
	}
	if len(v.Removed) > 0 {
		lines = append(lines, "removed "+strings.Join(v.Removed, " "))
	}
	if len(v.OutDomains) > 0 {
		lines = append(lines, "out "+strings.Join(v.OutDomains, " "))
	}
	return strings.Join(lines, "\n")
}
