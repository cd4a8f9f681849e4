package wal

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"
)

// Log is a data folder of record files without an identity or snapshots: records
// are appended to the last file, and files that are no longer needed are dropped
// from the first on. It is not safe for use by several goroutines.
//
// Its records have the journal's format and its rules: a torn end of the last
// file is cut, other damage is ErrCorrupt, and nothing is written after a write
// or a sync that failed.
type Log struct {
	fs     FS
	unlock func()
	file   File
	first  uint64
	number uint64
	// bytes holds the size of each file, and torn that of the last one's whole
	// records if its end is torn.
	bytes  map[uint64]int64
	torn   int64
	buf    []byte
	failed error
}

const logFilePrefix = "records-"

// OpenLog locks a folder and visits its records in their order. After ErrCorrupt
// the log is returned too: Start begins anew after the damaged files. Records can
// be appended after Start.
func OpenLog(fs FS, visit func(payload []byte) error) (*Log, error) {
	unlock, err := fs.Lock()
	if err != nil {
		return nil, err
	}
	l := &Log{fs: fs, unlock: unlock, bytes: map[uint64]int64{}, torn: -1}
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
		n, err := strconv.ParseUint(strings.TrimPrefix(name, logFilePrefix), 10, 64)
		switch {
		case strings.HasSuffix(name, tempSuffix):
			// A file that was never renamed was never relied on.
			_ = l.fs.Remove(name)
		case err == nil:
			numbers = append(numbers, n)
		}
	}
	if len(numbers) == 0 {
		return nil
	}
	l.first, l.number = numbers[0], numbers[len(numbers)-1]
	if l.number-l.first+1 != uint64(len(numbers)) {
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
	good, err := readPayloads(data, n == l.number, visit)
	if err != nil {
		return merry.Prepend(err, logFileName(n))
	}
	if good < len(data) {
		l.torn = int64(good)
	}
	l.bytes[n] = int64(good)
	return nil
}

// First and Number are those of the first file and of the last one.
func (l *Log) First() uint64 { return l.first }

// Number returns the number of the last file, 0 if there is none.
func (l *Log) Number() uint64 { return l.number }

// Bytes returns the size of all files.
func (l *Log) Bytes() int64 {
	sum := int64(0)
	for _, n := range l.bytes {
		sum += n
	}
	return sum
}

// Start makes a new last file durable that holds these records.
func (l *Log) Start(recs ...proto.Message) error {
	if l.failed != nil {
		return merry.Prepend(ErrFailed, l.failed.Error())
	}
	return l.poison(l.start(recs))
}

func (l *Log) start(recs []proto.Message) error {
	if err := l.encode(recs); err != nil {
		return err
	}
	// The file that is left must be whole: its torn end would be damage in the
	// middle once another file follows.
	if err := l.cutTorn(); err != nil {
		return err
	}
	name := logFileName(l.number + 1)
	if err := writeWholeFile(l.fs, name, l.buf); err != nil {
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
	l.number++
	if l.first == 0 {
		l.first = l.number
	}
	l.bytes[l.number] = int64(len(l.buf))
	return nil
}

// cutTorn cuts the torn end of the last file, when the log has just been opened.
func (l *Log) cutTorn() error {
	if l.torn < 0 {
		return nil
	}
	err := l.fs.Truncate(logFileName(l.number), l.torn)
	l.torn = -1
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

// Append makes records durable before it returns.
func (l *Log) Append(recs ...proto.Message) error {
	if l.failed != nil {
		return merry.Prepend(ErrFailed, l.failed.Error())
	}
	if err := l.encode(recs); err != nil {
		return l.poison(err)
	}
	if _, err := l.file.Write(l.buf); err != nil {
		return l.poison(err)
	}
	l.bytes[l.number] += int64(len(l.buf))
	return l.poison(l.file.Sync())
}

// DropBefore removes the files before this one.
func (l *Log) DropBefore(n uint64) error {
	if l.failed != nil {
		return merry.Prepend(ErrFailed, l.failed.Error())
	}
	return l.poison(l.dropBefore(n))
}

func (l *Log) dropBefore(n uint64) error {
	if l.first >= n {
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
	for ; l.first < n; l.first++ {
		delete(l.bytes, l.first)
	}
	return l.fs.SyncDir()
}

func (l *Log) poison(err error) error {
	if err == nil {
		return nil
	}
	if l.failed == nil {
		l.failed = err
	}
	return merry.Prepend(ErrWrite, err.Error())
}

// Close releases the folder.
func (l *Log) Close() {
	if l.file != nil {
		_ = l.file.Close()
	}
	l.unlock()
}
