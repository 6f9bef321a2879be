//go:build review

package main

import (
	"fmt"
	"time"
)

// zero starts a system whose first configuration has the version r0; without the disruption
// it has the version r1.
func zero(s *system) (broken bool, err error) {
	a, b, c := s.add("core-palermo-1", "palermo", true), s.add("core-catania-1", "catania", true), s.add("core-ragusa-1", "ragusa", true)
	fronts := []*machine{s.add("front-palermo-1", "palermo", false), s.add("front-catania-1", "catania", false)}
	core := []*machine{a, b, c}
	for _, m := range append(core, fronts...) {
		if err := m.start(true, a, b, c); err != nil {
			return false, err
		}
	}
	for i, zone := range []string{"palermo", "catania", "ragusa"} {
		v, err := s.serve(fmt.Sprintf("i-booking-%d", i+1), "booking", zone)
		if err != nil {
			return false, err
		}
		v.announce("booking", v.born, core, v.stop)
	}
	first := 0
	if !s.trouble {
		first = 1
	}
	if err := s.configure(10*time.Second, first, core...); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	for _, m := range core {
		if version := s.read(m); version != fmt.Sprintf("r%d", first) {
			return false, fmt.Errorf("%s reads version %q", m.name, version)
		}
	}
	served := s.load(fronts, "/a/")
	s.note("served: %d of %d", served, perPath)
	return served == 0, nil
}
