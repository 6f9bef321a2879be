package disk_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/oriolepost/oriolepost/disk"
	"github.com/oriolepost/oriolepost/replica"
	"github.com/oriolepost/oriolepost/script"
)

func TestDisk(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "disk")
}

// fixture is the data folder of one test file, on a disk that can fail.
type fixture struct {
	path   string
	folder *disk.Folder
	faults *diskFaults
}

var _ = script.Describe("data folder", "testdata/*.txt", func() script.Handler {
	path, err := os.MkdirTemp("", "oriolepost-disk-")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { gomega.Expect(os.RemoveAll(path)).To(gomega.Succeed()) })
	b := &fixture{path: filepath.Join(path, "data"), faults: &diskFaults{}}
	return b.run
})

func (b *fixture) run(c script.Case) string {
	switch c.Command {
	case "open":
		return b.open(c.Args["instance"])
	case "close":
		return errorText(b.folder.Close())
	case "vote":
		return b.save(replica.SaveHardState{HardState: replica.HardState{Term: uint64(c.Int("term", 0)), Vote: c.Args["for"]}})
	case "entries":
		return b.save(replica.SaveEntries{Entries: entries(c)})
	case "snapshot":
		s := replica.Snapshot{Index: uint64(c.Int("index", 0)), Term: uint64(c.Int("term", 0)), Data: []byte("state")}
		return b.save(replica.SaveSnapshot{Snapshot: s, DropLaterEntries: c.Bool("reset")})
	case "fail":
		b.faults.writes = c.Bool("write")
		b.faults.syncs = c.Bool("sync")
		b.faults.full = c.Bool("full")
		b.faults.open = c.Bool("open")
		b.faults.only = c.Args["only"]
		return ""
	case "damage":
		return b.damage(c)
	case "sync":
		return errorText(b.folder.Sync())
	case "skipped":
		return fmt.Sprint(b.folder.SkippedSnapshots)
	}
	return "unknown command"
}

func entries(c script.Case) []replica.Entry {
	var out []replica.Entry
	for i := c.Int("from", 1); i <= c.Int("to", 0); i++ {
		out = append(out, replica.Entry{Index: uint64(i), Term: uint64(c.Int("term", 1)), Data: []byte(`{"kind":"noop"}`)})
	}
	return out
}

func (b *fixture) open(instance string) string {
	f, err := disk.Open(b.path, instance, "folder-1")
	if err != nil {
		return errorText(err)
	}
	b.folder = f
	f.Create = b.faults.create
	s := f.Saved
	text := fmt.Sprintf("term=%d vote=%q snapshot=%d empty=%v", s.HardState.Term, s.HardState.Vote, s.Snapshot.Index, f.Empty)
	for _, e := range s.Entries {
		text += fmt.Sprintf(" %d/%d", e.Index, e.Term)
	}
	return text
}

func (b *fixture) save(e replica.Effect) string {
	if err := b.folder.Append(e); err != nil {
		return errorText(err)
	}
	return errorText(b.folder.Sync())
}

// errorText returns an error's text without the folder's path, or "good" for no
// error.
func errorText(err error) string {
	if err == nil {
		return "good"
	}
	var folder *disk.FolderError
	if errors.As(err, &folder) {
		return folder.Problem + "; " + folder.Remedy
	}
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+2:]
}

// damage changes a file in the way that a crash or a faulty disk does.
func (b *fixture) damage(c script.Case) string {
	name := filepath.Join(b.path, c.Args["file"])
	data, err := os.ReadFile(name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	switch {
	case c.Bool("cut"):
		data = data[:len(data)-c.Int("cut", 0)]
	case c.Bool("zeros"):
		data = append(data, make([]byte, c.Int("zeros", 0))...)
	case c.Bool("flip"):
		at := c.Int("flip", 0)
		if at < 0 {
			at += len(data)
		}
		data[at] ^= 1
	case c.Bool("write"):
		data = []byte(c.Input)
	}
	gomega.Expect(os.WriteFile(name, data, 0o600)).To(gomega.Succeed())
	return ""
}

// diskFaults selects which operations fail. A full disk writes half of the data
// before it fails with ENOSPC. It affects only files whose name begins with only.
type diskFaults struct {
	writes, syncs, full bool
	// open makes the journal fail to open, as on a disk that fills up just then.
	open bool
	only string
}

var (
	// errNoSpace has the text of ENOSPC but is not [syscall.ENOSPC], so the folder
	// treats it as fatal.
	errNoSpace = errors.New("no space left on device")
	errSync    = errors.New("input/output error")
)

func (f *diskFaults) create(path string) (disk.File, error) {
	if f.open && filepath.Base(path) == "journal" {
		return nil, syscall.ENOSPC
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &faultyFile{File: file, faults: f}, err
}

type faultyFile struct {
	*os.File
	faults *diskFaults
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if f.faults.writes {
		return 0, errNoSpace
	}
	if f.faults.full && strings.HasPrefix(filepath.Base(f.Name()), f.faults.only) {
		n, err := f.File.Write(p[:len(p)/2])
		return n, errors.Join(err, syscall.ENOSPC)
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	if f.faults.syncs {
		return errSync
	}
	return f.File.Sync()
}
