package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

var testStart = time.Unix(1000, 0)

func afterStart(d time.Duration) time.Time { return testStart.Add(d) }

func testUpstreams(n int) []Upstream {
	domains := []string{"hall-a", "hall-b", "hall-c"}
	ups := make([]Upstream, n)
	for i := range ups {
		ups[i] = Upstream{ID: fmt.Sprintf("up-%d", i), Incarnation: 1, FailureDomain: domains[i%len(domains)]}
	}
	return ups
}

func newLeastLoaded(n int) *LeastLoaded {
	b := &LeastLoaded{pool: newPool(), choices: defaultChoices}
	b.SetEntryInfo(EntryInfo{ID: "entry-1", FailureDomain: "hall-a", Seed: 1})
	b.SetUpstreams(testStart, testUpstreams(n))
	return b
}

func testLoad(seq uint64, requests int) *wire.Load {
	return &wire.Load{Seq: seq, Running: uint32(requests), Slots: 8}
}

func success(l *wire.Load) Result {
	return Result{Outcome: wire.Outcome_OUTCOME_DONE, Load: l, Elapsed: 100 * time.Millisecond}
}

var failure = Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_UPSTREAM_FAILED}

// Load reports that are out of order, of another incarnation or of an unknown upstream
// must be ignored: they would make a busy upstream seem idle.
func TestStaleLoadReportsAreIgnored(t *testing.T) {
	b := newLeastLoaded(2)
	b.ApplyLoadReport(testStart, "up-0", 1, testLoad(5, 7))
	b.ApplyLoadReport(testStart, "up-0", 1, testLoad(4, 0))
	b.ApplyLoadReport(testStart, "up-0", 2, testLoad(9, 0))
	b.ApplyLoadReport(testStart, "up-9", 1, testLoad(9, 0))
	assert.Equal(t, b.byID["up-0"].requests(), 7)
}

// Load reports that are older than a burst of this entry's requests must not hide it, or
// the whole burst would queue at one upstream.
func TestOldLoadReportsDoNotHideOwnRequests(t *testing.T) {
	b := newLeastLoaded(4)
	sent := map[string]int{}
	for i := range 32 {
		now := afterStart(time.Duration(i) * 10 * time.Millisecond)
		for u := range 4 {
			b.ApplyLoadReport(now, fmt.Sprintf("up-%d", u), 1, testLoad(uint64(i+1), 0))
		}
		c, ok := b.Pick(now, &Request{})
		assert.Assert(t, ok)
		sent[c.ID]++
	}
	for id, n := range sent {
		assert.Assert(t, n >= 7 && n <= 9, "%s got %d of 32", id, n)
	}
}

// Requests sent well before a response are included in the response's load and must not
// be counted twice.
func TestResponseLoadIncludesEarlierRequests(t *testing.T) {
	b := newLeastLoaded(1)
	for range 3 {
		b.Pick(testStart, &Request{})
	}
	later := afterStart(time.Second)
	for range 2 {
		b.Pick(later, &Request{})
	}
	b.Done(later.Add(time.Millisecond), testUpstreams(1)[0], &Request{}, success(testLoad(1, 9)))
	// 9 requests in the load, minus the one that ended, plus the 2 sent less than a round
	// trip before the response.
	assert.Equal(t, b.byID["up-0"].requests(), 10)
}

// Between equally loaded upstreams the one in the entry's own failure domain is chosen,
// but not if it has more requests.
func TestOwnFailureDomainBreaksTies(t *testing.T) {
	b := newLeastLoaded(3)
	for i, requests := range []int{3, 3, 3} {
		b.ApplyLoadReport(testStart, fmt.Sprintf("up-%d", i), 1, testLoad(1, requests))
	}
	c, _ := b.Pick(testStart, &Request{})
	assert.Equal(t, c.FailureDomain, "hall-a")
	b.ApplyLoadReport(testStart, "up-0", 1, testLoad(2, 5))
	c, _ = b.Pick(testStart, &Request{})
	assert.Assert(t, c.FailureDomain != "hall-a")
}

// A restarted upstream reports no load to all entries at once. Slow start must keep it
// from getting all their requests.
func TestSlowStartAfterRestart(t *testing.T) {
	b := newLeastLoaded(4)
	for i := range 4 {
		b.ApplyLoadReport(testStart, fmt.Sprintf("up-%d", i), 1, testLoad(1, 4))
	}
	ups := testUpstreams(4)
	ups[1].Incarnation = 2
	b.SetUpstreams(testStart, ups)
	b.ApplyLoadReport(testStart, "up-1", 2, testLoad(1, 0))
	picked := func(now time.Time) int {
		n := 0
		for range 12 {
			if c, _ := b.Pick(now, &Request{}); c.ID == "up-1" {
				n++
			}
		}
		return n
	}
	early := picked(afterStart(time.Second))
	assert.Assert(t, early >= 1 && early <= 3, "%d of 12 in the first second", early)
}

// Upstreams that an entry learns of while it starts itself are not new and get no slow
// start; one that appears much later does.
func TestNoSlowStartDuringEntryStartup(t *testing.T) {
	b := newLeastLoaded(1)
	b.SetUpstreams(afterStart(time.Second), testUpstreams(2))
	b.SetUpstreams(afterStart(time.Minute), testUpstreams(3))
	assert.Equal(t, b.byID["up-1"].slowStartShare(afterStart(time.Minute)), 1.0)
	assert.Equal(t, b.byID["up-2"].slowStartShare(afterStart(time.Minute)), slowStartInitialShare)
}

// An upstream that fails repeatedly is ejected, probed with a single request after the
// ejection, and used again once the probe succeeds.
func TestFailingUpstreamIsEjectedAndProbed(t *testing.T) {
	b := newLeastLoaded(4)
	for range failuresToEject {
		s := b.byID["up-2"]
		b.startAttempt(testStart, s, &Request{})
		b.Done(testStart, s.Upstream, &Request{}, failure)
	}
	assert.Assert(t, b.byID["up-2"].ejected)
	pick := func(now time.Time) map[string]int {
		got := map[string]int{}
		for range 40 {
			c, ok := b.Pick(now, &Request{})
			assert.Assert(t, ok)
			got[c.ID]++
		}
		return got
	}
	assert.Equal(t, pick(afterStart(firstEjection - time.Millisecond))["up-2"], 0)
	assert.Equal(t, pick(afterStart(firstEjection))["up-2"], 1)
	b.Done(afterStart(firstEjection), testUpstreams(4)[2], &Request{}, success(testLoad(1, 0)))
	assert.Assert(t, pick(afterStart(firstEjection + slowStartDuration))["up-2"] > 1)
}

// If the healthy half of a pool disappears, the ejected half must not stay ejected as a
// whole.
func TestEjectedShareIsBoundedWhenPoolShrinks(t *testing.T) {
	b := newLeastLoaded(8)
	for _, u := range testUpstreams(4) {
		for range failuresToEject {
			b.startAttempt(testStart, b.byID[u.ID], &Request{})
			b.Done(testStart, u, &Request{}, failure)
		}
	}
	assert.Equal(t, b.ejectedCount, 4)
	b.SetUpstreams(testStart, testUpstreams(4))
	assert.Equal(t, b.ejectedCount, 2)
}

// Each failed probe doubles the duration of the ejection, up to maxEjection.
func TestFailedProbeDoublesEjection(t *testing.T) {
	b := newLeastLoaded(4)
	s := b.byID["up-2"]
	now := testStart
	for range failuresToEject {
		b.startAttempt(now, s, &Request{})
		b.Done(now, s.Upstream, &Request{}, failure)
	}
	for want := 2 * firstEjection; want < maxEjection; want *= 2 {
		now = s.ejectedUntil
		assert.Assert(t, b.usable(now, s))
		b.startAttempt(now, s, &Request{})
		b.Done(now, s.Upstream, &Request{}, failure)
		assert.Equal(t, s.ejectedUntil.Sub(now), want)
	}
}

// A stalled engine must be ejected for not responding, even while its agent keeps
// reporting a low load.
func TestStalledUpstreamIsEjected(t *testing.T) {
	b := newLeastLoaded(3)
	got := 0
	for i := range 400 {
		now := afterStart(time.Duration(i) * 50 * time.Millisecond)
		b.ApplyLoadReport(now, "up-1", 1, testLoad(uint64(i+1), 0))
		c, _ := b.Pick(now, &Request{})
		if c.ID == "up-1" {
			got++
			continue
		}
		b.Done(now.Add(20*time.Millisecond), c.Upstream, &Request{}, success(testLoad(uint64(i+1), 1)))
	}
	assert.Assert(t, b.byID["up-1"].ejections > 0)
	assert.Assert(t, got < 60, "%d of 400 went to the stalled upstream", got)
}

// Upstreams whose first responses take seconds must not be ejected as stalled before the
// entry knows the usual response time.
func TestSlowFirstResponsesDoNotEject(t *testing.T) {
	b := newLeastLoaded(4)
	for i := range 100 {
		b.Pick(afterStart(time.Duration(i)*100*time.Millisecond), &Request{})
	}
	assert.Equal(t, b.ejectedCount, 0)
}

// An upstream that responds ten times slower than its peers must be ejected.
func TestSlowUpstreamIsEjected(t *testing.T) {
	b := newLeastLoaded(4)
	for i := range 40 {
		for u, id := range []string{"up-0", "up-1", "up-2", "up-3"} {
			now := afterStart(time.Duration(i) * time.Second)
			s := b.byID[id]
			r := &Request{Tokens: 100}
			b.startAttempt(now, s, r)
			res := success(testLoad(uint64(i+1), 1))
			if u == 3 {
				res.Elapsed *= 10
			}
			b.Done(now.Add(res.Elapsed), s.Upstream, r, res)
		}
	}
	assert.Assert(t, b.byID["up-3"].ejections > 0)
	assert.Equal(t, b.byID["up-0"].ejections, 0)
}

// Cancellations by callers, full queues and deadlines exceeded in a queue are not the
// upstream's fault and must not eject it.
func TestCancellationsAndRefusalsDoNotEject(t *testing.T) {
	b := newLeastLoaded(4)
	gone := failure
	gone.CallerGone = true
	s := b.byID["up-0"]
	for i := range 100 {
		now := afterStart(time.Duration(i) * time.Millisecond)
		for _, res := range []Result{
			gone,
			{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_QUEUE_FULL, Load: testLoad(uint64(i+1), 72)},
			{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_DEADLINE},
		} {
			b.startAttempt(now, s, &Request{})
			b.Done(now, s.Upstream, &Request{}, res)
		}
	}
	assert.Assert(t, b.usable(afterStart(time.Second), s))
}

// An upstream that refuses a request because it is leaving must not be picked again while
// the directory still lists it.
func TestLeavingUpstreamIsNotPickedAgain(t *testing.T) {
	b := newLeastLoaded(3)
	c, _ := b.Pick(testStart, &Request{})
	b.Done(testStart, c.Upstream, &Request{}, Result{
		Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_UPSTREAM_LEAVING, Load: testLoad(1, 0),
	})
	for range 20 {
		next, ok := b.Pick(testStart, &Request{})
		assert.Assert(t, ok && next.ID != c.ID)
	}
}

// For any sequence of calls: at most the allowed share is ejected, no in-flight count is
// negative, the estimate is never below the entry's own requests, an excluded upstream
// is never picked, and Pick succeeds if any upstream is not excluded.
func TestBalancerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.Bool().Draw(t, "prefix")
		var b Balancer
		var p *pool
		if prefix {
			x := NewPrefixAffinity(PrefixSettings{RandomChoices: 3, MaxHolders: 2, MaxBlocks: 16, PrefixBonus: 1})
			b, p = x, &x.pool
		} else {
			x := &LeastLoaded{pool: newPool(), choices: 3}
			b, p = x, &x.pool
		}
		now := testStart
		ups := testUpstreams(rapid.IntRange(0, 8).Draw(t, "upstreams"))
		b.SetUpstreams(now, ups)
		type attempt struct {
			up Upstream
			r  *Request
		}
		var inflight []attempt
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				r := &Request{Tokens: rapid.IntRange(0, 100).Draw(t, "tokens"), Exclude: map[string]bool{}}
				r.Prefix = rapid.SliceOfN(rapid.Uint64Range(0, 9), 0, 4).Draw(t, "blocks")
				for _, u := range ups {
					if rapid.IntRange(0, 3).Draw(t, "exclude") == 0 {
						r.Exclude[u.ID] = true
					}
				}
				c, ok := b.Pick(now, r)
				assert.Equal(t, ok, len(r.Exclude) < len(ups))
				if ok {
					assert.Assert(t, !r.Exclude[c.ID])
					inflight = append(inflight, attempt{c.Upstream, r})
				}
			case 2, 3:
				if len(inflight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inflight)-1).Draw(t, "which")
				a := inflight[i]
				inflight = append(inflight[:i], inflight[i+1:]...)
				res := failure
				if rapid.IntRange(0, 2).Draw(t, "fails") == 0 {
					res = success(testLoad(rapid.Uint64Range(0, 50).Draw(t, "seq"), rapid.IntRange(0, 20).Draw(t, "load")))
				}
				b.Done(now, a.up, a.r, res)
			case 4:
				id := fmt.Sprintf("up-%d", rapid.IntRange(0, 8).Draw(t, "id"))
				b.ApplyLoadReport(now, id, 1, testLoad(rapid.Uint64Range(0, 50).Draw(t, "seq"), rapid.IntRange(0, 20).Draw(t, "load")))
				b.ApplyCacheEvents(now, id, 1, []*wire.CacheEvent{{
					Seq:   rapid.Uint64Range(1, 9).Draw(t, "event"),
					Added: rapid.SliceOfN(rapid.Uint64Range(0, 9), 0, 4).Draw(t, "added"),
				}})
			case 5:
				ups = testUpstreams(rapid.IntRange(0, 8).Draw(t, "upstreams"))
				if len(ups) > 0 {
					ups[0].Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
				}
				b.SetUpstreams(now, ups)
			}
			ejected := 0
			for _, s := range p.candidates {
				if s.ejected {
					ejected++
				}
				assert.Assert(t, s.inflight >= 0 && s.inflightTokens >= 0 && s.requests() >= s.inflight)
			}
			assert.Equal(t, ejected, p.ejectedCount)
			assert.Assert(t, ejected <= len(p.candidates)/2, "%d of %d are ejected", ejected, len(p.candidates))
		}
	})
}

// The subsets of many entries must use all upstreams of a large pool about equally.
func TestSubsetsCoverUpstreamsEvenly(t *testing.T) {
	const entries, size = 700, MaxCandidates
	ups := testUpstreams(900)
	covered := map[string]int{}
	for e := range entries {
		chosen := Subset(fmt.Sprintf("entry-%d", e), ups, size)
		assert.Equal(t, len(chosen), size)
		for _, u := range chosen {
			covered[u.ID]++
		}
	}
	mean := float64(entries*size) / float64(len(ups))
	assert.Equal(t, len(covered), len(ups))
	for id, n := range covered {
		assert.Assert(t, float64(n) > 0.5*mean && float64(n) < 1.6*mean, "%s is used by %d entries, mean %.0f", id, n, mean)
	}
}

// If an upstream of a large pool disappears, each entry's subset replaces at most that
// one, whatever the order of the list.
func TestSubsetReplacesAtMostOneUpstream(t *testing.T) {
	ups := testUpstreams(500)
	for e := range 50 {
		entry := fmt.Sprintf("entry-%d", e)
		before := map[string]bool{}
		for _, u := range Subset(entry, ups, MaxCandidates) {
			before[u.ID] = true
		}
		shuffled := append([]Upstream(nil), ups[1:]...)
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		added := 0
		for _, u := range Subset(entry, shuffled, MaxCandidates) {
			if !before[u.ID] {
				added++
			}
		}
		assert.Assert(t, added <= 1)
	}
}
