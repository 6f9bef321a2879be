package siege

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/script"
)

var (
	seed     = flag.Uint64("siege.seed", 0, "seed of the faults; 0 means those of testdata/seeds.txt")
	duration = flag.Duration("siege.duration", 8*time.Second, "length of a run")
)

func TestSiege(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "siege")
}

// run plays the seeds of a file. Seeds that ever failed stay there.
var _ = script.Describe("processes under faults", "testdata/seeds.txt", func() script.Handler {
	folder, err := os.MkdirTemp("", "oriolepost-siege-program-")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() error { return os.RemoveAll(folder) })
	program := filepath.Join(folder, "oriolepost")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/oriolepost").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
	return func(c script.Case) string {
		cfg := Defaults()
		cfg.Program, cfg.Seed, cfg.Duration = program, uint64(c.Int("seed", 1)), *duration
		if *seed != 0 {
			cfg.Seed = *seed
		}
		r, err := Run(context.Background(), cfg)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(r.Broken()).To(gomega.Succeed())
		return fmt.Sprintf("kept, more than half served: %v", r.Served > r.Asked/2)
	}
})

// bench judges the events of a test file.
type bench struct{ history []Event }

var _ = script.Describe("judge", "testdata/judge/*.txt", func() script.Handler {
	b := &bench{}
	return b.run
})

func (b *bench) run(c script.Case) string {
	at := time.Duration(c.Int("at", 0)) * time.Millisecond
	id := c.Args["id"]
	switch c.Command {
	case "asked":
		b.history = append(b.history, Asked{ID: id, Entry: "e", Path: c.Args["path"], Body: c.Args["body"], Idempotent: c.Bool("idempotent")})
	case "ran":
		b.history = append(b.history, Ran{ID: id, Upstream: c.Args["on"], Path: c.Args["path"], Body: c.Args["body"], Cold: c.Bool("cold"), At: at})
	case "told":
		t := Told{ID: id, Status: c.Int("status", 200)}
		if of, ok := c.Args["answer_of"]; ok {
			t.Signature, t.Body = signature(of), answerBody(of, c.Args["path"])
		}
		b.history = append(b.history, t)
	case "leaving":
		b.history = append(b.history, Leaving{Upstream: c.Args["on"], At: at})
	case "acknowledged":
		b.history = append(b.history, Acknowledged{Version: uint64(c.Int("version", 0)), At: at})
	case "read":
		b.history = append(b.history, Read{Version: uint64(c.Int("version", 0)), Began: at})
	case "disturbed":
		b.history = append(b.history, Disturbed{Name: c.Args["name"], At: at})
	case "exited":
		b.history = append(b.history, Exited{Name: c.Args["name"], Reason: "killed"})
	case "judge":
		v := Judge(b.history, Bounds{Drain: drainTime, Apply: applyTime, Contact: contactTime, ColdPerSecond: 2})
		b.history = nil
		return strings.Join(append([]string{fmt.Sprintf("broken: %v", v.Broken())}, v.Examples...), "\n")
	default:
		return "unknown command"
	}
	return ""
}
