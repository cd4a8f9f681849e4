package fake

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// ErrUnreachable is what a dial over a cut link ends with when nobody gives it
// up earlier.
var ErrUnreachable = errors.New("connect: no route to host")

// dialLimit is how long a dial over a cut link waits, as a kernel's does.
const dialTimeout = 2 * time.Second

// Network is loopback with links between named parts that can be cut and
// healed. A cut link is silent: bytes are neither delivered nor refused, and no
// connection breaks. What was under way arrives when the link is healed, as TCP
// would send it again.
type Network struct {
	mu            sync.Mutex
	partByAddress map[string]string
	links         map[link]*linkState
	// frozen are the hosts that neither send nor receive.
	frozen map[string]bool
}

// link is one direction between two parts.
type link struct{ from, to string }

type linkState struct {
	// open is closed while the link carries bytes.
	open   chan struct{}
	closed bool
	cut    bool
	delay  time.Duration
	// dialling is how many dials wait for the link.
	dialing int
}

// NewNetwork returns a network on which nothing is cut.
func NewNetwork() *Network {
	return &Network{partByAddress: map[string]string{}, links: map[link]*linkState{}, frozen: map[string]bool{}}
}

// Name says which part listens on an address.
func (n *Network) Name(address, part string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partByAddress[address] = part
}

// Cut stops what one part sends to another.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from, to}
	n.linkLocked(l).cut = true
	n.updateGateLocked(l)
}

// Heal lets what one part sends to another arrive again.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from, to}
	n.linkLocked(l).cut = false
	n.updateGateLocked(l)
}

// HealAll heals every link and takes its delay away. Frozen parts stay frozen.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l, s := range n.links {
		s.delay, s.cut = 0, false
		n.updateGateLocked(l)
	}
}

// Freeze stops all that goes to and from a part, beside the cuts of its links.
func (n *Network) Freeze(part string) { n.setFrozen(part, true) }

// Thaw ends Freeze. Links that are cut stay so.
func (n *Network) Thaw(part string) { n.setFrozen(part, false) }

func (n *Network) setFrozen(part string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[part] = frozen
	for l := range n.links {
		n.updateGateLocked(l)
	}
}

// Dialling returns how many dials from one part to another are under way. Over a
// link that carries nothing they wait.
func (n *Network) Dialling(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.linkLocked(link{from, to}).dialing
}

func (n *Network) addDialing(l link, change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkLocked(l).dialing += change
}

// settle opens or closes a link as its cut and its ends demand; the caller holds mu.
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

// Delay makes what one part sends to another take longer.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linkLocked(link{from, to}).delay = d
}

// state returns a link's state; the caller holds mu.
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

// Dialer returns a dial function for what one part connects to.
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
		return &networkConn{Conn: c, network: n, out: out, back: back, closed: make(chan struct{})}, nil
	}
}

// passDial waits until both directions carry bytes, as a SYN and its answer do.
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

// networkConn is a connection over two links, seen from the part that dialled.
type networkConn struct {
	net.Conn
	network   *Network
	out, back link
	once      sync.Once
	closed    chan struct{}

	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time
	readPending, readBuf        []byte
}

// Read holds what has arrived until its link carries bytes: it may have been
// sent before the cut, but a caller must not see it during one.
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

// Close tells the peer only if the link carries bytes: the end of a connection
// is lost on a cut link like everything else, and arrives after the heal.
func (c *networkConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		open, _ := c.network.gate(c.out)
		select {
		case <-open:
			_ = c.Conn.Close()
		default:
			go func() {
				<-open
				_ = c.Conn.Close()
			}()
		}
		// A Read that waits for bytes ends.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	})
	return nil
}

func (c *networkConn) deadline(at *time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *at
}

// pass waits until a link carries bytes.
func (c *networkConn) waitOpen(l link, deadline time.Time) error {
	var timedOut <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		timedOut = t.C
	}
	open, delay := c.network.gate(l)
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
