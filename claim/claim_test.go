package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

var epoch = time.Unix(1000, 0)

func ringOf(n int) *wire.Ring {
	ring := &wire.Ring{Epoch: 1}
	for i := range n {
		ring.Members = append(ring.Members, &wire.RingMember{Id: id(i), FailureDomain: fmt.Sprintf("hall-%d", i), Incarnation: 1})
	}
	return ring
}

func newRegister(n int, life uint64, ring *wire.Ring) *Register {
	r := NewRegister(DefaultRegisterSettings(), &wire.Incarnation{Id: id(n), Number: life}, epoch)
	r.SetRing(ring)
	return r
}

func claimBy(holder string) *wire.ClaimRequest {
	return &wire.ClaimRequest{Key: &wire.ClaimKey{Key: "bid"}, RequestId: holder, RingEpoch: 1, Digest: []byte("d")}
}

// A register grants a bid, restarts, copies from its peers before the bid's
// claim reached them, and grants the resent bid. Then the first claim reaches a
// peer: together with the forgotten grant that is a majority, and the bid would
// run beside its resend.
func TestGrantOfAnEarlierLifeCountsForNothing(t *testing.T) {
	ring := ringOf(3)
	r0, r1, r2 := newRegister(0, 1, ring), newRegister(1, 1, ring), newRegister(2, 1, ring)
	first := NewClaimant(ring, claimBy("first").Key, false)
	first.Take(id(0), r0.Grant(epoch, claimBy("first")))

	r0 = newRegister(0, 2, ring)
	assert.Assert(t, r0.Grant(epoch, claimBy("resent")).Forgetful)
	from := &wire.ClaimCopyRequest{From: &wire.Incarnation{Id: id(0), Number: 2}, RingEpoch: 1}
	r0.TakeCopy(epoch, id(1), r1.Copy(epoch, from))
	r0.TakeCopy(epoch, id(2), r2.Copy(epoch, from))
	resent := NewClaimant(ring, claimBy("resent").Key, false)
	resent.Take(id(0), r0.Grant(epoch, claimBy("resent")))
	resent.Take(id(2), r2.Grant(epoch, claimBy("resent")))
	v, _ := resent.Verdict()
	assert.Equal(t, v, Won)

	first.Take(id(1), r1.Grant(epoch, claimBy("first")))
	first.Fail(id(2))
	v, _ = first.Verdict()
	assert.Equal(t, v, Lost)
	first.off.lives = true
	v, _ = first.Verdict()
	assert.Equal(t, v, Won, "without the safeguard both would run")
}

// The same bid as above, but the clock of the register's host is set back before
// its restart, so that the new life has the lower number. Its peers know the
// earlier life, from the ring or from its last copy: they let it copy only under a
// number above that, and the forgotten grant counts for nothing again.
func TestClockSetBackBeforeARestart(t *testing.T) {
	ring := ringOf(3)
	ring.Members[0].Incarnation = 7
	r0, r1, r2 := newRegister(0, 7, ring), newRegister(1, 1, ring), newRegister(2, 1, ring)
	first := NewClaimant(ring, claimBy("first").Key, false)
	first.Take(id(0), r0.Grant(epoch, claimBy("first")))

	r0 = newRegister(0, 3, ring)
	for _, peer := range []struct {
		id  string
		reg *Register
	}{{id(1), r1}, {id(2), r2}} {
		c := peer.reg.Copy(epoch, &wire.ClaimCopyRequest{From: r0.self, RingEpoch: 1})
		assert.Equal(t, c.SupersededBy, uint64(7))
		r0.TakeCopy(epoch, peer.id, c)
	}
	assert.Equal(t, len(r0.Missing(epoch)), 2, "nothing was copied under the lower number")
	assert.Assert(t, r0.Grant(epoch, claimBy("resent")).Forgetful)

	r0.Renumber(8)
	r0.TakeCopy(epoch, id(1), r1.Copy(epoch, &wire.ClaimCopyRequest{From: r0.self, RingEpoch: 1}))
	r0.TakeCopy(epoch, id(2), r2.Copy(epoch, &wire.ClaimCopyRequest{From: r0.self, RingEpoch: 1}))
	resent := NewClaimant(ring, claimBy("resent").Key, false)
	resent.Take(id(0), r0.Grant(epoch, claimBy("resent")))
	resent.Take(id(2), r2.Grant(epoch, claimBy("resent")))
	v, _ := resent.Verdict()
	assert.Equal(t, v, Won)

	first.Take(id(1), r1.Grant(epoch, claimBy("first")))
	first.Fail(id(2))
	v, _ = first.Verdict()
	assert.Equal(t, v, Lost)
}

// A register is at its bound. It says so and grants nothing; keys that it holds
// are still answered, and an expired key makes room.
func TestFullRegisterRefusesClearly(t *testing.T) {
	ring := ringOf(3)
	set := DefaultRegisterSettings()
	set.MaxRecords = 2
	r := NewRegister(set, &wire.Incarnation{Id: id(0), Number: 1}, epoch)
	r.SetRing(ring)
	for _, k := range []string{"a", "b"} {
		q := claimBy(k)
		q.Key = &wire.ClaimKey{Key: k}
		assert.Assert(t, r.Grant(epoch, q).Granted)
	}
	reply := r.Grant(epoch, claimBy("c"))
	assert.Assert(t, reply.Full && !reply.Granted)
	later := epoch.Add(set.MaxTTL)
	assert.Assert(t, r.Grant(later, claimBy("c")).Granted)
	assert.Equal(t, r.Len(), 1)
}

// Answers beyond the bound are dropped, never the memory that the request ran.
func TestDroppedAnswerStillStopsASecondRun(t *testing.T) {
	ring := ringOf(3)
	set := DefaultRegisterSettings()
	set.MaxAnswerBytes = 4
	r := NewRegister(set, &wire.Incarnation{Id: id(0), Number: 1}, epoch)
	r.SetRing(ring)
	r.Grant(epoch, claimBy("a"))
	r.Settle(epoch, &wire.ClaimSettle{
		Key: claimBy("a").Key, RequestId: "a", State: wire.ClaimState_CLAIM_STATE_ANSWERED,
		Answer: &wire.StoredAnswer{Status: 200, Body: []byte("a long answer")},
	})
	reply := r.Grant(epoch, claimBy("b"))
	assert.Assert(t, !reply.Granted)
	assert.Assert(t, reply.Record.Answer.Dropped)
}

func TestRegistersStandInDistinctFailureDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 12).Draw(t, "members")
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		ring := &wire.Ring{Epoch: 1}
		for i := range n {
			ring.Members = append(ring.Members, &wire.RingMember{Id: id(i), FailureDomain: fmt.Sprint(i % domains)})
		}
		key := &wire.ClaimKey{Team: rapid.String().Draw(t, "team"), Key: rapid.String().Draw(t, "key")}
		chosen := Registers(ring.Members, key)
		seen := map[string]bool{}
		ids := map[string]bool{}
		for _, m := range chosen {
			seen[m.FailureDomain] = true
			ids[m.Id] = true
		}
		if len(ids) != Copies || len(seen) != min(Copies, domains) {
			t.Fatalf("%d registers in %d domains", len(ids), len(seen))
		}
	})
}

// Two of a key's registers are lost. The caller is told "unknown" after a few
// rounds, long before its deadline, so that it can come back; while another
// request holds the key it is worth waiting for that one's answer.
func TestLostRegistersAreToldAtOnce(t *testing.T) {
	ring := ringOf(3)
	req := Request{Key: claimBy("q").Key, ID: "q", Digest: []byte("d"), TTL: time.Minute, Deadline: epoch.Add(time.Hour)}
	alive := func(*wire.Incarnation) bool { return false }
	half := func(d time.Duration) time.Duration { return d / 2 }
	play := func(reply func(id string) *wire.ClaimReply) (Choice, time.Duration) {
		f := NewFlow(req, alive, half)
		now := epoch
		for now.Before(epoch.Add(time.Minute)) {
			a := f.Step(now, RingState{Ring: ring, Confirmed: true})
			if a.Choice != Wait {
				return a.Choice, now.Sub(epoch)
			}
			if a.Claim != nil {
				for _, m := range a.Targets {
					f.Reply(f.Holder(), m.Id, reply(m.Id))
				}
				continue
			}
			now = a.Wake
		}
		return Wait, now.Sub(epoch)
	}
	choice, took := play(func(string) *wire.ClaimReply { return nil })
	assert.Equal(t, choice, Unknown)
	assert.Assert(t, took < time.Second, "%v", took)
	held := &wire.ClaimRecord{Holder: "other", State: wire.ClaimState_CLAIM_STATE_HELD, Digest: []byte("d")}
	choice, _ = play(func(string) *wire.ClaimReply { return &wire.ClaimReply{RingEpoch: 1, Record: held} })
	assert.Equal(t, choice, Wait)
}
