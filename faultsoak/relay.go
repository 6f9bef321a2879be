package faultsoak

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/oriolepost/oriolepost/timer"
)

// link describes what a relay does to the bytes that pass it. A value is never
// modified: setLink stores a new one and closes replaced of the previous one.
type link struct {
	// delay is how long each chunk of bytes is delayed.
	delay time.Duration
	// holdToTarget and holdFromTarget hold back the bytes to the target and from
	// the target while this link is in force.
	holdToTarget, holdFromTarget bool
	// reset closes a connection with a TCP reset when its next bytes arrive.
	reset bool
	// replaced is closed when another link replaces this one.
	replaced chan struct{}
}

// relay forwards connections to a target on loopback. One task accepts, and one
// task forwards each direction of a connection.
type relay struct {
	listener net.Listener
	target   string
	link     atomic.Pointer[link]
}

// startRelay starts a relay that accepts connections at an address until the
// context ends.
func startRelay(ctx context.Context, address, target string) (*relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target}
	r.link.Store(&link{replaced: make(chan struct{})})
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go r.accept(ctx)
	return r, nil
}

// setLink replaces the link. The fault injector, the tasks that end faults, and
// the end of a run call it. The atomic swap ensures that each replaced channel is
// closed only once.
func (r *relay) setLink(l link) {
	l.replaced = make(chan struct{})
	close(r.link.Swap(&l).replaced)
}

func (r *relay) accept(ctx context.Context) {
	for {
		c, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go r.serveConnection(ctx, c)
		}
	}
}

// dialTimeout limits connecting to a target on loopback.
const dialTimeout = time.Second

func (r *relay) serveConnection(ctx context.Context, client net.Conn) {
	d := net.Dialer{Timeout: dialTimeout}
	target, err := d.DialContext(ctx, "tcp", r.target)
	if err != nil {
		abort(client)
		return
	}
	stop := context.AfterFunc(ctx, func() { abort(client); abort(target) })
	defer stop()
	responsesDone := make(chan struct{})
	go func() {
		r.forward(ctx, target, client, func(l *link) bool { return l.holdFromTarget })
		close(responsesDone)
	}()
	r.forward(ctx, client, target, func(l *link) bool { return l.holdToTarget })
	<-responsesDone
}

// forward copies bytes in one direction until either end closes or the link resets
// connections. It holds the bytes while held reports true for the link.
func (r *relay) forward(ctx context.Context, from, to net.Conn, held func(*link) bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		current := r.link.Load()
		for n > 0 && held(current) && !current.reset && ctx.Err() == nil {
			<-current.replaced
			current = r.link.Load()
		}
		if current.reset {
			abort(from)
			abort(to)
			return
		}
		if current.delay > 0 {
			timer.Pause(ctx, current.delay)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// abort closes a connection with a TCP reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
