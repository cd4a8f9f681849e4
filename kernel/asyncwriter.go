package kernel

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// logQueueSize is the number of records that may wait to be written, and logQueueBytes their
// length together: records hold what clients send. Further ones are dropped.
const (
	logQueueSize  = 1024
	logQueueBytes = 2 << 20
)

// AsyncWriter writes log records in the background. It drops records while its queue
// is full, so that a process whose standard output is a blocked pipe goes on serving
// requests, and logs the number dropped before the next record.
type AsyncWriter struct {
	out   io.Writer
	queue chan []byte
	// waiting is the length of the queued records in bytes.
	waiting atomic.Int64
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer that writes records to out and starts its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan []byte, logQueueSize), done: make(chan struct{})}
	go w.writeRecords()
	return w
}

// Write implements io.Writer; it never blocks and never fails.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	n := int64(len(p))
	if w.waiting.Add(n) > logQueueBytes {
		w.waiting.Add(-n)
		w.dropped.Add(1)
		return len(p), nil
	}
	record := append([]byte(nil), p...)
	select {
	case w.queue <- record:
	default:
		w.waiting.Add(-n)
		w.dropped.Add(1)
	}
	return len(p), nil
}

func (w *AsyncWriter) writeRecords() {
	defer close(w.done)
	for record := range w.queue {
		if record == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			// Errors are ignored: there is nowhere else to report that the log can't be written.
			_, _ = fmt.Fprintf(w.out, "level=warn part=kernel msg=\"Log records were dropped.\" count=%d\n", n)
		}
		_, _ = w.out.Write(record)
		w.waiting.Add(-int64(len(record)))
	}
}

// Close stops the writer. It waits for the queued records to be written, at most
// closeTimeout to queue the end marker and closeTimeout for the writer to finish.
func (w *AsyncWriter) Close() {
	w.once.Do(func() {
		select {
		case w.queue <- nil:
		case <-time.After(closeTimeout):
		}
	})
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// closeTimeout bounds each wait in Close, so that a process whose output is blocked
// can still exit.
const closeTimeout = 200 * time.Millisecond
