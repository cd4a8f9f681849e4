package memory

import (
	"io"

	"github.com/ansel1/merry/v2"
)

// ErrTooLong is returned for a body that is longer than its limit.
var ErrTooLong = merry.Sentinel("body is too long")

const (
	// smallBody is the length up to which a body of known length is read into one buffer.
	smallBody = 16 << 10
	// firstReadBytes is the first size of a buffer for other bodies.
	firstReadBytes = 2 << 10
	// doubledBytes is the size up to which a buffer is doubled when it is full. A larger one grows by half,
	// which draws less that stays unused.
	doubledBytes = 1 << 20
	// progressBytes is how much has to arrive to count as progress. Single bytes would let a sender that
	// stops short keep its memory.
	progressBytes = 16 << 10
)

// ReadAll reads a body to its end, and draws the memory of its buffer. length is its length, or -1 if it is
// unknown. It returns ErrTooLong for a body of more than limit bytes, ErrFull or ErrEnded, or the error
// of the reader; then all that it drew is returned.
func ReadAll(r io.Reader, s *Share, length, limit int64) (body []byte, err error) {
	size := firstBuffer(length)
	if err := s.Grow(int64(size)); err != nil {
		return nil, err
	}
	buf := make([]byte, 0, size)
	for recorded := 0; ; {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err == nil && len(buf)-recorded >= progressBytes {
			recorded = len(buf)
			s.RecordProgress()
		}
		if err == nil && len(buf) == cap(buf) {
			buf, err = grow(buf, s, length, limit)
		}
		if err != nil {
			s.Shrink(int64(cap(buf)))
			return nil, err
		}
	}
}

// grow returns a larger buffer with the same content, or the same one with an error.
func grow(buf []byte, s *Share, length, limit int64) ([]byte, error) {
	if int64(len(buf)) >= limit {
		return buf, merry.Prependf(ErrTooLong, "after %d bytes", len(buf))
	}
	next := nextBuffer(cap(buf), length)
	if err := s.Grow(int64(next - cap(buf))); err != nil {
		return buf, merry.Prependf(err, "after %d bytes", len(buf))
	}
	return append(make([]byte, 0, next), buf...), nil
}

// firstBuffer returns the first size of the buffer for a body. The end of a body of known length is
// found with one more byte.
func firstBuffer(length int64) int {
	if length < 0 || length >= smallBody {
		return firstReadBytes
	}
	return int(length) + 1
}

// nextBuffer returns the size after a full buffer of so many bytes.
func nextBuffer(full int, length int64) int {
	next := 2 * full
	if full >= doubledBytes {
		next = full + full/2
	}
	if length >= int64(full) && int64(next) > length {
		next = int(length) + 1
	}
	return next
}
