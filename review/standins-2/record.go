//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line also to standard output.
func (r *recorder) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}
