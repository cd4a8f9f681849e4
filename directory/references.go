package directory

import (
	"context"
	"time"

	"storj.io/drpc"

	"github.com/snipereach/snipereach/wire"
)

const (
	// resolveDelay is how long a reference may stay unknown before its source is asked for the
	// announcement. News spreads to the replicas, and from the one that sends announcements, within it.
	resolveDelay = 500 * time.Millisecond
	// resolveTimeout bounds a call that resolves references. It is shorter than the time for which a
	// watch may be silent, as the watch isn't read meanwhile.
	resolveTimeout = 500 * time.Millisecond
	// maxResolved bounds the references of one call.
	maxResolved = 100
)

// unresolvedReferences are the references of a source to announcements that aren't known.
type unresolvedReferences struct {
	// since is when each was received.
	since map[uint64]time.Time
	// withdrawn says that the source has withdrawn instances since. These may be among the references,
	// so the source must be asked for all of them.
	withdrawn bool
}

// applyReferences adds src as a source of the instances whose announcements are known, and keeps the
// other references. It returns whether an instance changed.
func (s *State) applyReferences(now time.Time, src *Source, references []uint64) bool {
	pending := &src.references
	if len(references) == 0 && (len(pending.since) == 0 || pending.withdrawn) {
		return false
	}
	changed := false
	for _, ref := range references {
		if i := s.byReference(ref); i != nil {
			changed = s.renewFromSource(now, i, i.vouchedFor(), src) || changed
			continue
		}
		if pending.since == nil {
			pending.since = map[uint64]time.Time{}
		}
		pending.since[ref] = now
	}
	if pending.withdrawn {
		return changed
	}
	for ref := range pending.since {
		if i := s.byReference(ref); i != nil {
			delete(pending.since, ref)
			changed = s.renewFromSource(now, i, i.vouchedFor(), src) || changed
		}
	}
	return changed
}

// referenceIndex finds instances by references. It is brought up to date when it is used.
type referenceIndex struct {
	// version is that of the change log that the index includes.
	version uint64
	ids     map[uint64]string
	current map[string]uint64
}

// byReference returns the instance that a reference stands for, or nil if it isn't known as up.
func (s *State) byReference(ref uint64) *Instance {
	x := &s.references
	if x.ids == nil {
		x.ids, x.current = map[uint64]string{}, map[string]uint64{}
	}
	s.changes.since(x.version, func(id string) {
		delete(x.ids, x.current[id])
		delete(x.current, id)
		if a := s.instances[id].vouchedFor(); a.Phase == wire.Phase_PHASE_UP {
			hash := hashAnnouncement(a)
			x.ids[hash], x.current[id] = id, hash
		}
	})
	x.version = s.changes.version
	id, ok := x.ids[ref]
	if !ok {
		return nil
	}
	return s.instances[id]
}

// vouchedFor returns the announcement that a source vouches for: the one before the expiry of an
// instance whose lease has expired here.
func (i *Instance) vouchedFor() *wire.Announcement {
	if i.expired() {
		return i.beforeExpiry
	}
	return i.Announcement
}

// takeOverdue returns references that have been unknown for resolveDelay, and forgets them: the source
// is asked for them now.
func (r *unresolvedReferences) takeOverdue(now time.Time) (list []uint64) {
	for ref, since := range r.since {
		if now.Sub(since) >= resolveDelay && len(list) < maxResolved {
			list = append(list, ref)
			delete(r.since, ref)
		}
	}
	if len(r.since) == 0 {
		r.withdrawn = false
	}
	return list
}

// Resolve returns the announcements that are up and that the references stand for.
func (s *State) Resolve(now time.Time, references []uint64) (list []*wire.DirectoryEntry) {
	for _, ref := range references {
		if i := s.byReference(ref); i != nil && s.reportsAlive(i, now, false) {
			list = append(list, entryOf(i, now))
		}
	}
	return list
}

// resolveReferences asks a source for the announcements of references that stay unknown, and reports
// whether an instance changed.
//
// The watch isn't read until the reply is applied. An instance that the source withdraws after it has
// replied is thus withdrawn here after the reply; otherwise the source would vouch for it for good.
func (n *Node) resolveReferences(ctx context.Context, conn drpc.Conn, src *Source) bool {
	n.mu.Lock()
	references := src.references.takeOverdue(n.now())
	n.mu.Unlock()
	if len(references) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	reply, err := wire.NewDRPCDirectoryClient(conn).Resolve(ctx, &wire.ResolveRequest{References: references})
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.wakeWatchers()
	if err != nil {
		src.references.retry(n.now(), references)
		return false
	}
	return n.state.applyResolved(n.now(), src, reply.Entries)
}

// retry keeps references whose source didn't answer.
func (r *unresolvedReferences) retry(now time.Time, references []uint64) {
	if r.since == nil {
		r.since = map[uint64]time.Time{}
	}
	for _, ref := range references {
		r.since[ref] = now
	}
}

// applyResolved applies announcements that a source vouches for.
func (s *State) applyResolved(now time.Time, src *Source, entries []*wire.DirectoryEntry) (changed bool) {
	if src.dropped {
		return false
	}
	for _, e := range entries {
		c, _ := s.applyAnnouncement(now, e.Announcement, time.Duration(e.AgeMs)*time.Millisecond, false, src)
		changed = changed || c
	}
	return changed
}
