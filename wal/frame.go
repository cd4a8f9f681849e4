package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// A record on disk is a header of 12 bytes (payload length, CRC32C of the
// length, CRC32C of the payload; little endian), then the payload.
//
// The length has a checksum of its own. A flipped bit in it would otherwise look
// like a record that runs past the end of the file, that is, like a torn write,
// and records that were acknowledged would be cut off without a word.
const (
	headerLen = 12
	// maxPayload bounds what a header may claim.
	maxPayload = 1 << 30
	// sector is the unit that a disk writes whole.
	sector = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(buf []byte, rec proto.Message) ([]byte, error) {
	start := len(buf)
	buf = append(buf, make([]byte, headerLen)...)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, rec)
	if err != nil {
		return nil, merry.Prepend(ErrEncode, err.Error())
	}
	payload := buf[start+headerLen:]
	head := buf[start : start+headerLen]
	binary.LittleEndian.PutUint32(head, uint32(len(payload)))
	binary.LittleEndian.PutUint32(head[4:], crc32.Checksum(head[:4], castagnoli))
	binary.LittleEndian.PutUint32(head[8:], crc32.Checksum(payload, castagnoli))
	return buf, nil
}

// readFrames decodes a journal's records until the end of the data.
func readFrames(data []byte, last bool, visit func(*wire.JournalRecord) error) (good int, err error) {
	return readPayloads(data, last, func(payload []byte) error {
		rec := &wire.JournalRecord{}
		if err := proto.Unmarshal(payload, rec); err != nil {
			return merry.Prepend(ErrCorrupt, err.Error())
		}
		return visit(rec)
	})
}

// readPayloads visits records until the end of the data. good is where the last
// whole record ends. A tail that a torn write explains ends the reading; any
// other damage is ErrCorrupt.
func readPayloads(data []byte, last bool, visit func(payload []byte) error) (good int, err error) {
	for good < len(data) {
		n, err := checkFrame(data[good:])
		if err != nil {
			if last && torn(data[good:], n) {
				return good, nil
			}
			return good, merry.Prependf(err, "at byte %d", good)
		}
		if err := visit(data[good+headerLen : good+n]); err != nil {
			return good, merry.Prependf(err, "at byte %d", good)
		}
		good += n
	}
	return good, nil
}

// checkFrame returns the length of the first frame; with an error, the length
// that its header claims, or 0 if the header can't be trusted.
func checkFrame(data []byte) (int, error) {
	if len(data) < headerLen {
		return 0, merry.Prepend(ErrCorrupt, "short header")
	}
	length := binary.LittleEndian.Uint32(data)
	if binary.LittleEndian.Uint32(data[4:]) != crc32.Checksum(data[:4], castagnoli) || length > maxPayload {
		return 0, merry.Prepend(ErrCorrupt, "header checksum differs")
	}
	n := headerLen + int(length)
	if n > len(data) {
		return n, merry.Prepend(ErrCorrupt, "record runs past the end")
	}
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(data[headerLen:n], castagnoli) {
		return n, merry.Prepend(ErrCorrupt, "payload checksum differs")
	}
	return n, nil
}

// torn says whether the rest of a file is what a write leaves that power loss
// interrupted: it ends early, or from some sector on it holds only zeros. A
// record that is all there and has other bytes is damage, even at the end.
func torn(rest []byte, claimed int) bool {
	if len(rest) < headerLen || claimed > len(rest) {
		return true
	}
	if claimed != 0 && claimed < len(rest) {
		return false
	}
	return zeroTail(rest)
}

// zeroTail says whether the data ends in at least one sector of zeros, or is
// all zeros.
func zeroTail(data []byte) bool {
	tail := data
	if len(tail) > sector {
		tail = tail[len(tail)-sector:]
	}
	for _, b := range tail {
		if b != 0 {
			return false
		}
	}
	return true
}
