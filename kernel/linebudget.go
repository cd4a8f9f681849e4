package kernel

import (
	"sync"
	"time"
)

// LineBudget limits the rate of one kind of log record. It counts the records dropped
// since the last one that was written.
type LineBudget struct {
	limit int
	now   func() time.Time

	mu      sync.Mutex
	second  int64
	used    int
	dropped int
}

// NewLineBudget returns a LineBudget that allows limit records a second.
func NewLineBudget(limit int, now func() time.Time) *LineBudget {
	return &LineBudget{limit: limit, now: now}
}

// Take reports whether a record may be written now and, if so, how many were dropped
// before it.
func (b *LineBudget) Take() (ok bool, droppedBefore int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.now().Unix(); s != b.second {
		b.second, b.used = s, 0
	}
	if b.used >= b.limit {
		b.dropped++
		return false, 0
	}
	b.used++
	droppedBefore, b.dropped = b.dropped, 0
	return true, droppedBefore
}
