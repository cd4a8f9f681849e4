package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// errBodyMemoryFull is returned when a body would exceed the memory limit.
var errBodyMemoryFull = merry.Sentinel("memory limit for request bodies is reached")

// initialBufferSize is the size in bytes of a body's first buffer; the buffer
// doubles as the body grows.
const initialBufferSize = 4 << 10

// bodyMemory bounds the memory of all request bodies. A body is read before its
// request is admitted, because the model that it names determines the service.
// Without a bound, a few hundred large bodies could exhaust the process's memory.
type bodyMemory struct {
	// limit is the bound in bytes. Requests that aren't urgent may fill only
	// nonUrgentLimit of it, so that they can't keep the body of an urgent request out.
	limit, nonUrgentLimit int64
	inUse                 atomic.Int64
}

func newBodyMemory(limit int64, urgentPercent int) *bodyMemory {
	return &bodyMemory{limit: limit, nonUrgentLimit: limit * int64(100-urgentPercent) / 100}
}

func (b *bodyMemory) reserve(n int64, urgent bool) bool {
	bound := b.nonUrgentLimit
	if urgent {
		bound = b.limit
	}
	if b.inUse.Add(n) > bound {
		b.inUse.Add(-n)
		return false
	}
	return true
}

// release returns the memory of a body that readAll returned.
func (b *bodyMemory) release(body []byte) { b.inUse.Add(-int64(cap(body))) }

// readAll reads a body to its end. It reserves memory as bytes arrive, not by the
// declared Content-Length: a client that declares a length and sends nothing would
// otherwise block others. The caller must pass the returned body to release, also
// after an error.
func (b *bodyMemory) readAll(r io.Reader, urgent bool) (body []byte, err error) {
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), initialBufferSize)
			if !b.reserve(int64(size-cap(body)), urgent) {
				return body, errBodyMemoryFull
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// readWithTimeout reads the request's body within a timeout. A caller that stalls in
// the middle of its body would otherwise hold memory and a connection indefinitely.
func (b *bodyMemory) readWithTimeout(w http.ResponseWriter, r io.Reader, timeout time.Duration, urgent bool) ([]byte, error) {
	rc := http.NewResponseController(w)
	// The writers of net/http support deadlines; those of tests may not.
	if err := rc.SetReadDeadline(time.Now().Add(timeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	body, err := b.readAll(r, urgent)
	if err == nil {
		// A deadline that passes while the request runs would make net/http
		// cancel the request's context.
		err = rc.SetReadDeadline(time.Time{})
		if errors.Is(err, http.ErrNotSupported) {
			err = nil
		}
	}
	return body, err
}

// isReadTimeout reports whether err means that the read deadline passed.
func isReadTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
