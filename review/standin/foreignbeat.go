//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["foreign-beat"] = foreignBeat }

const (
	// agentBeats is the number of heartbeats of the other writer, and beatInterval the
	// time between two.
	agentBeats   = 4
	beatInterval = 1500 * time.Millisecond
)

// ran counts the requests that the server of the service records ran, by service asked.
type ran struct {
	mu    sync.Mutex
	count map[string]int
}

// foreignBeat sends heartbeats of another writer: an agent on a server's machine, which
// still announces the server under its former service and writes the fields in a form of
// its own. In the first half of the case the field born is a text, in the second half the
// field sequence is missing.
func foreignBeat(r *record, program string) int {
	total := 0
	for _, form := range []string{"born is a text", "sequence is missing"} {
		count, ok := foreignForm(r, program, form)
		if !ok {
			return failed
		}
		r.add("%s: requests for booking that the server of records ran: %d", form, count)
		total += count
	}
	if total > 0 {
		return broken
	}
	return held
}

func foreignForm(r *record, program, form string) (wrong int, ok bool) {
	s, err := newSystem(r, program, 3, 2)
	if err != nil {
		r.add("could not start: %v", err)
		return 0, false
	}
	defer s.stop()
	controls := s.controlAddresses()
	if status, _ := s.order("configuration r1", "/api/Config.Replace", configuration(1, "safe", "booking", "records"), controls...); status != 200 {
		return 0, false
	}
	asked := &ran{count: map[string]int{}}
	run := func(v *server, q *http.Request, _ []byte) {
		if v.service == "records" {
			r.add("server %s of records runs %s %s", v.id, q.Method, q.URL.Path)
			asked.mu.Lock()
			asked.count[q.URL.Path[:9]]++
			asked.mu.Unlock()
		}
	}
	var records *server
	for i, service := range []string{"booking", "booking", "booking", "records"} {
		v, err := newServer(r, fmt.Sprintf("i-%d", i), service, zones[i%len(zones)], address(s.ip(120+i), serverPort), controls, run)
		if err != nil {
			r.add("could not start: %v", err)
			return 0, false
		}
		defer v.end()
		records = v
	}
	if !s.awaitReady(20 * time.Second) {
		r.add("the entries are not ready")
		return 0, false
	}
	time.Sleep(2 * time.Second)
	stop, done := make(chan struct{}), make(chan struct{})
	go load(s, stop, done)
	agentStart := time.Now().UnixMilli()
	for n := 1; n <= agentBeats; n++ {
		beat := records.heartbeat(n)
		beat["born"] = agentStart
		beat["info"].(map[string]any)["service"] = "booking"
		if form == "born is a text" {
			beat["born"] = fmt.Sprint(agentStart)
		} else {
			delete(beat["status"].(map[string]any), "sequence")
		}
		if trouble {
			body, _ := json.Marshal(beat)
			status, answer := call(http.MethodPost, controls[n%len(controls)], "/api/Instances.Heartbeat/"+records.id, body, time.Second)
			r.add("other writer: heartbeat %s: status %d %s", body, status, answer)
		}
		time.Sleep(beatInterval)
	}
	close(stop)
	<-done
	asked.mu.Lock()
	defer asked.mu.Unlock()
	return asked.count["/booking/"], true
}
