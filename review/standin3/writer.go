//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	applied = 2 * time.Second // config_apply_ms
	contact = 3 * time.Second // contact_ms
	perPath = 40
)

// routes returns a configuration with a route /a/ to booking and, if records is true, a route
// /c/ to records.
func routes(version int, records bool) string {
	text := configuration(version)
	if !records {
		return text
	}
	text = strings.Replace(text, `],"services":[`, `,{"name":"r-c","host":"a.example","path_prefix":"/c/","route_type":"safe","timeout_ms":2000,`+
		`"target_latency_ms":600,"priority":1,"service":"records","max_attempts":2}],"services":[`+
		`{"name":"records","health_path":"/health","max_connections":240,"protocol":"h1","tls":false,"slow_start_s":3.0,"warmup_per_s":6.1},`, 1)
	return text
}

// writer adds a service whose servers run and announce themselves already. Another writer
// sends heartbeats with the ids and addresses of these servers, for a service that no
// configuration names. It ends before the configuration comes. Without the disruption there is
// no other writer.
func writer(s *system) (broken bool, err error) {
	a, b, c := s.add("core-palermo-1", "palermo", true), s.add("core-catania-1", "catania", true), s.add("core-ragusa-1", "ragusa", true)
	fronts := []*machine{s.add("front-palermo-1", "palermo", false), s.add("front-catania-1", "catania", false)}
	core := []*machine{a, b, c}
	for _, m := range append(core, fronts...) {
		if err := m.start(true, a, b, c); err != nil {
			return false, err
		}
	}
	if err := s.configureWith(10*time.Second, 1, routes(1, false), core...); err != nil {
		return false, err
	}
	var servers []*server
	for i, zone := range []string{"palermo", "catania", "ragusa"} {
		for _, service := range []string{"booking", "records"} {
			v, err := s.serve(fmt.Sprintf("i-%s-%d", service, i+1), service, zone)
			if err != nil {
				return false, err
			}
			servers = append(servers, v)
			v.announce(service, v.born, core, v.stop)
			if s.trouble && service == "records" {
				v.otherWriter(core)
			}
		}
	}
	time.Sleep(6 * time.Second)
	for _, v := range servers {
		v.endOtherWriter()
	}
	time.Sleep(contact)
	if err := s.configureWith(4*time.Second, 2, routes(2, true), core...); err != nil {
		return false, err
	}
	time.Sleep(applied + contact)
	served := map[string]int{}
	for i := range perPath {
		for _, path := range []string{"/a/", "/c/"} {
			status, answer := s.request(fronts[i%len(fronts)], path)
			if status == 200 {
				served[path]++
			}
			if i < 4 || i >= perPath-2 {
				s.note("request %s at %s: %d %s", path, fronts[i%len(fronts)].name, status, answer)
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	s.note("served on the first route: %d of %d, on the route that was added: %d of %d", served["/a/"], perPath, served["/c/"], perPath)
	if served["/a/"] < perPath/2 {
		return false, fmt.Errorf("the first route isn't served")
	}
	return 4*served["/c/"] < served["/a/"], nil
}
