package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/snipereach/snipereach/routing"
)

const (
	// defaultHeadTimeout, defaultIdleTimeout, defaultHeaderBytes and defaultBodyBytes apply
	// unless the configuration sets the limit.
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultHeaderBytes = 64 << 10
	defaultBodyBytes   = 4 << 20
	// maxHeaderBytes bounds the request head whatever the configuration allows, to bound the
	// memory of a connection.
	maxHeaderBytes = 1 << 20

	// callerWriteTimeout is how long a caller may accept nothing of a response. A caller that stops
	// reading would otherwise hold memory, and one of the requests that the gateway may have in
	// flight, until it closes its connection.
	callerWriteTimeout = 5 * time.Second
	// maxWriteBytes bounds one write to a caller, so that the timeout measures progress also while
	// a large response is written.
	maxWriteBytes = 64 << 10

	// headSentinel and idleSentinel are passed to the HTTP server as its header and idle
	// timeouts, so that callerConn can tell which of the two a deadline stands for. They differ
	// enough from each other and from any real timeout not to be confused.
	headSentinel = 10_000 * time.Hour
	idleSentinel = 30_000 * time.Hour
)

// callerLimits bounds what a caller may send, and how long it may take or be idle.
type callerLimits struct {
	headerTimeout, idleTimeout time.Duration
	// headerBytes bounds the sum of the header names and values and the host, bodyBytes the body.
	headerBytes, bodyBytes int64
}

// limits returns the limits of the configuration in force.
func (g *Gateway) limits() callerLimits { return limitsOf(g.table.Load()) }

// limitsOf returns the limits of a configuration, with defaults for those it doesn't set. t may
// be nil.
func limitsOf(t *routing.Table) callerLimits {
	l := callerLimits{
		headerTimeout: defaultHeadTimeout, idleTimeout: defaultIdleTimeout,
		headerBytes: defaultHeaderBytes, bodyBytes: defaultBodyBytes,
	}
	if t == nil {
		return l
	}
	set := t.Config.Limits
	if ms := set.GetHeaderTimeoutMs(); ms > 0 {
		l.headerTimeout = time.Duration(ms) * time.Millisecond
	}
	if ms := set.GetIdleTimeoutMs(); ms > 0 {
		l.idleTimeout = time.Duration(ms) * time.Millisecond
	}
	if n := set.GetHeaderBytes(); n > 0 {
		l.headerBytes = int64(n)
	}
	if n := set.GetBodyBytes(); n > 0 {
		l.bodyBytes = int64(n)
	}
	return l
}

// headerSize returns the size of a request's host and header fields in bytes, without separators.
// It never exceeds the size on the wire, so that a request within the limit is accepted.
func headerSize(r *http.Request) int64 {
	n := len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

// limitedListener applies the timeouts of the configuration in force each time the server sets a
// read deadline, so that open connections follow a change. With fixed timeouts, callers that are
// allowed to stay idle for longer would send into connections that are just being closed.
type limitedListener struct {
	net.Listener
	limits func() callerLimits
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, limits: l.limits, writeTimeout: callerWriteTimeout}, nil
}

// callerConn is one caller's connection.
type callerConn struct {
	net.Conn
	limits       func() callerLimits
	writeTimeout time.Duration
}

// SetReadDeadline implements net.Conn. It replaces the sentinels by the configured timeouts.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	switch left := time.Until(t); {
	case left > (headSentinel+idleSentinel)/2:
		t = time.Now().Add(c.limits().idleTimeout)
	case left > headSentinel/2:
		t = time.Now().Add(c.limits().headerTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. It fails if the caller accepts nothing for writeTimeout.
func (c *callerConn) Write(b []byte) (written int, err error) {
	for {
		part := b[written:min(written+maxWriteBytes, len(b))]
		if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}
