//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

func init() {
	cases["bodies"] = func(r *record, trouble bool) (int, error) {
		return stalledBodies(r, trouble, stall{timeoutMS: 2000, rate: 50})
	}
	cases["evicted"] = func(r *record, trouble bool) (int, error) {
		return stalledBodies(r, trouble, stall{timeoutMS: 20000, rate: 70})
	}
}

const (
	// bodyBytes is the size of the bodies: far below the limit of the configuration.
	bodyBytes = 1_000_000
	// missingBytes is how far short of its end a body stops.
	missingBytes = 5
	// bodyClients is the number of clients.
	bodyClients = 1300
)

// stall describes a crowd of clients whose bodies stop.
type stall struct {
	// timeoutMS is the time of the route and of the clients.
	timeoutMS int
	// rate is how many clients start in a second.
	rate int
}

// stalledBodies runs a crowd of clients that send large bodies of legal size, stop just short
// of their end and stay open. Without the disruption the same clients send whole bodies.
func stalledBodies(r *record, trouble bool, crowdOf stall) (int, error) {
	s, err := crowdSystem(crowdOf.timeoutMS, 600)
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
	return c.watch(r, front, bodyClients, crowdOf.rate, 3*time.Second, func(n int) {
		size, end := bodyBytes, ""
		if !trouble {
			end = "Connection: close\r\n"
		}
		head := fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nOriolepost-Request-Id: c%d\r\nOriolepost-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n", n, crowdOf.timeoutMS, end, size)
		conn := c.connect(front, head)
		if conn == nil {
			return
		}
		go c.readAnswer(conn)
		if trouble {
			size -= missingBytes
		}
		_, _ = conn.Write(make([]byte, size))
	}), nil
}
