package retry_test

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/script"
)

// TestSaturatedRetryBudget has the cases of a fleet that changes while every entry uses all
// of its budget. It is a test of its own so that .ci/run can pass over exactly these.
func TestSaturatedRetryBudget(t *testing.T) {
	files, err := filepath.Glob("testdata/saturated/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test files: %v", err)
	}
	gomega.RegisterTestingT(t)
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		cases, err := script.Parse(string(data))
		if err != nil {
			t.Fatal(err)
		}
		s := &system{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(1, 1))}
		s.withOwner()
		for _, c := range cases {
			if got := s.run(c); got != c.Expected {
				t.Errorf("%s: %s: %q, want %q", file, c.Line, got, c.Expected)
			}
		}
	}
}
