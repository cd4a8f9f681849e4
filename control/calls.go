package control

import (
	"context"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/consensus"
	"github.com/snipereach/snipereach/wire"
)

type waiter struct {
	term  uint64
	reply chan<- result
}

type result struct {
	value any
	err   error
}

func (r *Replica) answer(e *wire.LogEntry, v any) {
	w, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		w.reply <- result{err: ErrLost}
		return
	}
	w.reply <- result{value: v}
}

// forgetWaiting answers proposals that a snapshot has passed over: whether they
// are in it isn't known here, so they are to be sent again with the same ID.
func (r *Replica) forgetWaiting(index uint64) {
	for i, w := range r.waiting {
		if i <= index {
			delete(r.waiting, i)
			w.reply <- result{err: merry.Prepend(ErrUnavailable, "the replica was sent a snapshot")}
		}
	}
}

func (r *Replica) answerRead(rs consensus.ReadState) {
	ch := r.reads[rs.ID]
	delete(r.reads, rs.ID)
	if ch == nil {
		return
	}
	if !rs.OK {
		ch <- ErrUnavailable
		return
	}
	ch <- nil
}

func (r *Replica) failAll(err error) {
	for i, w := range r.waiting {
		delete(r.waiting, i)
		w.reply <- result{err: err}
	}
	for i, ch := range r.reads {
		delete(r.reads, i)
		ch <- err
	}
}

// States of a call to do.
const (
	callWaits = iota
	callRuns
	callGivenUp
)

// do runs a function in the loop. With an error the function has not run and won't:
// the loop may stand in a sync of a stalled disk for long, and a caller that gave up
// must not find its variables written to later.
func (r *Replica) do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	var state atomic.Int32
	call := func() {
		if state.CompareAndSwap(callWaits, callRuns) {
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
		if state.CompareAndSwap(callWaits, callGivenUp) {
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

// post hands a function to the loop and doesn't wait for it.
func (r *Replica) post(ctx context.Context, f func()) error {
	select {
	case r.calls <- f:
		return nil
	case <-ctx.Done():
		return merry.Prepend(ErrUnavailable, ctx.Err().Error())
	case <-r.done:
		return ErrStopped
	}
}

// propose puts a command on the log and waits for its result.
func (r *Replica) propose(ctx context.Context, c *wire.Command) (any, error) {
	data, err := encode(c)
	if err != nil {
		return nil, merry.Prepend(ErrUnavailable, err.Error())
	}
	reply := make(chan result, 1)
	var perr error
	if err := r.do(ctx, func() { perr = r.proposeNow(data, reply) }); err != nil {
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

func (r *Replica) proposeNow(data []byte, reply chan<- result) error {
	if r.failed != nil {
		return merry.Prepend(ErrStopped, r.failed.Error())
	}
	index, term, err := r.node.Propose(r.now(), data)
	if err != nil {
		return merry.Prepend(ErrUnavailable, err.Error())
	}
	if old, ok := r.waiting[index]; ok {
		// The entry that waited here was overwritten by a newer leader's.
		old.reply <- result{err: ErrLost}
	}
	r.waiting[index] = waiter{term: term, reply: reply}
	return nil
}

// barrier returns once this replica's state holds all that was accepted before
// the call; leaders only.
func (r *Replica) barrier(ctx context.Context) error {
	ch := make(chan error, 1)
	err := r.do(ctx, func() {
		if r.failed != nil {
			ch <- merry.Prepend(ErrStopped, r.failed.Error())
			return
		}
		r.readID++
		if err := r.node.Read(r.now(), r.readID); err != nil {
			ch <- merry.Prepend(ErrUnavailable, err.Error())
			return
		}
		r.reads[r.readID] = ch
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
