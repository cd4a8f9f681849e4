// Package httpserver serves the HTTP listeners of all programs within bounds: of the memory that clients
// may make the process hold, of the time that they may take, and of the connections that they may keep open.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/memory"
)

// Reasons why a client is refused or its connection is closed, as logs and metrics show them.
const (
	ReasonHeadTooLarge = "head-too-large"
	ReasonMemory       = "memory"
	ReasonConnections  = "connections"
)

// logLinesPerSecond bounds the log lines about refused clients of one listener.
const logLinesPerSecond = 2

const (
	// headSentinel and idleSentinel are passed to net/http as its header and idle timeouts, so that a
	// connection can tell which of the two a deadline stands for. They differ enough from each other and from
	// any real timeout not to be confused.
	headSentinel = 10_000 * time.Hour
	idleSentinel = 30_000 * time.Hour
)

// Options configure a Server.
type Options struct {
	// Name is the name of the listener in logs and metrics, and Metrics the prefix of its counters.
	Name, Metrics string

	Handler http.Handler
	Log     log.Logger
	// Budget bounds the memory of requests. It is shared by all listeners of a process.
	Budget *memory.Budget
	// MaxConnections is how many connections may be open at once.
	MaxConnections int
	// Limits returns the limits in force, which open connections follow; nil stands for DefaultLimits.
	Limits func() Limits
	// Allows asks whether a head over the limit in force is allowed after all, by a limit that has just
	// changed, or else whether it may be refused for good; nil refuses it for good.
	Allows func(headerBytes int64) (allowed, final bool)
	// Count counts an event by its name; nil counts nothing.
	Count func(name string)
	// EncodeError returns the JSON body of a refusal; nil for an empty body.
	EncodeError func(reason string) []byte
	// TLS, if set, is the configuration with which connections are secured.
	TLS *tls.Config
}

// Server serves one listener.
type Server struct {
	Options
	http        *http.Server
	connections *connections
	refusals    *kernel.LimitedLogger
}

// New returns a server.
func New(o Options) *Server {
	if o.Limits == nil {
		o.Limits = DefaultLimits
	}
	if o.Count == nil {
		o.Count = func(string) {}
	}
	s := &Server{Options: o, connections: newConnections(o.MaxConnections), refusals: kernel.NewLimitedLogger(o.Log, logLinesPerSecond, time.Now)}
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: headSentinel, IdleTimeout: idleSentinel, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState:   s.recordState,
	}
	return s
}

// Serve serves a listener until the server is closed. It logs any other error, after which the address is no
// longer served.
func (s *Server) Serve(lis net.Listener) {
	kernel.ServeHTTP(s.Log, s.http, boundedListener{lis, s})
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// Shutdown closes the listener, and returns once all requests in progress are answered.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Connections returns how many connections are open.
func (s *Server) Connections() int { return s.connections.count() }

// ServeHTTP implements http.Handler. From here on a connection no longer reads a head.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil {
		s.Handler.ServeHTTP(w, r)
		return
	}
	r, err := c.beginRequest(r)
	if err != nil {
		s.refuseRequest(w, c, err)
		return
	}
	s.Handler.ServeHTTP(w, r)
}

// refuseRequest answers a request that must not be served, as its connection was ended for others.
func (s *Server) refuseRequest(w http.ResponseWriter, c *conn, err error) {
	if errors.Is(err, memory.ErrEnded) {
		s.refused(c, ReasonMemory, c.head)
	}
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", busyRetryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// recordState follows a connection through its requests.
func (s *Server) recordState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.beginHead()
	case http.StateClosed, http.StateHijacked:
		s.connections.remove(c)
		c.share.Clear()
	}
}

// refused logs and counts a client that was refused.
func (s *Server) refused(c *conn, reason string, h head) {
	s.Count(s.Metrics + s.Name + "." + reason)
	s.refusals.Info("Client was refused.", "listener", s.Name, "reason", reason, "peer", c.RemoteAddr(), "connections", s.Connections(),
		"head_bytes", h.bytes, "head_lines", h.lines, "memory", s.Budget.Used())
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// connOf returns the connection of a request; nil if no Server has accepted it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// boundedListener accepts connections within the bounds of a server.
type boundedListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener. At the bound, the connection that has done nothing for the longest
// is closed in favour of the new one.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(nc, l.server)
		ended, ok := l.server.connections.add(c, kernel.SteadyNanos())
		if ended != nil {
			l.server.refused(ended, ReasonConnections, head{})
			_ = ended.Conn.Close()
		}
		if ok {
			return c, nil
		}
		l.server.refused(c, ReasonConnections, head{})
		_ = nc.Close()
	}
}
