package wal

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// A frame is a record on disk: a header of 12 bytes (payload length, CRC32C of the
// length, CRC32C of the payload; little endian), followed by the payload.
//
// The length has its own checksum. Otherwise a flipped bit in the length would look like
// a torn write, a record that extends past the end of the file, and acknowledged
// records would be cut off silently.
const (
	headerLen = 12
	// maxPayload is the largest payload length that is accepted in a header.
	maxPayload = 1 << 30
	// sectorBytes is the unit that a disk writes atomically.
	sectorBytes = 512
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

// readFrames decodes the records of a Journal's file; see readPayloads.
func readFrames(data []byte, lastFile bool, visit func(*wire.JournalRecord) error) (good int, err error) {
	return readPayloads(data, lastFile, func(payload []byte) error {
		rec := &wire.JournalRecord{}
		if err := proto.Unmarshal(payload, rec); err != nil {
			return merry.Prepend(ErrCorrupt, err.Error())
		}
		return visit(rec)
	})
}

// readPayloads calls visit for each record. good is the offset after the last valid
// record. In the last file, data at the end that looks like a torn write is ignored;
// any other damage is ErrCorrupt.
func readPayloads(data []byte, lastFile bool, visit func(payload []byte) error) (good int, err error) {
	for good < len(data) {
		n, err := checkFrame(data[good:])
		if err != nil {
			if lastFile && isTornWrite(data[good:], n) {
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

// checkFrame validates the first frame and returns its length. With an error it returns
// the length according to the header, or 0 if the header isn't valid.
func checkFrame(data []byte) (int, error) {
	if len(data) < headerLen {
		return 0, merry.Prepend(ErrCorrupt, "short header")
	}
	length := binary.LittleEndian.Uint32(data)
	if binary.LittleEndian.Uint32(data[4:]) != crc32.Checksum(data[:4], castagnoli) || length > maxPayload {
		return 0, merry.Prepend(ErrCorrupt, "invalid header length or checksum")
	}
	n := headerLen + int(length)
	if n > len(data) {
		return n, merry.Prepend(ErrCorrupt, "record extends past the end of the file")
	}
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(data[headerLen:n], castagnoli) {
		return n, merry.Prepend(ErrCorrupt, "payload checksum mismatch")
	}
	return n, nil
}

// isTornWrite reports whether the rest of a file looks like a write that was interrupted
// by a power loss: it ends early, or ends in zeros. frameLen is the length that
// checkFrame returned. A complete record with a wrong checksum is damage, even at the
// end.
func isTornWrite(rest []byte, frameLen int) bool {
	if len(rest) < headerLen || frameLen > len(rest) {
		return true
	}
	if frameLen != 0 && frameLen < len(rest) {
		return false
	}
	return hasZeroTail(rest)
}

// hasZeroTail reports whether the data ends in at least one sector of zeros, or is all
// zeros.
func hasZeroTail(data []byte) bool {
	tail := data
	if len(tail) > sectorBytes {
		tail = tail[len(tail)-sectorBytes:]
	}
	for _, b := range tail {
		if b != 0 {
			return false
		}
	}
	return true
}
