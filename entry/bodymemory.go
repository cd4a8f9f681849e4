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

// errBodiesFull says that the bodies held by the entry fill their memory.
var errBodiesFull = merry.Sentinel("bodies fill the entry's memory for them")

// firstBuffer is the first size of a buffer for a body, in bytes; it doubles.
const firstBuffer = 4 << 10

// bodies bounds the memory of all requests' bodies. A body is read before its
// request is admitted, because its model decides who may go first. Without a
// bound a few hundred callers with large bodies end the process, and with it every
// request that it carries.
type bodies struct {
	// limit is the bound in bytes, and bulk what all but urgent requests may fill of
	// it: bulk work can't keep an urgent request's body out.
	limit, bulk int64
	held        atomic.Int64
}

func newBodies(limit int64, urgentPercent int) *bodies {
	return &bodies{limit: limit, bulk: limit * int64(100-urgentPercent) / 100}
}

func (b *bodies) take(n int64, urgent bool) bool {
	bound := b.bulk
	if urgent {
		bound = b.limit
	}
	if b.held.Add(n) > bound {
		b.held.Add(-n)
		return false
	}
	return true
}

// free gives back the memory of a body that read returned.
func (b *bodies) free(body []byte) { b.held.Add(-int64(cap(body))) }

// read reads a body to its end. Memory is taken as bytes come and not by the length
// that the caller names: one that names a length and sends nothing would keep others
// out. The caller of read owes a call of free, whatever the error.
func (b *bodies) read(r io.Reader, urgent bool) (body []byte, err error) {
	for {
		if len(body) == cap(body) {
			size := max(2*cap(body), firstBuffer)
			if !b.take(int64(size-cap(body)), urgent) {
				return body, errBodiesFull
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

// readTimely reads the request's body within a time. A caller that stalls in the
// middle of its body would otherwise hold memory and a connection for ever.
func (b *bodies) readTimely(w http.ResponseWriter, r io.Reader, within time.Duration, urgent bool) ([]byte, error) {
	rc := http.NewResponseController(w)
	// A writer without deadlines is a test's; net/http's has them.
	if err := rc.SetReadDeadline(time.Now().Add(within)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	body, err := b.read(r, urgent)
	if err == nil {
		// Left in place, the deadline would pass while the request runs, and
		// net/http would take the caller for gone.
		err = rc.SetReadDeadline(time.Time{})
		if errors.Is(err, http.ErrNotSupported) {
			err = nil
		}
	}
	return body, err
}

// late says whether reading ended at its deadline.
func late(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
