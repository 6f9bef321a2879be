package httplisten

import (
	"context"
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// Connected reports whether the sender of a request still waits: its context has not ended,
// and the end of the connection has not arrived. It never waits.
//
// The server ends the context when it reads the end of the connection. That may be later
// than the request is handled, or never while there are unread bytes before it. So the
// receive buffer is looked at as well.
func Connected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	kept, _ := ctx.Value(connectionKey{}).(connection)
	conn, ok := kept.conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) { open = isOpen(int(fd)) })
	return err == nil && open
}

// isOpen reports whether neither the end of a connection nor an error has arrived on a
// socket.
func isOpen(fd int) bool {
	var next [1]byte
	for {
		n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return true
		case err != nil || n == 0:
			return false
		default:
			return !endReceived(fd)
		}
	}
}

// endReceived reports whether the end of a connection has arrived behind bytes that were
// not read yet.
func endReceived(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(polled, 0)
		if !errors.Is(err, unix.EINTR) {
			return err != nil || n > 0
		}
	}
}
