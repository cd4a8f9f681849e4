package gateway

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/dialect"
	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/route"
	"github.com/snipereach/snipereach/wire"
)

// silenceGateway returns the services of a gateway that knows a group of ranks whose requests have a
// number of priorities.
func silenceGateway(t *testing.T, insts []*directory.Instance, priorities int) (*serviceManager, *groupPool) {
	f := newServiceManager(&Settings{ID: "e"})
	f.gateways = func() int { return 1 }
	assert.NilError(t, f.update(start, insts, evacuated(0)))
	f.services["llm"].policy.SetRanks(priorities)
	return f, f.services["llm"].sorted[0]
}

// allBut returns a request that may only be sent to one upstream, if that is usable.
func allBut(g *groupPool, only string, other string) *route.Request {
	r := &route.Request{Exclude: map[string]bool{}}
	for id := range g.upstreams {
		if id != only && id != other {
			r.Exclude[id] = true
		}
	}
	return r
}

// giveUp sends a request to r1, which sends nothing for a second and is given up then.
func giveUp(t *testing.T, f *serviceManager, g *groupPool) time.Time {
	r := allBut(g, "r1", "")
	up, _, ok := f.pick(start, g, r)
	assert.Assert(t, ok && up.ID == "r1")
	return giveUpAt(f, g, up, r, start.Add(time.Second))
}

func giveUpAt(f *serviceManager, g *groupPool, up route.Upstream, r *route.Request, now time.Time) time.Time {
	f.finish(now, g, up, r, route.Result{Reason: wire.Reason_REASON_UPSTREAM_FAILED, Elapsed: time.Second, SilentFor: time.Second})
	return now
}

// ejected reports whether r1 isn't used though it may be, with r2 as the only alternative.
func ejected(f *serviceManager, g *groupPool, now time.Time) bool {
	for range 50 {
		if up, _, _ := f.pick(now, g, allBut(g, "r1", "r2")); up.ID == "r1" {
			return false
		}
	}
	return true
}

// Guards against a silent rank that gets three to five requests of each gateway, all of them late,
// before it is ejected: in a group in lock-step one tells.
func TestSilentAttemptEjectsRankOfPrioritizedService(t *testing.T) {
	f, g := silenceGateway(t, ranksInDomains(16), 2)
	assert.Assert(t, !ejected(f, g, start))
	assert.Assert(t, ejected(f, g, giveUp(t, f, g)))
}

// Guards against other ejections than before in services that aren't prioritized, or whose upstreams
// run independently: there a slow response is no evidence.
func TestOtherServicesKeepTheirEjection(t *testing.T) {
	f, g := silenceGateway(t, ranksInDomains(16), 1)
	assert.Assert(t, !ejected(f, g, giveUp(t, f, g)))
	plain := ranksInDomains(16)
	for _, i := range plain {
		i.Group = ""
	}
	f, g = silenceGateway(t, plain, 2)
	assert.Assert(t, !ejected(f, g, giveUp(t, f, g)))
}

// Guards against the ejection of a busy rank, which responds to others while a request is in its queue.
func TestRankThatRespondsToOthersIsNotSilent(t *testing.T) {
	f, g := silenceGateway(t, ranksInDomains(16), 2)
	r := allBut(g, "r1", "")
	waiting, _, _ := f.pick(start, g, r)
	running, _, _ := f.pick(start, g, r)
	f.recordHead(start.Add(500*time.Millisecond), g, running, &dialect.Load{Running: 10, Waiting: 1, Slots: 10}, 500*time.Millisecond, true)
	assert.Assert(t, !ejected(f, g, giveUpAt(f, g, waiting, r, start.Add(time.Second))))
	assert.Assert(t, ejected(f, g, giveUpAt(f, g, running, r, start.Add(1600*time.Millisecond))))
}

// withReports lets a gateway know that two others have found upstreams silent, at the time of now.
func withReports(f *serviceManager, now *time.Time, upstreams ...string) *silentUpstreams {
	f.silent.now, f.silent.metrics, f.silent.log = func() time.Time { return *now }, newGatewayMetrics(), func(string, ...any) {}
	for _, id := range upstreams {
		f.silent.applyReports("replica", []*wire.SilenceReport{{Upstream: id, Incarnation: 1, Reporter: "a"}, {Upstream: id, Incarnation: 1, Reporter: "b"}})
	}
	return f.silent
}

// Guards against requests, repeatable or not, to ranks that others have found silent; and against a rank
// that is avoided for ever.
func TestRanksThatOthersFoundSilentAreLeftOut(t *testing.T) {
	f, g := silenceGateway(t, ranksInDomains(16), 2)
	now := start
	s := withReports(f, &now, "r1")
	for range 100 {
		up, _, ok := f.pick(now, g, allBut(g, "r1", "r2"))
		assert.Assert(t, ok && up.ID == "r2", up.ID)
	}
	up, _, ok := f.pick(now, g, allBut(g, "r1", ""))
	assert.Assert(t, ok && up.ID == "r1", "it isn't used though it is the only one left")
	assert.Equal(t, s.metrics.Registry.Get("gateway.silent.avoided").(metrics.Counter).Count(), int64(100))
	now = now.Add(3 * time.Second)
	assert.Assert(t, !ejected(f, g, now))
}

// Guards against avoidance in services that aren't prioritized, and against a setting without effect.
func TestOtherServicesAvoidNoUpstream(t *testing.T) {
	now := start
	f, g := silenceGateway(t, ranksInDomains(16), 1)
	withReports(f, &now, "r1")
	assert.Assert(t, !ejected(f, g, now))
	f, g = silenceGateway(t, ranksInDomains(16), 2)
	f.services["llm"].ignoreSilence = true
	withReports(f, &now, "r1")
	assert.Assert(t, !ejected(f, g, now))
	assert.Assert(t, !ejected(f, g, giveUp(t, f, g)))
}

// Guards against more than one request in a second, or one that can't be repeated, to avoided ranks; and
// against a rank that no gateway looks at again.
func TestAvoidedRanksGetOneProbeAtATime(t *testing.T) {
	f, g := silenceGateway(t, ranksInDomains(16), 2)
	now, probes := start, 0
	withReports(f, &now, "r1")
	for range 299 {
		now = now.Add(10 * time.Millisecond)
		r := allBut(g, "r1", "r2")
		up, _, _ := f.pick(now, g, r)
		assert.Assert(t, up.ID != "r1", "a request that isn't repeatable")
		r.MayProbe = true
		if up, _, _ = f.pick(now, g, r); up.ID == "r1" {
			probes++
		}
	}
	assert.Assert(t, probes >= 1 && probes <= 3, "%d", probes)
}

// Guards against a rank that is avoided though it has responded to this gateway.
func TestResponseEndsAvoidance(t *testing.T) {
	f, g := silenceGateway(t, ranksInDomains(16), 2)
	now := start
	s := withReports(f, &now, "r1")
	assert.Assert(t, ejected(f, g, now))
	now = now.Add(time.Millisecond)
	s.responded("r1")
	assert.Assert(t, !ejected(f, g, now))
}

// Guards against probes of all gateways at once, and against so few that reports stop while an upstream
// is still silent.
func TestProbesAreSpreadOverGateways(t *testing.T) {
	for _, gateways := range []int{1, 2, 40, 400} {
		for avoided := 1; avoided <= 9; avoided++ {
			every := probeIntervalOf(avoided, gateways)
			perUpstream := float64(gateways) / every.Seconds() / float64(avoided)
			assert.Assert(t, every >= silentProbeInterval && perUpstream <= silentProbesPerS+1e-6, "%d gateways, %d avoided: %s", gateways, avoided, every)
		}
	}
	assert.Equal(t, probeIntervalOf(5, 40), 4*time.Second)
}
