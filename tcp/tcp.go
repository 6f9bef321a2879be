// Package tcp opens TCP connections that detect an unresponsive peer.
//
// A peer that lost power, or is behind a network partition, sends no reset.
// With the kernel's defaults a connection to it would hang for many minutes.
// This package therefore sets TCP_USER_TIMEOUT, which limits how long sent data
// may stay unacknowledged, and enables keep-alive probes on idle connections.
//
// # Usage
//
//	conn, err := tcp.Dial(ctx, "10.1.0.4:7660", 300*time.Millisecond)
package tcp

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection. It allows several retransmissions within a
	// region.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle is how long a connection is idle before the first keep-alive
	// probe, and keepAliveInterval the time between probes. Both are whole
	// seconds, since the kernel counts in seconds.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which a connection
	// is closed. Linux applies unackedTimeout instead when TCP_USER_TIMEOUT is set.
	keepAliveCount = 2
)

// Dial opens a connection. It fails when the connection is not established
// within the timeout or before the context ends.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// DialRepeated opens a connection like Dial, with a new attempt beside the former ones after
// each interval without an answer. The first result counts. The kernel repeats a lost
// connection request only after a second, so that an instance which returns would stay
// out of reach until the timeout and the next dial.
func DialRepeated(ctx context.Context, address string, timeout, interval time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type result struct {
		conn net.Conn
		err  error
	}
	// The capacity is that of all attempts, so that none blocks when it ends late.
	results := make(chan result, timeout/interval+2)
	attempts := 0
	attempt := func() {
		attempts++
		go func() {
			conn, err := Dial(ctx, address, timeout)
			results <- result{conn, err}
		}()
	}
	attempt()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case first := <-results:
			go func(others int) {
				for range others {
					if late := <-results; late.conn != nil {
						_ = late.conn.Close()
					}
				}
			}(attempts - 1)
			return first.conn, first.err
		case <-ticker.C:
			if attempts < cap(results) {
				attempt()
			}
		}
	}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access the socket to set TCP_USER_TIMEOUT: %w", err)
	}
	return optionErr
}
