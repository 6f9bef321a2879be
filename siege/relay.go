package siege

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/oriolepost/oriolepost/timer"
)

// way is what a relay does to the bytes that pass it. A way never changes; the
// relay takes another one, and closes ended of the one before.
type way struct {
	delay time.Duration
	// holdThere and holdBack keep the bytes to the target and from it.
	holdThere, holdBack bool
	reset               bool
	ended               chan struct{}
}

// relay is a task that passes connections on to a target on loopback, and a
// task for each direction of a connection.
type relay struct {
	listener net.Listener
	target   string
	way      atomic.Pointer[way]
}

// startRelay listens on an address until the context ends.
func startRelay(ctx context.Context, address, target string) (*relay, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target}
	r.way.Store(&way{ended: make(chan struct{})})
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go r.accept(ctx)
	return r, nil
}

// take replaces the way. Only the task that injects faults calls it.
func (r *relay) take(w way) {
	w.ended = make(chan struct{})
	close(r.way.Swap(&w).ended)
}

func (r *relay) accept(ctx context.Context) {
	for {
		c, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go r.connect(ctx, c)
		}
	}
}

// dialTimeout bounds a connection to a target on loopback.
const dialTimeout = time.Second

func (r *relay) connect(ctx context.Context, c net.Conn) {
	d := net.Dialer{Timeout: dialTimeout}
	t, err := d.DialContext(ctx, "tcp", r.target)
	if err != nil {
		abort(c)
		return
	}
	stop := context.AfterFunc(ctx, func() { abort(c); abort(t) })
	defer stop()
	back := make(chan struct{})
	go func() {
		r.pass(ctx, t, c, func(w *way) bool { return w.holdBack })
		close(back)
	}()
	r.pass(ctx, c, t, func(w *way) bool { return w.holdThere })
	<-back
}

// pass moves bytes in one direction until either end closes.
func (r *relay) pass(ctx context.Context, from, to net.Conn, held func(*way) bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		w := r.way.Load()
		for n > 0 && held(w) && !w.reset && ctx.Err() == nil {
			<-w.ended
			w = r.way.Load()
		}
		if w.reset {
			abort(from)
			abort(to)
			return
		}
		if w.delay > 0 {
			timer.Pause(ctx, w.delay)
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

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
