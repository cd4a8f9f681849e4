package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/evacuation"
	"github.com/snipereach/snipereach/quota"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// ranksInDomains returns the ranks of one group, alternating between the domains x and y.
func ranksInDomains(n int) (insts []*directory.Instance) {
	for i := range n {
		insts = append(insts, &directory.Instance{Announcement: &wire.Announcement{
			Id: fmt.Sprint("r", i), Incarnation: 1, Group: "g", Rank: uint32(i), Pools: []string{"llm"}, Phase: wire.Phase_PHASE_UP,
			FailureDomain: []string{"x", "y"}[i%2], Direct: &wire.DirectUpstream{Slots: 10, GroupEpoch: 1, GroupSize: uint32(n)},
		}})
	}
	return insts
}

func evacuated(revision uint64, domains ...string) updateInputs {
	return updateInputs{evacuations: &evacuation.State{Revision: revision, Domains: domains}, position: quota.Position{Count: 1}}
}

// Guards against requests, first ones and retries, to ranks of an evacuated domain, and against
// counting their slots as free. The group stays complete.
func TestEvacuatedRanksGetNoRequests(t *testing.T) {
	f := newServiceManager(&Settings{ID: "e"})
	f.gateways = func() int { return 1 }
	insts := ranksInDomains(16)
	assert.NilError(t, f.update(start, insts, evacuated(1, "x")))
	g := f.services["llm"].groups["g"]
	assert.Equal(t, g.limiter.slots, 80)
	assert.Assert(t, !g.limiter.incomplete(start.Add(time.Minute)) && g.limiter.ranks == 16)
	for range 200 {
		up, _, ok := f.pick(start, g, &route.Request{Exclude: map[string]bool{"r1": true}})
		assert.Assert(t, ok && up.FailureDomain == "y")
	}
	assert.NilError(t, f.update(start, insts, evacuated(2)))
	assert.Equal(t, g.limiter.slots, 160)
}

// Guards against requests that wait for their deadline while all upstreams are evacuated.
func TestRequestsAreRefusedAtOnceWhileAllIsEvacuated(t *testing.T) {
	f := newServiceManager(&Settings{ID: "e"})
	f.gateways = func() int { return 1 }
	insts := ranksInDomains(4)
	assert.NilError(t, f.update(start, insts, evacuated(1, "x", "y")))
	p := f.services["llm"]
	w := newArrival(start)
	w.retried = true
	d, _ := p.decide(start, 1, w)
	assert.Equal(t, d, decisionRefuse)
	assert.Assert(t, p.allEvacuated())
	assert.NilError(t, f.update(start, insts, evacuated(2, "x")))
	d, _ = p.decide(start, 1, newArrival(start))
	assert.Equal(t, d, decisionAdmit)
}
