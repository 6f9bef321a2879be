// Command oriolepost is one program for the load balancer, the tools of its
// operators and the test tools.
//
// # Usage
//
//	oriolepost help
package main

import (
	"os"

	"github.com/oriolepost/oriolepost/terminal"
)

func main() { os.Exit(terminal.Main(os.Args[1:], os.Stdout, os.Stderr)) }
