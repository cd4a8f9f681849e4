package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// fullServiceManager returns a manager with one plain service whose single permit is taken.
func fullServiceManager(t *testing.T) *serviceManager {
	f := newServiceManager(&Settings{ID: "e"})
	f.gateways = func() int { return 5 }
	assert.NilError(t, f.update(time.Now(), []*directory.Instance{{Announcement: &wire.Announcement{
		Id: "u", Address: "127.0.0.1:1", Pools: []string{"plain"}, Phase: wire.Phase_PHASE_UP, Direct: &wire.DirectUpstream{Slots: 1},
	}}}, updateInputs{}))
	assert.Assert(t, f.acquire(context.Background(), "plain", patientWaiter()).ok)
	return f
}

// releaseOne releases one permit of the service.
func (f *serviceManager) releaseOne() { f.release(f.services["plain"].sorted[0], time.Second) }

func patientWaiter() *waiter {
	now := time.Now()
	return &waiter{onTimeBy: now.Add(10 * time.Second), giveUpAt: now.Add(10 * time.Second), admitted: make(chan struct{})}
}

func (f *serviceManager) queued() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.services["plain"].queue.waiters)
}

// A queued request leaves the queue when its caller leaves or its giveUpAt passes, and is
// admitted when a permit is released. If the caller leaves at that moment, the permit goes to the
// next request.
func TestQueuedRequestsGetReleasedPermits(t *testing.T) {
	f := fullServiceManager(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan admission, 3)
	go func() { results <- f.acquire(ctx, "plain", patientWaiter()) }()
	brief := patientWaiter()
	brief.giveUpAt = time.Now().Add(50 * time.Millisecond)
	go func() { results <- f.acquire(context.Background(), "plain", brief) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.queued() == 2 {
			return poll.Success()
		}
		return poll.Continue("%d queued", f.queued())
	}, poll.WithDelay(time.Millisecond))
	cancel()
	for range 2 {
		assert.Assert(t, !(<-results).ok)
	}
	assert.Equal(t, f.queued(), 0)

	go func() { results <- f.acquire(context.Background(), "plain", patientWaiter()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.queued() == 1 {
			return poll.Success()
		}
		return poll.Continue("%d queued", f.queued())
	}, poll.WithDelay(time.Millisecond))
	f.releaseOne()
	a := <-results
	assert.Assert(t, a.ok && a.waited > 0)
	f.releaseOne()

	gone, leave := context.WithCancel(context.Background())
	leave()
	assert.Assert(t, !f.acquire(gone, "plain", patientWaiter()).ok)
	assert.Assert(t, f.acquire(context.Background(), "plain", patientWaiter()).ok, "the permit was not released")
}
