package kernel

import (
	"sync"
	"time"
)

// LogLimiter limits the rate of one kind of log record. It counts the records dropped
// since the last one that was written.
type LogLimiter struct {
	limit int
	now   func() time.Time

	mu      sync.Mutex
	second  int64
	used    int
	dropped int
}

// NewLogLimiter returns a LogLimiter that allows limit records a second.
func NewLogLimiter(limit int, now func() time.Time) *LogLimiter {
	return &LogLimiter{limit: limit, now: now}
}

// Allow reports whether a record may be written now and, if so, how many were dropped
// before it.
func (b *LogLimiter) Allow() (ok bool, droppedBefore int) {
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
