package soak

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/oriolepost/oriolepost/settings"
)

// cuts drops what instances send to each other. A cut is silent: writes
// succeed and nothing arrives, as in a network partition. Only the disturber
// changes it; the dialers read it.
type cuts struct {
	// instances maps peer addresses to instances.
	instances atomic.Pointer[map[string]string]
	// cut holds the directed pairs that are cut, as "from>to".
	cut atomic.Pointer[map[string]bool]
}

func newCuts() *cuts {
	c := &cuts{}
	c.instances.Store(&map[string]string{})
	c.cut.Store(&map[string]bool{})
	return c
}

func (c *cuts) learn(all []settings.Settings) {
	m := map[string]string{}
	for _, s := range all {
		m[s.Listen.Peer] = s.Instance
	}
	c.instances.Store(&m)
}

// set replaces all cuts.
func (c *cuts) set(pairs map[string]bool) { c.cut.Store(&pairs) }

func (c *cuts) isCut(from, to string) bool { return (*c.cut.Load())[from+">"+to] }

var errCut = errors.New("no route to host")

// dialer gives an instance its way to the others.
func (c *cuts) dialer(instance string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := (*c.instances.Load())[address]
		if c.isCut(instance, to) || c.isCut(to, instance) {
			return nil, errCut
		}
		d := net.Dialer{Timeout: 300 * time.Millisecond}
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &cutConn{Conn: conn, cuts: c, from: instance, to: to}, nil
	}
}

// cutConn loses what is written or read while its pair is cut. What was lost
// is never delivered later, so the connection is broken when it heals.
type cutConn struct {
	net.Conn
	cuts *cuts
	from string
	to   string
	lost atomic.Bool
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.cuts.isCut(c.from, c.to) {
		c.lost.Store(true)
		return len(p), nil
	}
	if c.lost.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if c.cuts.isCut(c.to, c.from) {
			c.lost.Store(true)
			continue
		}
		if c.lost.Load() {
			return 0, net.ErrClosed
		}
		return n, nil
	}
}
