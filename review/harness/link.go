//go:build review

package main

import (
	"net"
	"syscall"
	"time"
)

const (
	// linkDelay is the delay of a link between a client and a machine, each way.
	linkDelay = 8 * time.Millisecond
	// linkWindow is the size of its windows, which are small.
	linkWindow = 4096
	// linkPieces is how many pieces of a window are under way at most.
	linkPieces = 4
)

// startLink listens on an address and forwards connections to a machine, with the delay and
// the small windows of a client's link.
func startLink(listen, target string) (net.Listener, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go forwardLink(client, target)
		}
	}()
	return listener, nil
}

func forwardLink(client net.Conn, target string) {
	defer client.Close()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	machine, err := dialer.Dial("tcp", target)
	if err != nil {
		return
	}
	defer machine.Close()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		copyDelayed(machine, client)
	}()
	copyDelayed(client, machine)
	// The link closes nothing that its ends have not closed: the client's side stays open
	// until the client has read everything and leaves.
	<-sent
}

// copyDelayed copies bytes in one direction, and its end.
func copyDelayed(to, from net.Conn) {
	type piece struct {
		data []byte
		due  time.Time
	}
	pieces := make(chan piece, linkPieces)
	go func() {
		defer close(pieces)
		for {
			data := make([]byte, linkWindow)
			n, err := from.Read(data)
			if n > 0 {
				pieces <- piece{data[:n], time.Now().Add(linkDelay)}
			}
			if err != nil {
				return
			}
		}
	}()
	failed := false
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if !failed {
			_, err := to.Write(p.data)
			// What cannot be delivered is lost; the other direction goes on.
			failed = err != nil
		}
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}
