// Package connlimit limits the open connections of a listener.
//
// Clients that open connections and send nothing, or a request that never ends, used up
// the descriptors of a process. Beyond the limit, a connection is closed that package
// admission selects. One task owns the open connections of a listener. Opening and
// closing a connection send it a message each; requests send none.
//
// # Usage
//
//	l = connlimit.Listen(l, 500, set, "oriolepost_http_connections_evicted_total")
//	c.(*connlimit.Conn).Set(admission.Serving)
package connlimit

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepost/oriolepost/admission"
)

// Conn is a connection that was accepted. Its owner reports what it is doing.
type Conn struct {
	net.Conn
	limit *listener
	// activity holds an [admission.Activity], and since its beginning in Unix
	// nanoseconds.
	activity atomic.Int32
	since    atomic.Int64
	// closed is true once the connection is closed.
	closed atomic.Bool
}

// Set reports what the connection is doing from now on.
func (c *Conn) Set(a admission.Activity) {
	c.since.Store(time.Now().UnixNano())
	c.activity.Store(int32(a))
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		select {
		case c.limit.closed <- c:
		case <-c.limit.done:
		}
	}
	return err
}

// SyscallConn implements [syscall.Conn].
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// CloseWrite closes the sending direction, as net/http does before it closes a
// connection on which the client still sends.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// listener is a listener and the task that owns its open connections.
type listener struct {
	net.Listener
	max     int
	evicted *metrics.Counter
	opened  chan *Conn
	closed  chan *Conn
	// done is closed when the listener is closed.
	done    chan struct{}
	stopped atomic.Bool
}

// Listen limits the open connections of a listener; zero means no limit. Connections
// that are closed for it are counted in the metric with this name.
func Listen(l net.Listener, limit int, m *metrics.Set, name string) net.Listener {
	if limit == 0 {
		return l
	}
	limited := &listener{
		Listener: l, max: limit, evicted: m.GetOrCreateCounter(name),
		opened: make(chan *Conn), closed: make(chan *Conn), done: make(chan struct{}),
	}
	go limited.run()
	return limited
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: accepted, limit: l}
	c.Set(admission.Idle)
	select {
	case l.opened <- c:
	case <-l.done:
	}
	return c, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	if l.stopped.CompareAndSwap(false, true) {
		close(l.done)
	}
	return l.Listener.Close()
}

// maxClosing is how many evicted connections may not be closed yet by the tasks that
// read from them. It is within the descriptors that package admission keeps free.
const maxClosing = 16

func (l *listener) run() {
	// open holds the open connections, and closing those that are evicted and that the
	// tasks reading from them have not closed yet.
	open, closing := map[*Conn]bool{}, map[*Conn]bool{}
	for {
		opened := l.opened
		if len(closing) >= maxClosing {
			// No more are accepted until some are closed.
			opened = nil
		}
		select {
		case <-l.done:
			return
		case c := <-opened:
			open[c] = true
			for _, victim := range l.victims(open, c) {
				_ = victim.Conn.Close()
				delete(open, victim)
				closing[victim] = true
				l.evicted.Inc()
			}
		case c := <-l.closed:
			delete(open, c)
			delete(closing, c)
		}
	}
}

// victims returns the connections to close beyond the limit.
func (l *listener) victims(conns map[*Conn]bool, newest *Conn) []*Conn {
	if len(conns) <= l.max {
		return nil
	}
	open := make([]*Conn, 0, len(conns))
	activities := make([]admission.Conn, 0, len(conns))
	for c := range conns {
		if c == newest {
			// Its first request may have begun to arrive in the meantime.
			activities = append(activities, admission.Conn{Index: len(open), Activity: admission.Idle, Since: time.Now()})
			open = append(open, c)
			continue
		}
		activities = append(activities, admission.Conn{
			Index: len(open), Activity: admission.Activity(c.activity.Load()), Since: time.Unix(0, c.since.Load()),
		})
		open = append(open, c)
	}
	var victims []*Conn
	for _, v := range admission.Victims(time.Now(), activities, len(open)-l.max) {
		victims = append(victims, open[v.Index])
	}
	return victims
}
