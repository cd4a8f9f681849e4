// Package logread reads the log lines of the processes and tells the outcome and cause of requests.
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

// ErrRead is returned if a log can't be read to its end.
var ErrRead = merry.Sentinel("log can't be read")

// maxLineBytes limits the length of a line. Lines with a state dump have some kilobytes.
const maxLineBytes = 1 << 20

// Line is a line of a log.
type Line struct {
	At time.Time
	// Source names the log, Text is the unparsed line.
	Source, Text string
	Msg          string
	fields       []field
}

type field struct{ key, value string }

// Get returns the value of a key, or "" if the line doesn't have it.
func (l *Line) Get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// Millis returns the value of a key in milliseconds, or 0 if it is absent or not a whole number.
func (l *Line) Millis(key string) time.Duration { return time.Duration(l.Int(key)) * time.Millisecond }

// Int returns the value of a numeric key, or 0 if it is absent or not a whole number.
func (l *Line) Int(key string) int64 {
	n, err := strconv.ParseInt(l.Get(key), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Uint returns the value of a key, or nil if it is absent or not a whole number from 0.
func (l *Line) Uint(key string) *uint32 {
	n, err := strconv.ParseUint(l.Get(key), 10, 32)
	if err != nil {
		return nil
	}
	value := uint32(n)
	return &value
}

// Read calls f for each line of a log, in order. Text that a log collector put before a line is
// ignored. Lines that no process logged, such as the output of a crash, are counted in skipped, without
// empty ones. Read returns ErrRead if reading fails or a line is too long.
func Read(source string, r io.Reader, f func(Line)) (skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
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

// parse parses a line. It returns false if the line is malformed or lacks a time or message.
func parse(source, text string) (l Line, ok bool) {
	l = Line{Source: source, Text: text}
	d := logfmt.NewDecoder(strings.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			l.setField(string(d.Key()), string(d.Value()))
		}
	}
	return l, d.Err() == nil && !l.At.IsZero() && l.Msg != ""
}

func (l *Line) setField(key, value string) {
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
