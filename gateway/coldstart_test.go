package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// Guards against more requests to a cold upstream in one second than it bears, summed over any number of
// gateways that all would send as much as they may.
func TestColdUpstreamIsNotOverrun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 40, 400, 5000}).Draw(t, "gateways")
		rate := rapid.IntRange(1, 60).Draw(t, "rate")
		limit := newColdLimit(&wire.RoutedService{ColdPerS: float64(rate), ColdStartMs: 3000})
		all := make([]coldUpstreams, count)
		var sent quota.Window
		for i := range all {
			all[i].limit = limit
			all[i].mark("u", start.Add(time.Minute))
		}
		total := 0
		for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(250 * time.Millisecond) {
			for i := range all {
				p := quota.Position{Index: i, Count: count}
				for !all[i].exhausted(now, p)["u"] {
					all[i].recordSend(now, "u", p)
					assert.Assert(t, sent.Take(now, time.Second, rate), "more than %d in a second", rate)
					total++
				}
			}
		}
		assert.Equal(t, total, 3*rate, "what the upstream bears is used")
	})
}

// Guards against cold upstreams of which all gateways would use the same few, and against a gateway that
// finds no upstream at all.
func TestColdUpstreamsAreSharedOut(t *testing.T) {
	limit := newColdLimit(&wire.RoutedService{ColdPerS: 26, ColdStartMs: 3000})
	for _, count := range []int{40, 400} {
		none := 0
		for i := range count {
			c := coldUpstreams{limit: limit}
			for u := range 72 {
				c.mark(fmt.Sprint("u", u), start.Add(time.Minute))
			}
			if len(c.exhausted(start, quota.Position{Index: i, Count: count})) == 72 {
				none++
			}
		}
		assert.Assert(t, none*20 <= count, "%d of %d gateways may use none", none, count)
	}
}

// Guards against a limit for upstreams that have become warm, and against a late report that shortens
// the time for which an upstream is cold.
func TestWarmUpstreamsAreNotLimited(t *testing.T) {
	c := coldUpstreams{limit: newColdLimit(&wire.RoutedService{ColdPerS: 1})}
	p := quota.Position{Count: 1}
	c.mark("u", start.Add(2*time.Second))
	c.mark("u", start.Add(time.Second))
	c.recordSend(start.Add(1900*time.Millisecond), "u", p)
	assert.Assert(t, c.exhausted(start.Add(1900*time.Millisecond), p)["u"])
	assert.Assert(t, !c.exhausted(start.Add(2*time.Second), p)["u"])
}

// Guards against a burst to upstreams that come back from an evacuation cold, before they report it.
func TestRestoredUpstreamsCountAsCold(t *testing.T) {
	f := newServiceManager(&Settings{ID: "e"})
	f.gateways = func() int { return 1 }
	f.setColdLimits(&wire.RoutingConfig{Services: []*wire.RoutedService{{Name: "llm", ColdPerS: 2, ColdStartMs: 3000}}})
	insts := ranksInDomains(4)
	assert.NilError(t, f.update(start, insts, evacuated(1, "x")))
	assert.NilError(t, f.update(start, insts, evacuated(2)))
	g := f.services["llm"].groups["g"]
	sent := map[string]int{}
	for range 200 {
		up, _, ok := f.pick(start, g, &route.Request{})
		assert.Assert(t, ok)
		sent[up.ID]++
	}
	assert.Assert(t, sent["r0"] <= 2 && sent["r2"] <= 2, "%v", sent)
}

// Guards against more requests to a cold upstream than it bears while gateways start one after another, and each
// divides the limit by the number that it knows so far.
func TestColdUpstreamIsNotOverrunWhileGatewaysChange(t *testing.T) {
	const rate, gateways = 26, 7
	all := make([]coldUpstreams, gateways)
	for i := range all {
		all[i].limit = newColdLimit(&wire.RoutedService{ColdPerS: rate, ColdStartMs: 3000})
		all[i].mark("u", start.Add(time.Minute))
	}
	var sent quota.Window
	for step := range 80 {
		now := start.Add(time.Duration(step) * 50 * time.Millisecond)
		up := min(step/2+1, gateways)
		for i := range up {
			p := quota.Position{Index: i, Count: up}
			for !all[i].exhausted(now, p)["u"] {
				all[i].recordSend(now, "u", p)
				assert.Assert(t, sent.Take(now, time.Second, rate), "more than %d in a second at step %d", rate, step)
			}
		}
	}
}
