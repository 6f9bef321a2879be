package disk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"syscall"

	"github.com/oriolepost/oriolepost/replica"
)

// journalRecord is one frame of the journal. Exactly one field is set.
type journalRecord struct {
	HardState *replica.HardState `json:"hard_state,omitempty"`
	// Entries are appended to the log. They replace the entries of earlier
	// records from the index of the first of them on.
	Entries []replica.Entry `json:"entries,omitempty"`
	// Generation is in the first record of each journal. It is the value of
	// Folder.generation when the journal was created.
	Generation *uint64 `json:"generation,omitempty"`
}

// snapshotRecord is the only frame of the snapshot file.
type snapshotRecord struct {
	Snapshot replica.Snapshot `json:"snapshot"`
	// Generation is the lowest generation of a journal whose entries may
	// follow the snapshot.
	Generation uint64 `json:"generation"`
}

// loadSnapshot reads the snapshot file, and reports whether there is one.
func (f *Folder) loadSnapshot() (bool, error) {
	data, err := os.ReadFile(f.filePath(snapshotFile))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	payload, rest, state := nextFrame(data)
	if state != frameComplete || len(rest) > 0 {
		return false, f.damagedError(snapshotFile)
	}
	var r snapshotRecord
	if err := json.Unmarshal(payload, &r); err != nil {
		return false, f.damagedError(snapshotFile)
	}
	f.Saved.Snapshot = r.Snapshot
	f.generation = r.Generation
	return true, nil
}

func (f *Folder) damagedError(file string) error {
	return &FolderError{
		f.Path, file + " is damaged",
		"move the folder away and start with an empty one, which joins as a new replica",
	}
}

// loadJournal reads the journal.
func (f *Folder) loadJournal() error {
	data, err := os.ReadFile(f.filePath(journalFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	for len(data) > 0 {
		payload, rest, state := nextFrame(data)
		if state == frameTorn {
			break
		}
		if state == frameCorrupt {
			return f.damagedError(journalFile)
		}
		var r journalRecord
		if err := json.Unmarshal(payload, &r); err != nil {
			return f.damagedError(journalFile)
		}
		f.applyRecord(r)
		data = rest
	}
	return f.trimEntries()
}

func (f *Folder) applyRecord(r journalRecord) {
	switch {
	case r.HardState != nil:
		f.Saved.HardState = *r.HardState
	case r.Generation != nil:
		f.journalGeneration = *r.Generation
	case len(r.Entries) > 0:
		f.Saved.Entries = splice(f.Saved.Entries, r.Entries)
	}
}

// trimEntries drops the entries that the snapshot covers. It drops all entries
// of a journal that is older than a snapshot with DropLaterEntries. The first
// remaining entry must directly follow the snapshot; otherwise the journal is
// damaged.
func (f *Folder) trimEntries() error {
	s := &f.Saved
	if f.journalGeneration < f.generation {
		s.Entries = nil
	}
	f.generation = max(f.generation, f.journalGeneration)
	for len(s.Entries) > 0 && s.Entries[0].Index <= s.Snapshot.Index {
		s.Entries = s.Entries[1:]
	}
	if len(s.Entries) > 0 && s.Entries[0].Index != s.Snapshot.Index+1 {
		return f.damagedError(journalFile)
	}
	return nil
}

// splice returns the old entries before the index of the first added entry,
// followed by the added entries. It does not modify the entries of old.
func splice(old, added []replica.Entry) []replica.Entry {
	keep := len(old)
	for keep > 0 && old[keep-1].Index >= added[0].Index {
		keep--
	}
	if keep < len(old) {
		old = old[:keep:keep]
	}
	return append(old, added...)
}

// Append adds an effect that must be durable to the next write. Hard state and
// entries are only buffered until Sync. A snapshot is written immediately,
// after a Sync of what was appended before it. Other effects are ignored.
func (f *Folder) Append(effect replica.Effect) (err error) {
	switch e := effect.(type) {
	case replica.SaveHardState:
		f.state.hardState = e.HardState
		return f.appendRecord(journalRecord{HardState: &e.HardState})
	case replica.SaveEntries:
		f.state.entries = splice(f.state.entries, e.Entries)
		return f.appendRecord(journalRecord{Entries: e.Entries})
	case replica.SaveSnapshot:
		return f.saveSnapshot(e)
	case replica.Send, replica.Apply, replica.Restore, replica.Appended, replica.ProposalRefused, replica.RoleChanged:
	}
	return nil
}

func (f *Folder) appendRecord(r journalRecord) error {
	payload, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode journal record: %w", err)
	}
	f.buffer = appendFrame(f.buffer, payload)
	return nil
}

// Sync writes the appended records and returns when they are durable. After a
// [FullError] none of them is written, and Sync may be called again. After any
// other error the folder must not be used any more.
func (f *Folder) Sync() error {
	if len(f.buffer) == 0 {
		return nil
	}
	if _, err := f.journal.Write(f.buffer); err != nil {
		return f.undoWrite(err)
	}
	f.length += int64(len(f.buffer))
	f.buffer = f.buffer[:0]
	f.Syncs++
	if err := f.journal.Sync(); err != nil {
		return fmt.Errorf("sync journal: %w", err)
	}
	return nil
}

// undoWrite handles a failed write. When the disk is full, it truncates the
// journal to its length before the write, and returns a [FullError].
func (f *Folder) undoWrite(err error) error {
	if !errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("write journal: %w", err)
	}
	if truncateErr := f.journal.Truncate(f.length); truncateErr != nil {
		return fmt.Errorf("write journal: %w", errors.Join(err, truncateErr))
	}
	return &FullError{Folder: f.Path, Cause: err}
}

// saveSnapshot replaces the snapshot file first. Then it replaces the journal by
// one that holds only the entries after the snapshot. A crash between the two
// leaves a journal with entries that the snapshot covers, or one whose
// generation is lower than the snapshot's. Loading drops such entries.
//
// When the disk is full, a snapshot of the replica's own state is skipped: the
// previous snapshot and the journal hold the same state. A snapshot that replaces
// the log can't be skipped and gives a [FullError], after which saveSnapshot may be
// called again.
func (f *Folder) saveSnapshot(e replica.SaveSnapshot) error {
	if err := f.Sync(); err != nil {
		return err
	}
	generation := f.generation
	if e.DropLaterEntries {
		generation++
	}
	payload, err := json.Marshal(snapshotRecord{Snapshot: e.Snapshot, Generation: generation})
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	if err := f.replaceFile(snapshotFile, appendFrame(nil, payload)); err != nil {
		return f.snapshotFailed(e, fmt.Errorf("write snapshot: %w", err))
	}
	kept := f.state.entries
	for len(kept) > 0 && kept[0].Index <= e.Snapshot.Index {
		kept = kept[1:]
	}
	if e.DropLaterEntries {
		kept = nil
	}
	f.generation = generation
	f.state.entries = append([]replica.Entry(nil), kept...)
	if err := f.rewriteJournal(); err != nil {
		return f.snapshotFailed(e, err)
	}
	return nil
}

// snapshotFailed handles an error while a snapshot is saved. On a full disk, a
// snapshot that can be skipped is counted, and the journal goes on as it is.
func (f *Folder) snapshotFailed(e replica.SaveSnapshot, err error) error {
	switch {
	case !errors.Is(err, syscall.ENOSPC):
		return err
	case e.DropLaterEntries:
		return &FullError{Folder: f.Path, Cause: err}
	}
	f.SkippedSnapshots++
	return nil
}

// rewriteJournal replaces the journal by a new one that holds only the current
// state: the generation, the hard state and the entries after the snapshot.
func (f *Folder) rewriteJournal() error {
	var data []byte
	records := []journalRecord{{Generation: &f.generation}, {HardState: &f.state.hardState}}
	if len(f.state.entries) > 0 {
		records = append(records, journalRecord{Entries: f.state.entries})
	}
	for _, r := range records {
		payload, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("encode journal: %w", err)
		}
		data = appendFrame(data, payload)
	}
	// The old journal stays open until the new one is in place, so that it can be
	// used further when the disk is full.
	if err := f.replaceFile(journalFile, data); err != nil {
		return fmt.Errorf("rewrite journal: %w", err)
	}
	journal, err := f.Create(f.filePath(journalFile))
	if err != nil {
		// The old journal is no longer in the folder. Without the cause, a full disk does
		// not count as one on which the old journal can be used further.
		return errors.New("open the new journal: " + err.Error())
	}
	if f.journal != nil {
		if err := f.journal.Close(); err != nil {
			return errors.Join(err, journal.Close())
		}
	}
	f.journal = journal
	f.length = int64(len(data))
	return nil
}
