// Package wal stores records durably in a data folder. Journal is the write-ahead
// log of a consensus replica, with its identity and its snapshots; Log is a sequence
// of record files.
//
// Files of a Journal: "identity" (one record), "snapshot-INDEX" (one record),
// "log-NUMBER" (a segment of records). A new file is written under a temporary name,
// synced and renamed, and the folder is synced, so a file with its final name is
// complete.
//
// Corrupt data is never skipped: opening such a folder fails with ErrCorrupt, and the
// replica must rejoin as a new one. After a failed sync nothing more is written: the
// kernel may have dropped the dirty pages and report success for a second sync, so
// that a retry would acknowledge records that aren't on disk (Rebello et al.: Can
// Applications Recover from fsync Failures?, 2020).
package wal

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// Errors of this package.
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
	// maxSegmentBytes is the size at which SegmentFull reports true.
	maxSegmentBytes = 16 << 20
)

// State is the contents of a Journal's folder.
type State struct {
	// Identity is nil if the folder has none yet.
	Identity  *wire.Identity
	HardState *wire.HardState
	Snapshot  *wire.LogSnapshot
	Entries   []*wire.LogEntry
	// TornBytes is the size of a torn write that was cut from the last segment.
	TornBytes int
}

// Journal is the write-ahead log of a replica in an open data folder. It is not safe
// for concurrent use.
type Journal struct {
	fs      FS
	unlock  func()
	file    File
	segment uint64
	// segmentSize is the size of the open segment in bytes, without the records with which
	// it was started by this process.
	segmentSize int64
	hardState   *wire.HardState
	buf         []byte
	failure     error
}

// Open locks a folder, reads its state, and opens the last segment for writing.
func Open(fs FS) (*Journal, *State, error) {
	unlock, err := fs.Lock()
	if err != nil {
		return nil, nil, err
	}
	j := &Journal{fs: fs, unlock: unlock}
	st, err := j.recover()
	if err == nil {
		err = j.openSegment(st)
	}
	if err != nil {
		unlock()
		return nil, nil, err
	}
	return j, st, nil
}

// Close closes the segment and unlocks the folder.
func (j *Journal) Close() {
	if j.file != nil {
		_ = j.file.Close()
	}
	j.unlock()
}

// WriteIdentity makes the replica's identity durable. It is called once, for a new
// folder.
func (j *Journal) WriteIdentity(id *wire.Identity) error {
	rec := &wire.JournalRecord{Record: &wire.JournalRecord_Identity{Identity: id}}
	return j.recordFailure(j.writeRecordFile(identityName, []*wire.JournalRecord{rec}))
}

// Append makes the hard state, if not nil, and the entries durable before it returns.
// Entries replace all earlier ones from their first index on.
func (j *Journal) Append(hardState *wire.HardState, entries []*wire.LogEntry) error {
	if j.failure != nil {
		return merry.Prepend(ErrFailed, j.failure.Error())
	}
	j.buf = j.buf[:0]
	if hardState != nil {
		j.hardState = hardState
		j.encodeRecord(&wire.JournalRecord{Record: &wire.JournalRecord_HardState{HardState: hardState}})
	}
	for _, e := range entries {
		j.encodeRecord(&wire.JournalRecord{Record: &wire.JournalRecord_Entry{Entry: e}})
	}
	if j.failure != nil {
		return j.failure
	}
	return j.recordFailure(j.flush())
}

func (j *Journal) encodeRecord(rec *wire.JournalRecord) {
	buf, err := appendFrame(j.buf, rec)
	if err != nil {
		j.failure = err
		return
	}
	j.buf = buf
}

func (j *Journal) flush() error {
	if _, err := j.file.Write(j.buf); err != nil {
		return err
	}
	j.segmentSize += int64(len(j.buf))
	return j.file.Sync()
}

// recordFailure keeps the first error, after which nothing more is written. It returns
// ErrWrite with the cause, or nil.
func (j *Journal) recordFailure(err error) error {
	if err == nil {
		return nil
	}
	if j.failure == nil {
		j.failure = err
	}
	return merry.Prepend(ErrWrite, err.Error())
}

// Err returns the error after which the journal rejects writes, or nil.
func (j *Journal) Err() error { return j.failure }

// SegmentFull reports whether the open segment has reached maxSegmentBytes.
func (j *Journal) SegmentFull() bool { return j.segmentSize >= maxSegmentBytes }

// Compact makes a snapshot durable and removes the files that it replaces. entries are
// the entries after the snapshot to keep.
func (j *Journal) Compact(s *wire.LogSnapshot, hardState *wire.HardState, entries []*wire.LogEntry) error {
	if j.failure != nil {
		return merry.Prepend(ErrFailed, j.failure.Error())
	}
	return j.recordFailure(j.compact(s, hardState, entries))
}

func (j *Journal) compact(s *wire.LogSnapshot, hardState *wire.HardState, entries []*wire.LogEntry) error {
	name := fmt.Sprintf("%s%020d", snapshotPrefix, s.Index)
	rec := &wire.JournalRecord{Record: &wire.JournalRecord_Snapshot{Snapshot: s}}
	if err := j.writeRecordFile(name, []*wire.JournalRecord{rec}); err != nil {
		return err
	}
	if hardState != nil {
		j.hardState = hardState
	}
	if err := j.rotate(s, entries); err != nil {
		return err
	}
	return j.removeObsolete(name)
}

// rotate starts a segment with all records needed after a snapshot. The first record is
// the snapshot's position, at which recovery discards the entries of older segments.
// Without it, a crash before those are removed would restore entries that an installed
// snapshot has replaced.
func (j *Journal) rotate(s *wire.LogSnapshot, entries []*wire.LogEntry) error {
	if j.file != nil {
		_ = j.file.Close()
	}
	j.segment++
	var recs []*wire.JournalRecord
	if s != nil {
		at := &wire.LogSnapshot{Index: s.Index, Term: s.Term}
		recs = append(recs, &wire.JournalRecord{Record: &wire.JournalRecord_Snapshot{Snapshot: at}})
	}
	if j.hardState != nil {
		recs = append(recs, &wire.JournalRecord{Record: &wire.JournalRecord_HardState{HardState: j.hardState}})
	}
	for _, e := range entries {
		recs = append(recs, &wire.JournalRecord{Record: &wire.JournalRecord_Entry{Entry: e}})
	}
	name := j.segmentName()
	if err := j.writeRecordFile(name, recs); err != nil {
		return err
	}
	file, err := j.fs.Append(name)
	if err != nil {
		return err
	}
	j.file = file
	j.segmentSize = 0
	return nil
}

func (j *Journal) segmentName() string { return fmt.Sprintf("%s%020d", logPrefix, j.segment) }

// removeObsolete removes the segments and snapshots that the current ones replace. If
// a crash leaves some of them, recovery discards their contents.
func (j *Journal) removeObsolete(snapshot string) error {
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

// writeRecordFile writes records to a new file, as writeFileAtomic does.
func (j *Journal) writeRecordFile(name string, recs []*wire.JournalRecord) error {
	var buf []byte
	var err error
	for _, r := range recs {
		if buf, err = appendFrame(buf, r); err != nil {
			return err
		}
	}
	return writeFileAtomic(j.fs, name, buf)
}

// writeFileAtomic writes a file durably. After a crash, the file either has all of the
// data or doesn't exist.
func writeFileAtomic(fs FS, name string, data []byte) error {
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
