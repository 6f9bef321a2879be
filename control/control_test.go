package control_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/control"
	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/fleet"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/quarantine"
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

// callTimeout limits a call of a test file, including elections.
const callTimeout = 5 * time.Second

// fixture runs control instances, each on a loopback address of its own.
type fixture struct {
	folder    string
	port      int
	instances map[string]*instance
	// cut holds the addresses of the instances that are cut off from the
	// others.
	cut atomic.Pointer[map[string]bool]
	// full holds the names of the instances whose disks are full.
	full    atomic.Pointer[map[string]bool]
	watches map[string]peer.WatchRequest
	// mirrors holds, by entry, what it knows of the leader's fleet.
	mirrors map[string]*fleet.Mirror
	// bound holds, by order, the index that it is bound to, and delayed the outcomes of
	// orders that run in the background.
	bound   map[string]uint64
	delayed map[string]chan string
	// followers are entries that watch in the background.
	followers []*follower
}

type instance struct {
	control *control.Control
	metrics *metrics.Set
	// errors receives the first errors that the instance logs.
	errors chan *log.Entry
	cancel context.CancelFunc
}

// addresses maps the instance names in test files to loopback addresses.
var addresses = map[string]string{"a": "127.0.7.1", "b": "127.0.7.2", "c": "127.0.7.3", "d": "127.0.7.4", "e": "127.0.7.5", "f": "127.0.7.6"}

var _ = script.Describe("control", "testdata/*.txt", func() script.Handler {
	folder, err := os.MkdirTemp("", "oriolepost-control-")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	l, err := net.Listen("tcp", "127.0.7.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b := &fixture{
		folder: folder, port: l.Addr().(*net.TCPAddr).Port, instances: map[string]*instance{},
		watches: map[string]peer.WatchRequest{}, mirrors: map[string]*fleet.Mirror{},
		bound: map[string]uint64{}, delayed: map[string]chan string{},
	}
	gomega.Expect(l.Close()).To(gomega.Succeed())
	b.cut.Store(&map[string]bool{})
	b.setFull(nil)
	ginkgo.DeferCleanup(func() {
		for name := range b.instances {
			b.stop(name)
		}
		gomega.Expect(os.RemoveAll(folder)).To(gomega.Succeed())
	})
	return b.run
})

func (b *fixture) run(testCase script.Case) string {
	name := testCase.Args["at"]
	switch testCase.Command {
	case "steps":
		return testCase.RunSteps(b.run)
	case "start":
		for _, n := range testCase.List("names") {
			b.start(n, testCase.Bool("first"), testCase.Int("lost", 1))
		}
		return ""
	case "stop":
		for _, n := range testCase.List("names") {
			b.stop(n)
		}
		return ""
	case "leave":
		b.leave(testCase.List("names"))
		return ""
	case "wipe":
		gomega.Expect(os.RemoveAll(filepath.Join(b.folder, testCase.Args["name"]))).To(gomega.Succeed())
		return ""
	case "cut":
		cut := map[string]bool{}
		for _, n := range testCase.List("names") {
			cut[addresses[n]] = true
		}
		b.cut.Store(&cut)
		return ""
	case "disk_full":
		b.setFull(testCase.List("names"))
		return ""
	case "wait":
		timer.Pause(context.Background(), time.Duration(testCase.Int("ms", 0))*time.Millisecond)
		return ""
	case "configure":
		return b.call(testCase, name, configureRequest(testCase))
	case "configure_again":
		return b.configureAgain(testCase)
	case "domain":
		return b.setDomain(testCase, name)
	case "await":
		return <-b.delayed[testCase.Args["order"]]
	case "bind":
		return b.bind(testCase, name)
	case "incarnation":
		return b.call(testCase, name, peer.IncarnationRequest{Upstream: testCase.Args["id"]})
	case "ask":
		return b.ask(testCase)
	case "begin":
		return b.beginRollout(testCase, name)
	case "rollout":
		return b.readRollout(testCase, name)
	case "read":
		return b.call(testCase, name, peer.ReadRequest{})
	case "announce":
		u := fleet.Upstream{
			ID: testCase.Args["id"], Service: cmp.Or(testCase.Args["service"], "booking"), Address: cmp.Or(testCase.Args["address"], "10.0.0.1:80"), Domain: "palermo", Slots: 6,
			StartMS: int64(testCase.Int("born", 1)), Version: testCase.Args["version"], Draining: testCase.Bool("draining"),
		}
		return b.call(testCase, name, peer.AnnounceRequest{Upstream: u, Sequence: uint64(testCase.Int("sequence", 1)), Leaving: testCase.Bool("leaving")})
	case "watch":
		return b.watch(testCase, name)
	case "suspect":
		var request peer.SuspectRequest
		for _, upstream := range strings.Split(testCase.Args["upstreams"], ",") {
			request.Sightings = append(request.Sightings, quarantine.Sighting{
				Fingerprint: quarantine.Fingerprint(testCase.Args["content"]), Upstream: quarantine.Incarnation{ID: upstream, StartMS: 1},
				SentAgoMS: int64(testCase.Int("sent_ago", 100)), Answered: testCase.Bool("answered"),
			})
		}
		return b.direct(name, request)
	case "probe":
		return b.direct(name, peer.QuarantineProbeRequest{Fingerprint: quarantine.Fingerprint(testCase.Args["content"])})
	case "copy":
		return b.copiesOfView(testCase.List("at"), testCase.Bool("until_given"))
	case "decoded_in_task":
		count := uint64(0)
		for _, i := range b.instances {
			count += i.metrics.GetOrCreateCounter("oriolepost_large_commands_decoded_in_task_total").Get()
		}
		return strconv.FormatUint(count, 10)
	case "voters":
		return b.voters(testCase, name)
	case "errors":
		return b.loggedErrors(testCase, name)
	case "find_leader":
		return b.findLeader()
	case "watch_without_leader":
		return b.refusedWatch(name)
	case "connect_entries":
		return b.connectEntries(testCase, name)
	case "follow":
		b.follow(testCase.Int("entries", 1), syntheticLoad{perSecond: testCase.Int("load", 0), failing: testCase.Int("failing", 0)})
		return ""
	case "followers":
		return b.awaitFollowers(testCase)
	case "answered_in_time":
		return b.answeredInTime(testCase, name)
	}
	return "unknown command"
}

func configureRequest(testCase script.Case) peer.Request {
	return peer.ProposeRequest{Command: record.PutConfiguration{
		Configuration: route.Configuration{Version: uint64(testCase.Int("version", 0)), Services: servicesOf(testCase)},
		Original:      append([]byte(testCase.Args["text"]), incompressible(testCase.Int("bytes", 0))...),
	}}
}

// configureAgain sends the same order to several instances, one after the other, and
// returns the number of entries that it got in the log.
func (b *fixture) configureAgain(testCase script.Case) string {
	indexes := map[uint64]bool{}
	for _, name := range testCase.List("at") {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		response, err := b.instances[name].control.Call(ctx, configureRequest(testCase))
		cancel()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		indexes[response.(peer.ProposeResponse).Result.(record.Done).Index] = true
	}
	return fmt.Sprintf("entries: %d", len(indexes))
}

// servicesOf returns the services of a configuration.
func servicesOf(testCase script.Case) []route.Service {
	names := testCase.List("services")
	if len(names) == 0 {
		names = []string{"booking"}
	}
	var services []route.Service
	for _, name := range names {
		services = append(services, route.Service{Name: name})
	}
	return services
}

// seeds returns the seeds of the settings. Their port is not the peer port.
func seeds() []string {
	var list []string
	for _, n := range []string{"a", "b", "c"} {
		list = append(list, net.JoinHostPort(addresses[n], "1"))
	}
	return list
}

func (b *fixture) start(name string, first bool, lost int) {
	ctx, cancel := context.WithCancel(context.Background())
	set := metrics.NewSet()
	errorLog := make(chan *log.Entry, 64)
	started, err := control.Start(ctx, settings.Deployment{
		Instance: name, IP: addresses[name], Domain: name, PeerPort: b.port, Seeds: seeds(),
		DataFolder: filepath.Join(b.folder, name), FirstStart: first, LostInstances: lost,
		Bounds: settings.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60, ExposureShare: 0.1, ExposureSlack: 50},
	}, control.Options{
		Log: &log.Logger{Handler: sendTo(errorLog), Level: log.ErrorLevel}, Metrics: set,
		Dial:       func(ctx context.Context, address string) (net.Conn, error) { return b.dial(ctx, name, address) },
		CreateFile: func(path string) (disk.File, error) { return b.createFile(name, path) },
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b.instances[name] = &instance{started, set, errorLog, cancel}
}

// sendTo returns a log handler that drops what a channel has no space for.
func sendTo(entries chan<- *log.Entry) log.Handler {
	return log.HandlerFunc(func(e *log.Entry) error {
		select {
		case entries <- e:
		default:
		}
		return nil
	})
}

func (b *fixture) stop(name string) {
	stopped := b.instances[name]
	stopped.cancel()
	gomega.Eventually(stopped.control.Done, callTimeout).Should(gomega.Receive())
	delete(b.instances, name)
	// The listener closes with the context, in another task.
	gomega.Eventually(func() error {
		l, err := net.Listen("tcp", control.PeerAddress(addresses[name], b.port))
		if err != nil {
			return err
		}
		return l.Close()
	}, callTimeout).Should(gomega.Succeed())
}

func (b *fixture) call(testCase script.Case, name string, request peer.Request) string {
	timeout := callTimeout
	if testCase.Bool("no_quorum") {
		timeout = time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := b.instances[name].control.Call(ctx, request)
	if err != nil {
		return "refused"
	}
	if read, ok := response.(peer.ReadResponse); ok {
		return string(read.Original)
	}
	if incarnation, ok := response.(peer.IncarnationResponse); ok {
		return fmt.Sprintf("born=%d", incarnation.StartMS)
	}
	if proposed, ok := response.(peer.ProposeResponse); ok {
		if _, overtaken := proposed.Result.(record.Overtaken); overtaken {
			return "overtaken"
		}
		if done, ok := proposed.Result.(record.Done); ok && done.Version > 0 {
			return fmt.Sprintf("in force: %d", done.Version)
		}
	}
	return "acknowledged"
}

// bind reads the state through an instance, and binds a later order to it.
func (b *fixture) bind(testCase script.Case, name string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	response, err := b.instances[name].control.Call(ctx, peer.ReadRequest{IndexOnly: true})
	read, ok := response.(peer.ReadResponse)
	if err != nil || !ok || read.Index == 0 || len(read.Original) > 0 {
		return "refused"
	}
	b.bound[testCase.Args["order"]] = read.Index
	return ""
}

// setDomain sends an order for a failure domain, bound to the state if a bind command named
// it. In the background its outcome is awaited later.
func (b *fixture) setDomain(testCase script.Case, name string) string {
	order := testCase.Args["order"]
	request := peer.ProposeRequest{Command: record.SetDomain{Domain: testCase.Args["domain"], Out: testCase.Bool("out"), AsOf: b.bound[order]}}
	if !testCase.Bool("background") {
		return b.call(testCase, name, request)
	}
	outcome := make(chan string, 1)
	b.delayed[order] = outcome
	go func() { outcome <- b.call(testCase, name, request) }()
	return ""
}

// direct sends a request to one instance, as an entry does that follows it, and repeats it
// while there is no leader.
func (b *fixture) direct(name string, request peer.Request) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	pool := peer.NewPool(ctx, peer.Options{})
	for {
		response, err := pool.Call(ctx, control.PeerAddress(addresses[name], b.port), request)
		if probe, ok := response.(peer.QuarantineProbeResponse); err == nil && ok {
			return fmt.Sprintf("allowed: %v, ask again in 25 to 30 s: %v", probe.Allowed, probe.AskAgainMS > 25_000 && probe.AskAgainMS <= 30_000)
		}
		if err == nil {
			return "acknowledged"
		}
		if !timer.Pause(ctx, 20*time.Millisecond) {
			return "refused"
		}
	}
}

// incompressible returns bytes that stay as many when they are compressed.
func incompressible(count int) []byte {
	data := make([]byte, count)
	_, _ = rand.NewChaCha8([32]byte{}).Read(data)
	return data
}
