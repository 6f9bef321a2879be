//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = plannedStop }

const (
	// stopClients is the number of clients, each with one connection. Each sends
	// pipelined safe requests, the further ones before the first has been answered.
	stopClients = 24
	pipelined   = 3
	// uploadBytes is the size of a request's body, and answerBytes that of an answer's.
	uploadBytes = 300_000
	answerBytes = 200_000
	// workTime is the time that a server works on a request.
	workTime = 600 * time.Millisecond
	// stopAfter is the time from the start of the clients to the SIGTERM: the first
	// request of each connection is at its server then.
	stopAfter = 300 * time.Millisecond
)

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

// uploads are the requests of all clients.
type uploads struct {
	mu   sync.Mutex
	list []*upload
	byID map[string]*upload
}

func (u *uploads) add(id string) *upload {
	u.mu.Lock()
	defer u.mu.Unlock()
	one := &upload{id: id, err: fmt.Errorf("no answer came")}
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
	time.Sleep(workTime)
	w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
	n, err := w.Write(make([]byte, answerBytes))
	u.mu.Lock()
	defer u.mu.Unlock()
	one.answered = err == nil && n == answerBytes
}

// send sends pipelined requests on one connection and reads the answers.
func (u *uploads) send(address string, client int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	var list []*upload
	var out bytes.Buffer
	for i := range pipelined {
		one := u.add(fmt.Sprintf("c%d-%d", client, i))
		list = append(list, one)
		fmt.Fprintf(&out, "PUT /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nOriolepost-Request-Id: %s\r\nOriolepost-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", one.id, uploadBytes)
		out.Write(make([]byte, uploadBytes))
	}
	go func() { _, _ = conn.Write(out.Bytes()) }()
	reader := bufio.NewReader(conn)
	for _, one := range list {
		response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPut})
		if err != nil {
			u.note(one, 0, 0, err)
			return
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

// plannedStop stops a front by SIGTERM while servers work on the requests of its clients.
func plannedStop(r *record, trouble bool) (int, error) {
	s, err := newSystem(1, 1)
	if err != nil {
		return impossible, err
	}
	defer s.stop()
	configuration := configurationOf(7, []map[string]any{routeOf("r-1", "/lohu930/", "safe", "booking", 4000, 1500, 2)}, "booking")
	if err := s.startAll(configuration); err != nil {
		return impossible, err
	}
	all := &uploads{byID: map[string]*upload{}}
	for n := range serverCount {
		if _, err := s.startServer(n, "booking", serverSlots, all.serve); err != nil {
			return impossible, err
		}
	}
	front := s.fronts[0]
	if err := await(10*time.Second, func() bool { return ordinary(front) == 200 }); err != nil {
		return impossible, err
	}
	var clients sync.WaitGroup
	for c := range stopClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			all.send(front.front(), c)
		}()
	}
	time.Sleep(stopAfter)
	if trouble {
		r.line("SIGTERM to %s", front.name)
		front.signal(syscall.SIGTERM)
	}
	clients.Wait()
	time.Sleep(workTime)
	all.mu.Lock()
	defer all.mu.Unlock()
	run, lost := 0, 0
	for _, one := range all.list {
		if one.runAt.IsZero() {
			continue
		}
		run++
		r.line("%s: a server began to work on it at %.3f and has written its whole answer: %v; its client got status %d and %d of %d bytes, error: %v",
			one.id, one.runAt.Sub(r.began).Seconds(), one.answered, one.status, one.got, answerBytes, one.err)
		if one.answered && one.err != nil {
			lost++
		}
	}
	r.line("requests that ran: %d; of these answered in whole by their server and not to their client: %d", run, lost)
	if run == 0 {
		return impossible, fmt.Errorf("no request ran")
	}
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
