package wal

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// The file has arbitrary bytes after valid records. Reading returns the valid records, and
// either an error or the offset after the last one that it read.
func FuzzReadFrames(f *testing.F) {
	whole, err := appendFrame(nil, &wire.JournalRecord{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte{}, uint8(0))
	f.Add(whole, uint8(1))
	f.Add(whole[:len(whole)-1], uint8(2))
	f.Add(make([]byte, 2*sectorBytes), uint8(1))
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"), uint8(3))
	f.Fuzz(func(t *testing.T, tail []byte, before uint8) {
		var data []byte
		for range before % 8 {
			data = append(data, whole...)
		}
		intact := len(data)
		data = append(data, tail...)
		for _, last := range []bool{false, true} {
			records := 0
			good, err := readFrames(data, last, func(*wire.JournalRecord) error { records++; return nil })
			assert.Assert(t, good >= intact && good <= len(data), "%d of %d", good, len(data))
			assert.Assert(t, records >= int(before%8))
			if err == nil && !last {
				assert.Equal(t, good, len(data))
			}
		}
	})
}
