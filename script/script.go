// Package script runs scripted tests from data files.
//
// A test file is a list of cases, separated by blank lines. A case consists of
// comment lines, a command with its arguments, lines of input, a line of four
// dashes, and the expected output. Comments and input are optional:
//
//	# The second claim of a key waits for the first.
//	claim key=k1 claimant=b
//	----
//	in_progress
//
// The test of a package provides a handler that runs its commands, so that a new
// case needs no new code. The cases of a file run in order and share one handler.
// When the environment variable SCRIPT_REWRITE is set, nothing is checked, and
// the expected output in the files is replaced by the actual output, to be
// reviewed in the diff.
//
// # Usage
//
//	var _ = script.Describe("ledger", "testdata/*.txt", func() script.Handler {
//		l := ledger.New()
//		return func(c script.Case) string { return run(l, c) }
//	})
package script

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Case is one case of a test file.
type Case struct {
	// Comment holds the comment lines before the command, each with its #.
	Comment []string
	// Line is the line with the command and its arguments.
	Line    string
	Command string
	// Args holds the arguments by name. The value of an argument without a
	// value is "true".
	Args     map[string]string
	Input    string
	Expected string
}

// Handler runs a case and returns its output.
type Handler func(c Case) string

// Describe registers a test for each file that matches a pattern, and one that
// fails when no file matches. newHandler is called once for each file.
func Describe(name, pattern string, newHandler func() Handler) bool {
	files, err := filepath.Glob(pattern)
	return ginkgo.Describe(name, func() {
		ginkgo.It("has test files", func() {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(files).NotTo(gomega.BeEmpty())
		})
		for _, file := range files {
			ginkgo.It(filepath.Base(file), func() { runFile(file, newHandler()) })
		}
	})
}

func runFile(file string, handle Handler) {
	data, err := os.ReadFile(file)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	cases, err := Parse(string(data))
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), file)
	rewrite := os.Getenv("SCRIPT_REWRITE") != ""
	for i, c := range cases {
		got := withoutBlankLines(handle(c))
		if rewrite {
			cases[i].Expected = got
			continue
		}
		gomega.Expect(got).To(gomega.Equal(c.Expected), "%s: %s", file, c.Line)
	}
	if rewrite {
		gomega.Expect(os.WriteFile(file, []byte(Format(cases)), 0o600)).To(gomega.Succeed())
	}
}

// withoutBlankLines removes blank lines, since a blank line ends a case.
func withoutBlankLines(text string) string {
	lines := strings.Split(text, "\n")
	lines = slices.DeleteFunc(lines, func(l string) bool { return strings.TrimSpace(l) == "" })
	return strings.Join(lines, "\n")
}

// Parse reads the cases of a test file. It returns an error for a comment without
// a command and for a case without a line of dashes.
func Parse(text string) ([]Case, error) {
	var cases []Case
	for _, block := range strings.Split(strings.TrimSpace(text), "\n\n") {
		c, err := parseCase(strings.Split(strings.TrimSpace(block), "\n"))
		if err != nil {
			return nil, err
		}
		cases = append(cases, c)
	}
	return cases, nil
}

func parseCase(lines []string) (Case, error) {
	var c Case
	for len(lines) > 0 && strings.HasPrefix(lines[0], "#") {
		c.Comment = append(c.Comment, lines[0])
		lines = lines[1:]
	}
	if len(lines) == 0 {
		return c, fmt.Errorf("comment %q is not followed by a command", c.Comment)
	}
	parsed := parseLine(lines[0])
	c.Line, c.Command, c.Args = parsed.Line, parsed.Command, parsed.Args
	input, expected, found := strings.Cut(strings.Join(lines[1:], "\n")+"\n", "----\n")
	if !found {
		return c, fmt.Errorf("case %q has no line of four dashes", c.Line)
	}
	c.Input = input
	c.Expected = strings.TrimRight(expected, "\n")
	return c, nil
}

// parseLine parses a line with a command and its arguments.
func parseLine(line string) Case {
	words := strings.Fields(line)
	c := Case{Line: line, Command: words[0], Args: map[string]string{}}
	for _, w := range words[1:] {
		name, value, found := strings.Cut(w, "=")
		if !found {
			value = "true"
		}
		c.Args[name] = value
	}
	return c
}

// Steps returns the cases in the input of a case that consists of several steps: each line
// has commands without input, separated by semicolons.
func (c Case) Steps() []Case {
	var steps []Case
	for line := range strings.Lines(c.Input) {
		for step := range strings.SplitSeq(line, ";") {
			steps = append(steps, parseLine(strings.TrimSpace(step)))
		}
	}
	return steps
}

// RunSteps runs the steps of a case and returns their outputs that are not empty, in one
// line.
func (c Case) RunSteps(handle Handler) string {
	var outputs []string
	for _, step := range c.Steps() {
		if output := handle(step); output != "" {
			outputs = append(outputs, output)
		}
	}
	return strings.Join(outputs, "; ")
}

// Format returns the cases in the form of a test file, as Parse reads it.
func Format(cases []Case) string {
	var b strings.Builder
	for i, c := range cases {
		if i > 0 {
			b.WriteString("\n")
		}
		for _, l := range c.Comment {
			b.WriteString(l + "\n")
		}
		b.WriteString(c.Line + "\n" + c.Input + "----\n")
		if c.Expected != "" {
			b.WriteString(c.Expected + "\n")
		}
	}
	return b.String()
}

// Int returns an argument as a number, or a default value when it is absent. An
// argument that is no number fails the test.
func (c Case) Int(name string, defaultValue int) int {
	text, ok := c.Args[name]
	if !ok {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), "%s: argument %s", c.Line, name)
	return n
}

// Bool reports whether an argument is present and not "false".
func (c Case) Bool(name string) bool {
	text, ok := c.Args[name]
	return ok && text != "false"
}

// List returns the comma-separated parts of an argument.
func (c Case) List(name string) []string {
	if c.Args[name] == "" {
		return nil
	}
	return strings.Split(c.Args[name], ",")
}
