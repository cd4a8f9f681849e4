package forward

import (
	"context"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// scriptedStream returns the given replies, then err or io.EOF.
type scriptedStream struct {
	list []*wire.RunReply
	err  error
}

func (s *scriptedStream) Recv() (*wire.RunReply, error) {
	if len(s.list) == 0 {
		if s.err != nil {
			return nil, s.err
		}
		return nil, io.EOF
	}
	m := s.list[0]
	s.list = s.list[1:]
	return m, nil
}

// recordingSink records the response that it receives.
type recordingSink struct {
	status uint32
	body   []byte
	writes int
	// gone makes Write fail.
	gone bool
}

func (c *recordingSink) Begin(h *wire.RunReplyHead) error {
	c.status = h.Status
	return nil
}

func (c *recordingSink) Write(b []byte) error {
	if c.gone {
		return errors.New("broken pipe")
	}
	c.writes++
	c.body = append(c.body, b...)
	return nil
}

func headReply(streaming bool) *wire.RunReply {
	return &wire.RunReply{Head: &wire.RunReplyHead{RequestId: "q", AttemptId: "q.1", Status: 200, Streaming: streaming}}
}

func bodyReply(s string) *wire.RunReply { return &wire.RunReply{Body: []byte(s)} }

func endReply(bytes uint64) *wire.RunReply {
	return &wire.RunReply{End: &wire.RunEnd{
		RequestId: "q", AttemptId: "q.1", Outcome: wire.Outcome_OUTCOME_DONE, BodyBytes: bytes,
	}}
}

// merge merges several replies into one, as an agent does with a small response.
func merge(parts ...*wire.RunReply) *wire.RunReply {
	merged := &wire.RunReply{}
	for _, p := range parts {
		proto.Merge(merged, p)
	}
	return merged
}

// read reads the replies as the response to attempt q.1, with a body limit of 20 bytes.
func read(list []*wire.RunReply, sink *recordingSink) attemptResult {
	r := &responseReader{stream: &scriptedStream{list: list}, head: &wire.RunHead{RequestId: "q", AttemptId: "q.1"}, sink: sink, maxBody: 20}
	return r.read(context.Background())
}

// withIDs returns a copy of a reply with the IDs of another request and attempt.
func withIDs(m *wire.RunReply, request, attempt string) *wire.RunReply {
	c := proto.Clone(m).(*wire.RunReply)
	if c.Head != nil {
		c.Head.RequestId, c.Head.AttemptId = request, attempt
	}
	if c.End != nil {
		c.End.RequestId, c.End.AttemptId = request, attempt
	}
	return c
}

// Nothing of an unstreamed response that is incomplete, invalid, too large or another
// attempt's may reach the sink; the outcome is unknown. A valid one must reach it in a
// single Write.
func TestInvalidUnstreamedResponseIsNotDelivered(t *testing.T) {
	head, last := headReply(false), endReply(5)
	for name, list := range map[string][]*wire.RunReply{
		"nothing":                         {},
		"cut after the head":              {head},
		"cut before the end":              {head, bodyReply("hello")},
		"bytes missing":                   {head, bodyReply("hell"), last},
		"body duplicated":                 {head, bodyReply("hello"), bodyReply("hello"), last},
		"head of another":                 {withIDs(head, "other", "other.1"), bodyReply("hello"), last},
		"head of an earlier attempt":      {withIDs(head, "q", "q.0"), bodyReply("hello"), last},
		"end of another":                  {head, bodyReply("hello"), withIDs(last, "other", "other.1")},
		"body before head":                {bodyReply("hello"), last},
		"second head":                     {head, head, bodyReply("hello"), last},
		"no head":                         {endReply(0)},
		"too large":                       {head, bodyReply("hello hello hello hello"), endReply(23)},
		"one reply, bytes missing":        {merge(head, bodyReply("hell"), last)},
		"one reply, head of another":      {merge(withIDs(head, "other", "other.1"), bodyReply("hello"), last)},
		"one reply, end of another":       {merge(head, bodyReply("hello"), withIDs(last, "other", "other.1"))},
		"one reply, no head":              {merge(bodyReply("hello"), last)},
		"one reply, body without its end": {merge(head, bodyReply("hello"))},
		"one reply, too large":            {merge(head, bodyReply("hello hello hello hello"), endReply(23))},
		"status out of range":             {{Head: &wire.RunReplyHead{RequestId: "q", AttemptId: "q.1", Status: 99}}, bodyReply("hello"), last},
	} {
		sink := &recordingSink{}
		e := read(list, sink)
		assert.Assert(t, e.reason != 0, name)
		assert.Equal(t, e.outcome, wire.Outcome_OUTCOME_UNKNOWN, name)
		assert.Equal(t, len(sink.body), 0, name)
		assert.Assert(t, !e.begun, name)
	}
	for _, list := range [][]*wire.RunReply{
		{head, bodyReply("hel"), bodyReply("lo"), last},
		{merge(head, bodyReply("hel")), merge(bodyReply("lo"), last)},
		{merge(head, bodyReply("hello"), last)},
	} {
		sink := &recordingSink{}
		e := read(list, sink)
		assert.Equal(t, e.reason, wire.Reason(0))
		assert.Equal(t, string(sink.body), "hello")
		assert.Equal(t, sink.writes, 1)
	}
}

// If a streamed response is truncated or mixed with another attempt's, the caller keeps
// what it has received so far, and the result must show that the response has begun.
func TestTruncatedStreamHasBegun(t *testing.T) {
	head := headReply(true)
	for name, list := range map[string][]*wire.RunReply{
		"cut":                                {head, bodyReply("hel")},
		"bytes missing":                      {head, bodyReply("hel"), endReply(5)},
		"end of another":                     {head, bodyReply("hel"), withIDs(endReply(3), "other", "other.1")},
		"end of another with the last bytes": {merge(head, bodyReply("he")), merge(bodyReply("l"), withIDs(endReply(3), "other", "other.1"))},
	} {
		sink := &recordingSink{}
		e := read(list, sink)
		assert.Assert(t, e.reason != 0 && e.begun, name)
		assert.Equal(t, string(sink.body), "hel", name)
	}
}

func TestSinkErrorEndsRequest(t *testing.T) {
	e := read([]*wire.RunReply{headReply(true), bodyReply("x"), endReply(1)}, &recordingSink{gone: true})
	assert.Assert(t, e.final)
	assert.Equal(t, e.outcome, wire.Outcome_OUTCOME_UNKNOWN)
}

// If every request is retried as often as the budget allows, the number of attempts must
// be close to, but at most (1 + ratio) times the number of requests, plus one burst.
func TestBudgetBoundsRetries(t *testing.T) {
	b := NewRetryBudget(0.1)
	attempts := 0
	const requests = 10_000
	for range requests {
		b.RecordRequest()
		attempts++
		for n := 1; n < maxAttempts && b.TakeRetry(); n++ {
			attempts++
		}
	}
	assert.Assert(t, attempts <= requests*11/10+maxBudgetTokens, "%d attempts", attempts)
	assert.Assert(t, attempts >= requests*109/100, "budget is not used up: %d attempts", attempts)
}

// The outcome of a request is "not run" only if no attempt may have been executed.
func TestOverallOutcome(t *testing.T) {
	notRun := &wire.RefusedAttempt{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
	unknown := &wire.RefusedAttempt{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	for _, c := range []struct {
		attempts []*wire.RefusedAttempt
		last     wire.Outcome
		want     wire.Outcome
	}{
		{[]*wire.RefusedAttempt{unknown, notRun}, wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_UNKNOWN},
		{[]*wire.RefusedAttempt{notRun, notRun}, wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_NOT_RUN},
		{nil, wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_NOT_RUN},
	} {
		assert.Equal(t, overallOutcome(Result{Outcome: c.last, Attempts: c.attempts}), c.want)
	}
}
