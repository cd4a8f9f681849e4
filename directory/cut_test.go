package directory_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// Callers of an entry would be refused though every upstream is up. The entry copies
// three replicas; upstreams announce to one of them after the other. A cut silences
// the replicas some tenths of a second apart, and when it heals they speak again some
// milliseconds apart: at no moment does an upstream count as gone.
func TestCutOfAllReplicasLosesNoUpstream(t *testing.T) {
	began := time.Unix(1000, 0)
	settings := directory.DefaultSettings()
	s := directory.New(settings, began, 0)
	const upstreams = 6
	var sources []*directory.Source
	var speaks []func(now time.Time, first bool)
	for i := range 3 {
		src := &directory.Source{Whole: true}
		sources = append(sources, src)
		speaks = append(speaks, func(now time.Time, first bool) {
			u := &wire.DirectoryUpdate{Synced: first}
			for n := range upstreams {
				if first {
					a := &wire.Announcement{Id: fmt.Sprint("u", n), Incarnation: 1, Seq: 1, Role: wire.Role_ROLE_UPSTREAM, Phase: wire.Phase_PHASE_UP, LeaseMs: 4000}
					u.Entries = append(u.Entries, &wire.DirectoryEntry{Announcement: a, AgeMs: uint32(500 * n)})
				}
			}
			s.Apply(now, sources[i], u)
		})
	}
	up := func(now time.Time) int {
		s.Tick(now)
		return len(s.Instances(wire.Role_ROLE_UPSTREAM))
	}
	for i := range speaks {
		speaks[i](began, true)
	}
	silent := []time.Duration{15 * time.Second, 15300 * time.Millisecond, 14900 * time.Millisecond}
	back := []time.Duration{22 * time.Second, 22050 * time.Millisecond, 22400 * time.Millisecond}
	for d := time.Duration(0); d < 40*time.Second; d += 50 * time.Millisecond {
		now := began.Add(d)
		for i := range speaks {
			switch {
			case d == back[i]:
				sources[i] = &directory.Source{Whole: true, Replaces: sources[i]}
				speaks[i](now, true)
			case (d < silent[i] || d > back[i]) && d%(400*time.Millisecond) == 0:
				speaks[i](now, false)
			}
		}
		assert.Equal(t, up(now), upstreams, "after %v", d)
	}
}
