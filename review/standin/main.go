//go:build review

// Command standin plays the cases of the review: it starts the programs of the system as
// the platform does, and stands in for servers, clients and operators.
//
// # Usage
//
//	review-standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

// maxDuration is the time after which a case that goes on is given up.
const maxDuration = 110 * time.Second

// trouble is false if the disruption is to be left out.
var trouble = os.Getenv("TROUBLE") != "0"

// cases holds the cases by name.
var cases = map[string]func(r *record, program string) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	program, err := filepath.Abs("target/oriolepost")
	if err != nil {
		os.Exit(failed)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	r.add("case %s, disruption: %v", os.Args[1], trouble)
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](r, program) }()
	code := failed
	select {
	case code = <-result:
	case <-ended:
		r.add("ended by a signal")
		killAll()
	case <-time.After(maxDuration):
		r.add("not over after %v", maxDuration)
		killAll()
	}
	text := map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[code]
	r.add("result: %s", text)
	fmt.Println(text)
	os.Exit(code)
}
