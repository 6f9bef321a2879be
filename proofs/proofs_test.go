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
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/oriolepost/oriolepost/cluster"
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
			t.Parallel()
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
	root, err := filepath.Abs("..")
	if err != nil {
		return err
	}
	e.Setenv("ROOT", root)
	e.Setenv("HOME", os.Getenv("HOME"))
	e.Setenv("GOFLAGS", os.Getenv("GOFLAGS"))
	addresses, err := cluster.FreeAddresses(addressesPerScenario)
	for i, a := range addresses {
		e.Setenv(fmt.Sprintf("A%d", i+1), a)
	}
	return err
}
