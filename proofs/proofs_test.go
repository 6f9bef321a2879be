// Package proofs holds the scripted scenarios that prove the promises with
// separate processes. A scenario is a file of commands in testdata; the folder
// names say which promise it proves.
//
// # Usage
//
//	go test ./proofs -run TestScenarios/path
package proofs

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/oriolepost/oriolepost/terminal"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"oriolepost": func() { os.Exit(terminal.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScenarios(t *testing.T) {
	folders, err := filepath.Glob("testdata/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range folders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			testscript.Run(t, testscript.Params{
				Dir: folder, Setup: setup, Cmds: verbs(), RequireExplicitExec: true,
			})
		})
	}
}

// addressesPerScenario is how many free addresses a scenario gets, as the
// variables A1, A2 and so on.
const addressesPerScenario = 40

func setup(e *testscript.Env) error {
	var listeners []net.Listener
	for i := range addressesPerScenario {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
		e.Setenv(fmt.Sprintf("A%d", i+1), l.Addr().String())
	}
	for _, l := range listeners {
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}
