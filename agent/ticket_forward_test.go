package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/forward"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/transport"
	"github.com/snipereach/snipereach/wire"
)

// testCluster connects a forwarder to agents with one slot each. A call runs until the
// test ends it through finishRun of its agent.
type testCluster struct {
	forwarder *forward.Forwarder
	pool      *table.Pool
	agents    []*Agent
	finishRun []chan struct{}

	mu sync.Mutex
	// runCounts is the number of runs by path.
	runCounts map[string]int
}

func newTestCluster(t *testing.T, n int) *testCluster {
	sec := transport.Security{Secret: []byte("a secret of the tests")}
	conns := transport.NewPool(sec)
	t.Cleanup(conns.Close)
	f := &testCluster{
		forwarder: forward.New(conns, route.EntryInfo{ID: "e", Seed: 1}, time.Now),
		pool:      &table.Pool{Name: "p", Route: "least-loaded"}, runCounts: map[string]int{},
	}
	ups := make([]route.Upstream, n)
	over := make(chan struct{})
	defer t.Cleanup(func() { close(over) })
	for i := range n {
		finish := make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.Method != http.MethodPost {
				http.NotFound(w, q)
				return
			}
			f.mu.Lock()
			f.runCounts[q.URL.Path]++
			f.mu.Unlock()
			select {
			case <-finish:
			case <-over:
			}
		}))
		t.Cleanup(srv.Close)
		set := DefaultSettings()
		set.ID, set.FailureDomain, set.ClusterSecret = "up-"+string(rune('a'+i)), "hall-a", "a secret of the tests"
		set.Kind, set.Pools, set.AnnounceTo = "plain", []string{"p"}, []string{"127.0.0.1:1"}
		set.Upstream, set.Slots, set.UrgentPercent = map[string]any{"url": srv.URL}, 1, 0
		a, err := New(set, log.NewNopLogger())
		assert.NilError(t, err)
		assert.NilError(t, a.Start(context.Background()))
		t.Cleanup(func() { a.Stop() })
		f.agents, f.finishRun = append(f.agents, a), append(f.finishRun, finish)
		ups[i] = route.Upstream{ID: set.ID, Address: a.Address(), FailureDomain: "hall-a"}
	}
	assert.NilError(t, f.forwarder.Update(f.pool, ups))
	return f
}

type discardCaller struct{}

func (discardCaller) Begin(*wire.RunReplyHead) error { return nil }
func (discardCaller) Write([]byte) error             { return nil }

func (f *testCluster) call(ctx context.Context, path string) <-chan forward.Result {
	done := make(chan forward.Result, 1)
	go func() {
		done <- f.forwarder.Do(ctx, &forward.Call{
			Head: &wire.RunHead{RequestId: path, Team: "t", Service: "s", Method: http.MethodPost, Path: path},
			Pool: f.pool, Route: &route.Request{}, Deadline: time.Now().Add(time.Minute), MaxResponseBytes: 4 << 20,
		}, discardCaller{})
	}()
	return done
}

// waitUntil polls until a condition holds.
func (f *testCluster) waitUntil(state func() bool) {
	for !state() {
		time.Sleep(time.Millisecond)
	}
}

func (f *testCluster) runCount(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runCounts[path]
}

// ticketCounts returns the number of tickets at each agent.
func (f *testCluster) ticketCounts() []int {
	list := make([]int, len(f.agents))
	for i, a := range f.agents {
		waiting, held := a.tickets.counts()
		list[i] = waiting + held
	}
	return list
}

func (f *testCluster) fillSlots(ctx context.Context) {
	for _, path := range []string{"/1", "/2", "/3"}[:len(f.agents)] {
		f.call(ctx, path)
		f.waitUntil(func() bool { return f.runCount(path) == 1 })
	}
}

// All upstreams are full, so a request waits at each of them. It must run once, at the
// first that has a free slot, and its other tickets must be withdrawn.
func TestRequestRunsOnceAtFirstFreeSlot(t *testing.T) {
	f := newTestCluster(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.fillSlots(ctx)
	done := f.call(ctx, "/x")
	f.waitUntil(func() bool { n := f.ticketCounts(); return n[0] == 1 && n[1] == 1 && n[2] == 1 })
	assert.Equal(t, f.runCount("/x"), 0)
	f.finishRun[1] <- struct{}{}
	f.waitUntil(func() bool { return f.runCount("/x") == 1 })
	f.waitUntil(func() bool { n := f.ticketCounts(); return n[0] == 0 && n[1] == 0 && n[2] == 0 })
	f.finishRun[1] <- struct{}{}
	res := <-done
	assert.Equal(t, res.Reason, wire.Reason(0), "%s", res.Detail)
	assert.Equal(t, f.runCount("/x"), 1)
}

// A caller cancels while its request waits. Its tickets must end with the connection, as
// their slots would be held for nobody.
func TestTicketsEndWhenCallerCancels(t *testing.T) {
	f := newTestCluster(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.fillSlots(ctx)
	leaving, leave := context.WithCancel(ctx)
	done := f.call(leaving, "/x")
	f.waitUntil(func() bool { n := f.ticketCounts(); return n[0] == 1 && n[1] == 1 })
	leave()
	res := <-done
	assert.Equal(t, res.Outcome, wire.Outcome_OUTCOME_NOT_RUN)
	f.waitUntil(func() bool { n := f.ticketCounts(); return n[0] == 0 && n[1] == 0 })
	assert.Equal(t, f.runCount("/x"), 0)
}

// A request waits at two agents, and one of them leaves. The request must neither delay
// that agent's stop nor be refused, but keep waiting at the other.
func TestRequestKeepsWaitingElsewhereWhenAgentLeaves(t *testing.T) {
	f := newTestCluster(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.fillSlots(ctx)
	done := f.call(ctx, "/x")
	f.waitUntil(func() bool { n := f.ticketCounts(); return n[0] == 1 && n[1] == 1 })
	f.agents[0].tickets.close()
	assert.Equal(t, f.ticketCounts()[0], 0)
	f.finishRun[1] <- struct{}{}
	f.waitUntil(func() bool { return f.runCount("/x") == 1 })
	f.finishRun[1] <- struct{}{}
	res := <-done
	assert.Equal(t, res.Reason, wire.Reason(0), "%s", res.Detail)
}
