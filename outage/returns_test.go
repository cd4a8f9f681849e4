package outage

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against callers of all priorities and gateways that come back at the same moment: the most
// urgent come first, and those of one priority evenly over their part, over all gateways together.
func TestReturnsAreSpreadByPriority(t *testing.T) {
	const gateways, perGateway = 40, 60
	rng := rand.New(rand.NewPCG(1, 2))
	f := in(2*time.Second, 2*time.Second)
	var positions [3][]float64
	for range gateways {
		var r Returns
		for i := range perGateway {
			now := start.Add(2 * time.Second * time.Duration(i) / perGateway)
			priority := uint32(i % 3)
			p := r.Position(now, f, priority, rng.Float64())
			r.Record(now, f, priority)
			if i >= perGateway/2 {
				positions[priority] = append(positions[priority], p)
			}
		}
	}
	// Each gateway has 20 callers of each priority.
	for priority, list := range positions {
		parts := [4]int{}
		for _, p := range list {
			at := p - 20*float64(priority)
			assert.Assert(t, at > -4 && at < 28, "priority %d at %.1f", priority, p)
			parts[min(max(int(at/5), 0), 3)]++
		}
		for i, n := range parts {
			share := float64(n) / float64(len(list))
			assert.Assert(t, share > 0.15 && share < 0.4, "part %d of priority %d has %.2f", i, priority, share)
		}
	}
}

// Guards against callers of an earlier outage that push back those of the present one.
func TestReturnsOfAnEarlierOutageDoNotCount(t *testing.T) {
	var r Returns
	f := in(time.Second, 2*time.Second)
	for range 100 {
		r.Record(start, f, 0)
	}
	assert.Assert(t, r.Position(start, f, 1, 0) >= 100)
	later := f
	later.DownSince = start.Add(time.Minute)
	assert.Equal(t, r.Position(later.DownSince, later, 1, 0), 0.0)
	r.Record(later.DownSince, later, 0)
	assert.Equal(t, len(r.counts), 1)
}
