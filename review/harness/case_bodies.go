//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

func init() {
	cases["bodies"] = func(r *record, trouble bool) (int, error) { return stalledBodies(r, trouble, 2000, 2000) }
	cases["evicted"] = func(r *record, trouble bool) (int, error) { return stalledBodies(r, trouble, 20000, 20000) }
}

const (
	// bodyBytes is the size of the bodies: far below the limit of the configuration.
	bodyBytes = 1_000_000
	// missingBytes is how far short of its end a body stops.
	missingBytes = 5
	// bodyClients is the number of clients, and bodyRate how many start in a second.
	bodyClients = 1300
	bodyRate    = 50
)

// stalledBodies runs a crowd of clients that send large bodies of legal size, stop just short
// of their end and stay open. Without the disruption the same clients send whole bodies.
func stalledBodies(r *record, trouble bool, timeoutMS, deadlineMS int) (int, error) {
	s, err := crowdSystem(timeoutMS, 600)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return impossible, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := &crowd{ctx: ctx}
	front := s.fronts[0]
	return c.watch(r, front, bodyClients, bodyRate, 3*time.Second, func(n int) {
		head := fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nOriolepost-Request-Id: c%d\r\nOriolepost-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", n, deadlineMS, bodyBytes)
		conn := c.connect(front, head)
		if conn == nil {
			return
		}
		go c.readAnswer(conn)
		sent := bodyBytes
		if trouble {
			sent -= missingBytes
		}
		_, _ = conn.Write(make([]byte, sent))
	}), nil
}
