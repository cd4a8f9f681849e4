package wal

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
)

// Log is a data folder with a sequence of record files, without an identity or
// snapshots. Records are appended to the last file, and files that are no longer needed
// are removed from the start. It is not safe for concurrent use.
//
// Its files have the frames of a Journal and the same rules: a torn write at the end of
// the last file is cut off, other damage is ErrCorrupt, and nothing is written after a
// failed write or sync.
type Log struct {
	fs        FS
	unlock    func()
	file      File
	firstFile uint64
	lastFile  uint64
	// fileBytes holds the size of the valid records of each file, by its number.
	fileBytes map[uint64]int64
	// truncateTo is the size to which the last file must be truncated, or -1.
	truncateTo int64
	buf        []byte
	failure    error
}

const logFilePrefix = "records-"

// OpenLog locks a folder and calls visit for each record in order. With ErrCorrupt it
// also returns the log: StartFile then starts a new file after the damaged ones.
// Records can be appended after StartFile.
func OpenLog(fs FS, visit func(payload []byte) error) (*Log, error) {
	unlock, err := fs.Lock()
	if err != nil {
		return nil, err
	}
	l := &Log{fs: fs, unlock: unlock, fileBytes: map[uint64]int64{}, truncateTo: -1}
	if err := l.read(visit); err != nil {
		if errors.Is(err, ErrCorrupt) {
			return l, err
		}
		unlock()
		return nil, err
	}
	return l, nil
}

func logFileName(n uint64) string { return fmt.Sprintf("%s%020d", logFilePrefix, n) }

func (l *Log) read(visit func([]byte) error) error {
	names, err := l.fs.List()
	if err != nil {
		return merry.Prepend(ErrFolder, err.Error())
	}
	var numbers []uint64
	for _, name := range names {
		if !strings.HasPrefix(name, logFilePrefix) {
			// A Journal may have its files in the same folder.
			continue
		}
		n, err := strconv.ParseUint(strings.TrimPrefix(name, logFilePrefix), 10, 64)
		switch {
		case strings.HasSuffix(name, tempSuffix):
			// A file that wasn't renamed holds no acknowledged records.
			_ = l.fs.Remove(name)
		case err == nil:
			numbers = append(numbers, n)
		}
	}
	if len(numbers) == 0 {
		return nil
	}
	l.firstFile, l.lastFile = numbers[0], numbers[len(numbers)-1]
	if l.lastFile-l.firstFile+1 != uint64(len(numbers)) {
		return merry.Prepend(ErrCorrupt, "a file is missing")
	}
	for _, n := range numbers {
		if err := l.readFile(n, visit); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) readFile(n uint64, visit func([]byte) error) error {
	data, err := l.fs.ReadFile(logFileName(n))
	if err != nil {
		return merry.Prepend(ErrFolder, err.Error())
	}
	good, err := readPayloads(data, n == l.lastFile, visit)
	if err != nil {
		return merry.Prepend(err, logFileName(n))
	}
	if good < len(data) {
		l.truncateTo = int64(good)
	}
	l.fileBytes[n] = int64(good)
	return nil
}

// FirstFile returns the number of the first file, or 0 if there is none.
func (l *Log) FirstFile() uint64 { return l.firstFile }

// LastFile returns the number of the last file, or 0 if there is none.
func (l *Log) LastFile() uint64 { return l.lastFile }

// Bytes returns the total size of the files.
func (l *Log) Bytes() int64 {
	sum := int64(0)
	for _, n := range l.fileBytes {
		sum += n
	}
	return sum
}

// StartFile makes a new last file with these records durable.
func (l *Log) StartFile(recs ...proto.Message) error {
	if l.failure != nil {
		return merry.Prepend(ErrFailed, l.failure.Error())
	}
	return l.recordFailure(l.startFile(recs))
}

func (l *Log) startFile(recs []proto.Message) error {
	if err := l.encode(recs); err != nil {
		return err
	}
	// The previous file must be truncated first: a torn write is accepted only at
	// the end of the last file.
	if err := l.truncateTornTail(); err != nil {
		return err
	}
	name := logFileName(l.lastFile + 1)
	if err := writeFileAtomic(l.fs, name, l.buf); err != nil {
		return err
	}
	file, err := l.fs.Append(name)
	if err != nil {
		return err
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.file = file
	l.lastFile++
	if l.firstFile == 0 {
		l.firstFile = l.lastFile
	}
	l.fileBytes[l.lastFile] = int64(len(l.buf))
	return nil
}

// truncateTornTail cuts off the torn write that OpenLog found in the last file, if any.
func (l *Log) truncateTornTail() error {
	if l.truncateTo < 0 {
		return nil
	}
	err := l.fs.Truncate(logFileName(l.lastFile), l.truncateTo)
	l.truncateTo = -1
	return err
}

func (l *Log) encode(recs []proto.Message) error {
	l.buf = l.buf[:0]
	for _, rec := range recs {
		buf, err := appendFrame(l.buf, rec)
		if err != nil {
			return err
		}
		l.buf = buf
	}
	return nil
}

// Append makes records durable before it returns. StartFile must have been called since
// OpenLog.
func (l *Log) Append(recs ...proto.Message) error {
	if l.failure != nil {
		return merry.Prepend(ErrFailed, l.failure.Error())
	}
	if err := l.encode(recs); err != nil {
		return l.recordFailure(err)
	}
	if _, err := l.file.Write(l.buf); err != nil {
		return l.recordFailure(err)
	}
	l.fileBytes[l.lastFile] += int64(len(l.buf))
	return l.recordFailure(l.file.Sync())
}

// DropBefore removes the files with a number below n.
func (l *Log) DropBefore(n uint64) error {
	if l.failure != nil {
		return merry.Prepend(ErrFailed, l.failure.Error())
	}
	return l.recordFailure(l.dropBefore(n))
}

func (l *Log) dropBefore(n uint64) error {
	if l.firstFile >= n {
		return nil
	}
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	for _, name := range names {
		if !strings.HasPrefix(name, logFilePrefix) || name >= logFileName(n) {
			continue
		}
		if err := l.fs.Remove(name); err != nil {
			return err
		}
	}
	for ; l.firstFile < n; l.firstFile++ {
		delete(l.fileBytes, l.firstFile)
	}
	return l.fs.SyncDir()
}

// recordFailure keeps the first error, after which nothing more is written.
func (l *Log) recordFailure(err error) error {
	if err == nil {
		return nil
	}
	if l.failure == nil {
		l.failure = err
	}
	return merry.Prepend(ErrWrite, err.Error())
}

// Close closes the last file and unlocks the folder.
func (l *Log) Close() {
	if l.file != nil {
		_ = l.file.Close()
	}
	l.unlock()
}
