package forward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// fakeAgent ends each attempt as the test says.
type fakeAgent struct {
	wire.DRPCAgentUnimplementedServer
	id  string
	end func(id string, h *wire.RunHead) *wire.RunEnd
	// queue answers tickets; nil is an agent that knows none.
	queue *busyAgents

	mu    sync.Mutex
	heads []*wire.RunHead
}

// errDead cuts the stream of an agent that dies.
var errDead = errors.New("agent is dead")

func (a *fakeAgent) Run(stream wire.DRPCAgent_RunStream) error {
	f, err := stream.Recv()
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.heads = append(a.heads, f.Head)
	a.mu.Unlock()
	e := a.end(a.id, f.Head)
	if e == nil {
		return errDead
	}
	e.RequestId, e.AttemptId = f.Head.RequestId, f.Head.AttemptId
	if e.Outcome == wire.Outcome_OUTCOME_DONE {
		head := &wire.RunReplyHead{RequestId: f.Head.RequestId, AttemptId: f.Head.AttemptId, Status: 200}
		if err := stream.Send(&wire.RunReply{Head: head}); err != nil {
			return err
		}
	}
	return stream.Send(&wire.RunReply{End: e})
}

func (a *fakeAgent) Wait(ctx context.Context, t *wire.Ticket) (*wire.Slot, error) {
	if a.queue == nil {
		return a.DRPCAgentUnimplementedServer.Wait(ctx, t)
	}
	return a.queue.wait(ctx, a.id, t)
}

func (a *fakeAgent) Withdraw(_ context.Context, req *wire.WithdrawRequest) (*wire.WithdrawReply, error) {
	if a.queue != nil {
		a.queue.withdraw(req.Ticket)
	}
	return &wire.WithdrawReply{}, nil
}

func (a *fakeAgent) attempts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.heads)
}

// rig is a forwarder before fake agents.
type rig struct {
	fwd    *Forwarder
	pool   *table.Pool
	agents []*fakeAgent
	// ahead is how far the forwarder's clock is ahead of the real one.
	mu    sync.Mutex
	ahead time.Duration
}

func (r *rig) now() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Add(r.ahead)
}

func (r *rig) advance(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ahead += d
}

func newRig(t *testing.T, plugin string, retryPercent, agents int, end func(id string, h *wire.RunHead) *wire.RunEnd) *rig {
	t.Helper()
	r := &rig{pool: &table.Pool{Name: "lm", Route: plugin, RetryPercent: retryPercent}}
	sec := transport.Security{Secret: []byte("forward test")}
	conns := transport.NewPool(sec)
	r.fwd = New(conns, route.Place{Entry: "entry-1", Seed: 1}, r.now)
	ctx, cancel := context.WithCancel(context.Background())
	var ups []route.Upstream
	for i := range agents {
		a := &fakeAgent{id: fmt.Sprintf("up-%d", i), end: end}
		srv := transport.NewServer(sec)
		assert.NilError(t, wire.DRPCRegisterAgent(srv.Mux, a))
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go srv.Serve(ctx, lis)
		t.Cleanup(func() {
			_ = lis.Close()
			srv.Close()
		})
		r.agents = append(r.agents, a)
		ups = append(ups, route.Upstream{ID: a.id, Incarnation: 1, Address: lis.Addr().String()})
	}
	t.Cleanup(func() {
		conns.Close()
		cancel()
	})
	assert.NilError(t, r.fwd.Update(r.pool, ups))
	return r
}

// call sends one request and returns what became of it and what the caller got.
func (r *rig) call(idempotent bool) (Result, *caller) {
	c := &caller{}
	res := r.fwd.Do(context.Background(), &Call{
		Head: &wire.RunHead{RequestId: "q", Idempotent: idempotent, Method: "POST", Path: "/"},
		Pool: r.pool, Route: &route.Request{}, Deadline: r.now().Add(time.Minute), MaxAnswer: 1000,
	}, c)
	return res, c
}

func (r *rig) attempts() int {
	n := 0
	for _, a := range r.agents {
		n += a.attempts()
	}
	return n
}

func failing(o wire.Outcome) func(string, *wire.RunHead) *wire.RunEnd {
	return func(string, *wire.RunHead) *wire.RunEnd {
		return &wire.RunEnd{Outcome: o, Reason: wire.Reason_REASON_UPSTREAM_FAILED}
	}
}

func done() *wire.RunEnd {
	return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_DONE, Load: &wire.Load{Slots: 8}}
}

// Every upstream fails every request. Callers get refusals; were each request
// tried again and again, the upstreams would get several times the load just
// when they come back. Both kinds of failure are tried, with each plug-in.
func TestFullOutageIsNoRetryStorm(t *testing.T) {
	const requests = 500
	for _, plugin := range []string{"round-robin", "least-loaded", "prefix"} {
		for _, o := range []wire.Outcome{wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_UNKNOWN} {
			r := newRig(t, plugin, 10, 4, failing(o))
			for range requests {
				res, c := r.call(true)
				assert.Equal(t, res.Reason, wire.Reason_REASON_UPSTREAM_FAILED)
				assert.Equal(t, res.Outcome, o, "%s", res.Detail)
				assert.Equal(t, c.writes, 0)
			}
			got := r.attempts()
			assert.Assert(t, got >= requests && got <= requests*11/10, "%s: %d attempts for %d requests", plugin, got, requests)
		}
	}
}

// One upstream fails a request that may be repeated: it goes to another one, and
// the caller sees only the answer.
func TestIdempotentRequestGoesToAnotherUpstream(t *testing.T) {
	var first string
	r := newRig(t, "least-loaded", 100, 3, func(id string, _ *wire.RunHead) *wire.RunEnd {
		if first == "" {
			first = id
			return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_UPSTREAM_FAILED}
		}
		return done()
	})
	res, c := r.call(true)
	assert.Equal(t, res.Reason, wire.Reason(0))
	assert.Equal(t, c.status, uint32(200))
	for _, a := range r.agents {
		if a.id == first {
			assert.Equal(t, a.attempts(), 1)
		}
	}
	assert.Equal(t, r.attempts(), 2)
}

// A bid confirmation fails after it may have run. Sent again it might run twice:
// the caller is told "unknown" and nothing else is asked.
func TestDoubtfulRequestIsNotRepeated(t *testing.T) {
	r := newRig(t, "least-loaded", 100, 3, failing(wire.Outcome_OUTCOME_UNKNOWN))
	res, _ := r.call(false)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, r.attempts(), 1)
}

// An agent certifies that a bid confirmation was not run: it goes elsewhere. The
// next agent fails after it may have run: there it ends, in doubt.
func TestCertifiedNotRunGoesElsewhere(t *testing.T) {
	n := 0
	r := newRig(t, "least-loaded", 100, 3, func(string, *wire.RunHead) *wire.RunEnd {
		n++
		if n == 1 {
			return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_UPSTREAM_LEAVING}
		}
		return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_UPSTREAM_FAILED}
	})
	res, _ := r.call(false)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, len(res.Attempts), 2)
	assert.Assert(t, res.Attempts[0].Upstream != res.Attempts[1].Upstream)
}

// The deadline passes during the first attempt. The caller has given up: another
// attempt would be work for nobody.
func TestNoAttemptAfterTheDeadline(t *testing.T) {
	var r *rig
	r = newRig(t, "least-loaded", 100, 3, func(string, *wire.RunHead) *wire.RunEnd {
		r.advance(2 * time.Minute)
		return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_QUEUE_FULL}
	})
	res, _ := r.call(true)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, r.attempts(), 1)
}

// All agents are busier than the entry believed. The request moves on some
// times, then waits where it is least busy: it is not refused, and no retry is
// taken from the budget, which is empty here. It is not idempotent: a move is
// certified not run.
func TestBusierUpstreamIsLeftWithoutARetry(t *testing.T) {
	r := newRig(t, "least-loaded", 0, 4, func(_ string, h *wire.RunHead) *wire.RunEnd {
		l := &wire.Load{Seq: 100, Running: 8, Slots: 8}
		if h.NoWait {
			return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_QUEUE_FULL, Load: l}
		}
		return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_DONE, Load: l}
	})
	for _, a := range r.agents {
		r.fwd.Report(&wire.Report{Upstream: a.id, Incarnation: 1, Load: &wire.Load{Seq: 1, Running: 2, Slots: 8}})
	}
	res, c := r.call(false)
	assert.Equal(t, res.Reason, wire.Reason(0))
	assert.Equal(t, c.status, uint32(200))
	assert.Assert(t, r.attempts() > 1 && r.attempts() <= 1+maxMoves, "%d attempts", r.attempts())
}

// An agent that answers "busier" whatever it is asked can't make a request go
// round for ever, nor around the budget.
func TestMovesAreBounded(t *testing.T) {
	r := newRig(t, "least-loaded", 0, 8, func(_ string, h *wire.RunHead) *wire.RunEnd {
		return &wire.RunEnd{
			Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_QUEUE_FULL,
			Load: &wire.Load{Seq: 1, Running: 1000, Slots: 8},
		}
	})
	for _, a := range r.agents {
		r.fwd.Report(&wire.Report{Upstream: a.id, Incarnation: 1, Load: &wire.Load{Seq: 1, Running: 2, Slots: 8}})
	}
	res, _ := r.call(true)
	assert.Equal(t, res.Reason, wire.Reason_REASON_QUEUE_FULL)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Assert(t, r.attempts() <= 1+maxMoves, "%d attempts", r.attempts())
}

// heldTrial is a request under which upstreams have ended.
type heldTrial struct {
	mu sync.Mutex
	// may says whether it may be sent after so many runs.
	may   func(ran int) bool
	lives []string
}

func (h *heldTrial) MaySend(ran int) bool { return h.may(ran) }

func (h *heldTrial) Ended(_ route.Upstream, life string, _ time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives = append(h.lives, life)
}

// Each upstream ends under a request that may be repeated. Its caller is told "in doubt" after the
// one attempt that is left to it; before, four upstreams ended for one sending. One that may be
// sent nowhere reaches no agent and is refused as not run.
func TestRequestThatEndsUpstreamsIsNotSentOn(t *testing.T) {
	ends := func(id string, _ *wire.RunHead) *wire.RunEnd {
		return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_UPSTREAM_FAILED, EndedUpstream: id + "/1/0"}
	}
	for _, c := range []struct {
		may      func(ran int) bool
		attempts int
		outcome  wire.Outcome
		reason   wire.Reason
	}{
		{func(int) bool { return false }, 0, wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_QUARANTINED},
		{func(ran int) bool { return ran == 0 }, 1, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_UPSTREAM_FAILED},
		{func(ran int) bool { return ran < 2 }, 2, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_UPSTREAM_FAILED},
	} {
		r := newRig(t, "least-loaded", 100, 4, ends)
		trial := &heldTrial{may: c.may}
		res := r.fwd.Do(context.Background(), &Call{
			Head: &wire.RunHead{RequestId: "q", Idempotent: true, Method: "POST", Path: "/"},
			Pool: r.pool, Route: &route.Request{}, Deadline: r.now().Add(time.Minute), MaxAnswer: 1000, Trial: trial,
		}, &caller{})
		assert.Equal(t, r.attempts(), c.attempts)
		assert.Equal(t, len(trial.lives), c.attempts)
		assert.Equal(t, res.Outcome, c.outcome)
		assert.Equal(t, res.Reason, c.reason)
	}
}
