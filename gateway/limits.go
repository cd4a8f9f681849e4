package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/snipereach/snipereach/httpserver"
	"github.com/snipereach/snipereach/routing"
)

const (
	// defaultHeadTimeout, defaultIdleTimeout, defaultHeaderBytes and defaultBodyBytes apply
	// unless the configuration sets the limit.
	defaultHeadTimeout = 10 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultHeaderBytes = 64 << 10
	defaultBodyBytes   = 4 << 20
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

// httpLimits returns the limits of the configuration in force for the connections of callers.
func (g *Gateway) httpLimits() httpserver.Limits {
	l := g.limits()
	return httpserver.Limits{HeaderTimeout: l.headerTimeout, IdleTimeout: l.idleTimeout, HeaderBytes: l.headerBytes}
}

// allowsHead asks the control replicas whether a head over the limit in force is allowed after all. It may be
// refused for good only by a configuration that is known to be current.
func (g *Gateway) allowsHead(headerBytes int64) (allowed, final bool) {
	ctx, cancel := context.WithTimeout(g.stopping, maxConfirmAttempts*confirmTimeout)
	defer cancel()
	final = g.freshness.Confirm(ctx)
	return g.limits().headerBytes > headerBytes, final
}
