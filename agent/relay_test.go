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

// relayFixture connects a forwarder to an agent and its upstream.
type relayFixture struct {
	agent       *agent.Agent
	connections *transport.Pool
	forwarder   *forward.Forwarder
	pool        *table.Pool
	address     string
}

func newRelayFixture(t *testing.T, upstream http.HandlerFunc) *relayFixture {
	t.Helper()
	return newRelayFixtureWith(t, upstream, func(*agent.Settings) {})
}

func newRelayFixtureWith(t *testing.T, upstream http.HandlerFunc, change func(*agent.Settings)) *relayFixture {
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
	r := &relayFixture{
		agent: a, connections: conns,
		pool: &table.Pool{Name: "p", Route: "least-loaded"}, address: a.Address(),
	}
	r.resetForwarder(t)
	return r
}

// resetForwarder replaces the forwarder by one without knowledge of earlier answers.
func (r *relayFixture) resetForwarder(t *testing.T) {
	t.Helper()
	r.forwarder = forward.New(r.connections, route.EntryInfo{ID: "e", FailureDomain: "hall-a"}, time.Now)
	r.setUpstreams(t, route.Upstream{ID: "up-1", Address: r.address, FailureDomain: "hall-a"})
}

func (r *relayFixture) setUpstreams(t *testing.T, ups ...route.Upstream) {
	t.Helper()
	assert.NilError(t, r.forwarder.Update(r.pool, ups))
}

// recordingCaller records the answer it gets.
type recordingCaller struct {
	head *wire.RunReplyHead
	body bytes.Buffer
}

func (c *recordingCaller) Begin(h *wire.RunReplyHead) error {
	if c.head != nil {
		return errors.New("more than one head")
	}
	c.head = h
	return nil
}

func (c *recordingCaller) Write(b []byte) error {
	c.body.Write(b)
	return nil
}

func (r *relayFixture) call(ctx context.Context, id, path string, body []byte) (*recordingCaller, forward.Result) {
	c := &recordingCaller{}
	res := r.forwarder.Do(ctx, &forward.Call{
		Head: &wire.RunHead{RequestId: id, Team: "t", Service: "s", Method: http.MethodPost, Path: path},
		Body: body, Pool: r.pool, Route: &route.Request{}, Deadline: time.Now().Add(time.Minute), MaxResponseBytes: 4 << 20,
	}, c)
	return c, res
}

func patternBytes(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(i * 7 / 3)
	}
	return b
}

// bodySizes covers the limits of a frame, of drpc's buffer and of several frames.
var bodySizes = []int{0, 1, 4095, 4096, 4097, transport.BodyFrame - 1, transport.BodyFrame, transport.BodyFrame + 1, 3*transport.BodyFrame + 17, 1 << 20}

// Request and answer bodies of every size must arrive unchanged, streamed or not, on
// reused connections.
func TestBodiesOfAnySizeAreRelayedIntact(t *testing.T) {
	r := newRelayFixture(t, func(w http.ResponseWriter, q *http.Request) {
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
		for _, n := range bodySizes {
			want := patternBytes(n)
			c, res := r.call(context.Background(), path+strconv.Itoa(n), path, want)
			assert.Equal(t, res.Reason, wire.Reason(0), "%s %d: %s", path, n, res.Detail)
			assert.Equal(t, c.head.Status, uint32(http.StatusCreated))
			assert.Assert(t, bytes.Equal(c.body.Bytes(), want), "%s %d", path, n)
		}
	}
}

// The upstream fails in the middle of its answer. The caller must get nothing of an
// unstreamed answer and must be told that a stream is truncated.
func TestTruncatedAnswerIsReported(t *testing.T) {
	r := newRelayFixture(t, func(w http.ResponseWriter, q *http.Request) {
		n, _ := strconv.Atoi(q.URL.Query().Get("n"))
		if q.URL.Path == "/stream" {
			w.Header().Set("Content-Type", "text/event-stream")
		} else {
			w.Header().Set("Content-Length", strconv.Itoa(n+1))
		}
		_, _ = w.Write(patternBytes(n))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	for _, path := range []string{"/whole", "/stream"} {
		for _, n := range bodySizes {
			c, res := r.call(context.Background(), path+strconv.Itoa(n), path+"?n="+strconv.Itoa(n), nil)
			assert.Assert(t, res.Reason != 0, "%s %d", path, n)
			assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_UNKNOWN, "%s %d", path, n)
			if path == "/whole" {
				assert.Assert(t, c.head == nil && c.body.Len() == 0 && !res.StreamBegun, "%s %d", path, n)
				continue
			}
			assert.Assert(t, bytes.HasPrefix(patternBytes(n), c.body.Bytes()), "%s %d", path, n)
		}
	}
}

// A caller cancels while the upstream works. The upstream's request must be canceled, and
// the next call must get its own answer.
func TestCallerCancellationReachesUpstream(t *testing.T) {
	began, left := make(chan struct{}, 1), make(chan struct{})
	r := newRelayFixture(t, func(w http.ResponseWriter, q *http.Request) {
		switch q.URL.Path {
		case "/next":
			_, _ = io.WriteString(w, "mine")
			return
		case "/wait":
		default:
			// The agent polls the load on its own; that is not a request of a caller.
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

// Calls still go to failed agents whose leases have not expired. No connection is made, so
// nothing ran: each call must be answered by the remaining agent, also if it is unsafe,
// and without a retry budget.
func TestDeadAgentIsSkipped(t *testing.T) {
	r := newRelayFixture(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "mine") })
	dead, release, err := fake.ReservePort()
	assert.NilError(t, err)
	t.Cleanup(release)
	r.setUpstreams(t,
		route.Upstream{ID: "dead-1", Address: dead, FailureDomain: "hall-a"},
		route.Upstream{ID: "dead-2", Address: dead, FailureDomain: "hall-a"},
		route.Upstream{ID: "up-1", Address: r.address, FailureDomain: "hall-a"},
	)
	deadAttempts := 0
	for i := range 50 {
		c, res := r.call(context.Background(), "q"+strconv.Itoa(i), "/", nil)
		assert.Equal(t, res.Reason, wire.Reason(0), res.Detail)
		assert.Equal(t, c.body.String(), "mine")
		deadAttempts += len(res.Attempts)
	}
	assert.Assert(t, deadAttempts > 0, "no call was sent to a dead agent, so the test checks nothing")
	r.setUpstreams(t, route.Upstream{ID: "dead-1", Address: dead, FailureDomain: "hall-a"})
	_, res := r.call(context.Background(), "none", "/", nil)
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	assert.Assert(t, res.Reason != 0)
}
