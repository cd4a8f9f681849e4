package kernel

import (
	"time"

	"github.com/go-kit/log"
)

// LimitedLogger writes a limited number of records a second at level info. A record says how many were
// left out before it, as lines_left_out. It is safe for concurrent use and never blocks for a limit.
type LimitedLogger struct {
	log     log.Logger
	limiter *LogLimiter
}

// NewLimitedLogger returns a logger that writes at most perSecond records a second to l.
func NewLimitedLogger(l log.Logger, perSecond int, now func() time.Time) *LimitedLogger {
	return &LimitedLogger{log: l, limiter: NewLogLimiter(perSecond, now)}
}

// Info writes a message with key-value pairs, unless the limit is reached.
func (l *LimitedLogger) Info(msg string, kv ...any) {
	ok, leftOut := l.limiter.Allow()
	if !ok {
		return
	}
	if leftOut > 0 {
		kv = append(kv, "lines_left_out", leftOut)
	}
	Info(l.log, msg, kv...)
}
