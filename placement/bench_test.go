package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPlan measures planning from the initial map, the longest search, at the largest size
// and with ranks, experts or layers halved.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		name string
		s    Shape
	}{
		{"ranks=32/experts=256/layers=58", Shape{32, 256, 58, 9}},
		{"ranks=16/experts=256/layers=58", Shape{16, 256, 58, 17}},
		{"ranks=32/experts=128/layers=58", Shape{32, 128, 58, 5}},
		{"ranks=32/experts=256/layers=29", Shape{32, 256, 29, 9}},
		{"ranks=8/experts=64/layers=8", Shape{8, 64, 8, 9}},
	} {
		b.Run(c.name, func(b *testing.B) { benchmarkPlan(b, c.s) })
	}
}

func benchmarkPlan(b *testing.B, s Shape) {
	rnd := rand.New(rand.NewPCG(1, 1))
	load := make(Load, s.Layers*s.Experts)
	for i := range load {
		load[i] = 100 * rnd.ExpFloat64()
	}
	p := NewIncremental()
	cost := Cost{SkewWeight: 4, MoveWeight: 1, ExpertBytes: 44e6, StoreRate: 2e9, StepTime: 5 * time.Millisecond}
	p.Reset(s, cost)
	now := time.Unix(0, 0)
	p.Observe(now, load)
	current := Contiguous(s)
	for b.Loop() {
		p.storeBusyUntil = time.Time{}
		p.Plan(now, current)
	}
}

// BenchmarkObserve measures adding one window to the forecast at the largest size.
func BenchmarkObserve(b *testing.B) {
	s := Shape{32, 256, 58, 9}
	rnd := rand.New(rand.NewPCG(1, 1))
	load := make(Load, s.Layers*s.Experts)
	for i := range load {
		load[i] = 100 * rnd.ExpFloat64()
	}
	p := NewIncremental()
	p.Reset(s, Cost{})
	now := time.Unix(0, 0)
	for b.Loop() {
		now = now.Add(time.Second)
		p.Observe(now, load)
	}
}
