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

// failingFile is a file whose Sync fails while *fail is true.
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

// Guards against a voter that continues after a failed disk sync during a
// membership change: the leader would count itself as holding a log entry that
// its disk may have lost.
func TestDiskFailureDuringMemberChangeEndsTheVoter(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	instanceSettings := settings.Defaults()
	instanceSettings.Instance = "n1"
	instanceSettings.Domain = "palermo"
	instanceSettings.Control = []settings.ControlInstance{{Instance: "n1", Domain: "palermo", Address: "127.0.0.1:1", Voter: true}}
	folder, err := disk.Open(filepath.Join(t.TempDir(), "data"), "n1", "folder")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	fail := false
	folder.Create = func(path string) (disk.File, error) {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		return failingFile{f, &fail}, err
	}
	pool := peer.NewPool(ctx, peer.Options{})
	voter, err := newVoterTask(ctx, instanceSettings, folder, pool, peer.NewLeaderClient(pool, controlAddresses(instanceSettings)))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	voter.metrics = metrics.NewSet()
	voter.log = &log.Logger{Handler: discard.New(), Level: log.FatalLevel}
	g.Expect(voter.perform(voter.bootstrap([]replica.Identity{{ReplicaID: voter.id()}}))).To(gomega.Succeed())
	later := time.Now().Add(2 * time.Second)
	g.Expect(voter.perform(voter.replica.Step(later, replica.Tick{}))).To(gomega.Succeed())
	g.Expect(voter.replica.Role).To(gomega.Equal(replica.RoleLeader))

	voter.plan.Target = 3
	voter.standbys["n2/x"] = replica.Identity{ReplicaID: "n2/x", Instance: "n2", LastContact: later}
	fail = true
	g.Expect(voter.runHousekeeping(later)).To(gomega.MatchError(errSync))
}
