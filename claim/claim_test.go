package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

var startTime = time.Unix(1000, 0)

func newRing(n int) *wire.Ring {
	ring := &wire.Ring{Epoch: 1}
	for i := range n {
		ring.Members = append(ring.Members, &wire.RingMember{Id: entryID(i), FailureDomain: fmt.Sprintf("hall-%d", i), Incarnation: 1})
	}
	return ring
}

func newRegister(n int, incarnation uint64, ring *wire.Ring) *Register {
	r := NewRegister(DefaultRegisterSettings(), &wire.Incarnation{Id: entryID(n), Number: incarnation}, startTime)
	r.SetRing(ring)
	return r
}

func claimRequest(holder string) *wire.ClaimRequest {
	return &wire.ClaimRequest{Key: &wire.ClaimKey{Key: "bid"}, RequestId: holder, RingEpoch: 1, Digest: []byte("d")}
}

// A register grants a key, restarts, copies from its peers before the first request's
// claim reaches them, and grants the key to a resend. The first request's claim then
// reaches a peer: with the grant from before the restart it would have a majority too.
func TestGrantOfEarlierIncarnationIsNotCounted(t *testing.T) {
	ring := newRing(3)
	r0, r1, r2 := newRegister(0, 1, ring), newRegister(1, 1, ring), newRegister(2, 1, ring)
	first := NewRound(ring, claimRequest("first").Key, false)
	first.AddReply(entryID(0), r0.Grant(startTime, claimRequest("first")))

	r0 = newRegister(0, 2, ring)
	assert.Assert(t, r0.Grant(startTime, claimRequest("resent")).Forgetful)
	from := &wire.ClaimCopyRequest{From: &wire.Incarnation{Id: entryID(0), Number: 2}, RingEpoch: 1}
	r0.ApplyCopy(startTime, entryID(1), r1.CopyRecords(startTime, from))
	r0.ApplyCopy(startTime, entryID(2), r2.CopyRecords(startTime, from))
	resent := NewRound(ring, claimRequest("resent").Key, false)
	resent.AddReply(entryID(0), r0.Grant(startTime, claimRequest("resent")))
	resent.AddReply(entryID(2), r2.Grant(startTime, claimRequest("resent")))
	v, _ := resent.Verdict()
	assert.Equal(t, v, Won)

	first.AddReply(entryID(1), r1.Grant(startTime, claimRequest("first")))
	first.MarkFailed(entryID(2))
	v, _ = first.Verdict()
	assert.Equal(t, v, NoMajority)
	first.disabled.incarnationCheck = true
	v, _ = first.Verdict()
	assert.Equal(t, v, Won, "without the safeguard both would run")
}

// As above, but the host's clock is set back, so that the new incarnation has a lower
// number. The peers let it copy only under a number above that of the earlier
// incarnation, which they know from the ring or from its last copy.
func TestRestartWithClockSetBackNeedsHigherIncarnation(t *testing.T) {
	ring := newRing(3)
	ring.Members[0].Incarnation = 7
	r0, r1, r2 := newRegister(0, 7, ring), newRegister(1, 1, ring), newRegister(2, 1, ring)
	first := NewRound(ring, claimRequest("first").Key, false)
	first.AddReply(entryID(0), r0.Grant(startTime, claimRequest("first")))

	r0 = newRegister(0, 3, ring)
	for _, peer := range []struct {
		id  string
		reg *Register
	}{{entryID(1), r1}, {entryID(2), r2}} {
		c := peer.reg.CopyRecords(startTime, &wire.ClaimCopyRequest{From: r0.self, RingEpoch: 1})
		assert.Equal(t, c.SupersededBy, uint64(7))
		r0.ApplyCopy(startTime, peer.id, c)
	}
	assert.Equal(t, len(r0.PeersToCopy(startTime)), 2, "nothing was copied under the lower number")
	assert.Assert(t, r0.Grant(startTime, claimRequest("resent")).Forgetful)

	r0.RaiseIncarnation(8)
	r0.ApplyCopy(startTime, entryID(1), r1.CopyRecords(startTime, &wire.ClaimCopyRequest{From: r0.self, RingEpoch: 1}))
	r0.ApplyCopy(startTime, entryID(2), r2.CopyRecords(startTime, &wire.ClaimCopyRequest{From: r0.self, RingEpoch: 1}))
	resent := NewRound(ring, claimRequest("resent").Key, false)
	resent.AddReply(entryID(0), r0.Grant(startTime, claimRequest("resent")))
	resent.AddReply(entryID(2), r2.Grant(startTime, claimRequest("resent")))
	v, _ := resent.Verdict()
	assert.Equal(t, v, Won)

	first.AddReply(entryID(1), r1.Grant(startTime, claimRequest("first")))
	first.MarkFailed(entryID(2))
	v, _ = first.Verdict()
	assert.Equal(t, v, NoMajority)
}

// A register with MaxRecords keys refuses new ones with Full, until a record expires.
func TestFullRegisterRefusesNewKeys(t *testing.T) {
	ring := newRing(3)
	settings := DefaultRegisterSettings()
	settings.MaxRecords = 2
	r := NewRegister(settings, &wire.Incarnation{Id: entryID(0), Number: 1}, startTime)
	r.SetRing(ring)
	for _, k := range []string{"a", "b"} {
		q := claimRequest(k)
		q.Key = &wire.ClaimKey{Key: k}
		assert.Assert(t, r.Grant(startTime, q).Granted)
	}
	reply := r.Grant(startTime, claimRequest("c"))
	assert.Assert(t, reply.Full && !reply.Granted)
	later := startTime.Add(settings.MaxTTL)
	assert.Assert(t, r.Grant(later, claimRequest("c")).Granted)
	assert.Equal(t, r.Len(), 1)
}

// An answer above MaxAnswerBytes is stored without its body, and the key stays settled.
func TestDroppedAnswerStillPreventsSecondRun(t *testing.T) {
	ring := newRing(3)
	settings := DefaultRegisterSettings()
	settings.MaxAnswerBytes = 4
	r := NewRegister(settings, &wire.Incarnation{Id: entryID(0), Number: 1}, startTime)
	r.SetRing(ring)
	r.Grant(startTime, claimRequest("a"))
	r.Settle(startTime, &wire.ClaimSettle{
		Key: claimRequest("a").Key, RequestId: "a", State: wire.ClaimState_CLAIM_STATE_ANSWERED,
		Answer: &wire.StoredAnswer{Status: 200, Body: []byte("a long answer")},
	})
	reply := r.Grant(startTime, claimRequest("b"))
	assert.Assert(t, !reply.Granted)
	assert.Assert(t, reply.Record.Answer.Dropped)
}

func TestRegistersAreInDistinctFailureDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "members")
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		ring := &wire.Ring{Epoch: 1}
		for i := range n {
			ring.Members = append(ring.Members, &wire.RingMember{Id: entryID(i), FailureDomain: fmt.Sprint(i % domains)})
		}
		key := &wire.ClaimKey{Team: rapid.String().Draw(t, "team"), Key: rapid.String().Draw(t, "key")}
		chosen := SelectRegisters(ring.Members, key)
		seen := map[string]bool{}
		ids := map[string]bool{}
		for _, m := range chosen {
			seen[m.FailureDomain] = true
			ids[m.Id] = true
		}
		if len(ids) != RegistersPerKey || len(seen) != min(RegistersPerKey, domains) {
			t.Fatalf("%d registers in %d domains", len(ids), len(seen))
		}
	})
}

// Without a majority of reachable registers, the outcome is Unknown after a few rounds,
// long before the deadline. While another request holds the key, the acquisition waits.
func TestLostRegistersEndAcquisitionEarly(t *testing.T) {
	ring := newRing(3)
	req := Request{Key: claimRequest("q").Key, ID: "q", Digest: []byte("d"), TTL: time.Minute, Deadline: startTime.Add(time.Hour)}
	neverGone := func(*wire.Incarnation) bool { return false }
	halfJitter := func(d time.Duration) time.Duration { return d / 2 }
	runUntilDecision := func(reply func(id string) *wire.ClaimReply) (Decision, time.Duration) {
		f := NewAcquisition(req, neverGone, halfJitter)
		now := startTime
		for now.Before(startTime.Add(time.Minute)) {
			a := f.Step(now, RingState{Ring: ring, Confirmed: true})
			if a.Decision != Wait {
				return a.Decision, now.Sub(startTime)
			}
			if a.Claim != nil {
				for _, m := range a.Targets {
					f.AddReply(f.Holder(), m.Id, reply(m.Id))
				}
				continue
			}
			now = a.WakeAt
		}
		return Wait, now.Sub(startTime)
	}
	choice, took := runUntilDecision(func(string) *wire.ClaimReply { return nil })
	assert.Equal(t, choice, Unknown)
	assert.Assert(t, took < time.Second, "%v", took)
	held := &wire.ClaimRecord{Holder: "other", State: wire.ClaimState_CLAIM_STATE_HELD, Digest: []byte("d")}
	choice, _ = runUntilDecision(func(string) *wire.ClaimReply { return &wire.ClaimReply{RingEpoch: 1, Record: held} })
	assert.Equal(t, choice, Wait)
}
