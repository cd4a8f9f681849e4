package direct

import (
	"errors"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/memory"
)

// freeBytes is what each response may hold in memory without drawing from the MemoryBudget. Nearly
// all responses and events are shorter, so that those of other upstreams are read also while
// long ones use up the budget.
const freeBytes = 64 << 10

// MemoryBudget bounds the memory of all responses that a process buffers, beyond freeBytes of each. Without
// it a few upstreams that send bodies or events without end would take all memory of the process, and
// with it the responses of all other upstreams.
type MemoryBudget struct{ *memory.Budget }

// NewMemoryBudget returns a budget of so many bytes.
func NewMemoryBudget(bytes int64) *MemoryBudget { return &MemoryBudget{memory.NewBudget(bytes, 0)} }

// openShare returns the share of one response. It is never ended for others: its request may have run.
func (b *MemoryBudget) openShare() *memory.Share { return b.Open(freeBytes, nil) }

// ReadBody reads a body to its end and returns it with a function that gives its memory back. length is
// its length, or -1 if it is unknown. It returns ErrInvalidResponse for a body of more than limit bytes,
// or one for which the budget has too little left.
func (b *MemoryBudget) ReadBody(r io.Reader, length int64, limit int) (body []byte, release func(), err error) {
	s := b.openShare()
	body, err = memory.ReadAll(r, s, length, int64(limit))
	if errors.Is(err, memory.ErrTooLong) || errors.Is(err, memory.ErrFull) {
		err = merry.Prepend(ErrInvalidResponse, err.Error())
	}
	if err != nil {
		return nil, func() {}, err
	}
	return body, s.Clear, nil
}
