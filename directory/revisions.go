package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// maxBehind limits how many lagging entries are listed individually. If there are more,
// the summary uses a lower revision, so that the size of an update doesn't grow with
// the number of entries.
const maxBehind = 16

// revisionSummary is the routing table revision that all entries of a view have in force,
// except for the lagging ones that are listed.
type revisionSummary struct {
	// version is the State.revisionVersion that the summary was computed from.
	version  uint64
	revision uint64
	behind   []*wire.EntryRevision
}

// summary returns the cached summary of the entries that a view reports as alive. It is
// shared by all watchers of the same kind.
func (s *State) summary(now time.Time, localOnly bool) revisionSummary {
	sum, ok := s.summaries[localOnly]
	if !ok || sum.version != s.revisionVersion {
		sum = s.summarize(now, localOnly)
		s.summaries[localOnly] = sum
	}
	return sum
}

func (s *State) summarize(now time.Time, localOnly bool) revisionSummary {
	sum := revisionSummary{version: s.revisionVersion}
	var entries []*Instance
	for _, i := range s.instances {
		if i.Role == wire.Role_ROLE_ENTRY && s.reportsAlive(i, now, localOnly) {
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

func (a *revisionSummary) equal(b *revisionSummary) bool {
	return a.revision == b.revision && slices.EqualFunc(a.behind, b.behind, func(x, y *wire.EntryRevision) bool {
		return x.Id == y.Id && x.Incarnation == y.Incarnation && x.Revision == y.Revision
	})
}

// raiseRevisions applies the revision summary of a source to the entries that it reports.
// Revisions are only raised, because sources may lag differently.
func (s *State) raiseRevisions(src *Source, u *wire.DirectoryUpdate) {
	if u.Revision == 0 {
		return
	}
	behind := map[string]uint64{}
	for _, b := range u.Behind {
		behind[b.Id] = b.Revision
	}
	for id, inst := range s.instances {
		if inst.Role != wire.Role_ROLE_ENTRY || !slices.Contains(inst.sources, src) {
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
		s.revisionVersion++
	}
}
