//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late-order"] = lateOrder }

const (
	// holdTime is how long the operator's bytes to one control instance are held up.
	holdTime = 3500 * time.Millisecond
	// evacuationBound is the bound evacuation_ms of the settings.
	evacuationBound = 5 * time.Second
	// watchTime is how long after that bound arrivals are counted.
	watchTime = 5 * time.Second
)

// arrivals holds when requests began to run at the servers of one zone.
type arrivals struct {
	mu   sync.Mutex
	list []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, time.Now())
}

func (a *arrivals) between(from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, at := range a.list {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// lateOrder delays the operator's connection to one control instance. An order that the
// operator has given up there, and that another instance has acknowledged meanwhile,
// arrives after a newer order was acknowledged.
func lateOrder(r *record, program string) int {
	s, err := newSystem(r, program, 3, 3)
	if err != nil {
		r.add("could not start: %v", err)
		return failed
	}
	defer s.stop()
	controls := s.controlAddresses()
	if status, _ := s.order("configuration r1", "/api/Config.Replace", configuration(1, "safe", "booking"), controls...); status != 200 {
		return failed
	}
	evacuated := &arrivals{}
	for i := range 6 {
		zone := zones[i%len(zones)]
		v, err := newServer(r, fmt.Sprintf("i-%d", i), "booking", zone, address(s.ip(120+i), serverPort), controls, func(v *server, q *http.Request, _ []byte) {
			if v.zone == "palermo" {
				evacuated.add()
				r.add("server %s in palermo runs request %s", v.id, q.Header.Get("Oriolepost-Request-Id"))
			}
		})
		if err != nil {
			r.add("could not start: %v", err)
			return failed
		}
		defer v.end()
	}
	if !s.awaitReady(20 * time.Second) {
		r.add("the entries are not ready")
		return failed
	}
	leader := s.leader()
	if leader == nil {
		return failed
	}
	link, err := newRelay(address(s.ip(60), relayPort), address(leader.ip, controlPort))
	if err != nil {
		return failed
	}
	var others []string
	for _, n := range s.control {
		if n != leader {
			others = append(others, address(n.ip, controlPort))
		}
	}
	r.add("the operator reaches %s through the relay at %s", leader.name, address(s.ip(60), relayPort))
	stop, done := make(chan struct{}), make(chan struct{})
	go load(s, stop, done)
	defer func() { close(stop); <-done }()
	time.Sleep(3 * time.Second)

	begin, finish := "/api/Evacuations.Begin/palermo", "/api/Evacuations.Finish/palermo"
	if status, _ := s.order("begin 1", begin, nil, others...); status != 200 {
		return failed
	}
	time.Sleep(6 * time.Second)
	if trouble {
		r.add("network: holds what the operator sends to %s", leader.name)
		link.hold()
	}
	heldAt := time.Now()
	if status, _ := s.order("finish 1", finish, nil, append([]string{address(s.ip(60), relayPort)}, others...)...); status != 200 {
		return failed
	}
	time.Sleep(time.Second)
	status, acknowledged := s.order("begin 2", begin, nil, others...)
	if status != 200 {
		return failed
	}
	time.Sleep(time.Until(heldAt.Add(holdTime)))
	if trouble {
		r.add("network: passes on what it held")
	}
	link.pass()
	bound := acknowledged.Add(evacuationBound)
	time.Sleep(time.Until(bound.Add(watchTime)))
	late := evacuated.between(bound, bound.Add(watchTime))
	r.add("requests that ran in palermo from %v to %v after begin 2 was acknowledged: %d", evacuationBound, evacuationBound+watchTime, late)
	if late > 0 {
		return broken
	}
	return held
}

// load sends requests to all entries in turn, each on a connection of its own.
func load(s *system, stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			id := fmt.Sprintf("%016x", n)
			entry := s.entries[n%len(s.entries)]
			status := get(address(entry.ip, frontPort), "/booking/"+id, id)
			s.record.add("client: request %s to %s: status %d", id, entry.name, status)
		}()
	}
}

func get(to, path, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+to+path, nil)
	if err != nil {
		return 0
	}
	request.Host = "rounds.example"
	request.Header.Set("Oriolepost-Request-Id", id)
	request.Header.Set("Oriolepost-Deadline-Ms", "2000")
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
