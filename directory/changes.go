package directory

import (
	"sort"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// changeLog orders the instances by their last change, so that a watcher is
// sent what changed since its last update without a look at all of them.
type changeLog struct {
	version uint64
	last    map[string]uint64
	items   []changeItem
}

type changeItem struct {
	version uint64
	id      string
}

func newChangeLog() changeLog { return changeLog{last: map[string]uint64{}} }

// compactSlack is how many outdated items are kept before they are dropped.
const compactSlack = 1024

func (l *changeLog) touch(id string) {
	l.version++
	l.last[id] = l.version
	l.items = append(l.items, changeItem{l.version, id})
	if len(l.items) > 2*len(l.last)+compactSlack {
		l.compact()
	}
}

func (l *changeLog) forget(id string) { delete(l.last, id) }

func (l *changeLog) compact() {
	kept := make([]changeItem, 0, len(l.last))
	for _, it := range l.items {
		if l.last[it.id] == it.version {
			kept = append(kept, it)
		}
	}
	l.items = kept
}

// since calls f for each instance that changed after a version.
func (l *changeLog) since(version uint64, f func(id string)) {
	first := sort.Search(len(l.items), func(i int) bool { return l.items[i].version > version })
	for _, it := range l.items[first:] {
		if l.last[it.id] == it.version {
			f(it.id)
		}
	}
}

// View is what one watcher has been sent.
type View struct {
	// LocalOnly leaves out what did not announce to this process itself.
	LocalOnly bool
	// Known are the hashes of what the watcher knew before, if it said so.
	Known   []uint64
	version uint64
	// kept are the parts that it knew alike at the version keptAt.
	kept   parts
	keptAt uint64
	synced bool
	sum    revisionSummary
}

// maxEntries bounds the entries of one update.
const maxEntries = 1000

// Synced says whether the watcher has been sent the whole directory once.
func (v *View) Synced() bool { return v.synced }

// Update returns what a watcher lacks. A directory that is larger than one
// message comes in several; more says that the next one should follow at once.
func (s *State) Update(now time.Time, v *View) (u *wire.DirectoryUpdate, more bool) {
	u = &wire.DirectoryUpdate{Settling: !s.Settled(now)}
	from := v.version
	if from == 0 && !v.synced && v.kept == nil {
		s.compare(v)
		u.Kept = v.kept
	}
	s.changes.since(from, func(id string) {
		if len(u.Entries)+len(u.Withdrawn) >= maxEntries {
			more = true
			return
		}
		version := s.changes.last[id]
		if !v.keeps(s.instances[id], version) {
			s.addChange(u, s.instances[id], now, v.LocalOnly, from == 0)
		}
		v.version = version
	})
	if more {
		return u, true
	}
	u.Synced = !v.synced
	v.synced = true
	s.addRevisions(u, v, now)
	return u, false
}

func (s *State) addChange(u *wire.DirectoryUpdate, i *Instance, now time.Time, localOnly, first bool) {
	own := i.Phase == wire.Phase_PHASE_GONE && !i.expired()
	if s.vouchesFor(i, now, localOnly) || own && (!localOnly || !i.localUntil.IsZero()) {
		age := uint32(max(now.Sub(i.Heard), 0).Milliseconds())
		u.Entries = append(u.Entries, &wire.DirectoryEntry{Announcement: i.Announcement, AgeMs: age})
		return
	}
	if !first {
		u.Withdrawn = append(u.Withdrawn, &wire.Withdrawal{Id: i.Id, Incarnation: i.Incarnation})
	}
}

// vouchesFor says whether this directory may vouch for an instance to a watcher.
// Another directory is told only of what was heard here: two that repeated each
// other's word would keep an instance up that nobody hears.
func (s *State) vouchesFor(i *Instance, now time.Time, localOnly bool) bool {
	if i.Phase == wire.Phase_PHASE_GONE {
		return false
	}
	return !localOnly || !i.localUntil.IsZero() && !now.After(i.localUntil)
}

func (s *State) addRevisions(u *wire.DirectoryUpdate, v *View, now time.Time) {
	if v.sum.counted == s.revisions && !u.Synced {
		return
	}
	sum := s.summary(now, v.LocalOnly)
	if !sum.same(&v.sum) || len(u.Entries) > 0 {
		u.Revision, u.Behind = sum.revision, sum.behind
	}
	v.sum = sum
}
