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

// A request at a gateway without configuration waits until the gateway is ready: for a third of
// its time at most, and not beyond the start phase.
func TestRequestsWaitDuringWarmup(t *testing.T) {
	cases := []struct {
		name        string
		came, left  time.Duration
		warm        time.Duration
		served      bool
		waitsAtMost time.Duration
	}{
		{"served once ready", 0, 8 * time.Second, time.Second, true, time.Second},
		{"a third of a short deadline", 0, 600 * time.Millisecond, time.Second, false, 200 * time.Millisecond},
		{"start takes too long", 0, 30 * time.Second, time.Minute, false, warmupLimit},
		{"unknown deadline", 0, 0, time.Minute, false, warmupLimit},
		{"late arrival", 2 * time.Second, 8 * time.Second, time.Minute, false, 500 * time.Millisecond},
		{"arrival after the start phase", 3 * time.Second, 8 * time.Second, time.Minute, false, 0},
		{"already ready", 3 * time.Second, 8 * time.Second, time.Second, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWarmup(time.Now())
				var warm atomic.Bool
				timer := time.AfterFunc(c.warm, func() {
					warm.Store(true)
					w.notify()
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

// Beyond maxWarming waiting requests others are refused at once. A request that leaves makes
// room.
func TestWarmupWaitersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWarmup(time.Now())
		ctx, leave := context.WithCancel(context.Background())
		for range maxWarming {
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
			w.notify()
		})
		assert.Assert(t, w.wait(context.Background(), time.Minute, warm.Load))
	})
}

// A request waits for upstreams of its own service only, and while its group is down: admitted
// before, all waiting requests would be refused together.
func TestServesOnlyWithLiveGroup(t *testing.T) {
	c := newSlowRankGateway(t, 0, 1)
	assert.Assert(t, !c.services.serves("clock"), "no upstream has registered")
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
	assert.NilError(t, c.services.update(now, known(1, true), updateInputs{}))
	assert.Assert(t, c.services.serves("clock"))
	assert.Assert(t, !c.services.serves("llm"), "the group is down")
	assert.NilError(t, c.services.update(now, known(2, false), updateInputs{}))
	assert.Assert(t, c.services.serves("llm"))
}
