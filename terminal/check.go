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
checked as settings, any other as a service document. For every invalid file it
prints the field, its value and what is allowed.

Example:
  oriolepost check examples/trinacria/*.json

`

func parseCheck(*flag.FlagSet) work { return newCheckWork().run }

type checkWork struct{}

func newCheckWork() *checkWork { return &checkWork{} }

// checkResult is printed by --json if all files are valid.
type checkResult struct {
	Files  int      `json:"files"`
	Errors []string `json:"errors"`
}

func (c *checkWork) run(_ context.Context, args []string, t Terminal) (any, error) {
	if len(args) == 0 {
		return nil, &UsageError{Problem: "no file given; name at least one settings file or service document"}
	}
	files, err := expandPatterns(args)
	if err != nil {
		return nil, err
	}
	var problems []error
	for _, file := range files {
		if err := checkFile(file); err != nil {
			problems = append(problems, err)
			continue
		}
		t.printf("%s: good\n", file)
	}
	return checkResult{Files: len(files), Errors: errorTexts(problems)}, errors.Join(problems...)
}

func errorTexts(errs []error) []string {
	texts := []string{}
	for _, e := range errs {
		texts = append(texts, e.Error())
	}
	return texts
}

// checkFile checks a settings file, which has a field "instance", or a service
// document.
func checkFile(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(data, &fields) == nil && fields["instance"] != nil {
		_, err := settings.Parse(file, data)
		return err
	}
	_, err = parseDocument(file, data)
	return err
}

// parseDocument decodes and checks a service document. Fields that are left out
// get their defaults; the default of hosts is the name of the service.
func parseDocument(file string, data []byte) (service.Document, error) {
	document := service.Defaults("")
	document.Hosts = nil
	if err := jsonform.DecodeStrict(file, data, &document); err != nil {
		return service.Document{}, err
	}
	if document.Hosts == nil {
		document.Hosts = []string{document.Name}
	}
	if err := document.Check(); err != nil {
		return service.Document{}, fmt.Errorf("%s: %w", file, err)
	}
	return document, nil
}
