package kernel

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// logQueue is how many records wait for a reader of the log: two seconds of all that
// a busy process may write.
const logQueue = 1024

// AsyncWriter writes records in the background and drops them while nobody reads:
// a process whose standard output is a full pipe must go on answering. What was
// dropped is counted in a record of its own.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter makes a writer that passes records on to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan []byte, logQueue), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it never blocks and never fails.
func (w *AsyncWriter) Write(p []byte) (int, error) {
	record := append([]byte(nil), p...)
	select {
	case w.queue <- record:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for record := range w.queue {
		if record == nil {
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			// There is no other place to say that the log can't be written.
			_, _ = fmt.Fprintf(w.out, "level=warn part=kernel msg=\"Log records were dropped.\" count=%d\n", n)
		}
		_, _ = w.out.Write(record)
	}
}

// Close waits a little until the records that are queued have been written.
func (w *AsyncWriter) Close() {
	w.once.Do(func() {
		select {
		case w.queue <- nil:
		case <-time.After(closePatience):
		}
	})
	select {
	case <-w.done:
	case <-time.After(closePatience):
	}
}

// closePatience bounds the wait of a process that ends while nobody reads its log.
const closePatience = 200 * time.Millisecond
