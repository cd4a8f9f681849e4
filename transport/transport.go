// Package transport carries drpc between the processes of a cluster: a server and a
// connection pool, both with TLS or, where that is off, with a handshake that proves
// knowledge of the cluster secret.
//
// A drpc connection carries one call at a time, so the pool gives each concurrent call
// a connection of its own: a broken connection fails only its own call, and a slow
// reader doesn't block other calls.
package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
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

// Errors returned by this package.
var (
	ErrDial      = merry.Sentinel("peer can't be reached")
	ErrRefused   = merry.Sentinel("peer's host refuses the connection")
	ErrHandshake = merry.Sentinel("peer doesn't know the cluster secret")
	ErrHandler   = merry.Sentinel("call can't be served")
)

// Limits of connections and of the pool.
const (
	// MaxMessage is the maximum size of a drpc message, in bytes.
	MaxMessage = 4 << 20
	// BodyFrame is the maximum size of the part of a body in one frame, in bytes.
	BodyFrame = 64 << 10

	dialTimeout            = 2 * time.Second
	handshakeTimeout       = 2 * time.Second
	acceptRetryDelay       = 100 * time.Millisecond
	idleTimeout            = 30 * time.Second
	poolCapacityPerAddress = 1024
	poolCapacity           = 4096
)

// Security configures how peers authenticate each other. With TLS, the secret is not
// used for that.
type Security struct {
	// Secret is shared by the processes of one cluster.
	Secret []byte
	// Server and Client are the TLS configurations; both are nil if TLS is off.
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

	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	strangers strangers
	closed    bool
}

// NewServer returns a server. Services are registered on its Mux.
func NewServer(sec Security) *Server {
	mux := drpcmux.New()
	return &Server{
		Mux:   mux,
		sec:   sec,
		srv:   drpcserver.NewWithOptions(recoveringHandler{mux}, drpcserver.Options{Manager: managerOptions()}),
		conns: map[net.Conn]struct{}{},

		strangers: strangers{most: defaultMaxStrangers},
	}
}

// SetMaxStrangers sets how many connections may be open whose peers haven't proved yet that they belong to
// the cluster. It must be called before Serve.
func (s *Server) SetMaxStrangers(most int) { s.strangers.most = most }

// CountTraffic counts the messages of the server's calls. It must be called before Serve.
func (s *Server) CountTraffic(t *Traffic) {
	s.srv = drpcserver.NewWithOptions(recoveringHandler{countingHandler{s.Mux, t}}, drpcserver.Options{Manager: managerOptions()})
}

// recoveringHandler turns a panic of a handler into an error of its call, so that one
// unexpected message doesn't end the process.
type recoveringHandler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h recoveringHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if v := recover(); v != nil {
			// The stack trace is only logged: the peer may return the error to an
			// external caller.
			fmt.Fprintf(os.Stderr, "transport: %s: panic: %v\n%s", rpc, v, debug.Stack())
			err = merry.Prepend(ErrHandler, rpc)
		}
	}()
	return h.Handler.HandleRPC(stream, rpc)
}

// Serve accepts connections until the listener or the server is closed or the context is done.
// It goes on after other errors, such as a lack of file descriptors, which may pass.
func (s *Server) Serve(ctx context.Context, lis net.Listener) {
	for {
		conn, err := lis.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || ctx.Err() != nil || s.isClosed() {
				return
			}
			fmt.Fprintf(os.Stderr, "transport: %s: connection can't be accepted: %v\n", lis.Addr(), err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if ctx.Err() != nil || !s.trackConn(conn) {
			_ = conn.Close()
			return
		}
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	defer s.untrackConn(conn)
	secured, err := s.secureConn(conn)
	if err != nil {
		return
	}
	s.recognize(conn)
	_ = s.srv.ServeOne(ctx, secured)
}

func (s *Server) secureConn(conn net.Conn) (net.Conn, error) {
	if s.sec.Server == nil {
		return conn, serverHandshake(conn, s.sec.Secret)
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, s.sec.Server)
	return secured, secured.HandshakeContext(ctx)
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) trackConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	if oldest := s.strangers.add(conn); oldest != nil {
		_ = oldest.Close()
	}
	return true
}

// recognize records that a peer belongs to the cluster.
func (s *Server) recognize(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strangers.remove(conn)
}

func (s *Server) untrackConn(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.strangers.remove(conn)
}

// Close closes every connection. The caller closes the listener.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// DialFunc opens a network connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool dials peers and reuses idle connections.
type Pool struct {
	sec           Security
	conns         *drpcpool.Pool[string, drpcpool.Conn]
	bufferedConns *drpcpool.Pool[string, drpcpool.Conn]
	dialNet       DialFunc
}

// NewPool returns a pool that authenticates its connections with sec.
func NewPool(sec Security) *Pool {
	opts := drpcpool.Options{
		Expiration:  idleTimeout,
		Capacity:    poolCapacity,
		KeyCapacity: poolCapacityPerAddress,
	}
	return &Pool{
		sec:           sec,
		dialNet:       NewDialer(dialTimeout).DialContext,
		conns:         drpcpool.New[string, drpcpool.Conn](opts),
		bufferedConns: drpcpool.New[string, drpcpool.Conn](opts),
	}
}

// SetDial replaces the function that opens connections, if f is not nil; programs that
// embed a process can supply their own network. It must be called before first use.
func (p *Pool) SetDial(f DialFunc) {
	if f != nil {
		p.dialNet = f
	}
}

// Conn returns a connection to an address that dials when a call needs one.
func (p *Pool) Conn(ctx context.Context, addr string) drpc.Conn {
	return p.conns.Get(ctx, addr, p.dial)
}

// BufferedConn is like Conn, but messages sent on a stream may be buffered until the caller
// receives from it or closes its sending side, so that a request and its end are sent
// in one write. It must not be used for streams that only send.
func (p *Pool) BufferedConn(ctx context.Context, addr string) drpc.Conn {
	return p.bufferedConns.Get(ctx, addr, p.dialBuffered)
}

func (p *Pool) dial(ctx context.Context, addr string) (drpcpool.Conn, error) {
	return p.dialWith(ctx, addr, managerOptions())
}

func (p *Pool) dialBuffered(ctx context.Context, addr string) (drpcpool.Conn, error) {
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

// BufferUntilReturn buffers what a server's stream sends from now on until the handler returns,
// so that the last message and the end of the stream are sent in one write. It must not
// be called while another goroutine uses the stream.
func BufferUntilReturn(stream drpc.Stream) {
	if w, ok := stream.(interface{ GetStream() drpc.Stream }); ok {
		stream = w.GetStream()
	}
	if f, ok := stream.(manualFlusher); ok {
		f.SetManualFlush(true)
	}
}

// manualFlusher is a stream whose messages can be buffered until it is flushed.
type manualFlusher interface{ SetManualFlush(bool) }

// Dial opens a connection and authenticates both sides.
func (p *Pool) Dial(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := p.dialNet(ctx, "tcp", addr)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, merry.Prepend(ErrRefused, err.Error())
	}
	if err != nil {
		return nil, merry.Prepend(ErrDial, err.Error())
	}
	if p.sec.Client != nil {
		return p.dialTLS(ctx, conn, addr)
	}
	if err := clientHandshake(conn, p.sec.Secret); err != nil {
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

// Close closes the idle connections.
func (p *Pool) Close() {
	_ = p.conns.Close()
	_ = p.bufferedConns.Close()
}
