package httplisten

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/oriolepost/oriolepost/timer"
)

// kernelTick is the largest step of the clock from which the kernel tells how long ago it sent
// something.
const kernelTick = 10 * time.Millisecond

// connection is what a request's context holds of its connection.
type connection struct {
	conn net.Conn
	// openedAt is a moment before which the sender had not opened the connection. It is
	// known unless the machine was suspended, or packets were lost, at that time.
	openedAt timer.Stamp
	known    bool
}

// KeepConnections returns an [net/http.Server.ConnContext] with which [Connected] and
// [OpenedFor] find the connection of a request. The server calls it from one goroutine.
func KeepConnections() func(ctx context.Context, conn net.Conn) context.Context {
	var suspensions timer.Suspensions
	suspensions.Check(timer.Now())
	return func(ctx context.Context, conn net.Conn) context.Context {
		now := timer.Now()
		suspensions.Check(now)
		kept := connection{conn: conn}
		if suspensions.EndedAt.Before(now.Steady) {
			kept.openedAt, kept.known = opened(now, conn)
		}
		return context.WithValue(ctx, connectionKey{}, kept)
	}
}

// OpenedFor returns the longest time for which the sender of a request can have had its
// connection, including a suspension of the machine. So it is also the longest time since the
// request was sent. It returns false if it does not know.
func OpenedFor(ctx context.Context) (time.Duration, bool) {
	kept, ok := ctx.Value(connectionKey{}).(connection)
	if !ok || !kept.known {
		return 0, false
	}
	return timer.Now().Since(kept.openedAt), true
}

// opened returns a moment before which the sender had not opened a connection that was just
// accepted.
//
// The connection may have waited in the queue of the listener, for seconds if the process was
// stopped, and the sender opened it up to a round trip before it came into the queue. The
// kernel knows both times, as long as it has sent nothing on the connection and did not have
// to repeat its part of the handshake.
func opened(now timer.Stamp, conn net.Conn) (timer.Stamp, bool) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return now, true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return now, true
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return now, false
	}
	if infoErr != nil {
		return now, true
	}
	queued := time.Duration(info.Last_data_sent)*time.Millisecond + kernelTick
	roundTrip := time.Duration(info.Rtt) * time.Microsecond
	return now.Before(queued + roundTrip), info.Total_retrans == 0
}
