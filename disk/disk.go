// Package disk keeps a replica's durable state in one data folder.
//
// The folder holds three files. "identity.json" says whose folder it is and
// in which format. "snapshot" holds the newest snapshot. "journal" holds what
// followed it: terms, votes and entries. Both are sequences of frames with a
// length and a checksum. Files are replaced by writing a new one, syncing it,
// renaming it and syncing the folder.
//
// A write that a crash cut short is dropped when the folder is opened, since
// it was never acknowledged. Damage anywhere else is an error: the replica
// may have promised what is lost, so it must not vote with that folder. The
// remedy is an empty folder, which joins under a new identity.
//
// # Usage
//
//	f, err := disk.Open(path, "palermo-1")
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

// FormatVersion is the format of the data folder that this program writes.
const FormatVersion = 1

// emptyRecords is the number of records of a journal without any state.
const emptyRecords = 2

const (
	identityFile = "identity.json"
	journalFile  = "journal"
	snapshotFile = "snapshot"
	lockFile     = "lock"
	filePerm     = 0o600
	folderPerm   = 0o700
)

// Identity says whose data folder it is.
type Identity struct {
	Format   int    `json:"format"`
	Instance string `json:"instance"`
	// ReplicaID differs for each data folder that the instance ever had.
	ReplicaID string `json:"replica_id"`
}

// FolderError says why a data folder can't be used.
type FolderError struct {
	Folder  string
	Problem string
	Remedy  string
}

// Error implements error.
func (e *FolderError) Error() string {
	return fmt.Sprintf("data folder %s: %s; %s", e.Folder, e.Problem, e.Remedy)
}

// FullError says that there is no room for a write. Nothing was written.
type FullError struct {
	Folder string
	Cause  error
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("data folder %s is full: %v", e.Folder, e.Cause)
}

// Unwrap gives the cause.
func (e *FullError) Unwrap() error { return e.Cause }

// File is what a journal needs of an open file. Tests put in files that fail.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Close() error
}

// Folder is an open data folder. One task owns it.
type Folder struct {
	Path     string
	Identity Identity
	// Saved is what the folder held when it was opened.
	Saved replica.Saved
	// Empty is true when the folder held no state.
	Empty bool
	// Create opens a file for appending.
	Create func(path string) (File, error)
	// Syncs counts the syncs of the journal.
	Syncs int

	lock    *os.File
	journal File
	buffer  []byte
	// length is the length of the journal without the buffer, in bytes.
	length   int64
	mirrored mirror
	// generation counts the snapshots that made a journal void.
	generation        uint64
	journalGeneration uint64
}

// mirror is the state that the journal holds, from which it is rewritten.
type mirror struct {
	hard    replica.HardState
	entries []replica.Entry
}

// Open locks a data folder, creates what is missing and reads what is there.
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
	if err := f.acquire(); err != nil {
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

func (f *Folder) file(name string) string { return filepath.Join(f.Path, name) }

func (f *Folder) acquire() error {
	lock, err := os.OpenFile(f.file(lockFile), os.O_CREATE|os.O_RDWR, filePerm)
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
	found, err := f.loadSnapshot()
	if err != nil {
		return err
	}
	size, err := f.loadJournal()
	if err != nil {
		return err
	}
	f.Empty = !found && size <= emptyRecords
	f.mirrored = mirror{hard: f.Saved.HardState, entries: slices.Clone(f.Saved.Entries)}
	return f.rewriteJournal()
}

func (f *Folder) loadIdentity(instance, newReplicaID string) error {
	data, err := os.ReadFile(f.file(identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		f.Identity = Identity{Format: FormatVersion, Instance: instance, ReplicaID: newReplicaID}
		data, err = json.Marshal(f.Identity)
		if err != nil {
			return err
		}
		return f.replace(identityFile, data)
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
		problem := fmt.Sprintf("format %d is newer than %d", f.Identity.Format, FormatVersion)
		return &FolderError{f.Path, problem, "start a newer program"}
	case f.Identity.Instance != instance:
		problem := fmt.Sprintf("belongs to instance %q, not %q", f.Identity.Instance, instance)
		return &FolderError{f.Path, problem, "name the right folder in the settings"}
	}
	return nil
}

// replace writes a whole file in a way that a crash can't cut short.
func (f *Folder) replace(name string, data []byte) (err error) {
	temporary := f.file(name + ".new")
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	file, err := f.Create(temporary)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Sync(); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := os.Rename(temporary, f.file(name)); err != nil {
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
