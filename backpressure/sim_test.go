package backpressure

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/internal/upstreamcheck"
	"github.com/snipereach/snipereach/quota"
)

// simulation is gateways that borrow permits for one upstream from replicas, in virtual time.
type simulation struct {
	now      time.Time
	perS     float64
	lenders  []*Lender
	up       []bool
	gateways []*borrower
	rng      *rand.Rand
	sent     []upstreamcheck.Arrival
	// calls counts the calls for permits.
	calls int
}

func newSimulation(gateways, replicas int, perS float64, seed uint64) *simulation {
	s := &simulation{now: start, perS: perS, rng: rand.New(rand.NewPCG(seed, 1))}
	for range replicas {
		s.lenders = append(s.lenders, nil)
		s.up = append(s.up, true)
		s.restartReplica(len(s.lenders) - 1)
	}
	for range gateways {
		s.gateways = append(s.gateways, &borrower{})
	}
	return s
}

func (s *simulation) restartReplica(i int) {
	s.lenders[i] = NewLender(func() time.Time { return s.now })
}

// replicas returns the addresses of the replicas in the order in which a gateway asks them.
func (s *simulation) replicas(gateway int) (list []string) {
	for i := range s.lenders {
		list = append(list, fmt.Sprint((gateway+i)%len(s.lenders)))
	}
	return list
}

// request reports whether a gateway sends a request to the upstream now.
func (s *simulation) request(gateway int) bool {
	b := s.gateways[gateway]
	for {
		if b.take(s.now) {
			delay := time.Duration(s.rng.Int64N(int64(20 * time.Millisecond)))
			s.sent = append(s.sent, upstreamcheck.Arrival{At: s.now.Add(delay), Gateway: "g"})
			return true
		}
		replica, ok := b.next(s.now, s.replicas(gateway))
		if !ok {
			return false
		}
		s.borrow(b, replica)
	}
}

func (s *simulation) borrow(b *borrower, replica string) {
	s.calls++
	var i int
	_, _ = fmt.Sscan(replica, &i)
	if !s.up[i] {
		b.refused(s.now, replica, unreachableDelay)
		return
	}
	lent, retry := s.lenders[i].Lend("u", s.perS, b.want(s.now), quota.Position{Index: i, Count: len(s.lenders)})
	if lent > 0 {
		b.receive(s.now, lent)
		return
	}
	b.refused(s.now, replica, retry)
}

// run lets requests come to random gateways for a time, perS a second over all.
func (s *simulation) run(d time.Duration, perS float64) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(time.Duration(s.rng.ExpFloat64() / perS * float64(time.Second)))
		s.request(s.rng.IntN(len(s.gateways)))
	}
}

// check returns the first window in which more requests came than the rule allows.
func (s *simulation) check() error {
	slices.SortFunc(s.sent, func(a, b upstreamcheck.Arrival) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	l := upstreamcheck.Limit{
		Named: []upstreamcheck.NamedLimit{{From: start, PerS: s.perS}},
		Told:  map[string]time.Time{"g": start.Add(-upstreamcheck.ToldBefore)},
	}
	return l.Check(s.sent)
}

// Guards against gateways whose parts add up to more than a limit while gateways and replicas
// start, stop, are lost and join.
func TestPermitsNeverAddUpToMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perS := rapid.SampledFrom([]float64{0.1, 0.3, 0.5, 1, 1.2, 1.3, 2.6, 10, 70}).Draw(t, "limit")
		s := newSimulation(rapid.IntRange(1, 40).Draw(t, "gateways"), rapid.IntRange(1, 5).Draw(t, "replicas"), perS, rapid.Uint64().Draw(t, "seed"))
		demand := max(perS, 1) * rapid.Float64Range(0.5, 20).Draw(t, "demand")
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms"))*time.Millisecond, demand)
			i := rapid.IntRange(0, 1000).Draw(t, "which")
			switch rapid.SampledFrom([]string{"restart replica", "lose replica", "restart gateway", "new gateway", "freeze gateways", "none"}).Draw(t, "event") {
			case "restart replica":
				s.restartReplica(i % len(s.lenders))
			case "lose replica":
				s.up[i%len(s.up)] = !s.up[i%len(s.up)]
			case "restart gateway":
				*s.gateways[i%len(s.gateways)] = borrower{}
			case "new gateway":
				s.gateways = append(s.gateways, &borrower{})
			case "freeze gateways":
				s.now = s.now.Add(time.Duration(i) * time.Millisecond)
			}
		}
		assert.NilError(t, s.check())
	})
}

// Guards against shares that move to other replicas, so that the permits of two windows come in one.
func TestPermitsStayWithinTheRuleWhileMembersChange(t *testing.T) {
	for _, perS := range []float64{0.3, 1, 1.3, 4, 30} {
		for seed := range uint64(20) {
			s := newSimulation(7, 3, perS, seed)
			for range 4 {
				s.run(6*time.Second, 10*max(perS, 1))
				s.lenders = append(s.lenders, nil)
				s.up = append(s.up, true)
				s.restartReplica(len(s.lenders) - 1)
			}
			assert.NilError(t, s.check(), "limit %g, seed %d", perS, seed)
		}
	}
}

// Guards against a limit that is left unused, as a share of it is less than one request for each
// gateway, and against calls for permits that grow with the gateways. Of what a limit allows,
// gateways together use at least three quarters as long as they want more.
func TestLimitIsUsedAtAnyNumberOfGateways(t *testing.T) {
	for _, perS := range []float64{0.5, 1.2, 10} {
		for _, gateways := range []int{1, 3, 7, 147, 427, 5000} {
			s := newSimulation(gateways, 5, perS, 1)
			s.run(10*time.Second, 5*perS)
			s.sent, s.calls = nil, 0
			const span = 300 * time.Second
			s.run(span, 5*perS)
			assert.NilError(t, s.check())
			used := float64(len(s.sent)) / (perS * span.Seconds())
			calls := float64(s.calls) / span.Seconds()
			t.Logf("limit %4g, %4d gateways: %.3f used, %.2f calls a second", perS, gateways, used, calls)
			assert.Assert(t, used >= 0.75, "%g used at %d gateways", used, gateways)
			assert.Assert(t, calls <= 5*perS*5, "%g calls a second", calls)
		}
	}
}
