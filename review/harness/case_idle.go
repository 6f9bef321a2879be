//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["idle"] = idleUploads }

const (
	// idleBytes is the size of the bodies, idleClients the number of clients, and idleRate
	// how many start in a second.
	idleBytes   = 300_000
	idleClients = 1300
	idleRate    = 130
)

// idleUploads runs a crowd of clients each of which sends one large body of legal size, gets
// its answer, and keeps its connection open for further requests. Without the disruption, the
// same clients send a small body.
func idleUploads(r *record, trouble bool) (int, error) {
	s, err := crowdSystem(2000, 600)
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
	size := idleBytes
	if !trouble {
		size = 1000
	}
	return c.watch(r, front, idleClients, idleRate, 3*time.Second, func(n int) {
		head := fmt.Sprintf("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nOriolepost-Request-Id: c%d\r\nOriolepost-Deadline-Ms: 2000\r\nContent-Length: %d\r\n\r\n", n, size)
		conn := c.connect(front, head)
		if conn == nil {
			return
		}
		go c.readAnswer(conn)
		_, _ = conn.Write(make([]byte, size))
	}), nil
}
