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
func (l *LogLimiter) Allow() (ok bool, droppedBefore int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.now().Unix(); s != l.second {
		l.second, l.used = s, 0
	}
	if l.used >= l.limit {
		l.dropped++
		return false, 0
	}
	l.used++
	droppedBefore, l.dropped = l.dropped, 0
	return true, droppedBefore
}
