package lockstep

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

var large = Shape{Ranks: 72, Sets: 12, Experts: 144, Places: 3, Spare: 2}

var huge = Shape{Ranks: 192, Sets: 10, Experts: 384, Places: 3, Spare: 2}

func BenchmarkPlanHuge(b *testing.B) {
	m, load := initialMap(huge), zipf(huge, 1.1, 0)
	for b.Loop() {
		Plan(huge, DefaultPlanSettings(), m, load, nil)
	}
}

// BenchmarkPlanHugeSecond plans for a load to which the current map already fits, as most plans
// do.
func BenchmarkPlanHugeSecond(b *testing.B) {
	m, load := initialMap(huge), zipf(huge, 1.1, 0)
	p, _ := Plan(huge, DefaultPlanSettings(), m, load, nil)
	for b.Loop() {
		Plan(huge, DefaultPlanSettings(), p.Map, load, nil)
	}
}

func BenchmarkPlanLarge(b *testing.B) {
	m, load := initialMap(large), zipf(large, 1.1, 0)
	for b.Loop() {
		Plan(large, DefaultPlanSettings(), m, load, nil)
	}
}

func BenchmarkEncodePrepareLarge(b *testing.B) {
	m := initialMap(large)
	for b.Loop() {
		o := &wire.RankOrder{Kind: wire.RankOrderKind_RANK_ORDER_KIND_PREPARE, Map: m.encode()}
		for range large.Ranks {
			if _, err := proto.Marshal(o); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkTakeChoicesHuge measures what a leader does with the choices of one reading.
func BenchmarkTakeChoicesHuge(b *testing.B) {
	chosen := make([]uint32, huge.Sets*huge.Experts)
	for i := range chosen {
		chosen[i] = uint32(i % 40)
	}
	data := PackChoices(chosen)
	d := NewDemandEstimate(DefaultDemandSettings(), huge)
	for b.Loop() {
		got, err := UnpackChoices(data)
		if err != nil {
			b.Fatal(err)
		}
		d.Observe(time.Unix(0, 0), got)
	}
}

// BenchmarkEncodeMapHuge measures encoding a map as changes.
func BenchmarkEncodeMapHuge(b *testing.B) {
	m := initialMap(huge)
	p, _ := Plan(huge, DefaultPlanSettings(), m, zipf(huge, 0.6, 0), nil)
	for b.Loop() {
		changes := p.Map.encodeChanges(m, 1)
		b.ReportMetric(float64(len(changes)), "bytes")
	}
}
