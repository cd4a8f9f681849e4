package control

import (
	"context"
	"sync"
	"time"

	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

const (
	// peerQueueSize bounds the messages that wait for a peer. Further ones are dropped; the
	// consensus node sends again what is still needed.
	peerQueueSize = 1024
	redialDelay   = 100 * time.Millisecond
)

// raftSender sends consensus messages over one stream to each peer.
type raftSender struct {
	pool    *transport.Pool
	address string
	ctx     context.Context

	mu      sync.Mutex
	streams map[string]*peerStream
}

// peerStream is the queue of messages to the peer at an address.
type peerStream struct {
	address string
	queue   chan *wire.RaftMessage
	cancel  context.CancelFunc
}

func newRaftSender(pool *transport.Pool, address string) *raftSender {
	return &raftSender{pool: pool, address: address, streams: map[string]*peerStream{}}
}

func (p *raftSender) start(ctx context.Context) { p.ctx = ctx }

func (p *raftSender) send(members []*wire.Peer, list []*wire.RaftMessage) {
	if len(list) == 0 {
		return
	}
	addrs := make(map[string]string, len(members))
	for _, m := range members {
		addrs[m.Id] = m.Address
	}
	for _, m := range list {
		s := p.streamTo(m.To, addrs[m.To])
		if s == nil {
			continue
		}
		select {
		case s.queue <- m:
		default:
		}
	}
}

// streamTo returns the stream to a peer and starts it if it is missing or has another address.
// If address is empty, it returns the existing stream, or nil. So a peer that this replica's
// log doesn't include yet is answered at the address that it has sent from.
func (p *raftSender) streamTo(id, address string) *peerStream {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.streams[id]
	if s != nil && (address == "" || s.address == address) {
		return s
	}
	if address == "" {
		return nil
	}
	if s != nil {
		s.cancel()
	}
	ctx, cancel := context.WithCancel(p.ctx)
	s = &peerStream{address: address, queue: make(chan *wire.RaftMessage, peerQueueSize), cancel: cancel}
	p.streams[id] = s
	go p.runStream(ctx, s)
	return s
}

// setAddress records the address of a peer that has sent a message.
func (p *raftSender) setAddress(id, address string) {
	if id != "" && address != "" {
		p.streamTo(id, address)
	}
}

// runStream sends queued messages until ctx ends and reconnects after errors.
func (p *raftSender) runStream(ctx context.Context, o *peerStream) {
	for ctx.Err() == nil {
		p.sendFromQueue(ctx, o)
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay):
		}
		drainQueue(o.queue)
	}
}

// drainQueue drops the queued messages after a stream has failed. They are out of date; the
// consensus node sends again what is still needed.
func drainQueue(q chan *wire.RaftMessage) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
}

func (p *raftSender) sendFromQueue(ctx context.Context, o *peerStream) {
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

// DirectoryReplicas lists the replicas in the membership, all of which accept announcements.
// It returns nil if this replica belongs to no cluster yet.
func (c *Control) DirectoryReplicas(ctx context.Context) []*wire.DirectoryReplica {
	r := c.currentReplica()
	if r == nil {
		return nil
	}
	var list []*wire.DirectoryReplica
	_ = r.runInLoop(ctx, func() {
		for _, p := range r.node.Peers() {
			list = append(list, &wire.DirectoryReplica{Address: p.Address, FailureDomain: p.FailureDomain})
		}
	})
	return list
}
