package fake

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// ErrUnreachable is returned by a dial over a closed link after dialTimeout.
var ErrUnreachable = errors.New("connect: no route to host")

// dialTimeout is how long a dial waits for closed links, like the connect timeout
// of a kernel.
const dialTimeout = 2 * time.Second

// Network simulates partitions and delays between named parts on loopback. A cut
// link drops traffic silently: bytes are neither delivered nor refused, and no
// connection breaks. Pending bytes arrive once the link is healed, as with TCP
// retransmission.
type Network struct {
	mu            sync.Mutex
	partByAddress map[string]string
	links         map[link]*linkState
	// frozen are the parts that neither send nor receive.
	frozen map[string]bool
}

// link is one direction between two parts.
type link struct{ from, to string }

type linkState struct {
	// open is a closed channel while the link carries bytes.
	open   chan struct{}
	closed bool
	cut    bool
	delay  time.Duration
	// dialing counts the dials that are waiting for the link.
	dialing int
}

// NewNetwork returns a Network without partitions or delays.
func NewNetwork() *Network {
	return &Network{partByAddress: map[string]string{}, links: map[link]*linkState{}, frozen: map[string]bool{}}
}

// Register registers the part that listens on an address.
func (n *Network) Register(address, part string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partByAddress[address] = part
}

// Cut blocks traffic from one part to another, in this direction only.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from, to}
	n.linkLocked(l).cut = true
	n.updateGateLocked(l)
}

// Heal undoes Cut for traffic from one part to another.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from, to}
	n.linkLocked(l).cut = false
	n.updateGateLocked(l)
}

// HealAll removes the cut and the delay of every link. Frozen parts stay frozen.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l, s := range n.links {
		s.delay, s.cut = 0, false
		n.updateGateLocked(l)
	}
}

// Freeze blocks all traffic to and from a part, independently of cut links.
func (n *Network) Freeze(part string) { n.setFrozen(part, true) }

// Thaw undoes Freeze. Cut links stay cut.
func (n *Network) Thaw(part string) { n.setFrozen(part, false) }

func (n *Network) setFrozen(part string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[part] = frozen
	for l := range n.links {
		n.updateGateLocked(l)
	}
}

// Dialing returns how many dials from one part to another are waiting for closed
// links or delays.
func (n *Network) Dialing(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linkLocked(link{from, to}).dialing
}

func (n *Network) addDialing(l link, change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkLocked(l).dialing += change
}

// updateGateLocked closes the link if it is cut or either end is frozen, and opens
// it otherwise. The caller holds mu.
func (n *Network) updateGateLocked(l link) {
	s := n.links[l]
	closed := s.cut || n.frozen[l.from] || n.frozen[l.to]
	switch {
	case closed && !s.closed:
		s.open = make(chan struct{})
	case !closed && s.closed:
		close(s.open)
	}
	s.closed = closed
}

// Delay sets the delay of each dial, read and write over the link from one part to
// another.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkLocked(link{from, to}).delay = d
}

// linkLocked returns a link's state and creates it if needed. The caller holds mu.
func (n *Network) linkLocked(l link) *linkState {
	s := n.links[l]
	if s == nil {
		s = &linkState{open: make(chan struct{})}
		close(s.open)
		n.links[l] = s
		n.updateGateLocked(l)
	}
	return s
}

func (n *Network) gate(l link) (<-chan struct{}, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.linkLocked(l)
	return s.open, s.delay
}

// Dialer returns the dial function of a part. Connections to unregistered addresses
// are not affected by the network.
func (n *Network) Dialer(part string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n.mu.Lock()
		peer, known := n.partByAddress[address]
		n.mu.Unlock()
		if !known {
			return new(net.Dialer).DialContext(ctx, network, address)
		}
		out, back := link{part, peer}, link{peer, part}
		if err := n.waitDial(ctx, out, back); err != nil {
			return nil, err
		}
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &networkConn{Conn: c, net: n, out: out, back: back, closed: make(chan struct{})}, nil
	}
}

// waitDial waits for both directions in turn, as the SYN and the SYN-ACK of a
// connect do.
func (n *Network) waitDial(ctx context.Context, dirs ...link) error {
	timer := time.NewTimer(dialTimeout)
	defer timer.Stop()
	n.addDialing(dirs[0], 1)
	defer n.addDialing(dirs[0], -1)
	for _, l := range dirs {
		open, delay := n.gate(l)
		select {
		case <-open:
		case <-timer.C:
			return ErrUnreachable
		case <-ctx.Done():
			return ctx.Err()
		}
		time.Sleep(delay)
	}
	return nil
}

// networkConn is the dialing side's end of a connection over two links.
type networkConn struct {
	net.Conn
	net       *Network
	out, back link
	once      sync.Once
	closed    chan struct{}

	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time
	readPending, readBuf        []byte
}

// Read returns received bytes only while the incoming link is open: bytes that
// arrived before a cut must not be delivered during it.
func (c *networkConn) Read(b []byte) (int, error) {
	if len(c.readPending) == 0 {
		if c.readBuf == nil {
			c.readBuf = make([]byte, 64<<10)
		}
		n, err := c.Conn.Read(c.readBuf)
		if n == 0 && err != nil {
			if cut := c.waitOpen(c.back, c.deadline(&c.readDeadline)); cut != nil {
				return 0, cut
			}
			return 0, err
		}
		c.readPending = c.readBuf[:n]
	}
	if err := c.waitOpen(c.back, c.deadline(&c.readDeadline)); err != nil {
		return 0, err
	}
	n := copy(b, c.readPending)
	c.readPending = c.readPending[n:]
	return n, nil
}

func (c *networkConn) Write(b []byte) (int, error) {
	if err := c.waitOpen(c.out, c.deadline(&c.writeDeadline)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the underlying connection once the outgoing link is open, so that
// the peer of a cut link learns of it only after the link is healed.
func (c *networkConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		open, _ := c.net.gate(c.out)
		select {
		case <-open:
			_ = c.Conn.Close()
		default:
			go func() {
				<-open
				_ = c.Conn.Close()
			}()
		}
		// Unblock a pending Read.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	})
	return nil
}

func (c *networkConn) deadline(at *time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *at
}

// waitOpen waits until a link is open, and then for its delay. A zero deadline
// sets no limit; the deadline does not cover the delay.
func (c *networkConn) waitOpen(l link, deadline time.Time) error {
	var timedOut <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		timedOut = t.C
	}
	open, delay := c.net.gate(l)
	select {
	case <-open:
	case <-timedOut:
		return os.ErrDeadlineExceeded
	case <-c.closed:
		return net.ErrClosed
	}
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

func (c *networkConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *networkConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *networkConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeDeadline = t
	c.mu.Unlock()
	return c.Conn.SetWriteDeadline(t)
}
