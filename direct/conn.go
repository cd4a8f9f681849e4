package direct

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to an upstream, for one call at a time.
type conn struct {
	net.Conn
	br *bufio.Reader
	// idleUntil is when the upstream may close it for being idle; zero if unknown.
	idleUntil time.Time
}

// abort ends a connection in the middle of a call. It is reset: bytes that a frozen or
// cut off upstream has not taken yet are dropped. After an orderly close they would
// reach it seconds later, and run for a caller who has left.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only on a connection that has ended already.
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// quiet says whether an idle connection is still open and has nothing to read.
//
// Bytes that come between two calls belong to no request: a faulty upstream sends
// an answer twice, or says 408 before it closes. Taken for the next call's answer
// they would go to another caller. A connection that has ended would leave the
// next call in doubt.
func (c *conn) quiet() bool {
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
	silent := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(rerr, unix.EAGAIN)
		return true
	})
	return err == nil && silent
}
