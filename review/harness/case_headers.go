//go:build review

package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

func init() { cases["headers"] = manyFields }

const (
	// headerBytes is the size of the header: below max_header_bytes, which is 16,384.
	headerBytes = 16_000
	// headerClients is the number of clients, and headerRate how many start in a second.
	headerClients = 1200
	headerRate    = 400
	// pieceBytes is how much of the body a client sends at a time.
	pieceBytes = 1000
)

// shortFields returns header fields with short names, of a size.
func shortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; ; i++ {
		name := ""
		for n := i; n > 0 || len(name) < 2; n /= len(letters) {
			name += string(letters[n%len(letters)])
		}
		if b.Len()+len(name)+len(":\r\n") > size {
			return b.String()
		}
		// TE concerns the connection.
		if name != "te" {
			b.WriteString(name + ":\r\n")
		}
	}
}

// manyFields runs a crowd of clients that send large bodies of legal size piece by piece,
// behind a header of legal size with many short fields. Without the disruption, the same
// clients send an ordinary header.
func manyFields(r *record, trouble bool) (int, error) {
	s, err := crowdSystem(4000, 800)
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
	return c.watch(r, front, headerClients, headerRate, 5*time.Second, func(n int) {
		fields := fmt.Sprintf("Host: ficu95.example\r\nOriolepost-Request-Id: c%d\r\nOriolepost-Deadline-Ms: 4000\r\nContent-Length: %d\r\n", n, bodyBytes)
		if trouble {
			fields += shortFields(headerBytes - len(fields))
		}
		conn := c.connect(front, "POST /lohu930/2f HTTP/1.1\r\n"+fields+"\r\n")
		if conn == nil {
			return
		}
		go c.readAnswer(conn)
		for ctx.Err() == nil {
			if _, err := conn.Write(make([]byte, pieceBytes)); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	}), nil
}
