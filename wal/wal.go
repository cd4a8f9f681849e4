// Package wal keeps a replica's records and snapshots durably under one
// data folder: an identity, segments of records, and snapshots.
//
// Files: "identity" (one record), "snapshot-INDEX" (one record), "log-NUMBER"
// (records). New files are written under a temporary name, synced, renamed, and
// the folder is synced, so a file under its final name is whole.
//
// What can't be trusted is never skipped: opening such a folder fails with
// ErrCorrupt, and the replica rejoins as new. A sync that failed poisons the
// journal: the kernel may have dropped the dirty pages and answer a second sync
// with success, so trying again would acknowledge what is not there (Rebello et
// al.: Can Applications Recover from fsync Failures?, 2020).
package wal

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// Errors of this layer.
var (
	ErrFolder  = merry.Sentinel("data folder can't be used")
	ErrLocked  = merry.Sentinel("data folder is in use by another process")
	ErrCorrupt = merry.Sentinel("data folder is damaged; move it away and start the replica as new")
	ErrWrite   = merry.Sentinel("journal can't be written")
	ErrFailed  = merry.Sentinel("journal has failed and takes no more records")
	ErrEncode  = merry.Sentinel("record can't be encoded")
)

const (
	identityName   = "identity"
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	// segmentBytes is when a new segment starts.
	segmentBytes = 16 << 20
)

// State is what a folder held.
type State struct {
	// Identity is nil in a new folder.
	Identity *wire.Identity
	Hard     *wire.HardState
	Snapshot *wire.LogSnapshot
	Entries  []*wire.LogEntry
	// TornBytes were cut from the end of the last segment.
	TornBytes int
}

// Journal is an open data folder. It is not safe for use by several goroutines.
type Journal struct {
	fs     FS
	unlock func()
	file   File
	number uint64
	size   int64
	hard   *wire.HardState
	buf    []byte
	failed error
}

// Open locks a folder and reads it.
func Open(fs FS) (*Journal, *State, error) {
	unlock, err := fs.Lock()
	if err != nil {
		return nil, nil, err
	}
	j := &Journal{fs: fs, unlock: unlock}
	st, err := j.recover()
	if err == nil {
		err = j.startSegment(st)
	}
	if err != nil {
		unlock()
		return nil, nil, err
	}
	return j, st, nil
}

// Close releases the folder.
func (j *Journal) Close() {
	if j.file != nil {
		_ = j.file.Close()
	}
	j.unlock()
}

// WriteIdentity makes a replica's identity durable, once, in a new folder.
func (j *Journal) WriteIdentity(id *wire.Identity) error {
	rec := &wire.JournalRecord{Record: &wire.JournalRecord_Identity{Identity: id}}
	return j.poison(j.writeWhole(identityName, []*wire.JournalRecord{rec}))
}

// Append makes records durable before it returns: a snapshot first, then the
// hard state, then entries, which replace all from their first index on.
func (j *Journal) Append(hard *wire.HardState, entries []*wire.LogEntry) error {
	if j.failed != nil {
		return merry.Prepend(ErrFailed, j.failed.Error())
	}
	j.buf = j.buf[:0]
	if hard != nil {
		j.hard = hard
		j.add(&wire.JournalRecord{Record: &wire.JournalRecord_HardState{HardState: hard}})
	}
	for _, e := range entries {
		j.add(&wire.JournalRecord{Record: &wire.JournalRecord_Entry{Entry: e}})
	}
	if j.failed != nil {
		return j.failed
	}
	return j.poison(j.flush())
}

func (j *Journal) add(rec *wire.JournalRecord) {
	buf, err := appendFrame(j.buf, rec)
	if err != nil {
		j.failed = err
		return
	}
	j.buf = buf
}

func (j *Journal) flush() error {
	if _, err := j.file.Write(j.buf); err != nil {
		return err
	}
	j.size += int64(len(j.buf))
	return j.file.Sync()
}

// poison remembers the first failure; nothing is written after it.
func (j *Journal) poison(err error) error {
	if err == nil {
		return nil
	}
	if j.failed == nil {
		j.failed = err
	}
	return merry.Prepend(ErrWrite, err.Error())
}

// Err returns why the journal takes no more records, or nil.
func (j *Journal) Err() error { return j.failed }

// Large says whether the open segment has reached its size.
func (j *Journal) Large() bool { return j.size >= segmentBytes }

// Compact makes a snapshot durable and drops what it covers. entries are those
// after the snapshot that must stay.
func (j *Journal) Compact(s *wire.LogSnapshot, hard *wire.HardState, entries []*wire.LogEntry) error {
	if j.failed != nil {
		return merry.Prepend(ErrFailed, j.failed.Error())
	}
	return j.poison(j.compact(s, hard, entries))
}

func (j *Journal) compact(s *wire.LogSnapshot, hard *wire.HardState, entries []*wire.LogEntry) error {
	name := fmt.Sprintf("%s%020d", snapshotPrefix, s.Index)
	rec := &wire.JournalRecord{Record: &wire.JournalRecord_Snapshot{Snapshot: s}}
	if err := j.writeWhole(name, []*wire.JournalRecord{rec}); err != nil {
		return err
	}
	if hard != nil {
		j.hard = hard
	}
	if err := j.rotate(s, entries); err != nil {
		return err
	}
	return j.dropOld(name)
}

// rotate starts a segment that holds all that is needed after a snapshot. Its
// first record is the snapshot's position: on reading it, entries of older
// segments are forgotten. Without it, a crash before those are removed would
// bring back entries that an installed snapshot has replaced.
func (j *Journal) rotate(s *wire.LogSnapshot, entries []*wire.LogEntry) error {
	if j.file != nil {
		_ = j.file.Close()
	}
	j.number++
	var recs []*wire.JournalRecord
	if s != nil {
		at := &wire.LogSnapshot{Index: s.Index, Term: s.Term}
		recs = append(recs, &wire.JournalRecord{Record: &wire.JournalRecord_Snapshot{Snapshot: at}})
	}
	if j.hard != nil {
		recs = append(recs, &wire.JournalRecord{Record: &wire.JournalRecord_HardState{HardState: j.hard}})
	}
	for _, e := range entries {
		recs = append(recs, &wire.JournalRecord{Record: &wire.JournalRecord_Entry{Entry: e}})
	}
	name := j.segmentName()
	if err := j.writeWhole(name, recs); err != nil {
		return err
	}
	file, err := j.fs.Append(name)
	if err != nil {
		return err
	}
	j.file = file
	j.size = 0
	return nil
}

func (j *Journal) segmentName() string { return fmt.Sprintf("%s%020d", logPrefix, j.number) }

// dropOld removes what a durable snapshot and segment have replaced. A crash in
// between leaves old files, which recovery reads past or removes.
func (j *Journal) dropOld(snapshot string) error {
	names, err := j.fs.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		old := strings.HasPrefix(n, logPrefix) && n < j.segmentName() ||
			strings.HasPrefix(n, snapshotPrefix) && n < snapshot
		if !old {
			continue
		}
		if err := j.fs.Remove(n); err != nil {
			return err
		}
	}
	return j.fs.SyncDir()
}

// writeWhole writes a file that is either whole or not there.
func (j *Journal) writeWhole(name string, recs []*wire.JournalRecord) error {
	var buf []byte
	var err error
	for _, r := range recs {
		if buf, err = appendFrame(buf, r); err != nil {
			return err
		}
	}
	return writeWholeFile(j.fs, name, buf)
}

// writeWholeFile writes a file that is either whole or not there.
func writeWholeFile(fs FS, name string, data []byte) error {
	f, err := fs.Create(name + tempSuffix)
	if err != nil {
		return err
	}
	if err := writeAndSync(f, data); err != nil {
		return err
	}
	if err := fs.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return fs.SyncDir()
}

func writeAndSync(f File, buf []byte) error {
	if _, err := f.Write(buf); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
