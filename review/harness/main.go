//go:build review

// Command harness runs the scripted cases of the second independent review. Each case
// starts the system's own program as separate processes on loopback addresses, with
// stand-ins for clients, servers and the operator in this process.
//
//	harness CASE RECORD
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(text)
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(text)
	}
}

// The exit codes.
const (
	held = iota
	broken
	impossible
)

// cases maps the names of the cases to their functions.
var cases = map[string]func(r *record, trouble bool) (int, error){}

// limit is the most that a case may take.
const limit = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return impossible
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return impossible
	}
	r := &record{file: file, began: time.Now()}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
		done <- result{code, err}
	}()
	select {
	case got := <-done:
		if got.err != nil {
			r.line("could not run: %v", got.err)
			fmt.Fprintln(os.Stderr, got.err)
			return impossible
		}
		r.line("result: %s", [...]string{"the rule held", "the rule was broken", "could not run"}[got.code])
		return got.code
	case <-stopped:
		r.line("could not run: the harness was stopped")
	case <-time.After(limit):
		r.line("could not run: the time is up")
	}
	for _, s := range systems {
		s.stop()
	}
	return impossible
}
