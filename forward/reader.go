package forward

import (
	"context"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// replyStream is the receiving side of a Run stream.
type replyStream interface {
	Recv() (*wire.RunReply, error)
}

// responseReader reads and validates the response to an attempt.
type responseReader struct {
	stream replyStream
	// head is the head of the attempt.
	head *wire.RunHead
	sink Sink
	// maxBody bounds the body of an unstreamed response in bytes.
	maxBody int64

	// reply is the head of the response; nil before it has been received.
	reply *wire.RunReplyHead
	// body buffers the body of an unstreamed response.
	body []byte
	// received is the number of body bytes received.
	received uint64
	// begun is true once the sink has been called.
	begun bool
}

// read reads the response and returns the result of the attempt. It passes an unstreamed
// response to the sink only once it is complete, a streamed one as it arrives.
func (r *responseReader) read(ctx context.Context) attemptResult {
	for {
		m, err := r.stream.Recv()
		if err != nil {
			e := unknownResult(ctx, err)
			e.begun = r.begun
			return e
		}
		end, err := r.handleReply(m)
		switch {
		case errors.Is(err, ErrCallerGone):
			return attemptResult{outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: wire.Reason_REASON_UPSTREAM_FAILED, detail: err.Error(), begun: true, final: true}
		case err != nil:
			return attemptResult{outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: wire.Reason_REASON_ANSWER_INVALID, detail: err.Error(), begun: r.begun}
		case end != nil:
			e := r.finish(end)
			// The stream of an invalid response is still cancelled.
			e.streamEnded = e.reason != wire.Reason_REASON_ANSWER_INVALID
			return e
		}
	}
}

// handleReply handles a reply with a head, a part of the body, an end, or several of
// them, which are handled in this order. It returns the end if there is one.
func (r *responseReader) handleReply(m *wire.RunReply) (*wire.RunEnd, error) {
	if m.Head != nil {
		if err := r.handleHead(m.Head); err != nil {
			return nil, err
		}
	}
	if len(m.Body) > 0 || m.Head == nil && m.End == nil {
		if err := r.handleBody(m.Body); err != nil {
			return nil, err
		}
	}
	if m.End == nil {
		return nil, nil
	}
	if err := r.checkAttempt(m.End.RequestId, m.End.AttemptId); err != nil {
		return nil, err
	}
	return m.End, nil
}

// checkAttempt returns an error for a frame of another attempt, so that no caller gets a
// part of another's response.
func (r *responseReader) checkAttempt(request, attempt string) error {
	if request == r.head.RequestId && attempt == r.head.AttemptId {
		return nil
	}
	return merry.Prependf(ErrInvalidResponse, "frame of attempt %q in the response to attempt %q", attempt, r.head.AttemptId)
}

func (r *responseReader) handleHead(h *wire.RunReplyHead) error {
	if err := r.checkAttempt(h.RequestId, h.AttemptId); err != nil {
		return err
	}
	if r.reply != nil {
		return merry.Prepend(ErrInvalidResponse, "more than one head")
	}
	if h.Status < 200 || h.Status > 599 {
		return merry.Prependf(ErrInvalidResponse, "status %d is out of range", h.Status)
	}
	r.reply = h
	if !h.Streaming {
		return nil
	}
	r.begun = true
	return callerErr(r.sink.Begin(h))
}

func (r *responseReader) handleBody(b []byte) error {
	if r.reply == nil {
		return merry.Prepend(ErrInvalidResponse, "body before head")
	}
	r.received += uint64(len(b))
	if r.reply.Streaming {
		return callerErr(r.sink.Write(b))
	}
	if int64(r.received) > r.maxBody {
		return merry.Prependf(ErrInvalidResponse, "body exceeds %d bytes", r.maxBody)
	}
	if r.body == nil {
		r.body = b
		return nil
	}
	r.body = append(r.body, b...)
	return nil
}

// callerErr marks an error of the sink as ErrCallerGone.
func callerErr(err error) error {
	if err == nil {
		return nil
	}
	return merry.Prepend(ErrCallerGone, err.Error())
}

// finish returns the result of an attempt that the agent has ended, and passes a complete
// unstreamed response to the sink.
func (r *responseReader) finish(end *wire.RunEnd) attemptResult {
	e := attemptResult{outcome: end.Outcome, reason: end.Reason, detail: end.Detail, load: end.Load, begun: r.begun, endedUpstream: end.EndedUpstream}
	if end.Outcome != wire.Outcome_OUTCOME_DONE {
		if e.reason == 0 {
			e.reason = wire.Reason_REASON_UPSTREAM_FAILED
		}
		return e
	}
	if r.reply == nil || end.BodyBytes != r.received {
		e.outcome = wire.Outcome_OUTCOME_UNKNOWN
		e.reason = wire.Reason_REASON_ANSWER_INVALID
		e.detail = fmt.Sprintf("received %d bytes of body, agent sent %d", r.received, end.BodyBytes)
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

func (r *responseReader) deliver() error {
	if err := r.sink.Begin(r.reply); err != nil {
		return err
	}
	return r.sink.Write(r.body)
}
