package proofs

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/operator"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/testserver"
)

const (
	// awaitTimeout is the time to wait for an expected state of a system.
	awaitTimeout = 25 * time.Second
	pollInterval = 25 * time.Millisecond
)

// verbs returns the commands of the scenarios besides those of testscript.
func verbs() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"expand":    expand,
		"cluster":   writeSettings,
		"await":     await,
		"fetch":     fetch,
		"call":      callURL,
		"terminate": signalProcess,
		"jsonfield": compareJSONField,
		"post":      post,
		"quiet":     checkNoNewRuns,
		"resume":    resumeProcess,
		"changes":   applyChanges,
		"joined":    awaitVoter,
		"authority": writeCertificates,
	}
}

// waitPollInterval waits until a state is to be polled again.
func waitPollInterval() {
	t := time.NewTimer(pollInterval)
	defer t.Stop()
	<-t.C
}

// expand FILE... replaces the variables in files.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// cluster N VOTERS [OPTION...] writes the settings files n1.json to nN.json of
// a system. The option tls uses the certificates that the command authority
// wrote. The option tokens sets the operator tokens "root" for all teams and
// "dental" for the team dental. The option trace samples all calls into the
// files trace-n1 to trace-nN. The option impatient sets a timeout of 100 ms for
// each part of a body. With the option standbys, the instances behind the first voters
// have a disk, and replace a voter after 1.5 s without contact.
func writeSettings(ts *testscript.TestScript, _ bool, args []string) {
	total, err := strconv.Atoi(args[0])
	ts.Check(err)
	voters, err := strconv.Atoi(args[1])
	ts.Check(err)
	address := func(node, listener int) string {
		return ts.Getenv("A" + strconv.Itoa((node-1)*4+listener))
	}
	domains := []string{"palermo", "catania", "ragusa"}
	name := func(i int) string { return "n" + strconv.Itoa(i) }
	var control []map[string]any
	for i := 1; i <= voters; i++ {
		control = append(control, map[string]any{
			"instance": name(i), "failure_domain": domains[(i-1)%3], "address": address(i, 4), "voter": true,
		})
	}
	standbys := slices.Contains(args[2:], "standbys")
	for i := voters + 1; standbys && i <= total; i++ {
		control = append(control, map[string]any{"instance": name(i), "failure_domain": domains[(i-1)%3], "address": address(i, 4)})
	}
	for i := 1; i <= total; i++ {
		settings := map[string]any{
			"instance": name(i), "failure_domain": domains[(i-1)%3],
			"listen": map[string]string{
				"caller": address(i, 1), "platform": address(i, 2), "operator": address(i, 3), "peer": address(i, 4),
			},
			"control": control, "peer_plain_text": true,
			"stop": map[string]int{"balancer_ms": 500, "deadline_ms": 4000},
		}
		if i <= voters || standbys {
			settings["data_folder"] = ts.MkAbs("data-" + name(i))
		}
		for _, option := range args[2:] {
			setOption(ts, settings, name(i), option)
		}
		data, err := json.Marshal(settings)
		ts.Check(err)
		ts.Check(os.WriteFile(ts.MkAbs(name(i)+".json"), data, 0o600))
		ts.Setenv("CALLER"+strconv.Itoa(i), address(i, 1))
		ts.Setenv("PLATFORM"+strconv.Itoa(i), address(i, 2))
		ts.Setenv("OPERATOR"+strconv.Itoa(i), address(i, 3))
	}
}

func setOption(ts *testscript.TestScript, settings map[string]any, name, option string) {
	hash := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	switch option {
	case "tls":
		delete(settings, "peer_plain_text")
		settings["peer_tls"] = map[string]string{
			"certificate_file": ts.MkAbs(name + ".crt"), "key_file": ts.MkAbs(name + ".key"),
			"authority_file": ts.MkAbs(name + ".ca"),
		}
	case "tokens":
		settings["operator_tokens"] = []map[string]string{
			{"team": "*", "sha256": hash("root")}, {"team": "dental", "sha256": hash("dental")},
		}
	case "impatient":
		settings["http"] = map[string]any{"body_idle_timeout_ms": 100}
	case "standbys":
		settings["replace_voter_after_ms"] = 1500
	case "trace":
		settings["trace"] = map[string]any{"share": 1, "file": ts.MkAbs("trace-" + name)}
	default:
		ts.Fatalf("cluster: unknown option %q, want tls, tokens, impatient, standbys or trace", option)
	}
}

// await URL [STATUS [TEXT]] waits until a GET returns the status, by default
// 200, and a response that contains the text. With ! it waits until this is not
// so.
func await(ts *testscript.TestScript, neg bool, args []string) {
	want, text := http.StatusOK, ""
	if len(args) > 1 {
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		want = n
	}
	if len(args) > 2 {
		text = args[2]
	}
	deadline := time.Now().Add(awaitTimeout)
	last := ""
	for time.Now().Before(deadline) {
		status, body := get(args[0], nil)
		last = strconv.Itoa(status) + " " + body
		if (status == want && strings.Contains(body, text)) != neg {
			return
		}
		waitPollInterval()
	}
	ts.Fatalf("await %v: not reached within 25 s; last response: %s", args, last)
}

func get(url string, header map[string]string) (int, string) {
	return request(http.MethodGet, url, "", header)
}

func request(method, url, body string, header map[string]string) (int, string) {
	httpRequest, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for k, v := range header {
		if k == "Host" {
			httpRequest.Host = v
		}
		httpRequest.Header.Set(k, v)
	}
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(httpRequest)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return response.StatusCode, err.Error()
	}
	var head strings.Builder
	_ = response.Header.Write(&head)
	return response.StatusCode, head.String() + "\n" + string(answer)
}

// fetch URL [NAME:VALUE...] sends a GET and prints the status, the header and
// the body of the response.
func fetch(ts *testscript.TestScript, _ bool, args []string) {
	header := map[string]string{}
	for _, a := range args[1:] {
		k, v, _ := strings.Cut(a, ":")
		header[k] = v
	}
	status, body := get(args[0], header)
	_, err := ts.Stdout().Write([]byte(strconv.Itoa(status) + "\n" + body))
	ts.Check(err)
}

// post URL BODY sends a POST and fails unless the status of the response is
// 200.
func post(ts *testscript.TestScript, _ bool, args []string) {
	response, err := http.Post(args[0], "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("post %v: got status %d, want 200", args, response.StatusCode)
	}
}

// noRunsPeriod is the time during which no new run may begin, once the time
// limit of an order has passed.
const noRunsPeriod = 2 * time.Second

// quiet LIMIT ADDRESS... checks that no new run begins at the test servers once
// LIMIT has passed, counted from now.
func checkNoNewRuns(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	began := time.Now()
	last := map[string]int{}
	for _, address := range args[1:] {
		last[address] = serverRuns(ts, address)
	}
	for time.Since(began) < limit+noRunsPeriod {
		for _, address := range args[1:] {
			runs := serverRuns(ts, address)
			if runs != last[address] && time.Since(began) > limit {
				ts.Fatalf("test server %s began run %d after %v; no run may begin after %v", address, runs, time.Since(began), limit)
			}
			last[address] = runs
		}
		waitPollInterval()
	}
}

// resume NAME ADDRESS resumes a stopped process and checks that no new run
// begins at the test server from then on.
func resumeProcess(ts *testscript.TestScript, neg bool, args []string) {
	runs := serverRuns(ts, args[1])
	signalProcess(ts, neg, []string{args[0], "CONT"})
	for began := time.Now(); time.Since(began) < noRunsPeriod; waitPollInterval() {
		if now := serverRuns(ts, args[1]); now != runs {
			ts.Fatalf("test server %s began %d runs after %s was resumed, want 0", args[1], now-runs, args[0])
		}
	}
}

func serverRuns(ts *testscript.TestScript, address string) int {
	response, err := http.Get("http://" + address + "/oriolepost/standin")
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	var r testserver.Report
	ts.Check(json.NewDecoder(response.Body).Decode(&r))
	return r.Runs
}

// joined INSTANCE OPERATOR VOTERS waits until the replica that the instance's data folder
// names is one of so many voters. With more of them, the voter that it replaces still counts.
// It asks the operator address OPERATOR, which may be that of another instance.
func awaitVoter(ts *testscript.TestScript, _ bool, args []string) {
	var identity disk.Identity
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("data-"+args[0]+"/identity.json")), &identity))
	want := replica.ID(identity.Instance, identity.ReplicaID)
	client := operator.Client{Address: args[1]}
	voters, err := strconv.Atoi(args[2])
	ts.Check(err)
	deadline := time.Now().Add(awaitTimeout)
	var status peer.StatusResponse
	for time.Now().Before(deadline) {
		var err error
		if status, err = client.Status(context.Background()); err == nil && len(status.Members.Voters) == voters && slices.Contains(status.Members.Voters, want) {
			return
		}
		waitPollInterval()
	}
	ts.Fatalf("%s did not become one of %d voters within 25 s; members: %+v", want, voters, status.Members)
}

// changes N OPERATOR... applies N versions of a document through the instances
// in turn, and checks that each change gets the next version.
func applyChanges(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	document := service.Defaults("many")
	for i := range count {
		client := operator.Client{Address: args[1+i%(len(args)-1)]}
		changeID := "many-" + strconv.Itoa(i)
		applied, err := client.Apply(context.Background(), document, operator.ChangeOptions{ChangeID: changeID})
		ts.Check(err)
		if applied.Version != document.Version+1 {
			ts.Fatalf("change %d got version %d, want the version after that of the previous change", i, applied.Version)
		}
		document.Version = applied.Version
	}
}

// call METHOD URL BODY [NAME:VALUE...] sends a request and prints the status,
// the header and the body of the response.
func callURL(ts *testscript.TestScript, _ bool, args []string) {
	header := map[string]string{}
	for _, a := range args[3:] {
		k, v, _ := strings.Cut(a, ":")
		header[k] = v
	}
	status, body := request(args[0], args[1], args[2], header)
	_, err := ts.Stdout().Write([]byte(strconv.Itoa(status) + "\n" + body))
	ts.Check(err)
}

// terminate NAME SIGNAL sends a signal to the background command of the
// scenario that has NAME in its arguments. After KILL it waits for the process
// to exit.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]os.Signal{
		"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	for _, c := range ts.BackgroundCmds() {
		if c.ProcessState == nil && strings.Contains(strings.Join(c.Args, " "), args[0]) {
			ts.Check(c.Process.Signal(signals[args[1]]))
			if args[1] == "KILL" {
				awaitExit(ts, c.Process)
			}
			return
		}
	}
	ts.Fatalf("no running background command has %q in its arguments", args[0])
}

// awaitExit waits until a killed process has exited, so that its lock and its
// ports are free.
func awaitExit(ts *testscript.TestScript, p *os.Process) {
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); {
		if errors.Is(p.Signal(syscall.Signal(0)), os.ErrProcessDone) {
			return
		}
		waitPollInterval()
	}
	ts.Fatalf("process %d did not exit within 25 s after it was killed", p.Pid)
}

// jsonfield FILE FIELD OP NUMBER compares a number in the JSON object on the
// last line of a file. FIELD may be a path with dots.
func compareJSONField(ts *testscript.TestScript, neg bool, args []string) {
	lines := strings.Split(strings.TrimSpace(ts.ReadFile(args[0])), "\n")
	var object map[string]any
	ts.Check(json.Unmarshal([]byte(lines[len(lines)-1]), &object))
	var value any = object
	for _, part := range strings.Split(args[1], ".") {
		m, ok := value.(map[string]any)
		if !ok {
			ts.Fatalf("%s has no field %s", args[0], args[1])
		}
		value = m[part]
	}
	number, ok := value.(float64)
	if !ok {
		ts.Fatalf("field %s is %v, want a number", args[1], value)
	}
	want, err := strconv.ParseFloat(args[3], 64)
	ts.Check(err)
	holds := map[string]bool{
		"==": number == want, ">=": number >= want, "<=": number <= want, ">": number > want, "<": number < want,
	}[args[2]]
	if holds == neg {
		ts.Fatalf("field %s is %v, wanted %s %s", args[1], number, args[2], args[3])
	}
}
