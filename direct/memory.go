package direct

import (
	"io"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
)

const (
	// freeBytes is what each response may hold in memory without drawing from the MemoryBudget. Nearly
	// all responses and events are shorter, so that those of other upstreams are read also while
	// long ones use up the budget.
	freeBytes = 64 << 10
	// firstReadBytes is the first size of a buffer for a body of unknown length.
	firstReadBytes = 2 << 10
	// doubledBytes is the size up to which a buffer is doubled when it is full. A larger one grows by half,
	// which draws less that stays unused.
	doubledBytes = 1 << 20
)

// MemoryBudget bounds the memory of all responses that a process buffers, beyond freeBytes of each. Without
// it a few upstreams that send bodies or events without end would take all memory of the process, and
// with it the responses of all other upstreams.
type MemoryBudget struct{ left atomic.Int64 }

// NewMemoryBudget returns a budget of so many bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget {
	b := &MemoryBudget{}
	b.left.Store(bytes)
	return b
}

// share is what one response has drawn from a budget.
type share struct {
	budget *MemoryBudget
	drawn  int64
}

// resize draws what a buffer of so many bytes needs, or returns what it no longer does. It returns
// false if the budget has too little left.
func (s *share) resize(bytes int) bool {
	needed := max(int64(bytes)-freeBytes, 0) - s.drawn
	if needed > 0 && s.budget.left.Add(-needed) < 0 {
		s.budget.left.Add(needed)
		return false
	}
	if needed < 0 {
		s.budget.left.Add(-needed)
	}
	s.drawn += needed
	return true
}

// ReadBody reads a body to its end and returns it with a function that gives its memory back. length is
// its length, or -1 if it is unknown. It returns ErrInvalidResponse for a body of more than limit bytes,
// or one for which the budget has too little left.
//
// Memory is drawn as bytes arrive: an upstream could announce a long body and send nothing.
func (b *MemoryBudget) ReadBody(r io.Reader, length int64, limit int) (body []byte, release func(), err error) {
	s := &share{budget: b}
	release = func() { s.resize(0) }
	buf := make([]byte, 0, firstBuffer(length))
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, release, nil
		}
		if err != nil {
			release()
			return nil, func() {}, err
		}
		if len(buf) < cap(buf) {
			continue
		}
		next := nextBuffer(cap(buf), length)
		if len(buf) >= limit || !s.resize(next) {
			release()
			return nil, func() {}, merry.Prependf(ErrInvalidResponse, "body is too long after %d bytes", len(buf))
		}
		buf = append(make([]byte, 0, next), buf...)
	}
}

// firstBuffer returns the first size of the buffer for a body. The end of a body of known length is
// found with one more byte.
func firstBuffer(length int64) int {
	if length < 0 || length >= freeBytes {
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
