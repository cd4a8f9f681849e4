package agent_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/agent"
	"github.com/snipereach/snipereach/fake"
	"github.com/snipereach/snipereach/forward"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

const testSecret = "a secret of the tests"

// relay is a forwarder, an agent and an upstream.
type relay struct {
	agent   *agent.Agent
	conns   *transport.Pool
	fwd     *forward.Forwarder
	pool    *table.Pool
	address string
}

func newRelay(t *testing.T, upstream http.HandlerFunc) *relay {
	t.Helper()
	return newRelayWith(t, upstream, func(*agent.Settings) {})
}

func newRelayWith(t *testing.T, upstream http.HandlerFunc, change func(*agent.Settings)) *relay {
	t.Helper()
	srv := httptest.NewServer(upstream)
	t.Cleanup(srv.Close)
	set := agent.DefaultSettings()
	set.ID, set.FailureDomain, set.ClusterSecret = "up-1", "hall-a", testSecret
	set.Kind, set.Pools, set.AnnounceTo = "plain", []string{"p"}, []string{"127.0.0.1:1"}
	set.Upstream = map[string]any{"url": srv.URL}
	change(set)
	a, err := agent.New(set, log.NewNopLogger())
	assert.NilError(t, err)
	assert.NilError(t, a.Start(context.Background()))
	t.Cleanup(func() { a.Stop() })
	conns := transport.NewPool(transport.Security{Secret: []byte(testSecret)})
	t.Cleanup(conns.Close)
	r := &relay{
		agent: a, conns: conns,
		pool: &table.Pool{Name: "p", Route: "least-loaded"}, address: a.Address(),
	}
	r.forget(t)
	return r
}

// forget takes a new forwarder, which knows nothing of earlier answers.
func (r *relay) forget(t *testing.T) {
	t.Helper()
	r.fwd = forward.New(r.conns, route.Place{Entry: "e", FailureDomain: "hall-a"}, time.Now)
	r.set(t, route.Upstream{ID: "up-1", Address: r.address, FailureDomain: "hall-a"})
}

func (r *relay) set(t *testing.T, ups ...route.Upstream) {
	t.Helper()
	assert.NilError(t, r.fwd.Update(r.pool, ups))
}

// caller keeps what reaches it.
type caller struct {
	head *wire.RunReplyHead
	body bytes.Buffer
}

func (c *caller) Begin(h *wire.RunReplyHead) error {
	if c.head != nil {
		return errors.New("second head")
	}
	c.head = h
	return nil
}

func (c *caller) Write(b []byte) error {
	c.body.Write(b)
	return nil
}

func (r *relay) call(ctx context.Context, id, path string, body []byte) (*caller, forward.Result) {
	c := &caller{}
	res := r.fwd.Do(ctx, &forward.Call{
		Head: &wire.RunHead{RequestId: id, Team: "t", Service: "s", Method: http.MethodPost, Path: path},
		Body: body, Pool: r.pool, Route: &route.Request{}, Deadline: time.Now().Add(time.Minute), MaxAnswer: 4 << 20,
	}, c)
	return c, res
}

func pattern(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i * 7 / 3)
	}
	return b
}

// sizes lie around the bounds of a frame, of drpc's buffer and of several frames.
var sizes = []int{0, 1, 4095, 4096, 4097, transport.BodyFrame - 1, transport.BodyFrame, transport.BodyFrame + 1, 3*transport.BodyFrame + 17, 1 << 20}

// Bodies of every size go out and come back whole, streamed or not, one after
// another on the same connections.
func TestBodiesOfAnySizeAreWhole(t *testing.T) {
	r := newRelay(t, func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if q.URL.Path == "/stream" {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		w.WriteHeader(http.StatusCreated)
		half := len(body) / 2
		_, _ = w.Write(body[:half])
		_ = http.NewResponseController(w).Flush()
		_, _ = w.Write(body[half:])
	})
	for _, path := range []string{"/whole", "/stream"} {
		for _, n := range sizes {
			want := pattern(n)
			c, res := r.call(context.Background(), path+strconv.Itoa(n), path, want)
			assert.Equal(t, res.Reason, wire.Reason(0), "%s %d: %s", path, n, res.Detail)
			assert.Equal(t, c.head.Status, uint32(http.StatusCreated))
			assert.Assert(t, bytes.Equal(c.body.Bytes(), want), "%s %d", path, n)
		}
	}
}

// The upstream dies in the middle of its answer, wherever that is. The caller has
// nothing of an unstreamed answer, and of a stream it is told that it was cut; the
// next call on the connection is answered.
func TestCutAnswerIsNeverWhole(t *testing.T) {
	r := newRelay(t, func(w http.ResponseWriter, q *http.Request) {
		n, _ := strconv.Atoi(q.URL.Query().Get("n"))
		if q.URL.Path == "/stream" {
			w.Header().Set("Content-Type", "text/event-stream")
		} else {
			w.Header().Set("Content-Length", strconv.Itoa(n+1))
		}
		_, _ = w.Write(pattern(n))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	for _, path := range []string{"/whole", "/stream"} {
		for _, n := range sizes {
			c, res := r.call(context.Background(), path+strconv.Itoa(n), path+"?n="+strconv.Itoa(n), nil)
			assert.Assert(t, res.Reason != 0, "%s %d", path, n)
			assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_UNKNOWN, "%s %d", path, n)
			if path == "/whole" {
				assert.Assert(t, c.head == nil && c.body.Len() == 0 && !res.Begun, "%s %d", path, n)
				continue
			}
			assert.Assert(t, bytes.HasPrefix(pattern(n), c.body.Bytes()), "%s %d", path, n)
		}
	}
}

// A caller leaves while the upstream works: the upstream is told, and the
// connection serves the next caller with its own answer.
func TestCallerThatLeavesCancelsUpstream(t *testing.T) {
	began, left := make(chan struct{}, 1), make(chan struct{})
	r := newRelay(t, func(w http.ResponseWriter, q *http.Request) {
		switch q.URL.Path {
		case "/next":
			_, _ = io.WriteString(w, "mine")
			return
		case "/wait":
		default:
			// The agent asks for the load by itself; that is no request of a caller.
			http.NotFound(w, q)
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		began <- struct{}{}
		<-q.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	c, res := r.call(ctx, "first", "/wait", []byte("x"))
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_UNKNOWN)
	assert.Assert(t, c.head == nil)
	<-left
	c, res = r.call(context.Background(), "second", "/next", nil)
	assert.Equal(t, res.Reason, wire.Reason(0), res.Detail)
	assert.Equal(t, c.body.String(), "mine")
}

// Agents have died and their leases have not ended, so calls still go to them. No
// connection comes about, so nothing ran: each caller is answered by the agent that
// is left, also calls that may not be repeated, and with no retry budget.
func TestDeadAgentCostsNoAnswer(t *testing.T) {
	r := newRelay(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "mine") })
	dead, release, err := fake.HoldPort()
	assert.NilError(t, err)
	t.Cleanup(release)
	r.set(t,
		route.Upstream{ID: "dead-1", Address: dead, FailureDomain: "hall-a"},
		route.Upstream{ID: "dead-2", Address: dead, FailureDomain: "hall-a"},
		route.Upstream{ID: "up-1", Address: r.address, FailureDomain: "hall-a"},
	)
	met := 0
	for i := range 50 {
		c, res := r.call(context.Background(), "q"+strconv.Itoa(i), "/", nil)
		assert.Equal(t, res.Reason, wire.Reason(0), res.Detail)
		assert.Equal(t, c.body.String(), "mine")
		met += len(res.Attempts)
	}
	assert.Assert(t, met > 0, "no call met a dead agent: the test shows nothing")
	r.set(t, route.Upstream{ID: "dead-1", Address: dead, FailureDomain: "hall-a"})
	_, res := r.call(context.Background(), "none", "/", nil)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Assert(t, res.Reason != 0)
}
