package soak

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/oriolepost/oriolepost/settings"
)

// partition drops what instances send to each other, as in a network partition:
// on existing connections writes succeed and nothing arrives. Only the fault
// injector changes it; dialers and connections read it.
type partition struct {
	// instances maps peer addresses to names of instances.
	instances atomic.Pointer[map[string]string]
	// cut holds the directed pairs that are partitioned, as "from>to".
	cut atomic.Pointer[map[string]bool]
}

func newPartition() *partition {
	p := &partition{}
	p.instances.Store(&map[string]string{})
	p.cut.Store(&map[string]bool{})
	return p
}

func (p *partition) setInstances(all []settings.Settings) {
	m := map[string]string{}
	for _, s := range all {
		m[s.Listen.Peer] = s.Instance
	}
	p.instances.Store(&m)
}

// set replaces the set of partitioned pairs.
func (p *partition) set(pairs map[string]bool) { p.cut.Store(&pairs) }

func (p *partition) isCut(from, to string) bool { return (*p.cut.Load())[from+">"+to] }

var errPartitioned = errors.New("no route to host")

// dialer returns the function with which an instance dials the others. Dialing
// fails immediately while either direction is partitioned.
func (p *partition) dialer(instance string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := (*p.instances.Load())[address]
		if p.isCut(instance, to) || p.isCut(to, instance) {
			return nil, errPartitioned
		}
		d := net.Dialer{Timeout: 300 * time.Millisecond}
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, partition: p, from: instance, to: to}, nil
	}
}

// partitionedConn drops what is written or read while its pair is partitioned.
// Dropped data is never delivered later: once any was dropped, the connection
// fails when the partition ends.
type partitionedConn struct {
	net.Conn
	partition *partition
	from      string
	to        string
	dataLost  atomic.Bool
}

// Write implements net.Conn.
func (c *partitionedConn) Write(p []byte) (int, error) {
	if c.partition.isCut(c.from, c.to) {
		c.dataLost.Store(true)
		return len(p), nil
	}
	if c.dataLost.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *partitionedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if c.partition.isCut(c.to, c.from) {
			c.dataLost.Store(true)
			continue
		}
		if c.dataLost.Load() {
			return 0, net.ErrClosed
		}
		return n, nil
	}
}
