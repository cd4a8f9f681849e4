package directory_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// An entry copies three replicas, which fall silent at slightly different times during a
// partition and return the same way. No upstream may be gone at any time, or the entry
// would refuse requests that it can serve.
func TestPartitionFromAllReplicasKeepsUpstreams(t *testing.T) {
	start := time.Unix(1000, 0)
	settings := directory.DefaultSettings()
	s := directory.New(settings, start, 0)
	const upstreams = 6
	var sources []*directory.Source
	var updates []func(now time.Time, first bool)
	for i := range 3 {
		src := &directory.Source{FullCopy: true}
		sources = append(sources, src)
		updates = append(updates, func(now time.Time, first bool) {
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
	for i := range updates {
		updates[i](start, true)
	}
	lostAt := []time.Duration{15 * time.Second, 15300 * time.Millisecond, 14900 * time.Millisecond}
	restoredAt := []time.Duration{22 * time.Second, 22050 * time.Millisecond, 22400 * time.Millisecond}
	for d := time.Duration(0); d < 40*time.Second; d += 50 * time.Millisecond {
		now := start.Add(d)
		for i := range updates {
			switch {
			case d == restoredAt[i]:
				sources[i] = &directory.Source{FullCopy: true, Previous: sources[i]}
				updates[i](now, true)
			case (d < lostAt[i] || d > restoredAt[i]) && d%(400*time.Millisecond) == 0:
				updates[i](now, false)
			}
		}
		assert.Equal(t, up(now), upstreams, "after %v", d)
	}
}
