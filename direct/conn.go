package direct

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to an upstream, used for one call at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// limiter is what br reads from.
	limiter *headLimiter
	// idleUntil is until when the connection may be reused after being idle.
	idleUntil time.Time
}

func newConn(nc net.Conn) *conn {
	l := &headLimiter{r: nc}
	return &conn{Conn: nc, limiter: l, br: bufio.NewReaderSize(l, readBufferSize)}
}

// abort resets the connection in the middle of a call. Unlike an orderly close, a reset
// drops data that a frozen or unreachable upstream has not received yet; it would
// otherwise execute the request later, after the caller has given up.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// An error means that the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// reusable reports whether an idle connection is still open and has no data to read.
//
// Data received between two calls belongs to no request, such as a duplicate response or
// a 408 before a close. It must not be taken for the response to the next call, which
// may be another caller's. On a closed connection the outcome of the next call would
// be unknown.
func (c *conn) reusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}
