package forward

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// replies is the part of a Run stream that a reader needs.
type replies interface {
	Recv() (*wire.RunReply, error)
}

// reader takes one attempt's answer and lets through only what belongs to it.
type reader struct {
	stream replies
	head   *wire.RunHead
	sink   Sink
	max    int64

	reply *wire.RunReplyHead
	held  []byte
	got   uint64
	begun bool
}

// read returns how the attempt ended; an unstreamed answer reaches the sink
// only when it is whole.
func (r *reader) read(ctx context.Context) ending {
	for {
		m, err := r.stream.Recv()
		if err != nil {
			e := inDoubt(ctx, err)
			e.begun = r.begun
			return e
		}
		end, err := r.take(m)
		switch {
		case errors.Is(err, ErrCallerGone):
			return ending{outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: wire.Reason_REASON_UPSTREAM_FAILED, detail: err.Error(), begun: true, final: true}
		case err != nil:
			return ending{outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: wire.Reason_REASON_ANSWER_INVALID, detail: err.Error(), begun: r.begun}
		case end != nil:
			e := r.finish(end)
			// A call whose answer does not add up is cancelled all the same.
			e.ended = e.reason != wire.Reason_REASON_ANSWER_INVALID
			return e
		}
	}
}

// take takes one reply: a head, a piece of the body, an end, or several of them
// in this order.
func (r *reader) take(m *wire.RunReply) (*wire.RunEnd, error) {
	if m.Head != nil {
		if err := r.takeHead(m.Head); err != nil {
			return nil, err
		}
	}
	if len(m.Body) > 0 || m.Head == nil && m.End == nil {
		if err := r.takeBody(m.Body); err != nil {
			return nil, err
		}
	}
	if m.End == nil {
		return nil, nil
	}
	if err := r.mine(m.End.RequestId, m.End.AttemptId); err != nil {
		return nil, err
	}
	return m.End, nil
}

// mine refuses a frame of another request. It would hand one caller a part of
// another's answer; the connection is dropped with the call.
func (r *reader) mine(request, attempt string) error {
	if request == r.head.RequestId && attempt == r.head.AttemptId {
		return nil
	}
	return merry.Prependf(ErrInvalidAnswer, "frame of attempt %q in the answer to %q", attempt, r.head.AttemptId)
}

func (r *reader) takeHead(h *wire.RunReplyHead) error {
	if err := r.mine(h.RequestId, h.AttemptId); err != nil {
		return err
	}
	if r.reply != nil {
		return merry.Prepend(ErrInvalidAnswer, "second head")
	}
	if h.Status < 200 || h.Status > 599 {
		return merry.Prependf(ErrInvalidAnswer, "status %d", h.Status)
	}
	r.reply = h
	if !h.Streaming {
		return nil
	}
	r.begun = true
	return callerErr(r.sink.Begin(h))
}

func (r *reader) takeBody(b []byte) error {
	if r.reply == nil {
		return merry.Prepend(ErrInvalidAnswer, "body before head")
	}
	r.got += uint64(len(b))
	if r.reply.Streaming {
		return callerErr(r.sink.Write(b))
	}
	if int64(r.got) > r.max {
		return merry.Prependf(ErrInvalidAnswer, "answer is over %d bytes", r.max)
	}
	if r.held == nil {
		r.held = b
		return nil
	}
	r.held = append(r.held, b...)
	return nil
}

func callerErr(err error) error {
	if err == nil {
		return nil
	}
	return merry.Prepend(ErrCallerGone, err.Error())
}

func (r *reader) finish(end *wire.RunEnd) ending {
	e := ending{outcome: end.Outcome, reason: end.Reason, detail: end.Detail, load: end.Load, begun: r.begun, upstreamLife: end.EndedUpstream}
	if end.Outcome != wire.Outcome_OUTCOME_DONE {
		if e.reason == 0 {
			e.reason = wire.Reason_REASON_UPSTREAM_FAILED
		}
		return e
	}
	if r.reply == nil || end.BodyBytes != r.got {
		e.outcome = wire.Outcome_OUTCOME_UNKNOWN
		e.reason = wire.Reason_REASON_ANSWER_INVALID
		e.detail = fmt.Sprintf("answer has %d bytes of body, %d were sent", r.got, end.BodyBytes)
		return e
	}
	e.reason = 0
	if r.reply.Streaming {
		return e
	}
	if err := r.deliver(); err != nil {
		e.detail = err.Error()
	}
	r.begun = true
	return e
}

func (r *reader) deliver() error {
	if err := r.sink.Begin(r.reply); err != nil {
		return err
	}
	return r.sink.Write(r.held)
}
