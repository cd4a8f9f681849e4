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

// script is an agent's replies, then an end of the stream.
type script struct {
	list []*wire.RunReply
	err  error
}

func (s *script) Recv() (*wire.RunReply, error) {
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

// caller records what reaches it.
type caller struct {
	status uint32
	body   []byte
	writes int
	gone   bool
}

func (c *caller) Begin(h *wire.RunReplyHead) error {
	c.status = h.Status
	return nil
}

func (c *caller) Write(b []byte) error {
	if c.gone {
		return errors.New("broken pipe")
	}
	c.writes++
	c.body = append(c.body, b...)
	return nil
}

func replyHead(streaming bool) *wire.RunReply {
	return &wire.RunReply{Head: &wire.RunReplyHead{RequestId: "q", AttemptId: "q.1", Status: 200, Streaming: streaming}}
}

func body(s string) *wire.RunReply { return &wire.RunReply{Body: []byte(s)} }

func end(bytes uint64) *wire.RunReply {
	return &wire.RunReply{End: &wire.RunEnd{
		RequestId: "q", AttemptId: "q.1", Outcome: wire.Outcome_OUTCOME_DONE, BodyBytes: bytes,
	}}
}

// joined puts several replies into one, as an agent does with a small answer.
func joined(parts ...*wire.RunReply) *wire.RunReply {
	whole := &wire.RunReply{}
	for _, p := range parts {
		proto.Merge(whole, p)
	}
	return whole
}

func read(list []*wire.RunReply, c *caller) ending {
	r := &reader{stream: &script{list: list}, head: &wire.RunHead{RequestId: "q", AttemptId: "q.1"}, sink: c, max: 20}
	return r.read(context.Background())
}

func of(m *wire.RunReply, request, attempt string) *wire.RunReply {
	c := proto.Clone(m).(*wire.RunReply)
	if c.Head != nil {
		c.Head.RequestId, c.Head.AttemptId = request, attempt
	}
	if c.End != nil {
		c.End.RequestId, c.End.AttemptId = request, attempt
	}
	return c
}

// An unstreamed answer comes cut, late, crossed, doubled, too large or out of
// order. The caller sees nothing of it, and the outcome is "unknown": it may
// have run.
func TestUnstreamedAnswerIsWholeOrNothing(t *testing.T) {
	head, last := replyHead(false), end(5)
	for name, list := range map[string][]*wire.RunReply{
		"nothing":                         {},
		"cut after the head":              {head},
		"cut before the end":              {head, body("hello")},
		"bytes missing":                   {head, body("hell"), last},
		"bytes doubled":                   {head, body("hello"), body("hello"), last},
		"head of another":                 {of(head, "other", "other.1"), body("hello"), last},
		"head of an old attempt":          {of(head, "q", "q.0"), body("hello"), last},
		"end of another":                  {head, body("hello"), of(last, "other", "other.1")},
		"body before head":                {body("hello"), last},
		"second head":                     {head, head, body("hello"), last},
		"no head":                         {end(0)},
		"too large":                       {head, body("hello hello hello hello"), end(23)},
		"one reply, bytes missing":        {joined(head, body("hell"), last)},
		"one reply, head of another":      {joined(of(head, "other", "other.1"), body("hello"), last)},
		"one reply, end of another":       {joined(head, body("hello"), of(last, "other", "other.1"))},
		"one reply, no head":              {joined(body("hello"), last)},
		"one reply, body without its end": {joined(head, body("hello"))},
		"one reply, too large":            {joined(head, body("hello hello hello hello"), end(23))},
		"status out of range":             {{Head: &wire.RunReplyHead{RequestId: "q", AttemptId: "q.1", Status: 99}}, body("hello"), last},
	} {
		c := &caller{}
		e := read(list, c)
		assert.Assert(t, e.reason != 0, name)
		assert.Equal(t, e.outcome, wire.Outcome_OUTCOME_UNKNOWN, name)
		assert.Equal(t, len(c.body), 0, name)
		assert.Assert(t, !e.begun, name)
	}
	for _, list := range [][]*wire.RunReply{
		{head, body("hel"), body("lo"), last},
		{joined(head, body("hel")), joined(body("lo"), last)},
		{joined(head, body("hello"), last)},
	} {
		c := &caller{}
		e := read(list, c)
		assert.Equal(t, e.reason, wire.Reason(0))
		assert.Equal(t, string(c.body), "hello")
		assert.Equal(t, c.writes, 1)
	}
}

// A stream is cut, or a frame of another answer comes. What the caller has is
// its own, and the ending says that part of it is there: it must be shown a cut.
func TestCutStreamIsToldAsCut(t *testing.T) {
	head := replyHead(true)
	for name, list := range map[string][]*wire.RunReply{
		"cut":                                {head, body("hel")},
		"bytes missing":                      {head, body("hel"), end(5)},
		"end of another":                     {head, body("hel"), of(end(3), "other", "other.1")},
		"end of another with the last bytes": {joined(head, body("he")), joined(body("l"), of(end(3), "other", "other.1"))},
	} {
		c := &caller{}
		e := read(list, c)
		assert.Assert(t, e.reason != 0 && e.begun, name)
		assert.Equal(t, string(c.body), "hel", name)
	}
}

func TestCallerThatLeavesEndsTheRequest(t *testing.T) {
	e := read([]*wire.RunReply{replyHead(true), body("x"), end(1)}, &caller{gone: true})
	assert.Assert(t, e.final)
	assert.Equal(t, e.outcome, wire.Outcome_OUTCOME_UNKNOWN)
}

// Every upstream is down and every request is retried as far as the budget lets
// it. The attempts stay within 1.1 times the requests, but for the first burst.
func TestOutageDoesNotMultiplyAttempts(t *testing.T) {
	b := NewBudget(0.1)
	attempts := 0
	const requests = 10_000
	for range requests {
		b.Offer()
		attempts++
		for n := 1; n < maxAttempts && b.Take(); n++ {
			attempts++
		}
	}
	assert.Assert(t, attempts <= requests*11/10+budgetDepth, "%d attempts", attempts)
	assert.Assert(t, attempts >= requests*109/100, "the budget is there to be used: %d", attempts)
}

// An attempt in doubt, then one that was certainly not run: the request is in
// doubt. Only if no attempt may have run is it "not run".
func TestOutcomeOfSeveralAttempts(t *testing.T) {
	notRun := &wire.RefusedAttempt{Outcome: wire.Outcome_OUTCOME_NOT_RUN}
	doubt := &wire.RefusedAttempt{Outcome: wire.Outcome_OUTCOME_UNKNOWN}
	for _, c := range []struct {
		attempts []*wire.RefusedAttempt
		last     wire.Outcome
		want     wire.Outcome
	}{
		{[]*wire.RefusedAttempt{doubt, notRun}, wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_UNKNOWN},
		{[]*wire.RefusedAttempt{notRun, notRun}, wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_NOT_RUN},
		{nil, wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_NOT_RUN},
	} {
		assert.Equal(t, worst(Result{Outcome: c.last, Attempts: c.attempts}), c.want)
	}
}
