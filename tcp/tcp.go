// Package tcp opens TCP connections that notice a peer that has gone silent.
//
// A peer without power, or behind a network partition, sends no reset. Without
// a limit of its own a connection to it would hang for many minutes.
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
	// connection is given up: several retransmissions within a region.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveEvery time the probes on quiet connections;
	// both are whole seconds, since the kernel counts in seconds.
	keepAliveIdle  = 2 * time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
)

// Dial opens a connection within a time.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout, Control: limitUnacked,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

func limitUnacked(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	return failed
}
