package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/snipereach/snipereach/routing"
)

const (
	// defaultHeadTimeout, defaultIdleTimeout, defaultHeaderBytes and
	// defaultBodyBytes hold until a configuration says more.
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultHeaderBytes = 64 << 10
	defaultBodyBytes   = 4 << 20
	// mostHeaderBytes is what a gateway reads of a head whatever the configuration
	// allows: a caller's connection may hold no more memory than this.
	mostHeaderBytes = 1 << 20

	// headMark and idleMark are what the server is given for its two limits of time,
	// so that callerConn knows which of them a deadline stands for. They lie so far
	// apart from each other and from any limit that none is taken for another.
	headMark = 10_000 * time.Hour
	idleMark = 30_000 * time.Hour
)

// callerLimits bound what a caller may send, and how long it may take or be idle.
type callerLimits struct {
	header, idle time.Duration
	// headerBytes counts names, values and what separates them; bodyBytes the body.
	headerBytes, bodyBytes int64
}

// limits are those of the configuration in force now.
func (g *Gateway) limits() callerLimits { return limitsOf(g.table.Load()) }

// limitsOf are a configuration's; what it leaves out, or all if there is none yet, has
// a default.
func limitsOf(t *routing.Table) callerLimits {
	l := callerLimits{
		header: defaultHeadTimeout, idle: defaultIdleTimeout,
		headerBytes: defaultHeaderBytes, bodyBytes: defaultBodyBytes,
	}
	if t == nil {
		return l
	}
	set := t.Config.Limits
	if ms := set.GetHeaderTimeoutMs(); ms > 0 {
		l.header = time.Duration(ms) * time.Millisecond
	}
	if ms := set.GetIdleTimeoutMs(); ms > 0 {
		l.idle = time.Duration(ms) * time.Millisecond
	}
	if n := set.GetHeaderBytes(); n > 0 {
		l.headerBytes = int64(n)
	}
	if n := set.GetBodyBytes(); n > 0 {
		l.bodyBytes = int64(n)
	}
	return l
}

// headerSize is at most what the fields of a request's head took on the wire: what
// a caller sent within the limit is never counted as more.
func headerSize(r *http.Request) int64 {
	n := len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

// limitedListener gives each connection the limits of time of the configuration in
// force whenever the server sets one, so a connection that outlives a change obeys
// the new one. With limits fixed at the start, a configuration that lets callers
// stay idle for longer would have them send into connections that are just closed.
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
	return &callerConn{Conn: c, limits: l.limits}, nil
}

// callerConn is one caller's connection.
type callerConn struct {
	net.Conn
	limits func() callerLimits
}

// SetReadDeadline implements net.Conn: the server's marks become limits.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	switch left := time.Until(t); {
	case left > (headMark+idleMark)/2:
		t = time.Now().Add(c.limits().idle)
	case left > headMark/2:
		t = time.Now().Add(c.limits().header)
	}
	return c.Conn.SetReadDeadline(t)
}
