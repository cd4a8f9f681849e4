package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

// Two directories that receive the announcements of restarting upstreams delayed,
// duplicated, reordered or not at all, and then exchange them, converge to the latest
// announcement of the latest incarnation without ever going back to an earlier one.
func TestDirectoriesConvergeToLatestIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		states := []*State{New(noSettling(), now, 0), New(noSettling(), now, 0)}
		sources := []*Source{{}, {}}
		latest := map[string]*wire.Announcement{}
		var sent []*wire.Announcement
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "new") || len(sent) == 0 {
				a := nextAnnouncement(t, latest)
				latest[a.Id] = a
				sent = append(sent, a)
			}
			// Any announcement sent so far may arrive, also again.
			a := rapid.SampledFrom(sent).Draw(t, "arrives")
			at := rapid.IntRange(0, 1).Draw(t, "at")
			before := states[at].Get(a.Id)
			states[at].Announce(now, a, 0, true)
			assert.Assert(t, !olderThan(states[at].Get(a.Id).Announcement, before), "replaced by an earlier announcement")
			now = now.Add(time.Millisecond)
		}
		for _, a := range latest {
			states[rapid.IntRange(0, 1).Draw(t, "last")].Announce(now, a, 0, true)
		}
		for i, s := range states {
			s.Apply(now, sources[i], fullUpdate(states[1-i]))
		}
		for id, a := range latest {
			for _, s := range states {
				got := s.Get(id)
				assert.Equal(t, fmt.Sprint(got.Incarnation, got.Seq, got.Phase), fmt.Sprint(a.Incarnation, a.Seq, a.Phase), id)
			}
		}
	})
}

// nextAnnouncement returns the next announcement of one of two upstreams, in its current
// incarnation or a new one.
func nextAnnouncement(t *rapid.T, latest map[string]*wire.Announcement) *wire.Announcement {
	id := rapid.SampledFrom([]string{"u", "v"}).Draw(t, "id")
	old := latest[id]
	if old == nil {
		return upAnnouncement(id, 1, 1)
	}
	if old.Phase != wire.Phase_PHASE_UP || rapid.Bool().Draw(t, "restart") {
		return upAnnouncement(id, old.Incarnation+uint64(rapid.IntRange(1, 5000).Draw(t, "born")), 1)
	}
	if rapid.Bool().Draw(t, "leave") {
		return leavingAnnouncement(id, old.Incarnation, old.Seq+1)
	}
	return upAnnouncement(id, old.Incarnation, old.Seq+1)
}

func olderThan(a *wire.Announcement, b *Instance) bool {
	return b != nil && (a.Incarnation < b.Incarnation || a.Incarnation == b.Incarnation && a.Seq < b.Seq)
}

// fullUpdate returns all instances of a directory as an update.
func fullUpdate(s *State) *wire.DirectoryUpdate {
	u := &wire.DirectoryUpdate{}
	for _, i := range s.All() {
		u.Entries = append(u.Entries, &wire.DirectoryEntry{Announcement: i.Announcement})
	}
	return u
}
