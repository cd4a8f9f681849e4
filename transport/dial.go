package transport

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Detection of connections that are silent for good: a host without power or
// behind a partition answers nothing, and a forgotten connection is not reset. A
// writer would wait for minutes for the kernel's own limit, a reader for ever.
const (
	// userTimeout bounds how long sent data may stay without an acknowledgement.
	// It is longer than the kernel's first retransmissions (0.2 and 0.6 s) on a
	// link that loses a packet.
	userTimeout = 1500 * time.Millisecond
	// probeAfter, probeEvery and probes find a silent peer of an idle connection
	// within two seconds and a half.
	probeAfter = time.Second
	probeEvery = 500 * time.Millisecond
	probes     = 3
)

const (
	// firstTry is how long the first try to open a connection may take: a connection
	// within a region opens in a few milliseconds, and to another one in some tens. The
	// kernel sends a lost packet again after a second only, and so it does for a host that
	// was still starting: after a loss of power all entries heard of the others a second
	// after their start, 0.4 s later than the others were there.
	firstTry = 200 * time.Millisecond
	// tryGrowth is how much longer each further try may take, for a link whose round trip
	// is longer.
	tryGrowth = 2
)

// Dialer opens connections that break within seconds when the peer falls silent.
type Dialer struct {
	// open makes one try.
	open DialFunc
	// limit bounds the opening, over all tries.
	limit time.Duration
}

// NewDialer returns a dialer. timeout bounds the opening.
func NewDialer(timeout time.Duration) *Dialer {
	d := &net.Dialer{
		KeepAliveConfig: keepAlive(),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
	return &Dialer{open: d.DialContext, limit: timeout}
}

// DialContext opens a connection; it tries again where the peer says nothing, and gives
// up at once where it refuses.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.limit)
	defer cancel()
	deadline, _ := ctx.Deadline()
	for try := firstTry; ; try *= tryGrowth {
		last := time.Until(deadline) <= try
		conn, err := d.tryOnce(ctx, try, network, address)
		var silent net.Error
		if err == nil || last || ctx.Err() != nil || !errors.As(err, &silent) || !silent.Timeout() {
			return conn, err
		}
	}
}

func (d *Dialer) tryOnce(ctx context.Context, limit time.Duration, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return d.open(ctx, network, address)
}

// Listen listens for connections that break as those of NewDialer do.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	cfg := net.ListenConfig{
		KeepAliveConfig: keepAlive(),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
	return cfg.Listen(ctx, "tcp", addr)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes}
}

// WithPort returns addresses with another port, where hosts are known by an address
// of another service; 0 leaves them as they are.
func WithPort(addresses []string, port int) []string {
	out := append([]string(nil), addresses...)
	if port == 0 {
		return out
	}
	for i, addr := range out {
		if host, _, err := net.SplitHostPort(addr); err == nil {
			out[i] = net.JoinHostPort(host, strconv.Itoa(port))
		}
	}
	return out
}

// setUserTimeout is best effort: a socket that isn't TCP doesn't take the option.
func setUserTimeout(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}
