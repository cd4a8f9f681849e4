package httpserver

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/memory"
)

// conn is a client's connection. It counts the head of a request as it arrives, before net/http parses it:
// a head of very many short lines holds some twenty times its bytes once it is parsed.
type conn struct {
	net.Conn
	// raw is the connection below TLS.
	raw    net.Conn
	server *Server
	share  *memory.Share
	// activity is an activity; heardAt is when bytes last arrived or an answer was complete, by kernel.SteadyNanos.
	activity atomic.Int32
	heardAt  atomic.Int64
	// ended says that the client's memory was given to others.
	ended atomic.Bool

	// inHead says that a head is read. head is what has arrived of it; it belongs to the goroutine that reads.
	inHead atomic.Bool
	head   head
	// refused says that the client was answered in place of net/http.
	refused bool
	// wide says that the receive buffer was enlarged for a body.
	wide bool
}

// newConn returns a connection that reads its first head.
func newConn(nc net.Conn, s *Server) *conn {
	setReceiveBuffer(nc, receiveBuffer)
	c := &conn{Conn: nc, raw: nc, server: s}
	if s.TLS != nil {
		c.Conn = tls.Server(nc, s.TLS)
	}
	c.inHead.Store(true)
	c.share = s.Budget.Open(freeBytes, c.end)
	c.heardAt.Store(kernel.SteadyNanos())
	return c
}

func setReceiveBuffer(nc net.Conn, bytes int) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		// The buffer only bounds memory; a connection without the option works as well.
		_ = tcp.SetReadBuffer(bytes)
	}
}

// beginHead begins to wait for the next request, after an answer.
func (c *conn) beginHead() {
	c.share.Clear()
	c.share.Restart()
	if c.wide {
		c.wide = false
		setReceiveBuffer(c.raw, receiveBuffer)
	}
	c.head = head{}
	c.inHead.Store(true)
	c.heardAt.Store(kernel.SteadyNanos())
	c.activity.CompareAndSwap(int32(serving), int32(idle))
	c.activity.CompareAndSwap(int32(reading), int32(idle))
}

// beginRequest ends the reading of a head. A body has to end in time, whether its handler reads it or not:
// net/http reads on after the handler. It returns the request for the handler, or an error if it must not be
// served.
func (c *conn) beginRequest(r *http.Request) (*http.Request, error) {
	c.inHead.Store(false)
	if r.Body == nil || r.Body == http.NoBody {
		return r, c.beginServing()
	}
	// net/http looks at the body of its own request to tell whether it was read.
	r = r.WithContext(r.Context())
	r.Body = &body{ReadCloser: r.Body, conn: c}
	return r, c.SetReadDeadline(time.Now().Add(DefaultBodyTimeout))
}

// beginServing records that the request is whole: its client is no longer expected to send anything. It returns
// an error if the connection is ended for others: then the request must not be run.
func (c *conn) beginServing() error {
	if err := c.share.Keep(); err != nil {
		return err
	}
	if !c.activity.CompareAndSwap(int32(reading), int32(serving)) && !c.activity.CompareAndSwap(int32(idle), int32(serving)) {
		return errClosing
	}
	return nil
}

// errClosing is returned if a connection is closed in favour of another.
var errClosing = merry.Sentinel("connection is closed in favour of another")

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *conn
	// whole says that the end was read.
	whole bool
}

// Read implements io.Reader. At the end the deadline is lifted: one that passes while the request is served
// would let net/http cancel it.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF || b.whole {
		return n, err
	}
	if err := b.conn.beginServing(); err != nil {
		return n, err
	}
	b.whole = true
	_ = b.conn.SetReadDeadline(time.Time{})
	return n, io.EOF
}

// end ends the read of a client whose memory is given to others.
func (c *conn) end() {
	c.ended.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if c.refused {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heardAt.Store(kernel.SteadyNanos())
	}
	if !c.inHead.Load() {
		return n, err
	}
	if n > 0 {
		c.activity.CompareAndSwap(int32(idle), int32(reading))
	}
	if status, reason := c.countHead(b[:n]); status != 0 {
		c.refuse(status, reason)
		// net/http closes the connection without an answer of its own after a timeout.
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// countHead counts bytes of a head and draws the memory for them. It returns the status and the reason of a
// refusal, or 0.
func (c *conn) countHead(b []byte) (status int, reason string) {
	before := c.head.cost()
	c.head.bytes += int64(len(b))
	c.head.lines += int64(bytes.Count(b, []byte{'\n'}))
	if limits := c.server.Limits(); c.head.exceeds(limits.HeaderBytes) {
		if status := c.server.statusTooLarge(limits.HeaderBytes); status != 0 {
			return status, ReasonHeadTooLarge
		}
	}
	if c.ended.Load() || c.share.Grow(c.head.cost()-before) != nil {
		return http.StatusServiceUnavailable, ReasonMemory
	}
	return 0, ""
}

// statusTooLarge returns the status of the refusal to a head that is over the limit, or 0 if it
// is allowed after all.
func (s *Server) statusTooLarge(headerBytes int64) int {
	if s.Allows == nil {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	allowed, final := s.Allows(headerBytes)
	switch {
	case allowed:
		return 0
	case final:
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusServiceUnavailable
}

// refuse answers a request whose head isn't read further. Nothing of it was run.
func (c *conn) refuse(status int, reason string) {
	c.refused = true
	c.share.Clear()
	c.server.refused(c, reason, c.head)
	var text []byte
	if c.server.EncodeError != nil {
		text = c.server.EncodeError(reason)
	}
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + busyRetryAfter + "\r\n"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), retry, len(text), text)
	if err == nil {
		_ = c.CloseWrite()
	}
}

// CloseWrite ends the answers of a connection, and lets its client read the last one before the connection is
// closed. net/http calls it after an answer to a request whose body was not read to its end.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	if err := half.CloseWrite(); err != nil {
		return err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, err := io.CopyBuffer(io.Discard, io.LimitReader(c.Conn, lingerBytes), make([]byte, readAheadBytes))
	return err
}

// SetReadDeadline implements net.Conn. It replaces the sentinels by the limits in force, so that open
// connections follow a change. With fixed timeouts, clients that are allowed to stay idle for longer would send
// into connections that are just being closed.
func (c *conn) SetReadDeadline(t time.Time) error {
	switch left := time.Until(t); {
	case left > (headSentinel+idleSentinel)/2:
		t = time.Now().Add(c.server.Limits().IdleTimeout)
	case left > headSentinel/2:
		t = time.Now().Add(c.server.Limits().HeaderTimeout)
	}
	err := c.Conn.SetReadDeadline(t)
	if c.ended.Load() {
		return errors.Join(err, c.Conn.SetReadDeadline(time.Unix(1, 0)))
	}
	return err
}

// Write implements net.Conn. It fails if the client accepts nothing for writeTimeout.
func (c *conn) Write(b []byte) (written int, err error) { return writeInParts(c.Conn, b, writeTimeout) }

// writeInParts writes to a connection. It fails if nothing is accepted for a timeout.
func writeInParts(nc net.Conn, b []byte, timeout time.Duration) (written int, err error) {
	for {
		part := b[written:min(written+maxWriteBytes, len(b))]
		if err := nc.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := nc.Write(part)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}
