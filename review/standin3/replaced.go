//go:build review

package main

import "time"

const (
	// catchUp is catch_up_s, and recovery is recovery_s, of the settings.
	catchUp  = 4 * time.Second
	recovery = 15 * time.Second
	grace    = 6 * time.Second
	// readFor is how long the configuration is read back: three times contact_ms.
	readFor = 9 * time.Second
)

// replaced replaces a core machine as planned: the successor has had catch_up_s before the
// other one gets SIGTERM and is removed for good. A second later another machine loses its
// disk. Without the disruption, its process is killed and its disk stays.
func replaced(s *system) (broken bool, err error) {
	a, b, c := s.add("core-palermo-1", "palermo", true), s.add("core-catania-1", "catania", true), s.add("core-ragusa-1", "ragusa", true)
	for _, m := range []*machine{a, b, c} {
		if err := m.start(true, a, b, c); err != nil {
			return false, err
		}
	}
	if err := s.configure(10*time.Second, 1, a, b, c); err != nil {
		return false, err
	}
	d := s.add("core-ragusa-2", "ragusa", true)
	if err := d.start(false, a, b, c); err != nil {
		return false, err
	}
	time.Sleep(catchUp + 2*time.Second)
	if err := s.configure(4*time.Second, 2, d, a, b); err != nil {
		return false, err
	}
	c.terminate(grace)
	s.note("%s is removed for good", c.name)
	time.Sleep(500 * time.Millisecond)
	if err := s.configure(4*time.Second, 3, b, a, d); err != nil {
		return false, err
	}
	a.kill()
	if s.trouble {
		if err := a.loseDisk(); err != nil {
			return false, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	if err := a.start(false, a, b, d); err != nil {
		return false, err
	}
	time.Sleep(recovery)
	s.note("%v after all machines are back, the configuration is read back", recovery)
	for end := time.Now().Add(readFor); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, m := range []*machine{a, b, d} {
			switch version := s.read(m); version {
			case "r3":
				return false, nil
			case "":
			default:
				return true, nil
			}
		}
	}
	return true, nil
}
