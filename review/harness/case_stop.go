//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = plannedStop }

// stopClients is the number of clients, each with one connection. Each sends safe requests,
// the further ones before the first has been answered.
const stopClients = 24

// stopPart is one part of the case: what the clients send.
type stopPart struct {
	name string
	// requests is the number of requests that a client sends at most, one each interval.
	requests int
	interval time.Duration
	// method and bodyBytes describe a request, and answerBytes is the size of the answer
	// that a server sends after working on it for workTime.
	method                 string
	bodyBytes, answerBytes int
	workTime               time.Duration
	// stopAfter is the time from the start of the clients to the SIGTERM, so that requests
	// are at their servers then.
	stopAfter time.Duration
	// stagger is the time between the starts of two clients.
	stagger time.Duration
	// linked is true if the clients connect through links with a delay and small windows.
	linked bool
}

var stopParts = []stopPart{
	{name: "uploads", requests: 3, method: http.MethodPut, bodyBytes: 300_000, answerBytes: 200_000, workTime: 600 * time.Millisecond, stopAfter: 300 * time.Millisecond},
	{name: "reads", requests: 100, interval: 12 * time.Millisecond, method: http.MethodGet, answerBytes: 30_000, workTime: 220 * time.Millisecond, stopAfter: 800 * time.Millisecond, stagger: 20 * time.Millisecond, linked: true},
}

// answerTimeout limits the time in which a client waits for its answers.
const answerTimeout = 12 * time.Second

// upload is a request of the case, as its client and its server saw it.
type upload struct {
	id string
	// runAt is when a server began to work on it, and answered whether that server has
	// written its whole answer.
	runAt    time.Time
	answered bool
	// status, got and err are what the client got: err is nil after a whole answer.
	status, got int
	err         error
}

// errNoAnswer is the error of a request to which no answer came.
var errNoAnswer = errors.New("no answer came")

// uploads are the requests of all clients.
type uploads struct {
	part stopPart
	mu   sync.Mutex
	list []*upload
	byID map[string]*upload
}

func (u *uploads) add(id string) *upload {
	u.mu.Lock()
	defer u.mu.Unlock()
	one := &upload{id: id, err: errNoAnswer}
	u.list = append(u.list, one)
	u.byID[id] = one
	return one
}

// serve is the work of a server.
func (u *uploads) serve(v *server, w http.ResponseWriter, q *http.Request) {
	u.mu.Lock()
	one := u.byID[q.Header.Get("Oriolepost-Request-Id")]
	if one != nil {
		one.runAt = time.Now()
	}
	u.mu.Unlock()
	if one == nil {
		plain(v, w, q)
		return
	}
	time.Sleep(u.part.workTime)
	w.Header().Set("Content-Length", fmt.Sprint(u.part.answerBytes))
	n, err := w.Write(make([]byte, u.part.answerBytes))
	u.mu.Lock()
	defer u.mu.Unlock()
	one.answered = err == nil && n == u.part.answerBytes
}

// send sends requests on one connection and reads the answers. It sends nothing more once
// an answer says that the connection is closed.
func (u *uploads) send(address string, client int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	sent := make(chan *upload, u.part.requests)
	closed := make(chan struct{})
	go func() {
		defer close(sent)
		for i := range u.part.requests {
			select {
			case <-closed:
				return
			default:
			}
			one := u.add(fmt.Sprintf("%s-%d-%d", u.part.name, client, i))
			sent <- one
			var out bytes.Buffer
			fmt.Fprintf(&out, "%s /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nOriolepost-Request-Id: %s\r\nOriolepost-Deadline-Ms: 8000\r\n", u.part.method, one.id)
			if u.part.bodyBytes > 0 {
				fmt.Fprintf(&out, "Content-Length: %d\r\n", u.part.bodyBytes)
			}
			out.WriteString("\r\n")
			out.Write(make([]byte, u.part.bodyBytes))
			if _, err := conn.Write(out.Bytes()); err != nil {
				return
			}
			time.Sleep(u.part.interval)
		}
	}()
	reader := bufio.NewReader(conn)
	for one := range sent {
		response, err := http.ReadResponse(reader, &http.Request{Method: u.part.method})
		if err != nil {
			u.note(one, 0, 0, err)
			return
		}
		if response.Close {
			close(closed)
		}
		data, err := io.ReadAll(response.Body)
		u.note(one, response.StatusCode, len(data), err)
		if err != nil || response.Close {
			return
		}
	}
}

func (u *uploads) note(one *upload, status, got int, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	one.status, one.got, one.err = status, got, err
}

// plannedStop plays the parts of the case.
func plannedStop(r *record, trouble bool) (int, error) {
	result := held
	for _, part := range stopParts {
		code, err := playStop(r, trouble, part)
		if err != nil {
			return impossible, err
		}
		result = max(result, code)
	}
	return result, nil
}

// playStop stops a front by SIGTERM while servers work on the requests of its clients.
func playStop(r *record, trouble bool, part stopPart) (int, error) {
	s, err := newSystem(1, 1)
	if err != nil {
		return impossible, err
	}
	defer s.stop()
	configuration := configurationOf(7, []map[string]any{routeOf("r-1", "/lohu930/", "safe", "booking", 4000, 1500, 2)}, "booking")
	if err := s.startAll(configuration); err != nil {
		return impossible, err
	}
	all := &uploads{part: part, byID: map[string]*upload{}}
	for n := range serverCount {
		if _, err := s.startServer(n, "booking", serverSlots, all.serve); err != nil {
			return impossible, err
		}
	}
	front := s.fronts[0]
	if err := await(10*time.Second, func() bool { return ordinary(front) == 200 }); err != nil {
		return impossible, err
	}
	address := front.front()
	if part.linked {
		address = net.JoinHostPort(s.prefix+"90", strconv.Itoa(front.port+frontOffset))
		link, err := startLink(address, front.front())
		if err != nil {
			return impossible, err
		}
		defer link.Close()
	}
	var clients sync.WaitGroup
	for c := range stopClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(c) * part.stagger)
			all.send(address, c)
		}()
	}
	time.Sleep(part.stopAfter)
	if trouble {
		r.line("%s: SIGTERM to %s", part.name, front.name)
		front.signal(syscall.SIGTERM)
	}
	clients.Wait()
	time.Sleep(part.workTime)
	return all.judge(r)
}

// judge counts the requests that ran and were answered in whole by their servers, and whose
// clients got no whole answer.
func (u *uploads) judge(r *record) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	run, lost := 0, 0
	for _, one := range u.list {
		if one.runAt.IsZero() {
			continue
		}
		run++
		if one.answered && one.err != nil {
			lost++
			r.line("%s: a server began to work on it at %.3f and has written its whole answer; its client got status %d and %d of %d bytes, error: %v",
				one.id, one.runAt.Sub(r.began).Seconds(), one.status, one.got, u.part.answerBytes, one.err)
		}
	}
	r.line("%s: requests sent %d, run %d; of these answered in whole by their server and not to their client %d", u.part.name, len(u.list), run, lost)
	if run == 0 {
		return impossible, errors.New("no request ran")
	}
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
