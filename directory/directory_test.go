package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

var testStart = time.Unix(1000, 0)

func noSettling() Settings {
	s := DefaultSettings()
	s.SettleTime = 0
	return s
}

func upAnnouncement(id string, incarnation, seq uint64) *wire.Announcement {
	return &wire.Announcement{Id: id, Incarnation: incarnation, Seq: seq, Role: wire.Role_ROLE_UPSTREAM, Phase: wire.Phase_PHASE_UP}
}

func leavingAnnouncement(id string, incarnation, seq uint64) *wire.Announcement {
	a := upAnnouncement(id, incarnation, seq)
	a.Phase = wire.Phase_PHASE_LEAVING
	return a
}

// Delayed messages of an earlier incarnation, or earlier messages of the same one, must
// not change an upstream that has left or restarted.
func TestDelayedMessagesAreIgnored(t *testing.T) {
	s := New(noSettling(), testStart, 0)
	s.Announce(testStart, upAnnouncement("u", 1, 1), 0, true)
	s.Announce(testStart, leavingAnnouncement("u", 1, 3), 0, true)
	changed, _ := s.Announce(testStart, upAnnouncement("u", 1, 2), 0, true)
	assert.Assert(t, !changed)
	assert.Equal(t, s.Get("u").Phase, wire.Phase_PHASE_LEAVING)
	s.Announce(testStart, upAnnouncement("u", 2, 1), 0, true)
	assert.Assert(t, s.Get("u").Up())
	_, superseded := s.Announce(testStart, leavingAnnouncement("u", 1, 9), 0, true)
	assert.Assert(t, superseded)
	assert.Assert(t, s.Get("u").Up())
	src := &Source{}
	s.Apply(testStart, src, &wire.DirectoryUpdate{
		Entries:   []*wire.DirectoryEntry{{Announcement: leavingAnnouncement("u", 1, 99)}},
		Withdrawn: []*wire.Withdrawal{{Id: "u", Incarnation: 1}},
	})
	assert.Assert(t, s.Get("u").Up())
	assert.Equal(t, len(s.Get("u").sources), 0, "no source may report an earlier incarnation")
}

// After a stall longer than the lease of its source, the next update of a watch restores
// the instances that expired, except those withdrawn in it.
func TestStalledWatchRestoresInstances(t *testing.T) {
	s := New(noSettling(), testStart, 0)
	src := &Source{}
	s.Apply(testStart, src, updateWith(upAnnouncement("u", 1, 1), upAnnouncement("v", 1, 1)))
	later := testStart.Add(10 * time.Second)
	assert.Equal(t, len(s.Tick(later)), 2)
	assert.Equal(t, len(s.Instances(wire.Role_ROLE_UPSTREAM)), 0)
	_, _ = s.Announce(later, upAnnouncement("u", 1, 1), 0, false)
	assert.Assert(t, !s.Get("u").Up(), "a repeated announcement must not restore an instance")
	changed := s.Apply(later, src, &wire.DirectoryUpdate{Withdrawn: []*wire.Withdrawal{{Id: "v", Incarnation: 1}}})
	assert.Assert(t, changed)
	assert.Assert(t, s.Get("u").Up())
	assert.Assert(t, !s.Get("v").Up())
	assert.Equal(t, len(s.Tick(later.Add(time.Second))), 0)
}

func updateWith(list ...*wire.Announcement) *wire.DirectoryUpdate {
	u := &wire.DirectoryUpdate{}
	for _, a := range list {
		u.Entries = append(u.Entries, &wire.DirectoryEntry{Announcement: a})
	}
	return u
}

// A process that just started marks no instance as gone until enough of the previously
// known ones are back or the settle time has passed.
func TestSettlingKeepsInstances(t *testing.T) {
	set := DefaultSettings()
	s := New(set, testStart, 10)
	s.Announce(testStart, upAnnouncement("a", 1, 1), 0, false)
	assert.Equal(t, len(s.Tick(testStart.Add(set.SettleTime-1))), 0)
	assert.Equal(t, len(s.Tick(testStart.Add(set.SettleTime))), 1)
	s = New(set, testStart, 10)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		s.Announce(testStart, upAnnouncement(id, 1, 1), 0, false)
	}
	assert.Assert(t, s.Settled(testStart), "nine of ten instances are known again")
}

func TestTombstonesExpire(t *testing.T) {
	set := noSettling()
	s := New(set, testStart, 0)
	s.Announce(testStart, upAnnouncement("u", 5, 1), 0, true)
	s.Tick(testStart.Add(time.Minute))
	_, superseded := s.Announce(testStart.Add(2*time.Minute), upAnnouncement("u", 4, 1), 0, true)
	assert.Assert(t, superseded)
	s.Tick(testStart.Add(time.Minute + set.Tombstone + time.Second))
	assert.Assert(t, s.Get("u") == nil)
}

// An upstream that this process hears from directly stays up without renewals from
// control replicas, in its phase. One that sends nothing, or reports of an earlier
// incarnation, is gone when its lease expires.
func TestDirectContactRenewsLease(t *testing.T) {
	s := New(noSettling(), testStart, 0)
	s.Announce(testStart, upAnnouncement("heard", 2, 1), 0, false)
	s.Announce(testStart, upAnnouncement("silent", 2, 1), 0, false)
	s.Announce(testStart, upAnnouncement("earlier", 2, 1), 0, false)
	s.Announce(testStart, leavingAnnouncement("leaving", 2, 1), 0, false)
	now := testStart
	for range 20 {
		now = now.Add(time.Second)
		s.RenewDirect(now, "heard", 2)
		s.RenewDirect(now, "earlier", 1)
		s.RenewDirect(now, "leaving", 2)
		s.RenewDirect(now, "unknown", 1)
		s.Tick(now)
	}
	assert.Assert(t, s.Get("heard").Up())
	assert.Equal(t, s.Get("silent").Phase, wire.Phase_PHASE_GONE)
	assert.Equal(t, s.Get("earlier").Phase, wire.Phase_PHASE_GONE)
	assert.Equal(t, s.Get("leaving").Phase, wire.Phase_PHASE_LEAVING)
	s.RenewDirect(now, "silent", 2)
	s.Tick(now)
	assert.Equal(t, s.Get("silent").Phase, wire.Phase_PHASE_GONE, "a late report must not restore an instance")
	assert.Assert(t, s.Get("unknown") == nil)
}

// An upstream with an old report is probed when its lease expires. It stays up if it
// replies, and is probed again a lease later; otherwise it is gone after the timeout.
func TestUpstreamIsProbedBeforeItIsGone(t *testing.T) {
	s := New(noSettling(), testStart, 0)
	s.Announce(testStart, upAnnouncement("lives", 1, 1), 0, false)
	s.Announce(testStart, upAnnouncement("dead", 1, 1), 0, false)
	s.RenewDirect(testStart, "lives", 1)
	s.RenewDirect(testStart, "dead", 1)
	lease, probed := DefaultSettings().DefaultLease, map[string]int{}
	for now := testStart; now.Before(testStart.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		s.Tick(now)
		for _, i := range s.TakeProbes() {
			probed[i.Id]++
			if i.Id == "lives" {
				s.RenewDirect(now, i.Id, i.Incarnation)
			}
		}
		assert.Assert(t, s.Get("lives").Up())
		gone := now.Sub(testStart) > lease+s.settings.ProbeTimeout+100*time.Millisecond
		assert.Equal(t, s.Get("dead").Phase == wire.Phase_PHASE_GONE, gone, "%v", now.Sub(testStart))
	}
	assert.DeepEqual(t, probed, map[string]int{"lives": 6, "dead": 1})
}

// A process without any valid source probes an upstream three times, as no other
// directory could restore it after a late reply. A dead one is still gone within five
// seconds of its last message.
func TestIsolatedProcessProbesRepeatedly(t *testing.T) {
	set := noSettling()
	set.SourceLossGrace = 0
	s := New(set, testStart, 0)
	s.Apply(testStart, &Source{FullCopy: true}, updateWith(upAnnouncement("slow", 1, 1), upAnnouncement("dead", 1, 1)))
	s.RenewDirect(testStart, "slow", 1)
	s.RenewDirect(testStart, "dead", 1)
	probed := map[string]int{}
	now := testStart
	for ; s.Get("dead").Up(); now = now.Add(100 * time.Millisecond) {
		s.Tick(now)
		for _, i := range s.TakeProbes() {
			if probed[i.Id]++; i.Id == "slow" && probed[i.Id] == 3 {
				s.RenewDirect(now, i.Id, 1)
			}
		}
	}
	assert.Assert(t, now.Sub(testStart) <= 5*time.Second, "%v", now.Sub(testStart))
	assert.Assert(t, s.Get("slow").Up())
	assert.DeepEqual(t, probed, map[string]int{"slow": 3, "dead": 3})
}

// A control replica sends no probes. An upstream that answers its leader stays up after its
// announcements have stopped arriving; once it answers no more it must be gone as soon as
// its lease expires, without a wait for the reply to a probe.
func TestWithoutProbesUpstreamIsGoneAsItsLeaseExpires(t *testing.T) {
	settings := noSettling()
	settings.ProbeTimeout = 0
	now := time.Unix(100, 0)
	s := New(settings, now, 0)
	s.Announce(now, upAnnouncement("u", 1, 1), 0, true)
	for range 10 {
		now = now.Add(settings.DefaultLease / 2)
		s.RenewDirect(now, "u", 1)
		s.Tick(now)
		assert.Assert(t, s.Get("u").Up())
	}
	now = now.Add(settings.DefaultLease)
	s.Tick(now)
	assert.Assert(t, s.Get("u").Up())
	for range 2 {
		now = now.Add(tickInterval)
		s.Tick(now)
	}
	assert.Assert(t, !s.Get("u").Up())
}
