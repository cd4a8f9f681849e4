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

// recount is the naive way, which stood in the home before sums were kept: it adds
// up at each question what all other accounts have and want.
func recount(now time.Time, all *accounts, of *account) *others {
	o := &others{}
	for _, acc := range all.byEntry {
		side := &o.after
		switch {
		case acc == of:
			continue
		case acc.slot < of.slot:
			side = &o.before
		}
		side.used = side.used.add(acc.live(now))
		if acc.asking(now) {
			side.wanted = side.wanted.add(acc.demand)
			side.asking++
		}
	}
	return o
}

// differ says where the kept sums of a home are not those of a recount, or where
// the two would grant another part.
func differ(h *Home, now time.Time, limit Amounts) string {
	for s, all := range h.subjects {
		all.settle(now)
		for id, acc := range all.byEntry {
			kept, naive := all.others(acc), recount(now, all, acc)
			kept.turn = turnAt(now.Sub(h.open), limit.Requests)
			naive.turn = kept.turn
			if !near(kept.before, naive.before) || !near(kept.after, naive.after) {
				return fmt.Sprintf("%v, all but %s: kept %+v, recounted %+v", s, id, *kept, *naive)
			}
			d := Demand{Wanted: acc.demand}
			if a, b := kept.portions(limit, d), naive.portions(limit, d); !nearAmounts(a, b) {
				return fmt.Sprintf("%v to %s: %v by kept sums, %v by recount", s, id, a, b)
			}
		}
	}
	return ""
}

func near(a, b sums) bool {
	return a.asking == b.asking && nearAmounts(a.used, b.used) && nearAmounts(a.wanted, b.wanted)
}

func nearAmounts(a, b Amounts) bool {
	return close9(a.Requests, b.Requests) && close9(a.Tokens, b.Tokens) && close9(a.Concurrent, b.Concurrent)
}

func close9(a, b float64) bool {
	return a == b || math.Abs(a-b) <= 1e-9*max(1, math.Abs(a), math.Abs(b))
}

// The home's sums are kept while grants are made, acknowledged, lost and end, and
// entries and homes come and go. They are those of a recount at every moment: one
// that is too low would grant a part twice, one too high would grant it to nobody.
func TestKeptSumsAreThoseOfARecount(t *testing.T) {
	_, broken := schedule.Search(10_000, func(seed uint64) string {
		s := newSim(seed, func(*Home) {})
		for s.now < 20*time.Second {
			s.step()
			if diff := differ(s.home, s.clock(s.homeRate), s.row.limit); diff != "" {
				return fmt.Sprintf("seed %d at %v: %s", seed, s.now, diff)
			}
		}
		return ""
	})
	assert.Equal(t, broken, "")
}

// Hundreds of entries ask for three teams by turns, with all measures limited or
// some not, and stay away for as long as it takes to be dropped. The sums of a
// larger tree with reused slots are those of a recount too.
func TestKeptSumsOfManyEntries(t *testing.T) {
	limits := []Amounts{{1000, 1e5, 200}, {math.Inf(1), 300, 7}, {20, math.Inf(1), math.Inf(1)}, Unlimited}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		now := simEpoch
		h := NewHome(now.Add(-time.Hour), "home")
		acks := map[string]uint64{}
		for range 3000 {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond)))
			if rng.IntN(500) == 0 {
				now = now.Add(time.Duration(rng.IntN(8)) * time.Second)
			}
			entry := fmt.Sprint(rng.IntN(50 + rng.IntN(300)))
			subject := Subject{Team: fmt.Sprint(rng.IntN(3))}
			limit := limits[rng.IntN(len(limits))]
			h.Hear(now, Report{Entry: entry, Incarnation: 1, Seq: uint64(now.UnixNano()), Home: h.Name(now)})
			d := Demand{Wanted: Amounts{rng.ExpFloat64() * 50, rng.Float64() * 1e4, float64(rng.IntN(30))}, Ack: acks[entry+subject.Team], Running: float64(rng.IntN(3))}
			if rng.IntN(4) == 0 {
				d.Wanted = Amounts{}
			}
			naive := Amounts{Concurrent: math.Inf(1)}
			if all := h.subjects[subject]; all != nil {
				o := recount(now, all, all.of(entry))
				o.turn = turnAt(now.Sub(h.open), limit.Requests)
				naive = o.portions(limit, d)
			}
			g := h.Grant(now, entry, subject, limit, d, time.Duration(rng.IntN(4000))*time.Millisecond)
			if !math.IsInf(naive.Concurrent, 1) {
				// No entry is in the ring, so none gets a limited concurrent share.
				naive.Concurrent = g.Concurrent
				assert.Assert(t, nearAmounts(g.Amounts, naive), "seed %d: %v, by recount %v", seed, g.Amounts, naive)
			}
			if rng.IntN(3) > 0 {
				acks[entry+subject.Team] = g.Epoch
			}
			if rng.IntN(20) == 0 {
				assert.Equal(t, differ(h, now, limit), "", "seed %d", seed)
			}
		}
	}
}

// Seven entries want 1 to 7 of a limit of ten in progress, so that fractions are
// left. The whole parts sum to ten in each turn, and over all turns each entry has
// its fraction.
func TestWholePartsSumToThePool(t *testing.T) {
	const n, pool = 7, 10.0
	var got [n]float64
	for turn := range n {
		sum := 0.0
		for i := range n {
			o := &others{turn: turn}
			for j := range n {
				one := sums{wanted: Amounts{Concurrent: float64(j + 1)}, asking: 1}
				if j < i {
					o.before = o.before.add(one)
				} else if j > i {
					o.after = o.after.add(one)
				}
			}
			part := o.fair(pool, 1, true, float64(i+1), concurrentOf)
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

// A demand that is no number must not spoil the sums of the others.
func TestDemandThatIsNoNumber(t *testing.T) {
	now := simEpoch
	h := NewHome(now.Add(-time.Hour), "home")
	limit := Amounts{100, 100, math.Inf(1)}
	for _, v := range []float64{math.NaN(), math.Inf(1), -5} {
		h.Grant(now, "odd", simSubject, limit, Demand{Wanted: Amounts{v, v, v}, Running: v}, 0)
		now = now.Add(2 * homeTTL)
		g := h.Grant(now, "even", simSubject, limit, Demand{Wanted: Amounts{1, 1, 1}}, 0)
		assert.Assert(t, g.Requests > 90 && g.Tokens > 90, "%g: %v", v, g)
		now = now.Add(2 * homeTTL)
	}
}
