// Package hangup receives SIGHUP, which asks an instance to read its settings
// again.
//
// A process that has no handler for SIGHUP is ended by it. The handler is therefore
// registered while the packages are initialized, before the program reads its
// command line: an operator may send SIGHUP right after the start.
//
// # Usage
//
//	case <-hangup.Received:
//		reload()
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Received delivers SIGHUP. It holds one signal, so that one sent before anybody
// receives from it is not lost.
var Received = notify()

func notify() <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	return received
}
