//go:build review

package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["first-start"] = firstStart }

const (
	// replacementDelay is how long after that an empty machine comes at another address.
	replacementDelay = time.Second
	// firstOrderTime is how long the operator sends the first configuration: ten times the
	// bound ack_ms.
	firstOrderTime = 40 * time.Second
)

// firstStart kills, as it starts, one of the three control instances that the settings name as seeds, at
// the first start of the whole system. It is gone for good. An empty one takes its place at another address.
func firstStart(r *record, program string) int {
	lost := -1
	if trouble {
		lost = 2
	}
	s, err := newSystemWithout(r, program, 3, 3, lost)
	if err != nil {
		r.add("could not start: %v", err)
		return failed
	}
	defer s.stop()
	if trouble {
		time.Sleep(replacementDelay)
		if err := s.replace(2, s.ip(9)); err != nil {
			r.add("could not start: %v", err)
			return failed
		}
	}
	controls := s.controlAddresses()
	for i := range 3 {
		v, err := newServer(r, fmt.Sprintf("i-%d", i), "booking", zones[i], address(s.ip(120+i), serverPort), controls, func(*server, *http.Request, []byte) {})
		if err != nil {
			r.add("could not start: %v", err)
			return failed
		}
		defer v.end()
	}
	begun := time.Now()
	acknowledged := false
	for n := 0; !acknowledged && time.Since(begun) < firstOrderTime; n++ {
		to := controls[n%len(controls)]
		status, answer := call(http.MethodPost, to, "/api/Config.Replace", configuration(1, "safe", "booking"), time.Second)
		r.add("operator: configuration r1 to %s: status %d %s", to, status, strings.TrimSpace(string(answer)))
		acknowledged = status == http.StatusOK
		time.Sleep(200 * time.Millisecond)
	}
	r.add("the first configuration was acknowledged: %v, after %.1f s", acknowledged, time.Since(begun).Seconds())
	time.Sleep(4 * time.Second)
	count := answers(s, "client")
	r.add("answers by status: %v", count)
	if acknowledged && count[http.StatusOK] > 0 {
		return held
	}
	if !trouble {
		return failed
	}
	return broken
}

// replace starts an empty control instance at another address in place of one that is gone
// for good.
func (s *system) replace(index int, ip string) error {
	gone := s.control[index]
	n := &instance{name: gone.name + "-new", ip: ip, settings: gone.settings}
	self := n.settings["self"].(map[string]any)
	self["node_name"], self["ip"], self["bootstrap"], self["data_dir"] = n.name, ip, false, filepath.Join(s.folder, n.name+".data")
	n.settings["network"].(map[string]any)["listen"] = map[string]any{"control": address(ip, controlPort)}
	gone.command = nil
	s.control[index] = n
	return s.start(n)
}
