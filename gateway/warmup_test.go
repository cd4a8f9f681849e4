package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// All processes of the system have lost power. A caller comes back to a gateway that has
// no configuration yet, and has no other try left: it waits, and is served as soon as
// the gateway knows what to do. It waits for a third of its time at most, never beyond
// the time that a start takes, and not at all once that is over.
func TestCallersWaitForAGatewayThatStarts(t *testing.T) {
	cases := []struct {
		name        string
		came, left  time.Duration
		warm        time.Duration
		served      bool
		waitsAtMost time.Duration
	}{
		{"served once it knows", 0, 8 * time.Second, time.Second, true, time.Second},
		{"a third of a short time", 0, 600 * time.Millisecond, time.Second, false, 200 * time.Millisecond},
		{"the start takes too long", 0, 30 * time.Second, time.Minute, false, warmupLimit},
		{"a time that isn't known", 0, 0, time.Minute, false, warmupLimit},
		{"came late", 2 * time.Second, 8 * time.Second, time.Minute, false, 500 * time.Millisecond},
		{"came after the start", 3 * time.Second, 8 * time.Second, time.Minute, false, 0},
		{"knows it already", 3 * time.Second, 8 * time.Second, time.Second, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWarmup(time.Now())
				var warm atomic.Bool
				timer := time.AfterFunc(c.warm, func() {
					warm.Store(true)
					w.learned()
				})
				defer timer.Stop()
				time.Sleep(c.came)
				came := time.Now()
				assert.Equal(t, w.wait(context.Background(), w.limit(came, c.left), warm.Load), c.served)
				assert.Equal(t, time.Since(came), c.waitsAtMost)
				assert.Equal(t, w.waiting.Load(), int64(0))
			})
		})
	}
}

// A crowd that comes back at once must not fill the memory: beyond a bound callers are
// refused as before. One that leaves makes room.
func TestWaitingCallersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWarmup(time.Now())
		ctx, leave := context.WithCancel(context.Background())
		for range mostWarming {
			go w.wait(ctx, time.Minute, func() bool { return false })
		}
		synctest.Wait()
		came := time.Now()
		assert.Assert(t, !w.wait(context.Background(), time.Minute, func() bool { return false }))
		assert.Equal(t, time.Since(came), time.Duration(0))
		leave()
		synctest.Wait()
		var warm atomic.Bool
		time.AfterFunc(time.Millisecond, func() {
			warm.Store(true)
			w.learned()
		})
		assert.Assert(t, w.wait(context.Background(), time.Minute, warm.Load))
	})
}

// A caller waits for its own service only: another one without upstreams is no reason.
// With a group that is still down, those that waited would be refused together half a
// second before it is back.
func TestServiceCanBeCalledOnceItsGroupIsBack(t *testing.T) {
	c := newSlowCase(t, 0, 1)
	assert.Assert(t, !c.fleet.serves("clock"), "nobody has registered for it")
	now := time.Now()
	known := func(epoch uint64, broken bool) []*directory.Instance {
		return []*directory.Instance{
			{Announcement: &wire.Announcement{
				Id: "r0", Group: "g", Pools: []string{"llm"}, Phase: wire.Phase_PHASE_UP,
				Direct: &wire.DirectUpstream{Slots: 12, GroupEpoch: epoch, GroupBroken: broken},
			}},
			{Announcement: &wire.Announcement{
				Id: "c0", Pools: []string{"clock"}, Phase: wire.Phase_PHASE_UP, Direct: &wire.DirectUpstream{Slots: 6},
			}},
		}
	}
	assert.NilError(t, c.fleet.update(now, known(1, true)))
	assert.Assert(t, c.fleet.serves("clock"))
	assert.Assert(t, !c.fleet.serves("llm"), "the group is down")
	assert.NilError(t, c.fleet.update(now, known(2, false)))
	assert.Assert(t, c.fleet.serves("llm"))
}
