// Package server speaks HTTP/1.1 to the servers that answer the calls.
//
// A [Connection] belongs to one boot of one server and holds the TCP connections
// to it. [Connection.Exchange] makes one attempt and reports one of three
// outcomes: answered, not run, or unknown. An attempt counts as not run only if
// no byte of it was written, or if the server says so in its answer. The silent
// retries of net/http are turned off, because they could run a call twice.
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
	// maxConnectionsPerBoot limits the TCP connections to one boot of a server.
	maxConnectionsPerBoot = 250
	// idleTimeout is the time after which an idle connection is closed. It must be
	// shorter than the idle timeout of the server, because a close by the server
	// counts as a sign of its restart.
	idleTimeout = 15 * time.Second
	// connectTimeout limits the time to connect, which is normally about 1 ms.
	connectTimeout = 500 * time.Millisecond
	// maxResponseHeaderBytes limits the size of an answer's header.
	maxResponseHeaderBytes = 64 << 10
	// ioBufferBytes is the size of the read buffer and of the write buffer of each
	// TCP connection.
	ioBufferBytes = 16 << 10
)

// Connection holds the TCP connections to one boot of a server.
type Connection struct {
	Server    membership.Announcement
	transport *http.Transport
	closed    atomic.Bool
}

// NewConnection returns a connection that dials when it is first used. onLost is
// called, from any goroutine, when the server closes a TCP connection
// unexpectedly. It is not called after Close.
func NewConnection(announcement membership.Announcement, onLost func(membership.Announcement)) *Connection {
	c := &Connection{Server: announcement}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			d := net.Dialer{Timeout: connectTimeout}
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, &connectError{err}
			}
			return &monitoredConn{Conn: conn, onLost: func() { c.notifyLost(onLost) }}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxConnectionsPerBoot,
		MaxConnsPerHost:        maxConnectionsPerBoot,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         ioBufferBytes,
		WriteBufferSize:        ioBufferBytes,
	}
	return c
}

func (c *Connection) notifyLost(onLost func(membership.Announcement)) {
	if !c.closed.Load() {
		onLost(c.Server)
	}
}

// Close closes the TCP connections that are not in use.
func (c *Connection) Close() {
	c.closed.Store(true)
	c.transport.CloseIdleConnections()
}

// connectError marks an error that occurred before any byte could be written.
type connectError struct{ cause error }

// Error implements error.
func (e *connectError) Error() string { return "connect to server: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *connectError) Unwrap() error { return e.cause }

// monitoredConn reports when the server closes the connection unexpectedly, and
// counts the bytes that were written to it.
type monitoredConn struct {
	net.Conn
	onLost func()
	// closeExpected is true once the server announced that it will close the
	// connection, the close was reported, or this side closed the connection. From
	// then on a close is not reported.
	closeExpected atomic.Bool
	writtenBytes  atomic.Int64
}

// Read implements net.Conn.
func (c *monitoredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.closedByServer(err) && c.closeExpected.CompareAndSwap(false, true) {
		c.onLost()
	}
	return n, err
}

// closedByServer reports whether a read failed because the server closed the
// connection. Every error counts as that, except a timeout and a close by this
// side.
func (c *monitoredConn) closedByServer(err error) bool {
	var netError net.Error
	if errors.As(err, &netError) && netError.Timeout() {
		return false
	}
	return errors.Is(err, io.EOF) || !errors.Is(err, net.ErrClosed)
}

// Write implements net.Conn.
func (c *monitoredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.writtenBytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *monitoredConn) Close() error {
	c.closeExpected.Store(true)
	return c.Conn.Close()
}
