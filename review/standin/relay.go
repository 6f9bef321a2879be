//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay passes connections on to a target. While it holds, it keeps the bytes that come
// from the client and passes them on later, in their order and with the end of the
// connection behind them, as a network does that heals after a partition.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	held     chan struct{}
}

func newRelay(at, target string) (*relay, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

// hold begins to hold back bytes, and pass ends it.
func (r *relay) hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = make(chan struct{})
}

func (r *relay) pass() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held != nil {
		close(r.held)
		r.held = nil
	}
}

func (r *relay) await() {
	r.mu.Lock()
	held := r.held
	r.mu.Unlock()
	if held != nil {
		<-held
	}
}

func (r *relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	target, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(c, target)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.Read(buffer)
		r.await()
		if n > 0 {
			if _, err := target.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			break
		}
	}
	_ = target.(*net.TCPConn).CloseWrite()
	<-done
}
