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
	"github.com/oriolepost/oriolepost/standin"
)

const (
	// awaitLimit bounds the wait for a state.
	awaitLimit = 25 * time.Second
	awaitPause = 25 * time.Millisecond
)

// verbs are the commands of the test language besides those of testscript.
func verbs() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"expand":    expand,
		"cluster":   clusterVerb,
		"await":     await,
		"fetch":     fetch,
		"call":      callURL,
		"terminate": terminate,
		"jsonfield": jsonField,
		"post":      post,
		"quiet":     quiet,
		"resume":    resume,
		"changes":   changes,
		"joined":    joined,
		"authority": authority,
	}
}

// pause waits before the next look at a state.
func pause() {
	t := time.NewTimer(awaitPause)
	defer t.Stop()
	<-t.C
}

// expand FILE replaces the variables in a file.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// clusterVerb is "cluster N VOTERS [OPTION...]": it writes the settings n1.json to nN.json of a
// system. The option tls uses the certificates of the verb of that name, tokens
// sets the operators' tokens "root" for all teams and "dental" for that team,
// trace samples all calls into the files trace-n1 to trace-nN, and impatient
// gives callers 100 ms for each part of a body.
func clusterVerb(ts *testscript.TestScript, _ bool, args []string) {
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
	for i := 1; i <= total; i++ {
		s := map[string]any{
			"instance": name(i), "failure_domain": domains[(i-1)%3],
			"listen": map[string]string{
				"caller": address(i, 1), "platform": address(i, 2), "operator": address(i, 3), "peer": address(i, 4),
			},
			"control": control, "peer_plain_text": true,
			"stop": map[string]int{"balancer_ms": 500, "deadline_ms": 4000},
		}
		if i <= voters {
			s["data_folder"] = ts.MkAbs("data-" + name(i))
		}
		for _, option := range args[2:] {
			setOption(ts, s, name(i), option)
		}
		data, err := json.Marshal(s)
		ts.Check(err)
		ts.Check(os.WriteFile(ts.MkAbs(name(i)+".json"), data, 0o600))
		ts.Setenv("CALLER"+strconv.Itoa(i), address(i, 1))
		ts.Setenv("PLATFORM"+strconv.Itoa(i), address(i, 2))
		ts.Setenv("OPERATOR"+strconv.Itoa(i), address(i, 3))
	}
}

func setOption(ts *testscript.TestScript, s map[string]any, name, option string) {
	hash := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	switch option {
	case "tls":
		delete(s, "peer_plain_text")
		s["peer_tls"] = map[string]string{
			"certificate_file": ts.MkAbs(name + ".crt"), "key_file": ts.MkAbs(name + ".key"),
			"authority_file": ts.MkAbs(name + ".ca"),
		}
	case "tokens":
		s["operator_tokens"] = []map[string]string{
			{"team": "*", "sha256": hash("root")}, {"team": "dental", "sha256": hash("dental")},
		}
	case "impatient":
		s["http"] = map[string]any{"body_idle_timeout_ms": 100}
	case "trace":
		s["trace"] = map[string]any{"share": 1, "file": ts.MkAbs("trace-" + name)}
	default:
		ts.Fatalf("cluster: option %q is not known", option)
	}
}

// await URL [STATUS [TEXT]] waits until a GET gives the status and the text.
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
	deadline := time.Now().Add(awaitLimit)
	last := ""
	for time.Now().Before(deadline) {
		status, body := get(args[0], nil)
		last = strconv.Itoa(status) + " " + body
		if (status == want && strings.Contains(body, text)) != neg {
			return
		}
		pause()
	}
	ts.Fatalf("await %v: last was %s", args, last)
}

func get(url string, header map[string]string) (int, string) {
	return request(http.MethodGet, url, "", header)
}

func request(method, url, body string, header map[string]string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	for k, v := range header {
		if k == "Host" {
			r.Host = v
		}
		r.Header.Set(k, v)
	}
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(r)
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

// fetch URL [NAME:VALUE...] prints status, header and body of a GET.
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

// post URL BODY sends a POST, and fails unless the answer is 200.
func post(ts *testscript.TestScript, _ bool, args []string) {
	response, err := http.Post(args[0], "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		ts.Fatalf("post %v: status %d", args, response.StatusCode)
	}
}

// quietTime is how long nothing new may come once an order's time is over.
const quietTime = 2 * time.Second

// quiet LIMIT ADDRESS... checks that the stand-ins get no new work from the
// limit on, counted from now.
func quiet(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := time.ParseDuration(args[0])
	ts.Check(err)
	began := time.Now()
	last := map[string]int{}
	for _, address := range args[1:] {
		last[address] = standinRuns(ts, address)
	}
	for time.Since(began) < limit+quietTime {
		for _, address := range args[1:] {
			runs := standinRuns(ts, address)
			if runs != last[address] && time.Since(began) > limit {
				ts.Fatalf("%s began call %d at %v, limit %v", address, runs, time.Since(began), limit)
			}
			last[address] = runs
		}
		pause()
	}
}

// resume NAME ADDRESS lets a stopped process go on, and checks that a stand-in
// gets no new work from that moment on.
func resume(ts *testscript.TestScript, neg bool, args []string) {
	runs := standinRuns(ts, args[1])
	terminate(ts, neg, []string{args[0], "CONT"})
	for began := time.Now(); time.Since(began) < quietTime; pause() {
		if now := standinRuns(ts, args[1]); now != runs {
			ts.Fatalf("%s began %d calls after %s went on", args[1], now-runs, args[0])
		}
	}
}

func standinRuns(ts *testscript.TestScript, address string) int {
	response, err := http.Get("http://" + address + "/oriolepost/standin")
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	var r standin.Report
	ts.Check(json.NewDecoder(response.Body).Decode(&r))
	return r.Runs
}

// joined INSTANCE OPERATOR waits until the instance's data folder is a voter's.
func joined(ts *testscript.TestScript, _ bool, args []string) {
	var id disk.Identity
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("data-"+args[0]+"/identity.json")), &id))
	want := replica.ID(id.Instance, id.ReplicaID)
	c := operator.Client{Address: args[1]}
	deadline := time.Now().Add(awaitLimit)
	var s peer.StatusResponse
	for time.Now().Before(deadline) {
		var err error
		if s, err = c.Status(context.Background()); err == nil && slices.Contains(s.Members.Voters, want) {
			return
		}
		pause()
	}
	ts.Fatalf("%s is not a voter of %+v", want, s.Members)
}

// changes N OPERATOR... puts N versions of a document in force, through the
// instances in turn, and checks that each is the next version.
func changes(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	d := service.Defaults("many")
	for i := range n {
		c := operator.Client{Address: args[1+i%(len(args)-1)]}
		id := "many-" + strconv.Itoa(i)
		done, err := c.Apply(context.Background(), d, operator.ChangeOptions{ChangeID: id})
		ts.Check(err)
		if done.Version != d.Version+1 {
			ts.Fatalf("change %d gave version %d", i, done.Version)
		}
		d.Version = done.Version
	}
}

// call METHOD URL BODY [NAME:VALUE...] prints status, header and body.
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

// terminate NAME SIGNAL sends a signal to a background command of the script.
func terminate(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]os.Signal{
		"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	for _, c := range ts.BackgroundCmds() {
		if c.ProcessState == nil && strings.Contains(strings.Join(c.Args, " "), args[0]) {
			ts.Check(c.Process.Signal(signals[args[1]]))
			if args[1] == "KILL" {
				awaitEnd(ts, c.Process)
			}
			return
		}
	}
	ts.Fatalf("no background command has %q in its arguments", args[0])
}

// awaitEnd waits until a killed process is gone, with its lock and its ports.
func awaitEnd(ts *testscript.TestScript, p *os.Process) {
	for deadline := time.Now().Add(awaitLimit); time.Now().Before(deadline); {
		if errors.Is(p.Signal(syscall.Signal(0)), os.ErrProcessDone) {
			return
		}
		pause()
	}
	ts.Fatalf("process %d did not end", p.Pid)
}

// jsonfield FILE FIELD OP NUMBER compares a number of the last line of a file.
func jsonField(ts *testscript.TestScript, neg bool, args []string) {
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
		ts.Fatalf("field %s is %v", args[1], value)
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
