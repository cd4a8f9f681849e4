package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
)

// partOf returns a part of prompts.
func partOf(id string) PromptPart { return PromptPart{Service: "lm", ID: id} }

func newPartNode(now *time.Time) *Node {
	return NewNode("g", log.NewNopLogger(), func() time.Time { return *now }, nil)
}

// crashWith records a crash under a request that no other is like, with a part.
func crashWith(n *Node, request, upstream int, part PromptPart) {
	r := &Request{Team: "t", URI: fmt.Sprint(request)}
	n.RecordCrash(Crash{RequestInfo: r.Info("r"), Parts: PartInfos([]PromptPart{part}, "t", "r"), Upstream: fmt.Sprint("up-", upstream), RequestID: r.URI})
}

// request is a caller's request with parts.
type partRequest struct{ uri string }

// Identity implements Identifier.
func (r *partRequest) Identity() *Request { return &Request{Team: "t", URI: r.uri} }

func guardFor(n *Node, uri string, parts ...PromptPart) *RequestGuard {
	g := &RequestGuard{}
	g.Init(n, &partRequest{uri})
	g.RecordArrival(parts)
	return g
}

func TestRequestsAreSuspectedByTheirParts(t *testing.T) {
	now := start
	n := newPartNode(&now)
	for i := range 3 {
		crashWith(n, i, i, partOf("bad"))
		now = now.Add(time.Second)
	}
	v := guardFor(n, "another", partOf("first"), partOf("bad")).Verdict()
	assert.Equal(t, v.Status, Quarantined)
	assert.Equal(t, v.Part, "bad")
	assert.Equal(t, guardFor(n, "another", partOf("first")).Verdict().Status, Unsuspected)
	assert.Equal(t, guardFor(n, "another", PromptPart{Service: "other", ID: "bad"}).Verdict().Status, Unsuspected)
	assert.Assert(t, !guardFor(n, "another", partOf("bad")).Begin())
	assert.Equal(t, guardFor(n, "0").Verdict().Status, Unsuspected, "the part explains its crash")
}

// Guards against a part that all requests have, and that is suspected since all requests that ran at a crash had it.
func TestAnsweredPartsAreNotSuspected(t *testing.T) {
	now := start
	n := newPartNode(&now)
	assert.Assert(t, !guardFor(n, "sound", partOf("first")).RecordAnswer("1"))
	for i := range 9 {
		crashWith(n, i, i, partOf("first"))
		now = now.Add(time.Second)
	}
	assert.Equal(t, guardFor(n, "another", partOf("first")).Verdict().Status, Unsuspected)
	// Long ago it says nothing any more.
	now = now.Add(answeredPartTTL)
	for i := range 3 {
		crashWith(n, 10+i, 10+i, partOf("first"))
		now = now.Add(time.Second)
	}
	assert.Equal(t, guardFor(n, "another", partOf("first")).Verdict().Status, Quarantined)
}

// Guards against a gateway that has just started and suspects what others have served for long.
func TestOthersClearPartsThatTheyHaveAnswered(t *testing.T) {
	now := start
	started, serving := newPartNode(&now), newPartNode(&now)
	guardFor(serving, "sound", partOf("first")).RecordAnswer("1")
	for i := range 2 {
		crashWith(started, i, i, partOf("first"))
		now = now.Add(time.Second)
	}
	assert.Equal(t, guardFor(started, "another", partOf("first")).Verdict().Status, LastTrial)
	serving.ApplyReport("replica", started.table.LocalSince(now, 0).Suspicions)
	assert.Equal(t, guardFor(serving, "another", partOf("first")).Verdict().Status, Unsuspected)
	started.ApplyReport("replica", serving.table.LocalSince(now, 0).Suspicions)
	assert.Equal(t, guardFor(started, "another", partOf("first")).Verdict().Status, Unsuspected)
}

// Guards against the loss of all histories at once: a part that a quarter of the requests have is in most crashes by
// chance.
func TestCommonPartsAreNotSuspectedWithoutAnswers(t *testing.T) {
	now := start
	n := newPartNode(&now)
	for i := range minArrivals {
		guardFor(n, fmt.Sprint("sound-", i), partOf("first"), partOf(fmt.Sprint("subject-", i)))
	}
	for i := range 3 {
		crashWith(n, i, i, partOf("first"))
		crashWith(n, 100+i, i, partOf("subject-1"))
		now = now.Add(time.Second)
	}
	assert.Equal(t, guardFor(n, "another", partOf("first")).Verdict().Status, Unsuspected)
	assert.Equal(t, guardFor(n, "another", partOf("subject-1")).Verdict().Status, Quarantined)
}

// Guards against the same where each gateway sees too little to tell what is common: several requests with the part
// ran at each crash.
func TestPartsAtEachCrashSeveralTimesAreNotQuarantined(t *testing.T) {
	now := start
	one, other := newPartNode(&now), newPartNode(&now)
	replica := NewTable(DefaultSettings())
	for i := range 5 {
		crashWith(one, i, i, partOf("first"))
		crashWith(other, 100+i, i, partOf("first"))
		crashWith(other, 200+i, i, partOf("bad"))
		for range 2 {
			for _, n := range []*Node{one, other} {
				for _, m := range n.table.LocalSince(now, 0).Suspicions {
					assert.NilError(t, Check(m))
					replica.Merge(now, m)
				}
				n.ApplyReport("replica", replica.Since(now, 0).Suspicions)
			}
		}
		now = now.Add(time.Second)
	}
	for _, n := range []*Node{one, other} {
		assert.Assert(t, guardFor(n, "another", partOf("first")).Verdict().Status < Quarantined)
		assert.Equal(t, guardFor(n, "another", partOf("bad")).Verdict().Status, Quarantined)
	}
}

// Guards against a bad part that stays free since a sound one ran at the same crashes by chance and was put in
// quarantine for them.
func TestTiedPartsAreQuarantinedTogether(t *testing.T) {
	now := start
	n := newPartNode(&now)
	for i := range 5 {
		for _, id := range []string{"bad", "sound"} {
			assert.Assert(t, guardFor(n, "another", partOf(id)).Verdict().Status < Quarantined, "%d crashes", i)
			crashWith(n, 10*i+len(id), i, partOf(id))
		}
		now = now.Add(time.Second)
	}
	for _, id := range []string{"bad", "sound"} {
		assert.Equal(t, guardFor(n, "another", partOf(id)).Verdict().Status, Quarantined, id)
	}
}

// Guards against a part under suspicion that is tried at several upstreams side by side.
func TestPartOnItsLastTrialRunsOnce(t *testing.T) {
	now := start
	n := newPartNode(&now)
	crashWith(n, 1, 1, partOf("bad"))
	crashWith(n, 2, 2, partOf("bad"))
	first, second := guardFor(n, "a", partOf("bad")), guardFor(n, "b", partOf("bad"))
	assert.Assert(t, first.Begin())
	assert.Assert(t, !second.Begin())
	first.Done()
	assert.Assert(t, second.Begin())
	assert.Assert(t, second.RecordAnswer("2"), "an answer clears it")
	second.Done()
	assert.Equal(t, guardFor(n, "c", partOf("bad")).Verdict().Status, Unsuspected)
}

// Guards against memory that grows with the part IDs that come and go.
func TestPartsInMemoryAreBounded(t *testing.T) {
	now := start
	n := newPartNode(&now)
	for i := range 5 * maxAnsweredParts {
		guardFor(n, "sound", partOf(fmt.Sprint("part-", i))).RecordAnswer("1")
	}
	assert.Assert(t, len(n.parts.answered)+len(n.parts.previous) <= maxAnsweredParts)
	assert.Assert(t, len(n.parts.arrivals) <= recentArrivals)
	for i := range 5000 {
		crashWith(n, i, i, partOf(fmt.Sprint("new-", i)))
	}
	assert.Assert(t, n.table.Len() <= DefaultSettings().MaxRecords)
}

// Guards against a part in quarantine that is forgotten when all gateways and replicas restart.
func TestPartSurvivesOnTheLog(t *testing.T) {
	now := start
	n := newPartNode(&now)
	for i := range 3 {
		crashWith(n, i, i, partOf("bad"))
		now = now.Add(time.Second)
	}
	m := &Machine{}
	for _, s := range n.table.All(now) {
		if s.QuarantineMs > 0 {
			m.put(NewLoggedQuarantine(now, s))
		}
	}
	restored := &Machine{}
	restored.Restore(m.Snapshot())
	later := newPartNode(&now)
	later.ApplyReport("replica", restored.Suspicions(now))
	v := guardFor(later, "another", partOf("bad")).Verdict()
	assert.Equal(t, v.Status, Quarantined)
	views := SuspicionViews(later.table.All(now))
	assert.Equal(t, len(views), 1)
	assert.Equal(t, views[0].Part, "bad")
}
