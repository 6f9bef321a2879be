// Package disk keeps a replica's durable state in one data folder.
//
// The folder holds three files of state and a lock file. "identity.json" holds
// the format, the instance that owns the folder, and the folder's own identity,
// which is part of the replica ID. "snapshot" holds the newest snapshot.
// "journal" holds the terms, votes and entries since that snapshot. Snapshot and
// journal consist of frames with a length and checksums. A file is replaced by
// writing a new one, syncing it, renaming it over the old one and syncing the
// folder.
//
// An incomplete write at the end of the journal, left by a crash, is dropped
// when the folder is opened: it was never acknowledged. Any other damage is an
// error. The lost data may include votes or entries that the replica has
// acknowledged, so it must not vote with that folder. The remedy is an empty
// folder, with which the instance joins under a new replica ID.
//
// # Usage
//
//	f, err := disk.Open(path, "palermo-1", newReplicaID)
//	...
//	f.Append(effect)
//	err = f.Sync()
package disk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/oriolepost/oriolepost/replica"
)

// FormatVersion is the version of the data folder's format that this program
// writes, and the highest that it reads.
const FormatVersion = 1

const (
	identityFile = "identity.json"
	journalFile  = "journal"
	snapshotFile = "snapshot"
	lockFile     = "lock"
	filePerm     = 0o600
	folderPerm   = 0o700
)

// Identity is the content of identity.json: the owner of a data folder.
type Identity struct {
	// Format is the FormatVersion of the program that created the folder.
	Format   int    `json:"format"`
	Instance string `json:"instance"`
	// ReplicaID is the identity of the folder, the second part of the replica ID
	// that [replica.ID] returns. An instance that starts with a new folder gets
	// a new one.
	ReplicaID string `json:"replica_id"`
}

// FolderError reports that a data folder can't be used, and what to do.
type FolderError struct {
	Folder  string
	Problem string
	Remedy  string
}

// Error implements error.
func (e *FolderError) Error() string {
	return fmt.Sprintf("data folder %s: %s; %s", e.Folder, e.Problem, e.Remedy)
}

// FullError reports that there is no space for a write. Nothing was written.
type FullError struct {
	Folder string
	Cause  error
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("data folder %s is full: %v", e.Folder, e.Cause)
}

// Unwrap returns the cause.
func (e *FullError) Unwrap() error { return e.Cause }

// File is the part of [os.File] that the folder writes with. Tests provide files
// that fail.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Folder is an open data folder. It is owned by one task and not safe for
// concurrent use.
type Folder struct {
	Path     string
	Identity Identity
	// Saved is the state that the folder held when it was opened.
	Saved replica.PersistentState
	// Empty is true when the folder held no snapshot, no entries, no term and no
	// vote when it was opened. A replica that has voted must not form a new group.
	Empty bool
	// Create opens a file for appending, and creates it if it is missing.
	Create func(path string) (File, error)
	// Syncs counts the writes to the journal, each followed by a sync.
	Syncs int
	// SkippedSnapshots counts the snapshots that were not saved, or whose journal
	// was not shortened, because the disk was full.
	SkippedSnapshots int

	lock    *os.File
	journal File
	buffer  []byte
	// length is the length of the journal file in bytes, without the buffer.
	length int64
	state  journalState
	// generation counts the snapshots with DropLaterEntries. The entries of a
	// journal with a lower generation are obsolete.
	generation uint64
	// journalGeneration is the generation of the journal that was loaded.
	journalGeneration uint64
}

// journalState is a copy in memory of the state in the journal. The journal is
// rewritten from it.
type journalState struct {
	hardState replica.HardState
	entries   []replica.Entry
}

// Open locks a data folder and reads its state. It creates the folder, the
// identity and the journal if they are missing. newReplicaID goes into an identity
// that it creates. A folder that can't be used gives a [FolderError].
func Open(path, instance, newReplicaID string) (f *Folder, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("open data folder: %w", err)
		}
	}()
	if err := os.MkdirAll(path, folderPerm); err != nil {
		return nil, err
	}
	f = &Folder{Path: path, Create: openAppend}
	if err := f.lockFolder(); err != nil {
		return nil, err
	}
	if err := f.load(instance, newReplicaID); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func openAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePerm)
}

func (f *Folder) filePath(name string) string { return filepath.Join(f.Path, name) }

func (f *Folder) lockFolder() error {
	lock, err := os.OpenFile(f.filePath(lockFile), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		problem := &FolderError{f.Path, "locked by another process", "stop that process first"}
		return errors.Join(problem, lock.Close())
	}
	f.lock = lock
	return nil
}

func (f *Folder) load(instance, newReplicaID string) error {
	if err := f.loadIdentity(instance, newReplicaID); err != nil {
		return err
	}
	hasSnapshot, err := f.loadSnapshot()
	if err != nil {
		return err
	}
	if err := f.loadJournal(); err != nil {
		return err
	}
	f.Empty = !hasSnapshot && len(f.Saved.Entries) == 0 && f.Saved.HardState == (replica.HardState{})
	f.state = journalState{hardState: f.Saved.HardState, entries: slices.Clone(f.Saved.Entries)}
	return f.rewriteJournal()
}

func (f *Folder) loadIdentity(instance, newReplicaID string) error {
	data, err := os.ReadFile(f.filePath(identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		f.Identity = Identity{Format: FormatVersion, Instance: instance, ReplicaID: newReplicaID}
		data, err = json.Marshal(f.Identity)
		if err != nil {
			return err
		}
		return f.replaceFile(identityFile, data)
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, &f.Identity); err != nil {
		return &FolderError{f.Path, "identity.json is damaged", "start with an empty folder"}
	}
	return f.checkIdentity(instance)
}

func (f *Folder) checkIdentity(instance string) error {
	switch {
	case f.Identity.Format > FormatVersion:
		problem := fmt.Sprintf("format %d is newer than %d, the newest that this program reads", f.Identity.Format, FormatVersion)
		return &FolderError{f.Path, problem, "start a newer program"}
	case f.Identity.Instance != instance:
		problem := fmt.Sprintf("belongs to instance %q, not %q", f.Identity.Instance, instance)
		return &FolderError{f.Path, problem, "name the right folder in the settings"}
	}
	return nil
}

// replaceFile replaces a file atomically: after a crash, the file has either its
// old or its new content.
func (f *Folder) replaceFile(name string, data []byte) (err error) {
	temporary := f.filePath(name + ".new")
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	file, err := f.Create(temporary)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		// On a full disk, a file left behind would take the space that the journal needs.
		return errors.Join(err, file.Close(), os.Remove(temporary))
	}
	if err := file.Sync(); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := os.Rename(temporary, f.filePath(name)); err != nil {
		return err
	}
	return syncFolder(f.Path)
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Close closes the journal and releases the lock.
func (f *Folder) Close() error {
	var err error
	if f.journal != nil {
		err = f.journal.Close()
		f.journal = nil
	}
	if f.lock != nil {
		err = errors.Join(err, f.lock.Close())
		f.lock = nil
	}
	return err
}
