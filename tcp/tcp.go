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
