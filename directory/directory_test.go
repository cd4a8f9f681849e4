package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

var epoch = time.Unix(1000, 0)

func unsettled() Settings {
	s := DefaultSettings()
	s.SettleTime = 0
	return s
}

func up(id string, incarnation, seq uint64) *wire.Announcement {
	return &wire.Announcement{Id: id, Incarnation: incarnation, Seq: seq, Role: wire.Role_ROLE_UPSTREAM, Phase: wire.Phase_PHASE_UP}
}

func leaving(id string, incarnation, seq uint64) *wire.Announcement {
	a := up(id, incarnation, seq)
	a.Phase = wire.Phase_PHASE_LEAVING
	return a
}

// An upstream leaves and starts again. Messages of its earlier life, and earlier
// messages of the same life, arrive late: they change nothing.
func TestLateMessagesChangeNothing(t *testing.T) {
	s := New(unsettled(), epoch, 0)
	s.Announce(epoch, up("u", 1, 1), 0, true)
	s.Announce(epoch, leaving("u", 1, 3), 0, true)
	changed, _ := s.Announce(epoch, up("u", 1, 2), 0, true)
	assert.Assert(t, !changed)
	assert.Equal(t, s.Get("u").Phase, wire.Phase_PHASE_LEAVING)
	s.Announce(epoch, up("u", 2, 1), 0, true)
	assert.Assert(t, s.Get("u").Up())
	_, superseded := s.Announce(epoch, leaving("u", 1, 9), 0, true)
	assert.Assert(t, superseded)
	assert.Assert(t, s.Get("u").Up())
	src := &Source{}
	s.Apply(epoch, src, &wire.DirectoryUpdate{
		Entries:   []*wire.DirectoryEntry{{Announcement: leaving("u", 1, 99)}},
		Withdrawn: []*wire.Withdrawal{{Id: "u", Incarnation: 1}},
	})
	assert.Assert(t, s.Get("u").Up())
	assert.Equal(t, len(s.Get("u").holders), 0, "an earlier life is vouched for by nobody")
}

// A watch stalls for longer than the source's word holds and goes on. The
// upstreams that were heard elsewhere all the time are up again with its first
// message; one that it withdraws in that message stays gone.
func TestStalledWatchBringsInstancesBack(t *testing.T) {
	s := New(unsettled(), epoch, 0)
	src := &Source{}
	s.Apply(epoch, src, entries(up("u", 1, 1), up("v", 1, 1)))
	later := epoch.Add(10 * time.Second)
	assert.Equal(t, len(s.Tick(later)), 2)
	assert.Equal(t, len(s.Instances(wire.Role_ROLE_UPSTREAM)), 0)
	_, _ = s.Announce(later, up("u", 1, 1), 0, false)
	assert.Assert(t, !s.Get("u").Up(), "nothing new was heard")
	changed := s.Apply(later, src, &wire.DirectoryUpdate{Withdrawn: []*wire.Withdrawal{{Id: "v", Incarnation: 1}}})
	assert.Assert(t, changed)
	assert.Assert(t, s.Get("u").Up())
	assert.Assert(t, !s.Get("v").Up())
	assert.Equal(t, len(s.Tick(later.Add(time.Second))), 0)
}

func entries(list ...*wire.Announcement) *wire.DirectoryUpdate {
	u := &wire.DirectoryUpdate{}
	for _, a := range list {
		u.Entries = append(u.Entries, &wire.DirectoryEntry{Announcement: a})
	}
	return u
}

// A process starts while all upstreams are up but have not announced to it yet.
// It declares none gone before enough are back, or the settling time has passed.
func TestSettlingDeclaresNothingGone(t *testing.T) {
	set := DefaultSettings()
	s := New(set, epoch, 10)
	s.Announce(epoch, up("a", 1, 1), 0, false)
	assert.Equal(t, len(s.Tick(epoch.Add(set.SettleTime-1))), 0)
	assert.Equal(t, len(s.Tick(epoch.Add(set.SettleTime))), 1)
	s = New(set, epoch, 10)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		s.Announce(epoch, up(id, 1, 1), 0, false)
	}
	assert.Assert(t, s.Settled(epoch), "nine of ten are back")
}

func TestTombstonesAreForgottenInTime(t *testing.T) {
	set := unsettled()
	s := New(set, epoch, 0)
	s.Announce(epoch, up("u", 5, 1), 0, true)
	s.Tick(epoch.Add(time.Minute))
	_, superseded := s.Announce(epoch.Add(2*time.Minute), up("u", 4, 1), 0, true)
	assert.Assert(t, superseded)
	s.Tick(epoch.Add(time.Minute + set.Tombstone + time.Second))
	assert.Assert(t, s.Get("u") == nil)
}

// A process is cut off from every control replica and hears nothing of renewed
// leases, but an upstream itself goes on reporting to it. That upstream stays up,
// as it is; one that says nothing, or whose reports are of an earlier life, is
// gone when its lease has run out.
func TestDirectContactKeepsAnUpstreamUp(t *testing.T) {
	s := New(unsettled(), epoch, 0)
	s.Announce(epoch, up("heard", 2, 1), 0, false)
	s.Announce(epoch, up("silent", 2, 1), 0, false)
	s.Announce(epoch, up("earlier", 2, 1), 0, false)
	s.Announce(epoch, leaving("leaving", 2, 1), 0, false)
	now := epoch
	for range 20 {
		now = now.Add(time.Second)
		s.Heard(now, "heard", 2)
		s.Heard(now, "earlier", 1)
		s.Heard(now, "leaving", 2)
		s.Heard(now, "unknown", 1)
		s.Tick(now)
	}
	assert.Assert(t, s.Get("heard").Up())
	assert.Equal(t, s.Get("silent").Phase, wire.Phase_PHASE_GONE)
	assert.Equal(t, s.Get("earlier").Phase, wire.Phase_PHASE_GONE)
	assert.Equal(t, s.Get("leaving").Phase, wire.Phase_PHASE_LEAVING)
	s.Heard(now, "silent", 2)
	s.Tick(now)
	assert.Equal(t, s.Get("silent").Phase, wire.Phase_PHASE_GONE, "a late report brings nothing back")
	assert.Assert(t, s.Get("unknown") == nil)
}

// A process that hears nothing of an upstream from the control replicas any more
// had a report of it long ago: while little changes there are few. The upstream is
// asked before it is taken for gone. One that answers is up, and is asked again a
// lease later; one that is dead is gone a second after the replicas' word ended.
func TestQuietUpstreamIsAskedBeforeItIsGone(t *testing.T) {
	s := New(unsettled(), epoch, 0)
	s.Announce(epoch, up("lives", 1, 1), 0, false)
	s.Announce(epoch, up("dead", 1, 1), 0, false)
	s.Heard(epoch, "lives", 1)
	s.Heard(epoch, "dead", 1)
	lease, asked := DefaultSettings().DefaultLease, map[string]int{}
	for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
		s.Tick(now)
		for _, i := range s.TakeAsks() {
			asked[i.Id]++
			if i.Id == "lives" {
				s.Heard(now, i.Id, i.Incarnation)
			}
		}
		assert.Assert(t, s.Get("lives").Up())
		gone := now.Sub(epoch) > lease+s.settings.AskTime+100*time.Millisecond
		assert.Equal(t, s.Get("dead").Phase == wire.Phase_PHASE_GONE, gone, "%v", now.Sub(epoch))
	}
	assert.DeepEqual(t, asked, map[string]int{"lives": 6, "dead": 1})
}

// The same, at a process that followed a replica and hears none any more. Nobody
// else could bring an upstream back whose answer came late, so it is asked three
// times; one that is dead is gone within five seconds of its last word all the same.
func TestCutOffProcessAsksMoreThanOnce(t *testing.T) {
	set := unsettled()
	set.SilentHold = 0
	s := New(set, epoch, 0)
	s.Apply(epoch, &Source{Whole: true}, entries(up("slow", 1, 1), up("dead", 1, 1)))
	s.Heard(epoch, "slow", 1)
	s.Heard(epoch, "dead", 1)
	asks := map[string]int{}
	now := epoch
	for ; s.Get("dead").Up(); now = now.Add(100 * time.Millisecond) {
		s.Tick(now)
		for _, i := range s.TakeAsks() {
			if asks[i.Id]++; i.Id == "slow" && asks[i.Id] == 3 {
				s.Heard(now, i.Id, 1)
			}
		}
	}
	assert.Assert(t, now.Sub(epoch) <= 5*time.Second, "%v", now.Sub(epoch))
	assert.Assert(t, s.Get("slow").Up())
	assert.DeepEqual(t, asks, map[string]int{"slow": 3, "dead": 3})
}
