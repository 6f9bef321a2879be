//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["damaged-config"] = damagedConfig }

// damagedByte is a byte that no text in UTF-8 holds.
const damagedByte = 0xff

// damagedConfig sends a configuration of which one byte is damaged, so that it is no JSON
// text any more.
func damagedConfig(r *record, program string) int {
	s, err := newSystem(r, program, 3, 2)
	if err != nil {
		r.add("could not start: %v", err)
		return failed
	}
	defer s.stop()
	controls := s.controlAddresses()
	if status, _ := s.order("configuration r1", "/api/Config.Replace", configuration(1, "safe", "booking"), controls...); status != 200 {
		return failed
	}
	for i := range 3 {
		v, err := newServer(r, fmt.Sprintf("i-%d", i), "booking", zones[i], address(s.ip(120+i), serverPort), controls, func(*server, *http.Request, []byte) {})
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
	time.Sleep(4 * time.Second)
	before := answers(s, "before")
	second := configuration(2, "safe", "booking")
	if trouble {
		second = bytes.Replace(second, []byte("rounds.example"), []byte("round"+string([]byte{damagedByte})+".example"), 1)
	}
	status, _ := s.order(fmt.Sprintf("configuration r2 %q", second), "/api/Config.Replace", second, controls...)
	time.Sleep(3 * time.Second)
	after := answers(s, "after")
	readStatus, read := call(http.MethodGet, controls[0], "/api/Config.Read", nil, time.Second)
	r.add("operator: reads the configuration: status %d %q", readStatus, read)
	r.add("answers by status before r2: %v, after it: %v", before, after)
	if before[200] == 0 || status == 0 {
		return failed
	}
	if !trouble {
		if status == 200 && after[404] == 0 && strings.Contains(string(read), `"r2"`) {
			return held
		}
		return failed
	}
	if status/100 == 2 || readStatus == 200 && bytes.IndexByte(read, damagedByte) >= 0 {
		return broken
	}
	return held
}

// answers sends some requests to each entry and counts the answers by status.
func answers(s *system, when string) map[int]int {
	count := map[int]int{}
	for n := range 20 {
		entry := s.entries[n%len(s.entries)]
		id := fmt.Sprintf("%s-%d", when, n)
		status := get(address(entry.ip, frontPort), "/booking/"+id, id)
		s.record.add("client: request %s to %s: status %d", id, entry.name, status)
		count[status]++
	}
	return count
}
