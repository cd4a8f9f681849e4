package kernel

import (
	"io"
	"os"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLog returns a logger that writes logfmt records of at least the named level
// (debug, info, warn or error) to w, or to standard error if w is nil.
func NewLog(w io.Writer, lowest string) log.Logger {
	if w == nil {
		w = os.Stderr
	}
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = log.With(l, "ts", log.DefaultTimestampUTC)
	return level.NewFilter(l, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
}

// PartLog returns a logger that adds the key "part" to each record.
func PartLog(l log.Logger, part string) log.Logger {
	return log.With(l, "part", part)
}

// Info logs a message with key-value pairs at level info.
func Info(l log.Logger, msg string, kv ...any) {
	_ = level.Info(l).Log(append([]any{"msg", msg}, kv...)...)
}

// Warn logs a message with key-value pairs at level warn.
func Warn(l log.Logger, msg string, kv ...any) {
	_ = level.Warn(l).Log(append([]any{"msg", msg}, kv...)...)
}

// Debug logs a message with key-value pairs at level debug.
func Debug(l log.Logger, msg string, kv ...any) {
	_ = level.Debug(l).Log(append([]any{"msg", msg}, kv...)...)
}
