package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// maxBehind is how many entries that lag are named one by one. With more, the
// revision that all others have reached is the lower one: the bytes of an edit
// don't grow with the entries.
const maxBehind = 16

// revisionSummary is the table revision that all entries of a view have in
// force, but for some that are named.
type revisionSummary struct {
	counted  uint64
	revision uint64
	behind   []*wire.EntryRevision
}

// summary is that of the entries that a view vouches for. Watchers share it.
func (s *State) summary(now time.Time, localOnly bool) revisionSummary {
	sum, ok := s.sums[localOnly]
	if !ok || sum.counted != s.revisions {
		sum = s.summarize(now, localOnly)
		s.sums[localOnly] = sum
	}
	return sum
}

func (s *State) summarize(now time.Time, localOnly bool) revisionSummary {
	sum := revisionSummary{counted: s.revisions}
	var entries []*Instance
	for _, i := range s.instances {
		if i.Role == wire.Role_ROLE_ENTRY && s.vouchesFor(i, now, localOnly) {
			entries = append(entries, i)
		}
	}
	if len(entries) == 0 {
		return sum
	}
	slices.SortFunc(entries, func(a, b *Instance) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Id, b.Id))
	})
	sum.revision = entries[min(maxBehind, len(entries)-1)].Revision
	for _, i := range entries[:min(maxBehind, len(entries))] {
		if i.Revision < sum.revision {
			sum.behind = append(sum.behind, &wire.EntryRevision{Id: i.Id, Incarnation: i.Incarnation, Revision: i.Revision})
		}
	}
	return sum
}

func (a *revisionSummary) same(b *revisionSummary) bool {
	return a.revision == b.revision && slices.EqualFunc(a.behind, b.behind, func(x, y *wire.EntryRevision) bool {
		return x.Id == y.Id && x.Incarnation == y.Incarnation && x.Revision == y.Revision
	})
}

// raiseRevisions takes a source's summary for the entries that it vouches for.
// A revision is only ever raised: two sources may differ in how late they are.
func (s *State) raiseRevisions(src *Source, u *wire.DirectoryUpdate) {
	if u.Revision == 0 {
		return
	}
	behind := map[string]uint64{}
	for _, b := range u.Behind {
		behind[b.Id] = b.Revision
	}
	for id, inst := range s.instances {
		if inst.Role != wire.Role_ROLE_ENTRY || !slices.Contains(inst.holders, src) {
			continue
		}
		revision := u.Revision
		if r, ok := behind[id]; ok {
			revision = r
		}
		if revision <= inst.Revision {
			continue
		}
		next := *inst
		next.Announcement = withRevision(inst.Announcement, revision)
		s.instances[id] = &next
		s.revisions++
	}
}
