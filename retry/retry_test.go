package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/quota"
)

// fleet is a number of gateways and replicas that share an allowance, in virtual time.
type fleet struct {
	allowance Allowance
	now       time.Time
	gateways  []*Budget
	lenders   []*Lender
	// cut gateways reach no replica.
	cut map[int]bool
}

func newFleet(a Allowance, gateways, replicas int) *fleet {
	f := &fleet{allowance: a, now: time.Unix(1000, 0), cut: map[int]bool{}}
	clock := func() time.Time { return f.now }
	for range replicas {
		f.lenders = append(f.lenders, NewLender(clock))
	}
	for i := range gateways {
		borrow := func(service string) bool {
			if replicas == 0 || f.cut[i] {
				return false
			}
			r := i % replicas
			return f.lenders[r].Lend(service, a, quota.Position{Index: r, Count: replicas})
		}
		position := func() quota.Position { return quota.Position{Index: i, Count: gateways} }
		f.gateways = append(f.gateways, NewBudget(a, position, borrow, clock))
	}
	f.now = f.now.Add(a.Window)
	return f
}

// tick is what happened in one second.
type tick struct{ requests, retries int }

// checkBound checks every window of the given number of ticks.
func checkBound(t assert.TestingT, a Allowance, ticks []tick, length int) {
	for from := 0; from+length <= len(ticks); from++ {
		requests, retries := 0, 0
		for _, k := range ticks[from : from+length] {
			requests += k.requests
			retries += k.retries
		}
		assert.Assert(t, float64(retries) <= a.Ratio*float64(requests)+a.Slack,
			"%d retries of %d requests from second %d on", retries, requests, from)
	}
}

// Guards against retries beyond the allowance in some window, by any number of gateways, whether failures
// are seldom, in bursts, at a few gateways or at all, with some of them cut off from the replicas.
func TestAllGatewaysStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Allowance{Ratio: 0.2, Slack: float64(rapid.SampledFrom([]int{0, 3, 88, 226, 1040}).Draw(t, "slack")), Window: 10 * time.Second}
		gateways := rapid.SampledFrom([]int{1, 2, 6, 40, 427, 2000, 5000}).Draw(t, "gateways")
		f := newFleet(a, gateways, rapid.SampledFrom([]int{0, 3, 9}).Draw(t, "replicas"))
		few := rapid.IntRange(1, gateways).Draw(t, "gateways with callers")
		for i := range few {
			f.cut[i] = rapid.IntRange(0, 3).Draw(t, "cut") == 0
			if i > 20 {
				break
			}
		}
		var ticks []tick
		for range 25 {
			k := tick{requests: rapid.IntRange(0, 600).Draw(t, "requests")}
			for i := range k.requests {
				b := f.gateways[i%few]
				b.RecordRequest("pool")
				for b.Take("pool") {
					k.retries++
				}
			}
			ticks = append(ticks, k)
			f.now = f.now.Add(time.Second)
		}
		checkBound(t, a, ticks, 10)
	})
}

// Guards against a fleet so large that no gateway ever retries: each request in seven fails once, and
// nearly all of these are retried, as seldom as each gateway has one.
func TestSeldomFailuresAreRetriedAtAnySize(t *testing.T) {
	a := Allowance{Ratio: 0.2, Slack: 1040, Window: 10 * time.Second}
	for _, gateways := range []int{1, 6, 40, 400, 427, 1000, 2000, 5000} {
		f := newFleet(a, gateways, 9)
		rng := rand.New(rand.NewPCG(1, uint64(gateways)))
		failed, retried := 0, 0
		for range 600 {
			f.now = f.now.Add(100 * time.Millisecond)
			for range 3 {
				b := f.gateways[rng.IntN(gateways)]
				b.RecordRequest("clock")
				if rng.Float64() < 1.0/7 {
					failed++
					if b.Take("clock") {
						retried++
					}
				}
			}
		}
		assert.Assert(t, retried*100 >= failed*95, "%d gateways: %d of %d retried", gateways, retried, failed)
	}
}

// Guards against a burst of failures at a few gateways that find their own shares used up while the
// others use none.
func TestBurstAtFewGatewaysBorrows(t *testing.T) {
	a := Allowance{Ratio: 0.2, Slack: 1040, Window: 10 * time.Second}
	f := newFleet(a, 427, 9)
	retried := 0
	for i := range 120 {
		f.gateways[i%12].RecordRequest("clock")
		if f.gateways[i%12].Take("clock") {
			retried++
		}
	}
	assert.Assert(t, retried >= 110, "%d of 120", retried)
}

// Guards against requests that all ask a replica that has nothing left to lend.
func TestRefusedGatewayAsksNoMoreForAWhile(t *testing.T) {
	now := time.Unix(0, 0)
	asked := 0
	b := NewBudget(Allowance{Window: time.Second}, func() quota.Position { return quota.Position{Index: 0, Count: 1} }, func(string) bool { asked++; return false }, func() time.Time { return now })
	for range 100 {
		assert.Assert(t, !b.Take("pool"))
	}
	assert.Equal(t, asked, 1)
	now = now.Add(refusalMemory)
	b.Take("pool")
	assert.Equal(t, asked, 2)
}

// Guards against tokens that are lent twice because the replica that lent them has restarted.
func TestRestartedReplicaLendsNothingForAWindow(t *testing.T) {
	a := Allowance{Slack: 100, Window: 10 * time.Second}
	now := time.Unix(0, 0)
	l := NewLender(func() time.Time { return now })
	assert.Assert(t, !l.Lend("pool", a, quota.Position{Index: 0, Count: 1}))
	now = now.Add(a.Window)
	lent := 0
	for l.Lend("pool", a, quota.Position{Index: 0, Count: 1}) {
		lent++
	}
	assert.Equal(t, lent, 30)
}

// Guards against retries beyond the allowance while gateways start one after another, and each divides it by
// the number that it knows so far.
func TestGatewaysThatStartInTurnStayWithinTheAllowance(t *testing.T) {
	const gateways = 7
	a := Allowance{Ratio: 0.2, Slack: 88, Window: 10 * time.Second}
	up := 0
	f := newFleet(a, 0, 3)
	k := tick{}
	for i := range gateways {
		up++
		position := func() quota.Position { return quota.Position{Index: i, Count: up} }
		borrow := func(service string) bool {
			return f.lenders[i%3].Lend(service, a, quota.Position{Index: i % 3, Count: 3})
		}
		b := NewBudget(a, position, borrow, func() time.Time { return f.now })
		k.requests++
		b.RecordRequest("pool")
		for b.Take("pool") {
			k.retries++
		}
		f.now = f.now.Add(100 * time.Millisecond)
	}
	checkBound(t, a, []tick{k}, 1)
}
