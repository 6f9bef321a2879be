package control_test

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"

	"github.com/oriolepost/oriolepost/disk"
)

// setFull sets whose disks are full. The journals that are open when an instance starts are
// not affected, so it must have taken a snapshot before.
func (b *fixture) setFull(names []string) {
	full := map[string]bool{}
	for _, n := range names {
		full[n] = true
	}
	b.full.Store(&full)
}

// createFile opens a file that fails while the disk of an instance is full.
func (b *fixture) createFile(name, path string) (disk.File, error) {
	isFull := func() bool { return (*b.full.Load())[name] }
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &fillableFile{File: file, isFull: isFull}, err
}

// fillableFile is a file on a disk that may be full.
type fillableFile struct {
	*os.File
	isFull func() bool
}

// Write implements io.Writer. On a full disk it writes a part and fails.
func (f *fillableFile) Write(p []byte) (int, error) {
	if !f.isFull() {
		return f.File.Write(p)
	}
	n, err := f.File.Write(p[:len(p)/2])
	return n, errors.Join(err, syscall.ENOSPC)
}

var errCut = errors.New("connection cut by the test")

// dial connects unless exactly one of the two ends is cut off. A cut also ends
// existing connections.
func (b *fixture) dial(ctx context.Context, from, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if b.isCut(from, host) {
		return nil, errCut
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &cuttableConn{Conn: c, isCut: func() bool { return b.isCut(from, host) }}, nil
}

func (b *fixture) isCut(from, host string) bool {
	cut := *b.cut.Load()
	return cut[host] != cut[addresses[from]]
}

// cuttableConn is a connection whose writes fail once its ends are cut off from
// each other.
type cuttableConn struct {
	net.Conn
	isCut func() bool
}

func (c *cuttableConn) Write(p []byte) (int, error) {
	if c.isCut() {
		return 0, errors.Join(errCut, c.Close())
	}
	return c.Conn.Write(p)
}
