package directory

import (
	"sort"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// changeLog orders the instances by their last change, so that the changes since a
// watcher's last update are found without scanning all instances.
type changeLog struct {
	version uint64
	latest  map[string]uint64
	items   []changeItem
}

type changeItem struct {
	version uint64
	id      string
}

func newChangeLog() changeLog { return changeLog{latest: map[string]uint64{}} }

// compactSlack is how many outdated items are kept before the log is compacted.
const compactSlack = 1024

func (l *changeLog) record(id string) {
	l.version++
	l.latest[id] = l.version
	l.items = append(l.items, changeItem{l.version, id})
	if len(l.items) > 2*len(l.latest)+compactSlack {
		l.compact()
	}
}

func (l *changeLog) remove(id string) { delete(l.latest, id) }

func (l *changeLog) compact() {
	kept := make([]changeItem, 0, len(l.latest))
	for _, it := range l.items {
		if l.latest[it.id] == it.version {
			kept = append(kept, it)
		}
	}
	l.items = kept
}

// since calls f for each instance that changed after version.
func (l *changeLog) since(version uint64, f func(id string)) {
	first := sort.Search(len(l.items), func(i int) bool { return l.items[i].version > version })
	for _, it := range l.items[first:] {
		if l.latest[it.id] == it.version {
			f(it.id)
		}
	}
}

// View is the state of one watcher: which part of the directory it has been sent.
type View struct {
	// LocalOnly restricts the view to instances that announce to this process directly.
	LocalOnly bool
	// References sends references to announcements of instances that are up, in place of the
	// announcements.
	References bool
	// Digest is the digest of what the watcher knew before it connected; empty if it
	// sent none.
	Digest  []uint64
	version uint64
	// unchanged is the set of buckets that were equal on both sides at version
	// unchangedAt.
	unchanged   bucketSet
	unchangedAt uint64
	synced      bool
	summary     revisionSummary
}

// maxUpdateEntries limits the entries of one update, to about 12 KB. Both ends of a watch keep
// buffers of the size of the largest message for as long as the watch is open, so that one message
// with the whole directory would cost each replica memory in proportion to instances x watchers.
const maxUpdateEntries = 100

// Synced reports whether the watcher has been sent the whole directory once.
func (v *View) Synced() bool { return v.synced }

// Update returns the changes that the watcher has not been sent yet. A directory that
// doesn't fit into one message is split into several; more reports that the next
// one should follow immediately.
func (s *State) Update(now time.Time, v *View) (u *wire.DirectoryUpdate, more bool) {
	u = &wire.DirectoryUpdate{Settling: !s.Settled(now)}
	from := v.version
	if from == 0 && !v.synced && v.unchanged == nil {
		s.compareDigest(v)
		u.Kept = v.unchanged
	}
	s.changes.since(from, func(id string) {
		if len(u.Entries)+len(u.Withdrawn)+len(u.References) >= maxUpdateEntries {
			more = true
			return
		}
		version := s.changes.latest[id]
		if !v.isUnchanged(s.instances[id], version) {
			s.addChange(u, s.instances[id], now, v, from == 0)
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

func (s *State) addChange(u *wire.DirectoryUpdate, i *Instance, now time.Time, v *View, first bool) {
	announcedGone := i.Phase == wire.Phase_PHASE_GONE && !i.expired()
	alive := s.reportsAlive(i, now, v.LocalOnly)
	if alive && v.References && i.Up() {
		u.References = append(u.References, hashAnnouncement(i.Announcement))
		return
	}
	if alive || announcedGone && (!v.LocalOnly || !i.localExpires.IsZero()) {
		u.Entries = append(u.Entries, entryOf(i, now))
		return
	}
	if !first {
		u.Withdrawn = append(u.Withdrawn, &wire.Withdrawal{Id: i.Id, Incarnation: i.Incarnation})
	}
}

func entryOf(i *Instance, now time.Time) *wire.DirectoryEntry {
	return &wire.DirectoryEntry{Announcement: i.Announcement, AgeMs: uint32(max(now.Sub(i.Heard), 0).Milliseconds())}
}

// reportsAlive reports whether updates to a watcher may list the instance as alive.
// Another replica (localOnly) is only told of instances that announce here: two
// replicas that repeated each other's information would keep an instance up that
// no longer announces to anyone.
func (s *State) reportsAlive(i *Instance, now time.Time, localOnly bool) bool {
	if i.Phase == wire.Phase_PHASE_GONE {
		return false
	}
	return !localOnly || !i.localExpires.IsZero() && !now.After(i.localExpires)
}

func (s *State) addRevisions(u *wire.DirectoryUpdate, v *View, now time.Time) {
	if v.summary.version == s.revisionVersion && !u.Synced {
		return
	}
	sum := s.summary(now, v.LocalOnly)
	if !sum.equal(&v.summary) || len(u.Entries) > 0 {
		u.Revision, u.Behind = sum.revision, sum.behind
	}
	v.summary = sum
}
