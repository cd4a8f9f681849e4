package control

import (
	"context"
	"sync"
	"time"

	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

const (
	// peerQueue bounds messages that wait for a peer; more are dropped, as a
	// network would. The log sends again.
	peerQueue   = 1024
	redialDelay = 100 * time.Millisecond
)

// peers sends consensus messages, one stream to each peer.
type peers struct {
	pool    *transport.Pool
	address string
	ctx     context.Context

	mu   sync.Mutex
	outs map[string]*peerOut
}

type peerOut struct {
	address string
	queue   chan *wire.RaftMessage
	cancel  context.CancelFunc
}

func newPeers(pool *transport.Pool, address string) *peers {
	return &peers{pool: pool, address: address, outs: map[string]*peerOut{}}
}

func (p *peers) start(ctx context.Context) { p.ctx = ctx }

func (p *peers) send(members []*wire.Peer, list []*wire.RaftMessage) {
	if len(list) == 0 {
		return
	}
	addrs := make(map[string]string, len(members))
	for _, m := range members {
		addrs[m.Id] = m.Address
	}
	for _, m := range list {
		out := p.out(m.To, addrs[m.To])
		if out == nil {
			continue
		}
		select {
		case out.queue <- m:
		default:
		}
	}
}

// out returns the queue to a peer. A peer that this replica's log doesn't name
// yet (a newer leader, to one that just joined) is answered at the address that
// it was heard from.
func (p *peers) out(id, address string) *peerOut {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.outs[id]
	if o != nil && (address == "" || o.address == address) {
		return o
	}
	if address == "" {
		return nil
	}
	if o != nil {
		o.cancel()
	}
	ctx, cancel := context.WithCancel(p.ctx)
	o = &peerOut{address: address, queue: make(chan *wire.RaftMessage, peerQueue), cancel: cancel}
	p.outs[id] = o
	go p.pump(ctx, o)
	return o
}

// learn notes where a sender is reached.
func (p *peers) learn(id, address string) {
	if id != "" && address != "" {
		p.out(id, address)
	}
}

func (p *peers) pump(ctx context.Context, o *peerOut) {
	for ctx.Err() == nil {
		p.stream(ctx, o)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
		drop(o.queue)
	}
}

// drop empties a queue after a broken stream: what waited is old, and the log
// sends again what is still needed.
func drop(q chan *wire.RaftMessage) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

func (p *peers) stream(ctx context.Context, o *peerOut) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := wire.NewDRPCRaftClient(p.pool.Conn(ctx, o.address)).Send(ctx)
	if err != nil {
		return
	}
	defer s.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.queue:
			if err := s.Send(&wire.RaftEnvelope{Message: m, Address: p.address}); err != nil {
				return
			}
		}
	}
}

// DirectoryReplicas lists the replicas of the log, which also take
// announcements, with their failure domains.
func (c *Control) DirectoryReplicas(ctx context.Context) []*wire.DirectoryReplica {
	r := c.current()
	if r == nil {
		return nil
	}
	var list []*wire.DirectoryReplica
	_ = r.do(ctx, func() {
		for _, p := range r.node.Peers() {
			list = append(list, &wire.DirectoryReplica{Address: p.Address, FailureDomain: p.FailureDomain})
		}
	})
	return list
}
