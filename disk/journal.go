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
	// Entries replace the entries from the first one's index on.
	Entries []replica.Entry `json:"entries,omitempty"`
	// Generation is the first record of a journal.
	Generation *uint64 `json:"generation,omitempty"`
}

// snapshotRecord is the only frame of the snapshot file.
type snapshotRecord struct {
	Snapshot replica.Snapshot `json:"snapshot"`
	// Generation is the oldest journal whose entries may follow the snapshot.
	Generation uint64 `json:"generation"`
}

func (f *Folder) loadSnapshot() (bool, error) {
	data, err := os.ReadFile(f.file(snapshotFile))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	payload, rest, state := nextFrame(data)
	if state != frameWhole || len(rest) > 0 {
		return false, f.damaged(snapshotFile)
	}
	var r snapshotRecord
	if err := json.Unmarshal(payload, &r); err != nil {
		return false, f.damaged(snapshotFile)
	}
	f.Saved.Snapshot = r.Snapshot
	f.generation = r.Generation
	return true, nil
}

func (f *Folder) damaged(file string) error {
	return &FolderError{
		f.Path, file + " is damaged",
		"move the folder away and start with an empty one, which joins anew",
	}
}

// loadJournal reads the journal and gives the number of its records.
func (f *Folder) loadJournal() (int, error) {
	data, err := os.ReadFile(f.file(journalFile))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	records := 0
	for len(data) > 0 {
		payload, rest, state := nextFrame(data)
		if state == frameTorn {
			break
		}
		if state == frameCorrupt {
			return 0, f.damaged(journalFile)
		}
		var r journalRecord
		if err := json.Unmarshal(payload, &r); err != nil {
			return 0, f.damaged(journalFile)
		}
		f.replay(r)
		records++
		data = rest
	}
	return records, f.checkGap()
}

func (f *Folder) replay(r journalRecord) {
	switch {
	case r.HardState != nil:
		f.Saved.HardState = *r.HardState
	case r.Generation != nil:
		f.journalGeneration = *r.Generation
	case len(r.Entries) > 0:
		f.Saved.Entries = splice(f.Saved.Entries, r.Entries)
	}
}

// checkGap drops entries that the snapshot covers, and all entries of a
// journal that the snapshot made void. The rest must follow the snapshot.
func (f *Folder) checkGap() error {
	s := &f.Saved
	if f.journalGeneration < f.generation {
		s.Entries = nil
	}
	f.generation = max(f.generation, f.journalGeneration)
	for len(s.Entries) > 0 && s.Entries[0].Index <= s.Snapshot.Index {
		s.Entries = s.Entries[1:]
	}
	if len(s.Entries) > 0 && s.Entries[0].Index != s.Snapshot.Index+1 {
		return f.damaged(journalFile)
	}
	return nil
}

// splice replaces the entries from the first new one's index on.
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

// Append takes an effect that saves something into the next write. It does
// not write before Sync.
func (f *Folder) Append(effect replica.Effect) (err error) {
	switch e := effect.(type) {
	case replica.SaveHardState:
		f.mirrored.hard = e.HardState
		return f.add(journalRecord{HardState: &e.HardState})
	case replica.SaveEntries:
		f.mirrored.entries = splice(f.mirrored.entries, e.Entries)
		return f.add(journalRecord{Entries: e.Entries})
	case replica.SaveSnapshot:
		return f.saveSnapshot(e)
	case replica.Send, replica.Apply, replica.Restore, replica.Appended, replica.Refused, replica.RoleChanged:
	}
	return nil
}

func (f *Folder) add(r journalRecord) error {
	payload, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode journal record: %w", err)
	}
	f.buffer = appendFrame(f.buffer, payload)
	return nil
}

// Sync writes what was appended and waits until it is durable. After a
// [FullError] nothing of it is written, and Sync may be called again. After any
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

// undoWrite drops what a write that failed for want of room left behind.
func (f *Folder) undoWrite(err error) error {
	if !errors.Is(err, syscall.ENOSPC) {
		return fmt.Errorf("write journal: %w", err)
	}
	if failed := f.journal.Truncate(f.length); failed != nil {
		return fmt.Errorf("write journal: %w", errors.Join(err, failed))
	}
	return &FullError{Folder: f.Path, Cause: err}
}

// saveSnapshot replaces the snapshot first, and then the journal by what
// follows the snapshot. A crash between the two leaves entries that the
// snapshot covers or, by their generation, made void; loading drops them.
func (f *Folder) saveSnapshot(e replica.SaveSnapshot) error {
	if err := f.Sync(); err != nil {
		return err
	}
	if e.Reset {
		f.generation++
		f.mirrored.entries = nil
	}
	payload, err := json.Marshal(snapshotRecord{Snapshot: e.Snapshot, Generation: f.generation})
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	if err := f.replace(snapshotFile, appendFrame(nil, payload)); err != nil {
		if errors.Is(err, syscall.ENOSPC) && !e.Reset {
			// The former snapshot and the whole journal say the same.
			return nil
		}
		return fmt.Errorf("write snapshot: %w", err)
	}
	kept := f.mirrored.entries
	for len(kept) > 0 && kept[0].Index <= e.Snapshot.Index {
		kept = kept[1:]
	}
	f.mirrored.entries = append([]replica.Entry(nil), kept...)
	return f.rewriteJournal()
}

// rewriteJournal begins a new journal with the state that must be kept.
func (f *Folder) rewriteJournal() error {
	var fresh []byte
	records := []journalRecord{{Generation: &f.generation}, {HardState: &f.mirrored.hard}}
	if len(f.mirrored.entries) > 0 {
		records = append(records, journalRecord{Entries: f.mirrored.entries})
	}
	for _, r := range records {
		payload, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("encode journal: %w", err)
		}
		fresh = appendFrame(fresh, payload)
	}
	if f.journal != nil {
		if err := f.journal.Close(); err != nil {
			return err
		}
		f.journal = nil
	}
	if err := f.replace(journalFile, fresh); err != nil {
		return fmt.Errorf("rewrite journal: %w", err)
	}
	journal, err := f.Create(f.file(journalFile))
	if err != nil {
		return err
	}
	f.journal = journal
	f.length = int64(len(fresh))
	return nil
}
