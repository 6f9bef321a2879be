package node

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/peer"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/settings"
)

var errSync = errors.New("input/output error")

// failingFile is a file whose disk stops syncing when fail is set.
type failingFile struct {
	*os.File
	fail *bool
}

func (f failingFile) Sync() error {
	if *f.fail {
		return errSync
	}
	return f.File.Sync()
}

// A voter whose disk fails while the members change must not go on: it would
// count itself for an entry that it may have lost.
func TestDiskFailureDuringMemberChangeEndsTheVoter(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := settings.Defaults()
	s.Instance = "n1"
	s.Domain = "palermo"
	s.Control = []settings.ControlInstance{{Instance: "n1", Domain: "palermo", Address: "127.0.0.1:1", Voter: true}}
	folder, err := disk.Open(filepath.Join(t.TempDir(), "data"), "n1", "folder")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	fail := false
	folder.Create = func(path string) (disk.File, error) {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		return failingFile{f, &fail}, err
	}
	pool := peer.NewPool(ctx, peer.Options{})
	v, err := newVoterTask(ctx, s, folder, pool, peer.NewLeader(pool, controlAddresses(s)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	v.metrics = metrics.NewSet()
	v.log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	g.Expect(v.perform(v.form([]replica.Identity{{ReplicaID: v.id()}}))).To(gomega.Succeed())
	later := time.Now().Add(2 * time.Second)
	g.Expect(v.perform(v.replica.Step(later, replica.Tick{}))).To(gomega.Succeed())
	g.Expect(v.replica.Role).To(gomega.Equal(replica.RoleLeader))

	v.plan.Target = 3
	v.standbys["n2/x"] = replica.Identity{ReplicaID: "n2/x", Instance: "n2", Heard: later}
	fail = true
	g.Expect(v.lead(later)).To(gomega.MatchError(errSync))
}
