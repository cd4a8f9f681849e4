package directory

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

// syncWatcher sends a watcher all pending updates of a replica, and returns their size.
func syncWatcher(now time.Time, from, to *State, v *View, src *Source) (bytes int) {
	for more := true; more; {
		var u *wire.DirectoryUpdate
		u, more = from.Update(now, v)
		bytes += proto.Size(u)
		to.Apply(now, src, u)
	}
	return bytes
}

// An entry that resumes its copy from another replica by digest ends up with the same
// instances as one that copies everything, while instances leave, restart, move or expire.
// Otherwise it would use upstreams that are gone, or none that are up.
func TestResumedCopyEqualsFullCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		first, second := New(noSettling(), now, 0), New(noSettling(), now, 0)
		const count = 40
		latest := [count]*wire.Announcement{}
		announce := func(to ...*State) {
			i := rapid.IntRange(0, count-1).Draw(t, "instance")
			a := proto.Clone(latest[i]).(*wire.Announcement)
			a.Seq++
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				a.Phase = wire.Phase_PHASE_LEAVING
			case 1:
				a.Phase = wire.Phase_PHASE_GONE
			case 2:
				a.Incarnation, a.Phase = a.Incarnation+1, wire.Phase_PHASE_UP
			case 3:
				a.Address = fmt.Sprint("10.0.0.1:", a.Seq)
			}
			latest[i] = a
			for _, s := range to {
				s.Announce(now, a, 0, true)
			}
		}
		for i := range latest {
			latest[i] = upAnnouncement(fmt.Sprint("u", i), 1, 1)
			// Long leases keep some instances from expiring at the entry by themselves.
			latest[i].LeaseMs = rapid.SampledFrom([]uint32{1000, 30_000}).Draw(t, "lease")
			first.Announce(now, latest[i], 0, true)
			if rapid.IntRange(0, 9).Draw(t, "heard") > 0 {
				second.Announce(now, latest[i], 0, true)
			}
		}
		noGrace := noSettling()
		noGrace.SourceLossGrace = 0
		watchers := []*State{New(noGrace, now, 0), New(noGrace, now, 0)}
		views := []*View{{}, {}}
		var sources []*Source
		for _, w := range watchers {
			src := &Source{FullCopy: true}
			syncWatcher(now, first, w, &View{}, src)
			sources = append(sources, &Source{FullCopy: true, Previous: src})
		}
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			announce(second)
		}
		views[0].Digest = watchers[0].PrepareResume(sources[0])
		dead := map[int]bool{}
		for i := range latest {
			dead[i] = rapid.IntRange(0, 9).Draw(t, "dead") == 0
		}
		renew := func() {
			for i, a := range latest {
				if !dead[i] && a.Phase != wire.Phase_PHASE_GONE {
					latest[i] = proto.Clone(a).(*wire.Announcement)
					latest[i].Seq++
					second.Announce(now, latest[i], 0, true)
				}
			}
		}
		now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "silence")) * time.Millisecond)
		renew()
		for _, s := range []*State{second, watchers[0], watchers[1]} {
			s.Tick(now)
		}
		for range rapid.IntRange(0, 2).Draw(t, "changes") {
			announce(second)
		}
		for range 6 {
			for i, w := range watchers {
				syncWatcher(now, second, w, views[i], sources[i])
				w.Tick(now)
			}
			for i := range latest {
				got, want := watchers[0].Get(fmt.Sprint("u", i)), watchers[1].Get(fmt.Sprint("u", i))
				assert.Equal(t, got.Incarnation, want.Incarnation)
				assert.Equal(t, got.Phase, want.Phase, "u%d", i)
				assert.Equal(t, got.Address, want.Address)
			}
			now = now.Add(time.Second)
			renew()
			second.Tick(now)
			announce(second)
		}
	})
}

// Resuming from another replica transfers only the changed buckets of a directory of
// 7,500 instances.
func TestResumedCopyTransfersFewBuckets(t *testing.T) {
	first, second, entry := New(noSettling(), testStart, 0), New(noSettling(), testStart, 0), New(noSettling(), testStart, 0)
	for i := range 7500 {
		a := upAnnouncement(fmt.Sprint("upstream-", i), 1, 1)
		first.Announce(testStart, a, 0, true)
		second.Announce(testStart, a, 0, true)
	}
	src := &Source{FullCopy: true}
	fullSize := syncWatcher(testStart, first, entry, &View{}, src)
	for i := range 3 {
		second.Announce(testStart, leavingAnnouncement(fmt.Sprint("upstream-", i), 1, 2), 0, true)
	}
	next := &Source{FullCopy: true, Previous: src}
	resumed := syncWatcher(testStart, second, entry, &View{Digest: entry.PrepareResume(next)}, next)
	assert.Assert(t, resumed < fullSize/50, "%d bytes of %d", resumed, fullSize)
	now := testStart.Add(entry.settings.SourceLease)
	entry.Tick(now)
	assert.Equal(t, len(entry.Instances(wire.Role_ROLE_UPSTREAM)), 7500)
	assert.Equal(t, entry.Get("upstream-1").Phase, wire.Phase_PHASE_LEAVING)
}

// A field that is compared but not hashed would stay outdated at every entry that
// connects to another replica.
func TestHashCoversFieldsSentToWatchers(t *testing.T) {
	full := &wire.Announcement{
		Id: "u", Incarnation: 1, Role: wire.Role_ROLE_UPSTREAM, Phase: wire.Phase_PHASE_UP, FailureDomain: "hall-a",
		Address: "a", CallerAddress: "c", Pools: []string{"p", "q"}, Kind: "engine", Group: "g", Rank: 1, LeaseMs: 1, Listed: true,
		Seq: 1, Revision: 1, AskReplicas: true, Load: &wire.Load{Seq: 1},
		ClaimRegister: &wire.ClaimRegister{Life: 1, Durable: true},
	}
	fields := full.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		other := proto.Clone(full).(*wire.Announcement)
		other.ProtoReflect().Clear(fields.Get(i))
		assert.Equal(t, hashAnnouncement(full) == hashAnnouncement(other), equalForWatchers(full, other), "%s", fields.Get(i).Name())
	}
	pools := proto.Clone(full).(*wire.Announcement)
	pools.Pools = []string{"pq"}
	assert.Assert(t, hashAnnouncement(pools) != hashAnnouncement(full))
}
