package transport

import (
	"context"
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

// NewDialer returns a dialer whose connections break within seconds when the peer
// falls silent. timeout bounds the opening.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw) },
	}
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
