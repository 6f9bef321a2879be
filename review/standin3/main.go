//go:build review

// Command review-3 runs the scripted cases of the third review. Each case starts the project's
// own program as separate processes on loopback addresses, plays clients, servers and the
// platform against it, and writes a record.
//
// # Usage
//
//	review-3 CASE RECORD
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(2)
	}
	run, known := map[string]func(*system) (broken bool, err error){
		"replaced": replaced, "writer": writer, "leaving": leaving, "zero": zero,
	}[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	s, err := newSystem(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := run(s)
	s.close()
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		os.Exit(2)
	case broken:
		s.note("the rule was broken")
		os.Exit(1)
	}
	s.note("the rule held")
}

// within repeats an action until it succeeds or the time is up.
func within(limit time.Duration, action func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if action() {
			return true
		}
	}
	return false
}
