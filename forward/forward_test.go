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

// fakeAgent is an agent without an upstream.
type fakeAgent struct {
	wire.DRPCAgentUnimplementedServer
	id string
	// end returns the end of an attempt; nil breaks the stream.
	end func(id string, h *wire.RunHead) *wire.RunEnd
	// queue handles tickets; if it is nil, the agent does not support them.
	queue *busyAgents

	mu    sync.Mutex
	heads []*wire.RunHead
}

// errCrashed breaks the stream of an agent that crashes.
var errCrashed = errors.New("agent crashed")

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
		return errCrashed
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

// harness is a forwarder with a pool of fake agents.
type harness struct {
	fwd    *Forwarder
	pool   *table.Pool
	agents []*fakeAgent

	mu sync.Mutex
	// clockOffset is added to the real time by the forwarder's clock.
	clockOffset time.Duration
}

func (r *harness) now() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Add(r.clockOffset)
}

func (r *harness) advance(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clockOffset += d
}

func newHarness(t *testing.T, plugin string, retryPercent, agents int, end func(id string, h *wire.RunHead) *wire.RunEnd) *harness {
	t.Helper()
	r := &harness{pool: &table.Pool{Name: "lm", Route: plugin, RetryPercent: retryPercent}}
	sec := transport.Security{Secret: []byte("forward test")}
	conns := transport.NewPool(sec)
	r.fwd = New(conns, route.EntryInfo{ID: "entry-1", Seed: 1}, r.now)
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

// call forwards a request and returns its result and the response that the sink received.
func (r *harness) call(idempotent bool) (Result, *recordingSink) {
	sink := &recordingSink{}
	res := r.fwd.Do(context.Background(), &Call{
		Head: &wire.RunHead{RequestId: "q", Idempotent: idempotent, Method: "POST", Path: "/"},
		Pool: r.pool, Route: &route.Request{}, Deadline: r.now().Add(time.Minute), MaxResponseBytes: 1000,
	}, sink)
	return res, sink
}

// attempts returns the number of attempts at all agents.
func (r *harness) attempts() int {
	n := 0
	for _, a := range r.agents {
		n += a.attempts()
	}
	return n
}

func failWith(o wire.Outcome) func(string, *wire.RunHead) *wire.RunEnd {
	return func(string, *wire.RunHead) *wire.RunEnd {
		return &wire.RunEnd{Outcome: o, Reason: wire.Reason_REASON_UPSTREAM_FAILED}
	}
}

func doneEnd() *wire.RunEnd {
	return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_DONE, Load: &wire.Load{Slots: 8}}
}

// If all upstreams fail, the retry budget must bound the number of attempts, for both
// outcomes of a failure and all balancers.
func TestRetriesAreBoundedDuringOutage(t *testing.T) {
	const requests = 500
	for _, plugin := range []string{"round-robin", "least-loaded", "prefix"} {
		for _, o := range []wire.Outcome{wire.Outcome_OUTCOME_NOT_RUN, wire.Outcome_OUTCOME_UNKNOWN} {
			r := newHarness(t, plugin, 10, 4, failWith(o))
			for range requests {
				res, sink := r.call(true)
				assert.Equal(t, res.Reason, wire.Reason_REASON_UPSTREAM_FAILED)
				assert.Equal(t, res.Outcome, o, "%s", res.Detail)
				assert.Equal(t, sink.writes, 0)
			}
			got := r.attempts()
			assert.Assert(t, got >= requests && got <= requests*11/10, "%s: %d attempts for %d requests", plugin, got, requests)
		}
	}
}

// An idempotent request that fails must be retried at another upstream, and the caller
// must only see the response to the retry.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	var first string
	r := newHarness(t, "least-loaded", 100, 3, func(id string, _ *wire.RunHead) *wire.RunEnd {
		if first == "" {
			first = id
			return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_UPSTREAM_FAILED}
		}
		return doneEnd()
	})
	res, sink := r.call(true)
	assert.Equal(t, res.Reason, wire.Reason(0))
	assert.Equal(t, sink.status, uint32(200))
	for _, a := range r.agents {
		if a.id == first {
			assert.Equal(t, a.attempts(), 1)
		}
	}
	assert.Equal(t, r.attempts(), 2)
}

// A non-idempotent request that may have been executed must not be retried; its outcome
// is unknown.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	r := newHarness(t, "least-loaded", 100, 3, failWith(wire.Outcome_OUTCOME_UNKNOWN))
	res, _ := r.call(false)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, r.attempts(), 1)
}

// A non-idempotent request that was certainly not executed must be retried at another
// upstream, but not once it may have been executed there.
func TestNotRunAttemptIsRetriedElsewhere(t *testing.T) {
	n := 0
	r := newHarness(t, "least-loaded", 100, 3, func(string, *wire.RunHead) *wire.RunEnd {
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

// A request must not be retried after its deadline.
func TestNoRetryAfterDeadline(t *testing.T) {
	var r *harness
	r = newHarness(t, "least-loaded", 100, 3, func(string, *wire.RunHead) *wire.RunEnd {
		r.advance(2 * time.Minute)
		return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_QUEUE_FULL}
	})
	res, _ := r.call(true)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, r.attempts(), 1)
}

// A request that finds no free slots must be rerouted and then queue, even if it is not
// idempotent and the retry budget is empty: the refused attempts were not executed.
func TestReroutesNeedNoRetryBudget(t *testing.T) {
	r := newHarness(t, "least-loaded", 0, 4, func(_ string, h *wire.RunHead) *wire.RunEnd {
		l := &wire.Load{Seq: 100, Running: 8, Slots: 8}
		if h.NoWait {
			return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_QUEUE_FULL, Load: l}
		}
		return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_DONE, Load: l}
	})
	for _, a := range r.agents {
		r.fwd.Report(&wire.Report{Upstream: a.id, Incarnation: 1, Load: &wire.Load{Seq: 1, Running: 2, Slots: 8}})
	}
	res, sink := r.call(false)
	assert.Equal(t, res.Reason, wire.Reason(0))
	assert.Equal(t, sink.status, uint32(200))
	assert.Assert(t, r.attempts() > 1 && r.attempts() <= 1+maxReroutes, "%d attempts", r.attempts())
}

// Agents that refuse every attempt for lack of a slot must not cause an unbounded number
// of attempts.
func TestReroutesAreBounded(t *testing.T) {
	r := newHarness(t, "least-loaded", 0, 8, func(_ string, h *wire.RunHead) *wire.RunEnd {
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
	assert.Assert(t, r.attempts() <= 1+maxReroutes, "%d attempts", r.attempts())
}

// recordingGuard records the upstream instances that ended.
type recordingGuard struct {
	mu sync.Mutex
	// maySend implements MaySend.
	maySend func(ran int) bool
	crashed []string
}

func (h *recordingGuard) MaySend(ran int) bool { return h.maySend(ran) }

func (h *recordingGuard) UpstreamEnded(_ route.Upstream, incarnation string, _ time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashed = append(h.crashed, incarnation)
}

// A request during which upstreams end must make only as many attempts as its Guard allows. Its
// outcome is then unknown, or "not run" with the reason "quarantined" if no attempt was allowed.
func TestGuardLimitsAttempts(t *testing.T) {
	crash := func(id string, _ *wire.RunHead) *wire.RunEnd {
		return &wire.RunEnd{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_UPSTREAM_FAILED, EndedUpstream: id + "/1/0"}
	}
	for _, c := range []struct {
		maySend  func(ran int) bool
		attempts int
		outcome  wire.Outcome
		reason   wire.Reason
	}{
		{func(int) bool { return false }, 0, wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_QUARANTINED},
		{func(ran int) bool { return ran == 0 }, 1, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_UPSTREAM_FAILED},
		{func(ran int) bool { return ran < 2 }, 2, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_UPSTREAM_FAILED},
	} {
		r := newHarness(t, "least-loaded", 100, 4, crash)
		guard := &recordingGuard{maySend: c.maySend}
		res := r.fwd.Do(context.Background(), &Call{
			Head: &wire.RunHead{RequestId: "q", Idempotent: true, Method: "POST", Path: "/"},
			Pool: r.pool, Route: &route.Request{}, Deadline: r.now().Add(time.Minute), MaxResponseBytes: 1000, Guard: guard,
		}, &recordingSink{})
		assert.Equal(t, r.attempts(), c.attempts)
		assert.Equal(t, len(guard.crashed), c.attempts)
		assert.Equal(t, res.Outcome, c.outcome)
		assert.Equal(t, res.Reason, c.reason)
	}
}
