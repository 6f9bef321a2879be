// Command oriolepost is the load balancer, its operators' tools and its test
// tools in one program.
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
