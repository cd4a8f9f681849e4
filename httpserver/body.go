package httpserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/memory"
)

// Errors of ReadBody.
var (
	// ErrBodyTooLarge is returned for a body over its limit.
	ErrBodyTooLarge = merry.Sentinel("body is too large")
	// ErrBodyTimeout is returned for a body that doesn't end in time, or of which nothing arrives.
	ErrBodyTimeout = merry.Sentinel("body was not received in time")
	// ErrNoMemory is returned if there is too little memory for a body.
	ErrNoMemory = merry.Sentinel("no memory for the body")
	// ErrBodyUnreadable is returned for a body that ends early or isn't framed properly.
	ErrBodyUnreadable = merry.Sentinel("body can't be read")
)

// BodyLimits bound the reading of one body.
type BodyLimits struct {
	// Bytes is the most that it may have.
	Bytes int64
	// Deadline is when it has to be whole.
	Deadline time.Time
	// Reserved lets it draw from the reserved part of the budget.
	Reserved bool
}

// ReadBody reads the body of a request to its end. Its memory belongs to the connection until the request is
// answered. After an error the answer must be followed by the end of the connection, as ReadBody
// asks for by the header of w: the rest of the body isn't read.
func ReadBody(w http.ResponseWriter, r *http.Request, l BodyLimits) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	c := connOf(r.Context())
	body, err := readBody(c, w, r, l)
	if err == nil {
		return body, nil
	}
	w.Header().Set("Connection", "close")
	err = bodyError(c, err)
	if c != nil && errors.Is(err, ErrNoMemory) {
		c.server.refused(c, ReasonMemory, c.head)
	}
	return nil, err
}

// readBody reads a body; c may be nil.
func readBody(c *conn, w http.ResponseWriter, r *http.Request, l BodyLimits) ([]byte, error) {
	if r.ContentLength > l.Bytes {
		return nil, merry.Prependf(memory.ErrTooLong, "%d bytes are announced", r.ContentLength)
	}
	var share *memory.Share
	if c != nil {
		share = c.share
		share.SetReserved(l.Reserved)
	}
	reader := &bodyReader{conn: c, body: http.MaxBytesReader(w, r.Body, l.Bytes), limits: l}
	return memory.ReadAll(reader, share, r.ContentLength, l.Bytes+1)
}

// BodyStatus returns the status of the refusal for an error of ReadBody. The request was not run.
func BodyStatus(err error) int {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBodyTimeout):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrNoMemory):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// bodyError returns the error of this package for one of reading a body.
func bodyError(c *conn, err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge), errors.Is(err, memory.ErrTooLong):
		return merry.Prependf(ErrBodyTooLarge, "%s", err)
	case errors.Is(err, memory.ErrFull), errors.Is(err, memory.ErrEnded), c != nil && c.ended.Load():
		return merry.Prependf(ErrNoMemory, "%s", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return merry.Prependf(ErrBodyTimeout, "%s", err)
	}
	return merry.Prependf(ErrBodyUnreadable, "%s", err)
}

// bodyReader reads a body within its deadline. Its client may pause for as long as it may be idle.
type bodyReader struct {
	conn   *conn
	body   io.Reader
	limits BodyLimits
	read   int64
	// renewed is when the read deadline was last set.
	renewed time.Time
}

// renewInterval is how often the read deadline is moved while a body arrives.
const renewInterval = time.Second

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.conn != nil {
		if err := b.prepare(time.Now()); err != nil {
			return 0, err
		}
	}
	n, err := b.body.Read(p)
	b.read += int64(n)
	return n, err
}

// prepare sets the read deadline, and the receive buffer of a long body.
func (b *bodyReader) prepare(now time.Time) error {
	if now.Sub(b.renewed) >= renewInterval {
		b.renewed = now
		deadline := now.Add(b.conn.server.Limits().IdleTimeout)
		if b.limits.Deadline.Before(deadline) {
			deadline = b.limits.Deadline
		}
		if err := b.conn.SetReadDeadline(deadline); err != nil {
			return err
		}
	}
	if b.read < wideReceiveBuffer || b.conn.wide {
		return nil
	}
	if b.conn.share.Grow(wideReceiveBuffer) == nil {
		b.conn.wide = true
		setReceiveBuffer(b.conn.raw, wideReceiveBuffer)
	}
	return nil
}
