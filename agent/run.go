package agent

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/upstream"
	"github.com/snipereach/snipereach/wire"
)

// ErrBadFrame is returned for a stream that violates the Run protocol.
var ErrBadFrame = merry.Sentinel("malformed run frame")

// maxTimeout bounds the timeout that an entry may request for an attempt or a ticket.
const maxTimeout = time.Hour

// attempt is one Run call in progress.
type attempt struct {
	agent     *Agent
	stream    wire.DRPCAgent_RunStream
	head      *wire.RunHead
	body      []byte
	deadline  time.Time
	queuedFor time.Duration
	// sentAt is when the attempt was sent to the upstream. exitedUpstream identifies the
	// upstream generation that exited while it ran the attempt; empty if none did.
	sentAt         time.Time
	exitedUpstream string
	bodyBytesSent  uint64
}

// frameBuffers pools the buffers for relayed answers. Send encodes a message before it
// returns, so a buffer may be reused at once.
var frameBuffers = sync.Pool{New: func() any {
	b := make([]byte, transport.BodyFrame)
	return &b
}}

// Run implements the Agent service.
func (a *Agent) Run(stream wire.DRPCAgent_RunStream) error {
	now := a.settings.Now()
	at, err := a.receiveAttempt(stream, now)
	if err != nil {
		return err
	}
	// An attempt that was sent to an earlier incarnation may have been run by it, and this
	// incarnation's registry does not contain it, so it must not be run again.
	if h := at.head; h.Incarnation != 0 && h.Incarnation != a.incarnation.Number() {
		return at.finish(wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_NO_UPSTREAM, "the attempt addresses another incarnation of the agent")
	}
	switch a.attempts.begin(now, at.head.AttemptId, at.deadline) {
	case wire.Reason_REASON_DUPLICATE_ATTEMPT:
		// The first message of this attempt may be running; only the stream that carried
		// it can report the outcome.
		return at.finish(wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_DUPLICATE_ATTEMPT, "duplicate attempt ID")
	case wire.Reason_REASON_UPSTREAM_LEAVING:
		return at.finish(wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_UPSTREAM_LEAVING, "upstream is leaving")
	}
	defer a.attempts.end()
	return at.run()
}

func (a *Agent) receiveAttempt(stream wire.DRPCAgent_RunStream, now time.Time) (*attempt, error) {
	frame, err := stream.Recv()
	if err != nil {
		return nil, err
	}
	h := frame.Head
	if h == nil || h.AttemptId == "" || h.RequestId == "" || h.Method == "" || h.TimeoutUs <= 0 {
		return nil, merry.Prepend(ErrBadFrame, "the head of the first frame is missing or incomplete")
	}
	timeout := min(time.Duration(h.TimeoutUs)*time.Microsecond, maxTimeout)
	at := &attempt{agent: a, stream: stream, head: h, deadline: now.Add(timeout)}
	for {
		if int64(len(at.body)+len(frame.Body)) > a.settings.MaxBody {
			return nil, merry.Prependf(ErrBadFrame, "body exceeds %d bytes", a.settings.MaxBody)
		}
		at.body = append(at.body, frame.Body...)
		if frame.Last {
			return at, nil
		}
		if frame, err = stream.Recv(); err != nil {
			return nil, err
		}
		if frame.Head != nil {
			return nil, merry.Prepend(ErrBadFrame, "more than one head")
		}
	}
}

func (at *attempt) run() error {
	ctx, cancel := context.WithDeadline(at.stream.Context(), at.deadline)
	defer cancel()
	began := at.agent.settings.Now()
	release, err := at.acquireSlot(ctx)
	at.queuedFor = at.agent.settings.Now().Sub(began)
	if err != nil {
		return at.finish(wire.Outcome_OUTCOME_NOT_RUN, admissionReason(err), err.Error())
	}
	defer release()
	at.sentAt = at.agent.settings.Now()
	answer, err := at.agent.upstream.Do(ctx, at.head, at.body)
	if err != nil {
		if errors.Is(err, upstream.ErrFailed) {
			at.exitedUpstream = at.detectUpstreamExit(ctx)
		}
		return at.finishWithError(err)
	}
	at.agent.generations.recordContact(at.sentAt)
	defer answer.Body.Close()
	return at.relay(ctx, answer)
}

func admissionReason(err error) wire.Reason {
	switch {
	case errors.Is(err, admit.ErrQueueFull), errors.Is(err, admit.ErrNoFreeSlot), errors.Is(err, ErrNoSlotHeld):
		return wire.Reason_REASON_QUEUE_FULL
	case errors.Is(err, admit.ErrClosed):
		return wire.Reason_REASON_UPSTREAM_LEAVING
	}
	return wire.Reason_REASON_DEADLINE
}

func (at *attempt) finishWithError(err error) error {
	outcome, reason := wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_UPSTREAM_FAILED
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		outcome = wire.Outcome_OUTCOME_NOT_RUN
	case errors.Is(err, upstream.ErrRequestIDMismatch):
		reason = wire.Reason_REASON_ANSWER_INVALID
	case errors.Is(err, context.DeadlineExceeded) || at.agent.settings.Now().After(at.deadline):
		reason = wire.Reason_REASON_DEADLINE
	}
	return at.finish(outcome, reason, err.Error())
}

// relay sends the upstream's answer to the entry. The head of a streaming answer is sent
// at once; the head of any other answer is sent with the first frame of the body, and the
// last frame with the end, so that a small answer is one message.
func (at *attempt) relay(ctx context.Context, answer *upstream.Answer) error {
	frame := frameBuffers.Get().(*[]byte)
	defer frameBuffers.Put(frame)
	reply := &wire.RunReply{Head: &wire.RunReplyHead{
		RequestId: at.head.RequestId, AttemptId: at.head.AttemptId,
		Status: uint32(answer.Status), Headers: answer.Headers, Streaming: answer.Streaming,
	}}
	read := fillBuffer
	if answer.Streaming {
		if err := at.stream.Send(reply); err != nil {
			return err
		}
		reply, read = &wire.RunReply{}, io.Reader.Read
	}
	var events eventBoundary
	for {
		n, err := read(answer.Body, *frame)
		at.bodyBytesSent += uint64(n)
		reply.Body = (*frame)[:n]
		events.write((*frame)[:n])
		switch {
		case err == io.EOF && answer.Streaming && answer.Unframed && !events.complete():
			// The end of the connection is the end of such a stream, also if the upstream has broken it off.
			at.exitedUpstream = at.detectUpstreamExit(ctx)
			return at.sendRunEnd(reply, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_ANSWER_INVALID, "the stream ends inside an event")
		case err == io.EOF && answer.Unframed && at.bodyBytesSent == 0:
			// The upstream may have stopped after the head.
			at.exitedUpstream = at.detectUpstreamExit(ctx)
			return at.sendRunEnd(reply, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_ANSWER_INVALID, "the answer ends with its head")
		case err == io.EOF:
			return at.sendRunEnd(reply, wire.Outcome_OUTCOME_DONE, 0, "")
		case err != nil:
			// The upstream's answer is truncated. The attempt ran, but the caller must not
			// take the partial answer for the complete one.
			at.exitedUpstream = at.detectUpstreamExit(ctx)
			return at.sendRunEnd(reply, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_ANSWER_INVALID, err.Error())
		case n == 0:
			continue
		}
		if err := at.stream.Send(reply); err != nil {
			return err
		}
		reply = &wire.RunReply{}
	}
}

// fillBuffer reads until the buffer is full or the reader returns an error. io.ReadFull
// returns io.ErrUnexpectedEOF both for an answer shorter than the buffer and for one that
// the upstream truncated, so it cannot be used here.
func fillBuffer(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var m int
		m, err = r.Read(buf[n:])
		n += m
	}
	return n, err
}

func (at *attempt) finish(o wire.Outcome, r wire.Reason, detail string) error {
	return at.sendRunEnd(&wire.RunReply{}, o, r, detail)
}

func (at *attempt) sendRunEnd(reply *wire.RunReply, o wire.Outcome, r wire.Reason, detail string) error {
	at.agent.countOutcome(o, r)
	reply.End = &wire.RunEnd{
		RequestId: at.head.RequestId, AttemptId: at.head.AttemptId,
		Outcome: o, Reason: r, Detail: detail, Load: at.agent.currentLoad(),
		BodyBytes: at.bodyBytesSent, QueuedUs: at.queuedFor.Microseconds(), EndedUpstream: at.exitedUpstream,
	}
	transport.BufferUntilReturn(at.stream)
	return at.stream.Send(reply)
}

// eventBoundary tells whether the bytes of a stream of events end between two events.
type eventBoundary struct {
	// tail holds the last bytes without carriage returns.
	tail [2]byte
	any  bool
}

func (b *eventBoundary) write(data []byte) {
	b.any = b.any || len(data) > 0
	for _, c := range data[max(len(data)-2*len(b.tail), 0):] {
		if c != '\r' {
			b.tail[0], b.tail[1] = b.tail[1], c
		}
	}
}

// complete reports whether the last event ended with an empty line, or there was none.
func (b *eventBoundary) complete() bool { return !b.any || b.tail == [2]byte{'\n', '\n'} }
