//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

const (
	// serverSlots is the number of slots of each server, and serverCount that of the servers.
	serverSlots = 6
	serverCount = 8
)

// crowdSystem starts a control instance, a front and servers, and waits until an ordinary
// request is answered.
func crowdSystem(timeoutMS, targetMS int) (*system, error) {
	s, err := newSystem(1, 1)
	if err != nil {
		return nil, err
	}
	configuration := configurationOf(7, []map[string]any{routeOf("r-1", "/lohu930/", "safe", "booking", timeoutMS, targetMS, 2)}, "booking")
	if err := s.startAll(configuration); err != nil {
		return s, err
	}
	for n := range serverCount {
		if _, err := s.startServer(n, "booking", serverSlots, plain); err != nil {
			return s, err
		}
	}
	return s, await(10*time.Second, func() bool { return ordinary(s.fronts[0]) == 200 })
}

// ordinary sends one small request and returns its status.
func ordinary(m *machine) int {
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	fmt.Fprintf(conn, "GET /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nOriolepost-Request-Id: o%d\r\nOriolepost-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n", time.Now().UnixNano())
	buffer := make([]byte, 64)
	n, _ := conn.Read(buffer)
	var status int
	_, _ = fmt.Sscanf(string(buffer[:n]), "HTTP/1.1 %d", &status)
	return status
}

// crowd is a number of clients that stay connected.
type crowd struct {
	ctx                     context.Context
	open, answered, refused atomic.Int32
}

// watch starts clients at a rate until there are enough of them, and records the memory of a
// front twice a second. It returns the result of the case: the process must live and stay
// within the memory of its machine.
func (c *crowd) watch(r *record, front *machine, clients, perSecond int, after time.Duration, client func(n int)) int {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	look := time.NewTicker(500 * time.Millisecond)
	defer look.Stop()
	var end <-chan time.Time
	for started := 0; ; {
		select {
		case <-ticker.C:
			if started < clients {
				go client(started)
				started++
				if started == clients {
					end = time.After(after)
				}
			}
		case <-look.C:
			present, peak := front.residentMB()
			r.line("clients started %d, connected %d, answered %d (503: %d); front: resident %d MB, peak %d MB, its machine has %d MB", started, c.open.Load(), c.answered.Load(), c.refused.Load(), present, peak, front.memoryMB)
			if !front.running() {
				r.line("the process of the front has ended")
				return broken
			}
			if peak > front.memoryMB {
				r.line("the process of the front uses more than the memory of its machine")
				return broken
			}
		case <-end:
			r.line("ordinary request beside the crowd: status %d", ordinary(front))
			return held
		}
	}
}

// connect connects a client of the crowd and sends the head of its request.
func (c *crowd) connect(front *machine, head string) net.Conn {
	conn, err := net.Dial("tcp", front.front())
	if err != nil {
		return nil
	}
	c.open.Add(1)
	go func() {
		<-c.ctx.Done()
		_ = conn.Close()
	}()
	if _, err := conn.Write([]byte(head)); err != nil {
		c.open.Add(-1)
		return nil
	}
	return conn
}

// readAnswer reads the beginning of an answer.
func (c *crowd) readAnswer(conn net.Conn) {
	buffer := make([]byte, 4096)
	n, err := conn.Read(buffer)
	if err != nil {
		return
	}
	c.answered.Add(1)
	if n > 12 && string(buffer[9:12]) == "503" {
		c.refused.Add(1)
	}
}
