package backpressure

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/wire"
)

const (
	// borrowTimeout bounds a call for permits, acquireTimeout all calls for one request. The request
	// waits for them, and can go to another upstream instead.
	borrowTimeout  = 50 * time.Millisecond
	acquireTimeout = 100 * time.Millisecond
)

// Blocked returns the upstreams whose limit allows this gateway no request now, with the time until
// it asks for a permit again; nil if there are none.
func (n *Node) Blocked() (list map[string]time.Duration) {
	if n.limited.Load() == 0 {
		return nil
	}
	replicas := n.replicas()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for id, b := range n.borrowers {
		until, blocked := b.blockedUntil(now, replicas)
		if !blocked || !n.book.Get(id).Limited {
			continue
		}
		if list == nil {
			list = map[string]time.Duration{}
		}
		list[id] = until.Sub(now)
	}
	return list
}

// Acquire reports whether a request may be sent to an upstream now. If the upstream has a limit,
// it takes a permit, and asks the replicas for one if none is held; it returns false if none of
// them has one, or ctx ends.
func (n *Node) Acquire(ctx context.Context, upstream string) bool {
	if n.limited.Load() == 0 || !n.Known(upstream).Limited {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	for ctx.Err() == nil {
		permit := n.tryAcquire(upstream)
		switch {
		case permit.granted:
			return true
		case permit.refused:
			n.metrics.Count("gateway.limits.permits_refused")
			return false
		case permit.wait != nil:
			select {
			case <-permit.wait:
			case <-ctx.Done():
			}
		default:
			n.borrow(upstream, permit)
		}
	}
	return false
}

// permitStep is what follows of an attempt to take a permit: it is granted or refused, a call that
// is being made must be waited for, or a replica must be asked.
type permitStep struct {
	granted, refused bool
	wait             <-chan struct{}
	replica          string
	perS             float64
	want             int
}

// tryAcquire takes a permit if one is held. Otherwise it says what to do; if that is to ask a
// replica, borrow must follow.
func (n *Node) tryAcquire(upstream string) permitStep {
	replicas := n.replicas()
	n.mu.Lock()
	defer n.mu.Unlock()
	now, s := n.now(), n.book.Get(upstream)
	if !s.Limited {
		return permitStep{granted: true}
	}
	b := n.borrowers[upstream]
	if b == nil {
		b = &borrower{}
		n.borrowers[upstream] = b
	}
	switch {
	case b.take(now):
		return permitStep{granted: true}
	case b.asking != nil:
		return permitStep{wait: b.asking}
	}
	replica, ok := b.next(now, replicas)
	if !ok {
		return permitStep{refused: true}
	}
	b.asking = make(chan struct{})
	return permitStep{replica: replica, perS: s.PerS, want: b.want(now)}
}

// borrow asks a replica for permits, and records its reply. The call goes on if the caller of the
// request leaves: other requests may wait for it, and its end says nothing about the replica.
func (n *Node) borrow(upstream string, step permitStep) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	askedAt := n.now()
	req := &wire.BorrowPermitsRequest{Upstream: upstream, PerS: step.perS, Want: uint32(step.want)}
	reply, err := wire.NewDRPCBackpressureClient(n.dial(ctx, step.replica)).Borrow(ctx, req)
	if err != nil {
		n.lines.Info("A permit can't be borrowed.", "replica", step.replica, "upstream", upstream, "err", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.borrowers[upstream]
	close(b.asking)
	b.asking = nil
	switch {
	case err != nil:
		b.refused(n.now(), step.replica, unreachableDelay)
	case reply.Lent > 0:
		n.metrics.Count("gateway.limits.permits_borrowed")
		b.receive(askedAt, int(reply.Lent))
	default:
		b.refused(n.now(), step.replica, time.Duration(reply.RetryMs)*time.Millisecond)
	}
}
