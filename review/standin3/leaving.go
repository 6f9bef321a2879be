//go:build review

package main

import (
	"fmt"
	"time"
)

// leaving starts a system whose servers announce themselves before the first configuration.
// Another writer then sends one heartbeat for each of them, for a service that no
// configuration ever names, with the state draining. Without the disruption it sends none.
func leaving(s *system) (broken bool, err error) {
	a, b, c := s.add("core-palermo-1", "palermo", true), s.add("core-catania-1", "catania", true), s.add("core-ragusa-1", "ragusa", true)
	fronts := []*machine{s.add("front-palermo-1", "palermo", false), s.add("front-catania-1", "catania", false)}
	core := []*machine{a, b, c}
	for _, m := range append(core, fronts...) {
		if err := m.start(true, a, b, c); err != nil {
			return false, err
		}
	}
	var servers []*server
	for i, zone := range []string{"palermo", "catania", "ragusa"} {
		v, err := s.serve(fmt.Sprintf("i-booking-%d", i+1), "booking", zone)
		if err != nil {
			return false, err
		}
		servers = append(servers, v)
		v.announce("booking", v.born, core, v.stop)
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		for _, v := range servers {
			v.namedAsLeaving(core)
		}
	}
	time.Sleep(contact)
	if err := s.configure(4*time.Second, 1, core...); err != nil {
		return false, err
	}
	time.Sleep(applied + contact)
	served := s.load(fronts, "/a/")
	for _, m := range fronts {
		m.terminate(grace)
		if err := m.start(false, a, b, c); err != nil {
			return false, err
		}
	}
	time.Sleep(contact + applied)
	s.note("both fronts have started again")
	servedLater := s.load(fronts, "/a/")
	s.note("served: %d of %d, and %d of %d after the fronts have started again", served, perPath, servedLater, perPath)
	return served+servedLater == 0, nil
}

// load sends requests to the fronts in turn, and returns how many were served.
func (s *system) load(fronts []*machine, path string) (served int) {
	for i := range perPath {
		status, answer := s.request(fronts[i%len(fronts)], path)
		if status == 200 {
			served++
		}
		if i < 2 || i >= perPath-2 {
			s.note("request %s at %s: %d %s", path, fronts[i%len(fronts)].name, status, answer)
		}
		time.Sleep(150 * time.Millisecond)
	}
	return served
}
