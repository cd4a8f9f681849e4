package gateway

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// poisson draws the number of requests that are in flight where mean are expected.
func poisson(rng *rand.Rand, mean float64) (n int) {
	for left := rng.ExpFloat64(); left < mean; left += rng.ExpFloat64() {
		n++
	}
	return n
}

// spread is how requests that come to many gateways at random fit into their limits.
type spread struct {
	// held is the fraction of requests over the limit of their gateway.
	held float64
	// used is the fraction of all slots that the admitted requests take.
	used float64
}

// spreadRequests draws the requests in flight at each gateway, load times the slots in all.
func spreadRequests(gateways, slots int, load float64, limit func(share float64) int) spread {
	rng := rand.New(rand.NewPCG(1, uint64(gateways)))
	share := float64(slots) / float64(gateways)
	asked, admitted := 0, 0
	for range 20_000/gateways + 1 {
		for range gateways {
			n := poisson(rng, load*share)
			asked += n
			admitted += min(n, limit(share))
		}
	}
	rounds := float64(20_000/gateways + 1)
	return spread{held: 1 - float64(admitted)/float64(max(asked, 1)), used: float64(admitted) / (rounds * float64(slots))}
}

// earlierLimit is an even share of the slots and a fifth more, rounded down.
func earlierLimit(share float64) int { return max(int(evenShareMargin*share), 1) }

// Guards against requests held back while slots are free, because each of many gateways rounds its small
// even share down and requests don't come evenly: with no survey, as when all processes have just
// restarted, at half of the load that the slots bear.
func TestSmallEvenSharesLeaveRoomForUnevenRequests(t *testing.T) {
	for _, gateways := range []int{7, 40, 427, 1000} {
		standing := spreadRequests(gateways, 1152, 0.5, earlierLimit)
		s := spreadRequests(gateways, 1152, 0.5, evenShareLimit)
		t.Logf("%d gateways, load 0.5: held %.3f (rounded down: %.3f)", gateways, s.held, standing.held)
		assert.Assert(t, s.held < 0.03, "%d gateways hold %.3f", gateways, s.held)
	}
}

// Guards against limits whose sum is far above the slots while more requests come than these bear.
func TestEvenSharesBoundTheSlotsUnderOverload(t *testing.T) {
	for _, gateways := range []int{7, 40, 427, 1000} {
		s := spreadRequests(gateways, 1152, 1.5, evenShareLimit)
		t.Logf("%d gateways, load 1.5: used %.2f of the slots", gateways, s.used)
		assert.Assert(t, s.used < 1.5, "%d gateways use %.2f of the slots", gateways, s.used)
	}
}

// The limit of an even share is never below the earlier one.
func TestEvenShareLimitIsNotBelowTheShare(t *testing.T) {
	for share := 0.01; share < 500; share *= 1.1 {
		assert.Assert(t, evenShareLimit(share) >= earlierLimit(share) && float64(evenShareLimit(share)) <= share+2*math.Sqrt(share)+0.2*share+1)
	}
}
