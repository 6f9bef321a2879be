// Package server speaks HTTP/1.1 to the servers that answer the calls.
//
// A [Connection] stands for one boot of one server and holds its TCP
// connections. [Connection.Exchange] makes one attempt and says, as one of
// three outcomes, what became of it. An attempt is not run only when no byte
// of it was written, or when the server says so in its answer. The library's
// own silent retries are turned off, because they would run a call twice.
//
// # Usage
//
//	c := server.NewConnection(announcement, lost)
//	r := c.Exchange(ctx, server.Attempt{...})
package server

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oriolepost/oriolepost/membership"
)

const (
	// maxConnections bounds the connections to one server.
	maxConnections = 250
	// idleTimeout closes an unused connection before the server does, since a
	// close by the server counts as a sign of its restart.
	idleTimeout = 15 * time.Second
	// connectTimeout bounds the time to connect; a connection takes about 1 ms.
	connectTimeout = 500 * time.Millisecond
	// maxResponseHeader bounds the headers of an answer in bytes.
	maxResponseHeader = 64 << 10
	bufferSize        = 16 << 10
)

// Connection holds the TCP connections to one boot of a server.
type Connection struct {
	Server    membership.Announcement
	transport *http.Transport
	closed    atomic.Bool
}

// NewConnection returns a connection that dials when it is first used. lost
// is called, from any goroutine, when the server closes a TCP connection.
func NewConnection(a membership.Announcement, lost func(membership.Announcement)) *Connection {
	c := &Connection{Server: a}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			d := net.Dialer{Timeout: connectTimeout}
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, &connectError{err}
			}
			return &watchedConn{Conn: conn, lost: func() { c.report(lost) }}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxConnections,
		MaxConnsPerHost:        maxConnections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
	}
	return c
}

func (c *Connection) report(lost func(membership.Announcement)) {
	if !c.closed.Load() {
		lost(c.Server)
	}
}

// Close closes the connections that are not in use.
func (c *Connection) Close() {
	c.closed.Store(true)
	c.transport.CloseIdleConnections()
}

// connectError marks errors that came before any byte could be written.
type connectError struct{ cause error }

// Error implements error.
func (e *connectError) Error() string { return "connect: " + e.cause.Error() }

// Unwrap gives the cause.
func (e *connectError) Unwrap() error { return e.cause }

// watchedConn notices when the server closes the connection, and counts the
// bytes that were written to it.
type watchedConn struct {
	net.Conn
	lost    func()
	closing atomic.Bool
	written atomic.Int64
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.broken(err) && c.closing.CompareAndSwap(false, true) {
		c.lost()
	}
	return n, err
}

// broken reports whether a read ended because the server closed.
func (c *watchedConn) broken(err error) bool {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return errors.Is(err, io.EOF) || !errors.Is(err, net.ErrClosed)
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.closing.Store(true)
	return c.Conn.Close()
}
