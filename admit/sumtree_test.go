package admit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/internal/schedule"
)

// recountPeers computes the peers of an account by adding up all other accounts.
func recountPeers(now time.Time, all *accounts, of *account) *peers {
	o := &peers{}
	for _, acc := range all.byEntry {
		side := &o.after
		switch {
		case acc == of:
			continue
		case acc.slot < of.slot:
			side = &o.before
		}
		side.used = side.used.add(acc.inUse(now))
		if acc.hasDemand(now) {
			side.wanted = side.wanted.add(acc.demand)
			side.askers++
		}
	}
	return o
}

// diffTotals describes where the totals that the allocator keeps, or the portions computed from
// them, differ from a recount; it returns "" if they agree.
func diffTotals(h *ShareAllocator, now time.Time, limit Amounts) string {
	for s, all := range h.subjects {
		all.advance(now)
		for id, acc := range all.byEntry {
			kept, naive := all.peersOf(acc), recountPeers(now, all, acc)
			kept.turn = turnAt(now.Sub(h.openAt), limit.Requests)
			naive.turn = kept.turn
			if !equalTotals(kept.before, naive.before) || !equalTotals(kept.after, naive.after) {
				return fmt.Sprintf("%v, peers of %s: kept %+v, recounted %+v", s, id, *kept, *naive)
			}
			d := Demand{Wanted: acc.demand}
			if a, b := kept.portions(limit, d), naive.portions(limit, d); !equalAmounts(a, b) {
				return fmt.Sprintf("%v to %s: %v by kept totals, %v by recount", s, id, a, b)
			}
		}
	}
	return ""
}

func equalTotals(a, b totals) bool {
	return a.askers == b.askers && equalAmounts(a.used, b.used) && equalAmounts(a.wanted, b.wanted)
}

func equalAmounts(a, b Amounts) bool {
	return approxEqual(a.Requests, b.Requests) && approxEqual(a.Tokens, b.Tokens) && approxEqual(a.Concurrent, b.Concurrent)
}

func approxEqual(a, b float64) bool {
	return a == b || math.Abs(a-b) <= 1e-9*max(1, math.Abs(a), math.Abs(b))
}

// The totals equal a recount at every moment of random schedules. Too low a total would
// grant a part twice, too high a one would grant it to nobody.
func TestKeptTotalsEqualRecount(t *testing.T) {
	_, violation := schedule.Search(10_000, func(seed uint64) string {
		s := newSim(seed, func(*ShareAllocator) {})
		for s.now < 20*time.Second {
			s.step()
			if diff := diffTotals(s.allocator, s.clock(s.allocatorRate), s.config.limit); diff != "" {
				return fmt.Sprintf("seed %d at %v: %s", seed, s.now, diff)
			}
		}
		return ""
	})
	assert.Equal(t, violation, "")
}

// The totals equal a recount in a large tree with reused slots, with all measures limited
// or only some.
func TestKeptTotalsEqualRecountWithManyEntries(t *testing.T) {
	limits := []Amounts{{1000, 1e5, 200}, {math.Inf(1), 300, 7}, {20, math.Inf(1), math.Inf(1)}, Unlimited}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		now := simEpoch
		h := NewShareAllocator(now.Add(-time.Hour), "allocator")
		acks := map[string]uint64{}
		for range 3000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond)))
			if rng.IntN(500) == 0 {
				now = now.Add(time.Duration(rng.IntN(8)) * time.Second)
			}
			entry := fmt.Sprint(rng.IntN(50 + rng.IntN(300)))
			subject := Subject{Team: fmt.Sprint(rng.IntN(3))}
			limit := limits[rng.IntN(len(limits))]
			h.AcceptReport(now, Report{Entry: entry, Incarnation: 1, Seq: uint64(now.UnixNano()), Allocator: h.Name(now)})
			d := Demand{Wanted: Amounts{rng.ExpFloat64() * 50, rng.Float64() * 1e4, float64(rng.IntN(30))}, AckedEpoch: acks[entry+subject.Team], Running: float64(rng.IntN(3))}
			if rng.IntN(4) == 0 {
				d.Wanted = Amounts{}
			}
			naive := Amounts{Concurrent: math.Inf(1)}
			if all := h.subjects[subject]; all != nil {
				o := recountPeers(now, all, all.getOrCreate(entry))
				o.turn = turnAt(now.Sub(h.openAt), limit.Requests)
				naive = o.portions(limit, d)
			}
			g := h.Grant(now, entry, subject, limit, d, time.Duration(rng.IntN(4000))*time.Millisecond)
			if !math.IsInf(naive.Concurrent, 1) {
				// The ring is empty, so no entry gets a limited concurrent share.
				naive.Concurrent = g.Concurrent
				assert.Assert(t, equalAmounts(g.Amounts, naive), "seed %d: %v, by recount %v", seed, g.Amounts, naive)
			}
			if rng.IntN(3) > 0 {
				acks[entry+subject.Team] = g.Epoch
			}
			if rng.IntN(20) == 0 {
				assert.Equal(t, diffTotals(h, now, limit), "", "seed %d", seed)
			}
		}
	}
}

// Whole portions sum to the pool in every turn, and each entry gets its fraction on
// average.
func TestWholePortionsSumToThePool(t *testing.T) {
	const n, pool = 7, 10.0
	var got [n]float64
	for turn := range n {
		sum := 0.0
		for i := range n {
			o := &peers{turn: turn}
			for j := range n {
				one := totals{wanted: Amounts{Concurrent: float64(j + 1)}, askers: 1}
				if j < i {
					o.before = o.before.add(one)
				} else if j > i {
					o.after = o.after.add(one)
				}
			}
			part := o.fairPortion(pool, 1, true, float64(i+1), concurrentOf)
			got[i] += part
			sum += part
		}
		assert.Equal(t, sum, pool, "turn %d", turn)
	}
	assert.Assert(t, slices.IsSorted(got[:]), "%v", got)
	for i, v := range got {
		fair := 1 + (pool-n)*float64(i+1)/28
		assert.Assert(t, math.Abs(v/n-fair) <= 1.0/n, "entry %d: %g of %g", i, v/n, fair)
	}
}

// A demand that is not a valid number must not corrupt the totals of other entries.
func TestInvalidDemandIsSanitized(t *testing.T) {
	now := simEpoch
	h := NewShareAllocator(now.Add(-time.Hour), "allocator")
	limit := Amounts{100, 100, math.Inf(1)}
	for _, v := range []float64{math.NaN(), math.Inf(1), -5} {
		h.Grant(now, "odd", simSubject, limit, Demand{Wanted: Amounts{v, v, v}, Running: v}, 0)
		now = now.Add(2 * grantTTL)
		g := h.Grant(now, "even", simSubject, limit, Demand{Wanted: Amounts{1, 1, 1}}, 0)
		assert.Assert(t, g.Requests > 90 && g.Tokens > 90, "%g: %v", v, g)
		now = now.Add(2 * grantTTL)
	}
}
