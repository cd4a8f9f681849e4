package lockstep

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// large is the largest group that the product is to lead on small hosts.
var large = Shape{Ranks: 72, Sets: 12, Experts: 144, Places: 3, Spare: 2}

// huge is the largest group that was seen: one of 192 ranks.
var huge = Shape{Ranks: 192, Sets: 10, Experts: 384, Places: 3, Spare: 2}

func BenchmarkPlanHuge(b *testing.B) {
	m, load := inTurn(huge), zipf(huge, 1.1, 0)
	for b.Loop() {
		Plan(huge, DefaultPlanSettings(), m, load, nil)
	}
}

// A plan for a demand that differs little from that of the map in force, as most do.
func BenchmarkPlanHugeSecond(b *testing.B) {
	m, load := inTurn(huge), zipf(huge, 1.1, 0)
	p, _ := Plan(huge, DefaultPlanSettings(), m, load, nil)
	for b.Loop() {
		Plan(huge, DefaultPlanSettings(), p.Map, load, nil)
	}
}

func BenchmarkPlanLarge(b *testing.B) {
	m, load := inTurn(large), zipf(large, 1.1, 0)
	for b.Loop() {
		Plan(large, DefaultPlanSettings(), m, load, nil)
	}
}

func BenchmarkEncodePrepareLarge(b *testing.B) {
	m := inTurn(large)
	for b.Loop() {
		o := &wire.RankOrder{Kind: wire.RankOrderKind_RANK_ORDER_KIND_PREPARE, Map: m.encode()}
		for range large.Ranks {
			if _, err := proto.Marshal(o); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// What a leader does with the choices that one call brings: those of a rank read alone before,
// those of a part of thirteen now.
func BenchmarkTakeChoicesHuge(b *testing.B) {
	chosen := make([]uint32, huge.Sets*huge.Experts)
	for i := range chosen {
		chosen[i] = uint32(i % 40)
	}
	data := PackChoices(chosen)
	d := NewDemand(DefaultDemandSettings(), huge)
	for b.Loop() {
		got, err := UnpackChoices(data)
		if err != nil {
			b.Fatal(err)
		}
		d.Observe(time.Unix(0, 0), got)
	}
}

// What a round of orders to prepare a map carries: whole, and as changes.
func BenchmarkEncodeMapHuge(b *testing.B) {
	m := inTurn(huge)
	p, _ := Plan(huge, DefaultPlanSettings(), m, zipf(huge, 0.6, 0), nil)
	for b.Loop() {
		changes := p.Map.encodeChanges(m, 1)
		b.ReportMetric(float64(len(changes)), "bytes")
	}
}
