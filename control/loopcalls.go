package control

import (
	"context"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/wire"
)

// pendingProposal is a proposed command whose caller waits for the result.
type pendingProposal struct {
	term  uint64
	reply chan<- proposalResult
}

type proposalResult struct {
	value any
	err   error
}

// completeProposal sends the result v of applied entry e to the caller that proposed it, if
// any. If the entry has another term than the proposal, the proposal was lost.
func (r *Replica) completeProposal(e *wire.LogEntry, v any) {
	p, ok := r.proposals[e.Index]
	if !ok {
		return
	}
	delete(r.proposals, e.Index)
	if p.term != e.Term {
		p.reply <- proposalResult{err: ErrProposalLost}
		return
	}
	p.reply <- proposalResult{value: v}
}

// failSnapshottedProposals fails proposals up to index when a received snapshot replaces their
// entries. It is not known whether the snapshot includes them, so callers must send them again
// under the same idempotency key.
func (r *Replica) failSnapshottedProposals(index uint64) {
	for i, p := range r.proposals {
		if i <= index {
			delete(r.proposals, i)
			p.reply <- proposalResult{err: merry.Prepend(ErrUnavailable, "a snapshot replaced the proposed entry")}
		}
	}
}

// completeRead answers the caller of a linearizable read.
func (r *Replica) completeRead(rs consensus.ReadState) {
	ch := r.pendingReads[rs.ID]
	delete(r.pendingReads, rs.ID)
	if ch == nil {
		return
	}
	if !rs.OK {
		ch <- ErrUnavailable
		return
	}
	ch <- nil
}

// failPending fails all pending proposals and reads.
func (r *Replica) failPending(err error) {
	for i, p := range r.proposals {
		delete(r.proposals, i)
		p.reply <- proposalResult{err: err}
	}
	for i, ch := range r.pendingReads {
		delete(r.pendingReads, i)
		ch <- err
	}
}

// States of a function that was passed to do.
const (
	callQueued = iota
	callRunning
	callAbandoned
)

// runInLoop runs f in the loop and waits until it has returned. If ctx ends before f starts, e.g.
// because a disk sync blocks the loop, do returns ErrUnavailable and f is never run, so that f
// doesn't write to the caller's variables later. It returns ErrStopped if the loop has ended.
func (r *Replica) runInLoop(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	var state atomic.Int32
	call := func() {
		if state.CompareAndSwap(callQueued, callRunning) {
			f()
			close(ran)
		}
	}
	select {
	case r.calls <- call:
	case <-ctx.Done():
		return merry.Prepend(ErrUnavailable, ctx.Err().Error())
	case <-r.done:
		return ErrStopped
	}
	select {
	case <-ran:
		return nil
	case <-r.done:
		return ErrStopped
	case <-ctx.Done():
		if state.CompareAndSwap(callQueued, callAbandoned) {
			return merry.Prepend(ErrUnavailable, ctx.Err().Error())
		}
	}
	select {
	case <-ran:
		return nil
	case <-r.done:
		return ErrStopped
	}
}

// postToLoop queues f for the loop and doesn't wait until it has run.
func (r *Replica) postToLoop(ctx context.Context, f func()) error {
	select {
	case r.calls <- f:
		return nil
	case <-ctx.Done():
		return merry.Prepend(ErrUnavailable, ctx.Err().Error())
	case <-r.done:
		return ErrStopped
	}
}

// propose proposes a command and waits until it is applied. It returns the result of apply.
func (r *Replica) propose(ctx context.Context, c *wire.Command) (any, error) {
	data, err := encode(c)
	if err != nil {
		return nil, merry.Prepend(ErrUnavailable, err.Error())
	}
	reply := make(chan proposalResult, 1)
	var perr error
	if err := r.runInLoop(ctx, func() { perr = r.proposeInLoop(data, reply) }); err != nil {
		return nil, err
	}
	if perr != nil {
		return nil, perr
	}
	select {
	case res := <-reply:
		return res.value, res.err
	case <-ctx.Done():
		return nil, merry.Prepend(ErrUnavailable, ctx.Err().Error())
	case <-r.done:
		return nil, ErrStopped
	}
}

func (r *Replica) proposeInLoop(data []byte, reply chan<- proposalResult) error {
	if r.failed != nil {
		return merry.Prepend(ErrStopped, r.failed.Error())
	}
	index, term, err := r.node.Propose(r.now(), data)
	if err != nil {
		return merry.Prepend(ErrUnavailable, err.Error())
	}
	if old, ok := r.proposals[index]; ok {
		// A newer leader has overwritten the entry of the earlier proposal.
		old.reply <- proposalResult{err: ErrProposalLost}
	}
	r.proposals[index] = pendingProposal{term: term, reply: reply}
	return nil
}

// barrier is a read barrier: it returns nil once the applied state includes everything that
// was committed before the call. It returns ErrUnavailable if this replica doesn't lead.
func (r *Replica) barrier(ctx context.Context) error {
	ch := make(chan error, 1)
	err := r.runInLoop(ctx, func() {
		if r.failed != nil {
			ch <- merry.Prepend(ErrStopped, r.failed.Error())
			return
		}
		r.lastReadID++
		if err := r.node.RequestRead(r.now(), r.lastReadID); err != nil {
			ch <- merry.Prepend(ErrUnavailable, err.Error())
			return
		}
		r.pendingReads[r.lastReadID] = ch
	})
	if err != nil {
		return err
	}
	select {
	case err := <-ch:
		return err
	case <-ctx.Done():
		return merry.Prepend(ErrUnavailable, ctx.Err().Error())
	case <-r.done:
		return ErrStopped
	}
}
