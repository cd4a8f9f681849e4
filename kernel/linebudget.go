package kernel

import (
	"sync"
	"time"
)

// LineBudget bounds the records of one kind to so many a second, and counts those
// that were left out until one is written again.
type LineBudget struct {
	limit int
	now   func() time.Time

	mu      sync.Mutex
	second  int64
	used    int
	dropped int
}

// NewLineBudget allows limit records a second.
func NewLineBudget(limit int, now func() time.Time) *LineBudget {
	return &LineBudget{limit: limit, now: now}
}

// Take says whether a record may be written now, and how many were left out before it.
func (b *LineBudget) Take() (ok bool, leftOut int) {
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
	leftOut, b.dropped = b.dropped, 0
	return true, leftOut
}
