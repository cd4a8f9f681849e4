// Package transport carries drpc between the system's processes: a listener
// and a connection pool, both with TLS or, where that is off, with a handshake
// that proves knowledge of the cluster secret.
//
// drpc carries one call at a time on a connection, so a pool gives each call a
// connection of its own: a cut or crossed answer can only hurt the call that it
// belongs to, and one slow reader doesn't hold up the others.
package transport

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

// Errors of this layer.
var (
	ErrDial      = merry.Sentinel("peer can't be reached")
	ErrHandshake = merry.Sentinel("peer doesn't know the cluster secret")
	ErrHandler   = merry.Sentinel("call can't be served")
)

// Bounds of a connection.
const (
	// MaxMessage bounds one drpc message; bodies are cut into frames far below it.
	MaxMessage = 4 << 20
	// BodyFrame is the largest piece of a body in one frame.
	BodyFrame = 64 << 10

	dialTimeout      = 2 * time.Second
	handshakeTimeout = 2 * time.Second
	idleExpiry       = 30 * time.Second
	poolPerAddress   = 1024
	poolCapacity     = 4096
)

// Security says how peers know each other. With TLS set, the secret is not used.
type Security struct {
	// Secret is shared by the processes of one cluster.
	Secret []byte
	// Server and Client are set together, or not at all.
	Server *tls.Config
	Client *tls.Config
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage},
		Stream:     drpcstream.Options{MaximumBufferSize: MaxMessage},
		SoftCancel: true,
	}
}

// Server accepts drpc connections.
type Server struct {
	Mux *drpcmux.Mux

	sec Security
	srv *drpcserver.Server

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  bool
}

// NewServer makes a server; services are registered on its Mux.
func NewServer(sec Security) *Server {
	mux := drpcmux.New()
	return &Server{
		Mux:   mux,
		sec:   sec,
		srv:   drpcserver.NewWithOptions(guarded{mux}, drpcserver.Options{Manager: managerOptions()}),
		conns: map[net.Conn]struct{}{},
	}
}

// guarded ends a call whose handler panics, and its connection. A message that a
// handler did not expect would otherwise end the process with all that it carries.
type guarded struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (g guarded) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if v := recover(); v != nil {
			// The stack is for the operator of this process, not for the peer, who
			// may pass the error on to a caller.
			fmt.Fprintf(os.Stderr, "transport: %s: panic: %v\n%s", rpc, v, debug.Stack())
			err = merry.Prepend(ErrHandler, rpc)
		}
	}()
	return g.Handler.HandleRPC(stream, rpc)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, lis net.Listener) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer s.untrack(conn)
	secured, err := s.secure(conn)
	if err != nil {
		return
	}
	_ = s.srv.ServeOne(ctx, secured)
}

func (s *Server) secure(conn net.Conn) (net.Conn, error) {
	if s.sec.Server != nil {
		return tls.Server(conn, s.sec.Server), nil
	}
	return conn, answerHandshake(conn, s.sec.Secret)
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close cuts every connection. The listener is the caller's to close.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// DialFunc opens a network connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool dials peers and keeps idle connections.
type Pool struct {
	sec     Security
	pool    *drpcpool.Pool[string, drpcpool.Conn]
	calls   *drpcpool.Pool[string, drpcpool.Conn]
	dialNet DialFunc
}

// NewPool makes a pool.
func NewPool(sec Security) *Pool {
	opts := drpcpool.Options{
		Expiration:  idleExpiry,
		Capacity:    poolCapacity,
		KeyCapacity: poolPerAddress,
	}
	return &Pool{
		sec:     sec,
		dialNet: NewDialer(dialTimeout).DialContext,
		pool:    drpcpool.New[string, drpcpool.Conn](opts),
		calls:   drpcpool.New[string, drpcpool.Conn](opts),
	}
}

// SetDial makes the pool open its connections with f, if f is not nil: who
// embeds a process may want a network of its own. It is called before first use.
func (p *Pool) SetDial(f DialFunc) {
	if f != nil {
		p.dialNet = f
	}
}

// Conn returns a connection to an address that dials when a call needs one.
func (p *Pool) Conn(ctx context.Context, addr string) drpc.Conn {
	return p.pool.Get(ctx, addr, p.dial)
}

// CallConn is like Conn, but what a stream sends may be kept back until the
// caller receives from it or closes its sending side: a request and the end of
// its sending leave in one write. A stream that only sends must not use it.
func (p *Pool) CallConn(ctx context.Context, addr string) drpc.Conn {
	return p.calls.Get(ctx, addr, p.dialCalls)
}

func (p *Pool) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	return p.dialWith(ctx, addr, managerOptions())
}

func (p *Pool) dialCalls(ctx context.Context, addr string) (drpcpool.Conn, error) {
	opts := managerOptions()
	opts.Stream.ManualFlush = true
	return p.dialWith(ctx, addr, opts)
}

func (p *Pool) dialWith(ctx context.Context, addr string, opts drpcmanager.Options) (drpcpool.Conn, error) {
	conn, err := p.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: opts}), nil
}

// HoldFlush keeps what a server's stream sends from now on until the handler
// returns, so that an answer's last message and the end of the stream leave in
// one write. It may not be called while another goroutine uses the stream.
func HoldFlush(stream drpc.Stream) {
	if w, ok := stream.(interface{ GetStream() drpc.Stream }); ok {
		stream = w.GetStream()
	}
	if f, ok := stream.(interface{ SetManualFlush(bool) }); ok {
		f.SetManualFlush(true)
	}
}

// Dial opens one connection and proves who we are.
func (p *Pool) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := p.dialNet(ctx, "tcp", addr)
	if err != nil {
		return nil, merry.Prepend(ErrDial, err.Error())
	}
	if p.sec.Client != nil {
		return p.dialTLS(ctx, conn, addr)
	}
	if err := startHandshake(conn, p.sec.Secret); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (p *Pool) dialTLS(ctx context.Context, conn net.Conn, addr string) (net.Conn, error) {
	cfg := p.sec.Client.Clone()
	if cfg.ServerName == "" {
		cfg.ServerName, _, _ = net.SplitHostPort(addr)
	}
	tc := tls.Client(conn, cfg)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, merry.Prepend(ErrDial, err.Error())
	}
	return tc, nil
}

// Close drops every idle connection.
func (p *Pool) Close() {
	_ = p.pool.Close()
	_ = p.calls.Close()
}
