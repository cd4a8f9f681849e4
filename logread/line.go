// Package logread reads the lines that the processes log, and says what became of a request and why.
package logread

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logfmt/logfmt"
)

// ErrRead is returned when a log can't be read to its end.
var ErrRead = merry.Sentinel("log can't be read")

// longestLine bounds a line, in bytes: a state dump in one is some kilobytes.
const longestLine = 1 << 20

// Line is one line of a log.
type Line struct {
	At time.Time
	// Source names the log that it stands in, Text is the line as it stands there.
	Source, Text string
	// Msg is its message.
	Msg    string
	fields []field
}

type field struct{ key, value string }

// Get is the value of a key; empty if the line doesn't have it.
func (l *Line) Get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// Millis is the value of a key that is in milliseconds; 0 if the line doesn't have it.
func (l *Line) Millis(key string) time.Duration { return time.Duration(l.Int(key)) * time.Millisecond }

// Int is the value of a key that is a number; 0 if the line doesn't have it.
func (l *Line) Int(key string) int64 {
	n, err := strconv.ParseInt(l.Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Read calls f for each line of a log, in its order. What isn't a line of a process, such as the
// output of a crash, is counted and left out; what a collector has put before a line does no harm.
func Read(source string, r io.Reader, f func(Line)) (skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		if l, ok := parse(source, s.Text()); ok {
			f(l)
		} else if strings.TrimSpace(s.Text()) != "" {
			skipped++
		}
	}
	if err := s.Err(); err != nil {
		return skipped, merry.Prependf(ErrRead, "%s: %v", source, err)
	}
	return skipped, nil
}

// parse reads one line; ok says that it is one of a process, with a time and a message.
func parse(source, text string) (l Line, ok bool) {
	l = Line{Source: source, Text: text}
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.take(string(d.Key()), string(d.Value()))
		}
	}
	return l, d.Err() == nil && !l.At.IsZero() && l.Msg != ""
}

func (l *Line) take(key, value string) {
	switch key {
	case "ts":
		at, err := time.Parse(time.RFC3339Nano, value)
		if err == nil {
			l.At = at
		}
	case "msg":
		l.Msg = value
	default:
		l.fields = append(l.fields, field{key, value})
	}
}
