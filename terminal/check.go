package terminal

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/oriolepost/oriolepost/jsonform"
	"github.com/oriolepost/oriolepost/service"
	"github.com/oriolepost/oriolepost/settings"
)

var checkVerb = verb{
	name:     "check",
	synopsis: "check settings and service documents without running",
	usage:    checkUsage,
	parse:    parseCheck,
}

const checkUsage = `oriolepost check FILE...

Checks settings and service documents. A file with the field "instance" is
taken for settings, any other for a service document. Every wrong file is named
with its field, its value and what is allowed.

Example:
  oriolepost check examples/trinacria/*.json

`

func parseCheck(*flag.FlagSet) work { return newCheckWork().run }

type checkWork struct{}

func newCheckWork() *checkWork { return &checkWork{} }

// checkResult is what --json prints.
type checkResult struct {
	Files  int      `json:"files"`
	Errors []string `json:"errors"`
}

func (c *checkWork) run(_ context.Context, args []string, t Terminal) (any, error) {
	if len(args) == 0 {
		return nil, &UsageError{Problem: "no file is named"}
	}
	files, err := expand(args)
	if err != nil {
		return nil, err
	}
	var wrong []error
	for _, file := range files {
		if err := checkFile(file); err != nil {
			wrong = append(wrong, err)
			continue
		}
		t.printf("%s: good\n", file)
	}
	return checkResult{Files: len(files), Errors: texts(wrong)}, errors.Join(wrong...)
}

func texts(errs []error) []string {
	out := []string{}
	for _, e := range errs {
		out = append(out, e.Error())
	}
	return out
}

func checkFile(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var probe map[string]json.RawMessage
	if json.Unmarshal(data, &probe) == nil && probe["instance"] != nil {
		_, err := settings.Parse(file, data)
		return err
	}
	_, err = parseDocument(file, data)
	return err
}

// parseDocument reads a service document; fields that are left out have their
// defaults.
func parseDocument(file string, data []byte) (service.Document, error) {
	d := service.Defaults("")
	d.Hosts = nil
	if err := jsonform.DecodeStrict(file, data, &d); err != nil {
		return service.Document{}, err
	}
	if d.Hosts == nil {
		d.Hosts = []string{d.Name}
	}
	if err := d.Check(); err != nil {
		return service.Document{}, fmt.Errorf("%s: %w", file, err)
	}
	return d, nil
}
