package wal

import (
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// recover reads the folder: the identity, the newest snapshot, then all segments.
func (j *Journal) recover() (*State, error) {
	names, err := j.fs.List()
	if err != nil {
		return nil, merry.Prepend(ErrFolder, err.Error())
	}
	st := &State{}
	var logs, snapshots []string
	for _, n := range names {
		switch {
		case strings.HasPrefix(n, logFilePrefix):
			// A Log has its files in the same folder.
		case strings.HasSuffix(n, tempSuffix):
			// A file that wasn't renamed holds no acknowledged records.
			_ = j.fs.Remove(n)
		case n == identityName:
			err = j.readIdentity(st)
		case strings.HasPrefix(n, logPrefix):
			logs = append(logs, n)
		case strings.HasPrefix(n, snapshotPrefix):
			snapshots = append(snapshots, n)
		}
		if err != nil {
			return nil, err
		}
	}
	if err := j.checkFiles(st, logs, snapshots); err != nil {
		return nil, err
	}
	if len(snapshots) > 0 {
		if err := j.readSnapshot(st, snapshots[len(snapshots)-1]); err != nil {
			return nil, err
		}
	}
	for i, n := range logs {
		if err := j.readSegment(st, n, i == len(logs)-1); err != nil {
			return nil, err
		}
	}
	return st, j.checkState(st)
}

// checkFiles returns ErrCorrupt if a segment is missing, or the identity while there
// are snapshots. It sets j.segment to the number of the last segment.
func (j *Journal) checkFiles(st *State, logs, snapshots []string) error {
	if st.Identity == nil && len(snapshots) > 0 {
		return merry.Prepend(ErrCorrupt, "identity is missing")
	}
	for i := 1; i < len(logs); i++ {
		if segmentNumber(logs[i]) != segmentNumber(logs[i-1])+1 {
			return merry.Prependf(ErrCorrupt, "a segment is missing before %s", logs[i])
		}
	}
	if len(logs) > 0 {
		j.segment = segmentNumber(logs[len(logs)-1])
	}
	return nil
}

func segmentNumber(name string) uint64 {
	n, _ := strconv.ParseUint(strings.TrimPrefix(name, logPrefix), 10, 64)
	return n
}

func (j *Journal) readSingleRecord(name string) (*wire.JournalRecord, error) {
	data, err := j.fs.ReadFile(name)
	if err != nil {
		return nil, merry.Prepend(ErrFolder, err.Error())
	}
	var rec *wire.JournalRecord
	_, err = readFrames(data, false, func(r *wire.JournalRecord) error {
		rec = r
		return nil
	})
	if err == nil && rec == nil {
		err = merry.Prepend(ErrCorrupt, "file is empty")
	}
	if err != nil {
		return nil, merry.Prepend(err, name)
	}
	return rec, nil
}

func (j *Journal) readIdentity(st *State) error {
	rec, err := j.readSingleRecord(identityName)
	if err != nil {
		return err
	}
	if st.Identity = rec.GetIdentity(); st.Identity == nil {
		return merry.Prependf(ErrCorrupt, "%s: unexpected record type", identityName)
	}
	return nil
}

func (j *Journal) readSnapshot(st *State, name string) error {
	rec, err := j.readSingleRecord(name)
	if err != nil {
		return err
	}
	if st.Snapshot = rec.GetSnapshot(); st.Snapshot == nil {
		return merry.Prependf(ErrCorrupt, "%s: unexpected record type", name)
	}
	return nil
}

func (j *Journal) readSegment(st *State, name string, last bool) error {
	data, err := j.fs.ReadFile(name)
	if err != nil {
		return merry.Prepend(ErrFolder, err.Error())
	}
	good, err := readFrames(data, last, st.apply)
	if err != nil {
		return merry.Prepend(err, name)
	}
	j.segmentSize = int64(good)
	if good < len(data) {
		st.TornBytes = len(data) - good
		if err := j.fs.Truncate(name, int64(good)); err != nil {
			return merry.Prepend(ErrFolder, err.Error())
		}
	}
	return nil
}

// apply applies one record of a segment. An entry replaces those from its index on;
// a snapshot's position discards all.
func (st *State) apply(rec *wire.JournalRecord) error {
	if h := rec.GetHardState(); h != nil {
		st.HardState = h
		return nil
	}
	if rec.GetSnapshot() != nil {
		st.Entries = nil
		return nil
	}
	e := rec.GetEntry()
	if e == nil {
		return merry.Prepend(ErrCorrupt, "unexpected record type in segment")
	}
	if st.Snapshot != nil && e.Index <= st.Snapshot.Index {
		return nil
	}
	first := st.firstIndex()
	if e.Index < first || e.Index > first+uint64(len(st.Entries)) {
		return merry.Prependf(ErrCorrupt, "entry %d doesn't follow entry %d", e.Index, first+uint64(len(st.Entries))-1)
	}
	st.Entries = append(st.Entries[:e.Index-first], e)
	return nil
}

func (st *State) firstIndex() uint64 {
	if st.Snapshot != nil {
		return st.Snapshot.Index + 1
	}
	if len(st.Entries) > 0 {
		return st.Entries[0].Index
	}
	return 1
}

func (j *Journal) checkState(st *State) error {
	if st.Identity != nil && st.HardState == nil && len(st.Entries) > 0 {
		return merry.Prepend(ErrCorrupt, "hard state is missing")
	}
	j.hardState = st.HardState
	return nil
}

// openSegment opens the last segment for writing, or starts the first one.
func (j *Journal) openSegment(st *State) error {
	if j.segment == 0 {
		if err := j.rotate(nil, nil); err != nil {
			return merry.Prepend(ErrFolder, err.Error())
		}
		return nil
	}
	file, err := j.fs.Append(j.segmentName())
	if err != nil {
		return merry.Prepend(ErrFolder, err.Error())
	}
	j.file = file
	return nil
}
