// Package proofs holds scripted end-to-end scenarios that check the guarantees of
// the load balancer with separate processes. A scenario is a file of commands in
// testdata. The folder names say which guarantee it checks.
//
// # Usage
//
//	go test ./proofs -run TestScenarios/path
package proofs

import (
	"fmt"
	"maps"
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
				Dir: folder, Setup: setup, Cmds: allVerbs(), RequireExplicitExec: true,
			})
		})
	}
}

func allVerbs() map[string]func(*testscript.TestScript, bool, []string) {
	all := verbs()
	maps.Copy(all, hostileVerbs())
	return all
}

// addressesPerScenario is the number of free addresses that a scenario gets, in
// the variables A1, A2 and so on.
const addressesPerScenario = 40

// setup sets the variables of a scenario. HOST is a loopback IP that no other test process
// has, for examples with fixed ports.
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
	if err != nil {
		return err
	}
	host, err := cluster.OwnHost()
	e.Setenv("HOST", host)
	return err
}
