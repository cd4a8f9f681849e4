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

// Detection of dead peers. A host that lost power or is partitioned sends no reset;
// without these limits a writer would block for minutes, until the kernel's own
// timeout, and a reader forever.
const (
	// tcpUserTimeout bounds how long sent data may stay unacknowledged. It allows for
	// the kernel's first two retransmissions (after 0.2 and 0.6 s).
	tcpUserTimeout = 1500 * time.Millisecond
	// The keep-alive settings detect a dead peer of an idle connection within 2.5 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

const (
	// firstAttemptTimeout bounds the first attempt to open a connection. It is shorter
	// than the one second after which the kernel retransmits a lost SYN, so that a host
	// that has just started is reached sooner.
	firstAttemptTimeout = 200 * time.Millisecond
	// attemptTimeoutGrowth is the factor by which the timeout of each further attempt
	// grows, for links with a longer round trip.
	attemptTimeoutGrowth = 2
)

// Dialer opens TCP connections that fail within seconds once the peer stops responding.
type Dialer struct {
	// dial makes one attempt.
	dial DialFunc
	// timeout bounds all attempts of one DialContext together.
	timeout time.Duration
}

// NewDialer returns a dialer. The timeout bounds all attempts of one DialContext
// together.
func NewDialer(timeout time.Duration) *Dialer {
	d := &net.Dialer{
		KeepAliveConfig: keepAliveConfig(),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
	return &Dialer{dial: d.DialContext, timeout: timeout}
}

// DialContext opens a connection. It retries attempts that time out; other errors, such
// as a refused connection, are returned at once.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	for attemptTimeout := firstAttemptTimeout; ; attemptTimeout *= attemptTimeoutGrowth {
		last := time.Until(deadline) <= attemptTimeout
		conn, err := d.dialOnce(ctx, attemptTimeout, network, address)
		var netErr net.Error
		if err == nil || last || ctx.Err() != nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return conn, err
		}
	}
}

func (d *Dialer) dialOnce(ctx context.Context, timeout time.Duration, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.dial(ctx, network, address)
}

// Listen returns a TCP listener whose connections detect dead peers as those of a
// Dialer do.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	cfg := net.ListenConfig{
		KeepAliveConfig: keepAliveConfig(),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
	return cfg.Listen(ctx, "tcp", addr)
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// WithPort returns the addresses with their port replaced. Addresses that aren't of the
// form HOST:PORT, and all addresses if port is 0, are returned unchanged.
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

// setUserTimeout sets TCP_USER_TIMEOUT. It ignores the error of sockets that aren't TCP.
func setUserTimeout(raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}
