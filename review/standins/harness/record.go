//go:build review

// Package harness starts the project's programs as the deploy file says, on loopback addresses, and
// has stand-ins for the platform, the operator, the clients and the servers of the review's cases.
package harness

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
