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

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func upstreams(n int) []Upstream {
	domains := []string{"hall-a", "hall-b", "hall-c"}
	ups := make([]Upstream, n)
	for i := range ups {
		ups[i] = Upstream{ID: fmt.Sprintf("up-%d", i), Incarnation: 1, FailureDomain: domains[i%len(domains)]}
	}
	return ups
}

func newLeastLoaded(n int) *LeastLoaded {
	b := &LeastLoaded{pool: newPool(), choices: defaultChoices}
	b.SetPlace(Place{Entry: "entry-1", FailureDomain: "hall-a", Seed: 1})
	b.Update(start, upstreams(n))
	return b
}

func load(seq uint64, requests int) *wire.Load {
	return &wire.Load{Seq: seq, Running: uint32(requests), Slots: 8}
}

func whole(l *wire.Load) Result {
	return Result{Outcome: wire.Outcome_OUTCOME_DONE, Load: l, Elapsed: 100 * time.Millisecond}
}

var broken = Result{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Reason: wire.Reason_REASON_UPSTREAM_FAILED}

// A report overtaken by a later one, of an earlier life, or of an unknown
// upstream would make a busy upstream look idle: it changes nothing.
func TestLateReportChangesNothing(t *testing.T) {
	b := newLeastLoaded(2)
	b.Report(start, "up-0", 1, load(5, 7))
	b.Report(start, "up-0", 1, load(4, 0))
	b.Report(start, "up-0", 2, load(9, 0))
	b.Report(start, "up-9", 1, load(9, 0))
	assert.Equal(t, b.byID["up-0"].requests(), 7)
}

// The entry sends a burst between two reports. The reports all say "idle",
// because they are older than the burst. Were they taken as they are, the whole
// burst would queue at one upstream.
func TestOldReportsDontHideOwnBurst(t *testing.T) {
	b := newLeastLoaded(4)
	sent := map[string]int{}
	for i := range 32 {
		now := at(time.Duration(i) * 10 * time.Millisecond)
		for u := range 4 {
			b.Report(now, fmt.Sprintf("up-%d", u), 1, load(uint64(i+1), 0))
		}
		c, ok := b.Pick(now, &Request{})
		assert.Assert(t, ok)
		sent[c.ID]++
	}
	for id, n := range sent {
		assert.Assert(t, n >= 7 && n <= 9, "%s got %d of 32", id, n)
	}
}

// An answer's load is as old as its way back: own work that was sent before it
// stands in it and must not count twice.
func TestAnswerHoldsOwnWork(t *testing.T) {
	b := newLeastLoaded(1)
	for range 3 {
		b.Pick(start, &Request{})
	}
	later := at(time.Second)
	for range 2 {
		b.Pick(later, &Request{})
	}
	b.Done(later.Add(time.Millisecond), upstreams(1)[0], &Request{}, whole(load(1, 9)))
	// 9 at the answer's time, the one that ended among them, and two on their way.
	assert.Equal(t, b.byID["up-0"].requests(), 10)
}

// Callers see no difference, but the own failure domain saves a millisecond each
// way: it wins between equals, and never against a whole request less.
func TestOwnFailureDomainWinsBetweenEquals(t *testing.T) {
	b := newLeastLoaded(3)
	for i, requests := range []int{3, 3, 3} {
		b.Report(start, fmt.Sprintf("up-%d", i), 1, load(1, requests))
	}
	c, _ := b.Pick(start, &Request{})
	assert.Equal(t, c.FailureDomain, "hall-a")
	b.Report(start, "up-0", 1, load(2, 5))
	c, _ = b.Pick(start, &Request{})
	assert.Assert(t, c.FailureDomain != "hall-a")
}

// An upstream starts again while the others are half busy. It reports no load to
// all entries at once; without a slow start it would get every request of each.
func TestNewUpstreamStartsSlowly(t *testing.T) {
	b := newLeastLoaded(4)
	for i := range 4 {
		b.Report(start, fmt.Sprintf("up-%d", i), 1, load(1, 4))
	}
	ups := upstreams(4)
	ups[1].Incarnation = 2
	b.Update(start, ups)
	b.Report(start, "up-1", 2, load(1, 0))
	picked := func(now time.Time) int {
		n := 0
		for range 12 {
			if c, _ := b.Pick(now, &Request{}); c.ID == "up-1" {
				n++
			}
		}
		return n
	}
	early := picked(at(time.Second))
	assert.Assert(t, early >= 1 && early <= 3, "%d of 12 in the first second", early)
}

// An entry starts and hears of its upstreams one after the other: none of them
// is new. One that turns up much later is.
func TestEntryStartIsNoUpstreamStart(t *testing.T) {
	b := newLeastLoaded(1)
	b.Update(at(time.Second), upstreams(2))
	b.Update(at(time.Minute), upstreams(3))
	assert.Equal(t, b.byID["up-1"].share(at(time.Minute)), 1.0)
	assert.Equal(t, b.byID["up-2"].share(at(time.Minute)), slowStartFrom)
}

// An upstream answers every request with a cut connection. Callers see retries
// until it is left; it is asked again after a while, and used once it answers.
func TestFailingUpstreamIsEjectedAndProbed(t *testing.T) {
	b := newLeastLoaded(4)
	for range failuresToEject {
		s := b.byID["up-2"]
		b.start(start, s, &Request{})
		b.Done(start, s.Upstream, &Request{}, broken)
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
	assert.Equal(t, pick(at(firstEjection - time.Millisecond))["up-2"], 0)
	assert.Equal(t, pick(at(firstEjection))["up-2"], 1)
	b.Done(at(firstEjection), upstreams(4)[2], &Request{}, whole(load(1, 0)))
	assert.Assert(t, pick(at(firstEjection + slowStart))["up-2"] > 1)
}

// Half of a pool is ejected when its healthy half goes. What is left must not
// be ejected whole: callers would wait for nobody.
func TestEjectionsEndWhenThePoolShrinks(t *testing.T) {
	b := newLeastLoaded(8)
	for _, u := range upstreams(4) {
		for range failuresToEject {
			b.start(start, b.byID[u.ID], &Request{})
			b.Done(start, u, &Request{}, broken)
		}
	}
	assert.Equal(t, b.ejected, 4)
	b.Update(start, upstreams(4))
	assert.Equal(t, b.ejected, 2)
}

// A probe fails: the upstream is left for twice as long, and so on up to a bound.
func TestFailedProbeEjectsForLonger(t *testing.T) {
	b := newLeastLoaded(4)
	s := b.byID["up-2"]
	now := start
	for range failuresToEject {
		b.start(now, s, &Request{})
		b.Done(now, s.Upstream, &Request{}, broken)
	}
	for want := 2 * firstEjection; want < maxEjection; want *= 2 {
		now = s.until
		assert.Assert(t, b.usable(now, s))
		b.start(now, s, &Request{})
		b.Done(now, s.Upstream, &Request{}, broken)
		assert.Equal(t, s.until.Sub(now), want)
	}
}

// An engine stands still while its agent goes on reporting a low load. The
// requests sent there hang until their deadline; no answer in the time in which
// the others answer many gives it away.
func TestStalledUpstreamIsEjected(t *testing.T) {
	b := newLeastLoaded(3)
	got := 0
	for i := range 400 {
		now := at(time.Duration(i) * 50 * time.Millisecond)
		b.Report(now, "up-1", 1, load(uint64(i+1), 0))
		c, _ := b.Pick(now, &Request{})
		if c.ID == "up-1" {
			got++
			continue
		}
		b.Done(now.Add(20*time.Millisecond), c.Upstream, &Request{}, whole(load(uint64(i+1), 1)))
	}
	assert.Assert(t, b.byID["up-1"].ejections > 0)
	assert.Assert(t, got < 60, "%d of 400 went to the stalled upstream", got)
}

// An entry has just started and its engines take many seconds for their first
// answers. Nothing is known of what is usual: none of them is taken for stalled.
func TestSlowFirstAnswersAreNoStall(t *testing.T) {
	b := newLeastLoaded(4)
	for i := range 100 {
		b.Pick(at(time.Duration(i)*100*time.Millisecond), &Request{})
	}
	assert.Equal(t, b.ejected, 0)
}

// An engine answers all, but ten times slower than the others.
func TestSlowUpstreamIsEjected(t *testing.T) {
	b := newLeastLoaded(4)
	for i := range 40 {
		for u, id := range []string{"up-0", "up-1", "up-2", "up-3"} {
			now := at(time.Duration(i) * time.Second)
			s := b.byID[id]
			r := &Request{Tokens: 100}
			b.start(now, s, r)
			res := whole(load(uint64(i+1), 1))
			if u == 3 {
				res.Elapsed *= 10
			}
			b.Done(now.Add(res.Elapsed), s.Upstream, r, res)
		}
	}
	assert.Assert(t, b.byID["up-3"].ejections > 0)
	assert.Equal(t, b.byID["up-0"].ejections, 0)
}

// A caller leaves before its answer, a queue is full, a deadline passes in the
// queue: none of these is the upstream's fault. Counted as faults, a few
// impatient callers could take a healthy pool away from all others.
func TestCallersDontEjectUpstreams(t *testing.T) {
	b := newLeastLoaded(4)
	gone := broken
	gone.CallerGone = true
	s := b.byID["up-0"]
	for i := range 100 {
		now := at(time.Duration(i) * time.Millisecond)
		for _, res := range []Result{
			gone,
			{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_QUEUE_FULL, Load: load(uint64(i+1), 72)},
			{Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_DEADLINE},
		} {
			b.start(now, s, &Request{})
			b.Done(now, s.Upstream, &Request{}, res)
		}
	}
	assert.Assert(t, b.usable(at(time.Second), s))
}

// An upstream refuses because it is leaving, some seconds before the directory
// says so. Each request sent there again would cost a retry.
func TestLeavingUpstreamIsNotPickedAgain(t *testing.T) {
	b := newLeastLoaded(3)
	c, _ := b.Pick(start, &Request{})
	b.Done(start, c.Upstream, &Request{}, Result{
		Outcome: wire.Outcome_OUTCOME_NOT_RUN, Reason: wire.Reason_REASON_UPSTREAM_LEAVING, Load: load(1, 0),
	})
	for range 20 {
		next, ok := b.Pick(start, &Request{})
		assert.Assert(t, ok && next.ID != c.ID)
	}
}

// Whatever comes in whatever order: no more than the allowed share is ejected,
// nothing in flight is negative, the estimate is never below own work, an
// excluded upstream is never chosen, and there is a choice as long as there is
// an upstream that is not excluded.
func TestAnyScheduleKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.Bool().Draw(t, "prefix")
		var b Balancer
		var p *pool
		if prefix {
			x := NewPrefix(PrefixSettings{Choices: 3, MaxHolders: 2, MaxBlocks: 16, Worth: 1})
			b, p = x, &x.pool
		} else {
			x := &LeastLoaded{pool: newPool(), choices: 3}
			b, p = x, &x.pool
		}
		now := start
		ups := upstreams(rapid.IntRange(0, 8).Draw(t, "upstreams"))
		b.Update(now, ups)
		type sent struct {
			up Upstream
			r  *Request
		}
		var flying []sent
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
					flying = append(flying, sent{c.Upstream, r})
				}
			case 2, 3:
				if len(flying) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(flying)-1).Draw(t, "which")
				f := flying[i]
				flying = append(flying[:i], flying[i+1:]...)
				res := broken
				if rapid.IntRange(0, 2).Draw(t, "fails") == 0 {
					res = whole(load(rapid.Uint64Range(0, 50).Draw(t, "seq"), rapid.IntRange(0, 20).Draw(t, "load")))
				}
				b.Done(now, f.up, f.r, res)
			case 4:
				id := fmt.Sprintf("up-%d", rapid.IntRange(0, 8).Draw(t, "id"))
				b.Report(now, id, 1, load(rapid.Uint64Range(0, 50).Draw(t, "seq"), rapid.IntRange(0, 20).Draw(t, "load")))
				b.Cache(now, id, 1, []*wire.CacheEvent{{
					Seq:   rapid.Uint64Range(1, 9).Draw(t, "event"),
					Added: rapid.SliceOfN(rapid.Uint64Range(0, 9), 0, 4).Draw(t, "added"),
				}})
			case 5:
				ups = upstreams(rapid.IntRange(0, 8).Draw(t, "upstreams"))
				if len(ups) > 0 {
					ups[0].Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
				}
				b.Update(now, ups)
			}
			ejected := 0
			for _, s := range p.list {
				if s.ejected {
					ejected++
				}
				assert.Assert(t, s.inflight >= 0 && s.tokens >= 0 && s.requests() >= s.inflight)
			}
			assert.Equal(t, ejected, p.ejected)
			assert.Assert(t, ejected <= len(p.list)/2, "%d of %d are ejected", ejected, len(p.list))
		}
	})
}

// A large pool is cut to a subset. An upstream that few entries use would idle
// beside others that queue.
func TestSubsetsCoverUpstreamsEvenly(t *testing.T) {
	const entries, size = 700, maxCandidates
	ups := upstreams(900)
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
		assert.Assert(t, float64(n) > 0.5*mean && float64(n) < 1.6*mean, "%s is used by %d entries, %.0f are usual", id, n, mean)
	}
}

// One upstream of a large pool goes: each entry replaces at most that one, and
// keeps its connections to the others.
func TestSubsetChangesLittle(t *testing.T) {
	ups := upstreams(500)
	for e := range 50 {
		entry := fmt.Sprintf("entry-%d", e)
		before := map[string]bool{}
		for _, u := range Subset(entry, ups, maxCandidates) {
			before[u.ID] = true
		}
		shuffled := append([]Upstream(nil), ups[1:]...)
		rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		fresh := 0
		for _, u := range Subset(entry, shuffled, maxCandidates) {
			if !before[u.ID] {
				fresh++
			}
		}
		assert.Assert(t, fresh <= 1)
	}
}
