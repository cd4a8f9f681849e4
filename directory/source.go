package directory

import (
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Source is one watch of another directory. Its lease covers all instances that it has
// sent and not withdrawn: each update renews them all, so that unchanged instances need
// no bytes of their own. A reopened watch is a new Source; the lease of the old one
// expires.
type Source struct {
	// expires is when the lease of the source ends unless another update renews it.
	expires time.Time
	// settling reports that the source is settling; see State.Settled.
	settling bool
	// FullCopy reports that the source sends its whole directory, not only the instances
	// that announce to it directly.
	FullCopy bool
	// Previous is the watch that this one takes over from. Its lease ends as soon as this
	// one is synced, as instances that it reported may be gone by then.
	Previous *Source
	// resumeBuckets holds the announcements that were known before the first update, by
	// bucket; nil once the source is synced.
	resumeBuckets map[int][]*wire.Announcement
	// dropped reports that the source no longer holds any instances.
	dropped    bool
	references unresolvedReferences
}

func (src *Source) valid(now time.Time) bool { return !now.After(src.expires) }

// Apply handles an update of a source, which is added with its first update. It returns
// whether an instance changed.
//
// Updates of a source that was dropped after a long silence are ignored, because the
// instances that it would renew are no longer associated with it.
func (s *State) Apply(now time.Time, src *Source, u *wire.DirectoryUpdate) bool {
	if src.dropped {
		return false
	}
	if !slices.Contains(s.sources, src) {
		s.sources = append(s.sources, src)
		s.hadSource = true
	}
	changed := s.renewUnchanged(now, src, u.Kept)
	for _, e := range u.Entries {
		c, _ := s.applyAnnouncement(now, e.Announcement, time.Duration(e.AgeMs)*time.Millisecond, false, src)
		changed = changed || c
	}
	changed = s.applyReferences(now, src, u.References) || changed
	for _, w := range u.Withdrawn {
		s.withdraw(src, w)
	}
	src.references.withdrawn = src.references.withdrawn || len(u.Withdrawn) > 0
	changed = s.renewSource(now, src, u.Settling) || changed
	s.raiseRevisions(src, u)
	if u.Synced {
		src.resumeBuckets = nil
	}
	if u.Synced && !u.Settling && src.Previous != nil {
		src.Previous.expires = time.Time{}
		s.nextCheck = time.Time{}
		src.Previous = nil
	}
	return changed
}

// renewFromSource adds src, if not nil, as a source of an incarnation that is already
// known. It returns whether that restored an instance whose lease had expired.
func (s *State) renewFromSource(now time.Time, old *Instance, a *wire.Announcement, src *Source) bool {
	if src == nil || a.Phase == wire.Phase_PHASE_GONE {
		return false
	}
	if old.Phase == wire.Phase_PHASE_GONE && !old.expired() {
		return false
	}
	next := *old
	next.addSource(src)
	if next.expired() {
		s.restore(&next, now)
	}
	s.instances[old.Id] = &next
	return old.expired()
}

// restore marks an instance as alive again whose lease had expired here.
func (s *State) restore(inst *Instance, now time.Time) {
	inst.Announcement, inst.beforeExpiry = inst.beforeExpiry, nil
	inst.Heard = now
	s.checkBy(s.nextDeadline(inst))
	s.changes.record(inst.Id)
	s.revisionVersion++
}

// addSource copies the list, which is shared with earlier versions of the instance.
func (i *Instance) addSource(src *Source) {
	i.withdrawn = false
	if slices.Contains(i.sources, src) {
		return
	}
	i.sources = append(slices.Clone(i.sources), src)
}

func (s *State) withdraw(src *Source, w *wire.Withdrawal) {
	old := s.instances[w.Id]
	// A withdrawal only applies to the incarnation that it names.
	if old == nil || old.Incarnation != w.Incarnation || !slices.Contains(old.sources, src) {
		return
	}
	next := *old
	next.sources = slices.DeleteFunc(slices.Clone(old.sources), func(h *Source) bool { return h == src })
	next.withdrawn = true
	s.instances[w.Id] = &next
	s.checkBy(s.nextDeadline(&next))
}

// renewSource renews the lease of a source. If the lease had expired, the watch was
// stalled, and the instances of the source that expired meanwhile are restored.
func (s *State) renewSource(now time.Time, src *Source, settling bool) bool {
	lapsed := !src.expires.IsZero() && !src.valid(now)
	src.expires = now.Add(s.settings.SourceLease)
	src.settling = settling
	if !lapsed {
		return false
	}
	changed := false
	for id, inst := range s.instances {
		if !inst.expired() || !slices.Contains(inst.sources, src) {
			continue
		}
		next := *inst
		s.restore(&next, now)
		s.instances[id] = &next
		changed = true
	}
	return changed
}

// onlySettlingSources reports whether there are sources with a valid lease and all of them
// are settling. Instances missing from them may be up and not have announced to them yet.
func (s *State) onlySettlingSources(now time.Time) bool {
	unsettled := false
	for _, src := range s.sources {
		if !src.valid(now) {
			continue
		}
		if !src.settling {
			return false
		}
		unsettled = true
	}
	return unsettled
}

// inSourceLossGrace reports whether the leases of all sources have expired, the last one
// no longer than Settings.SourceLossGrace ago. It is false for a control replica, which
// must not report instances to others that no replica hears from.
func (s *State) inSourceLossGrace(now time.Time) bool {
	var last time.Time
	for _, src := range s.sources {
		if !src.FullCopy {
			return false
		}
		if src.expires.After(last) {
			last = src.expires
		}
	}
	return now.After(last) && now.Sub(last) <= s.settings.SourceLossGrace
}

// sourceRetention is how long a source is kept after its lease expired.
const sourceRetention = time.Minute

// removeStaleSources removes the sources whose lease expired more than sourceRetention
// ago, also from the instances.
func (s *State) removeStaleSources(now time.Time) {
	stale := func(src *Source) bool { return now.Sub(src.expires) > sourceRetention }
	if !slices.ContainsFunc(s.sources, stale) {
		return
	}
	for _, src := range s.sources {
		src.dropped = stale(src)
	}
	s.sources = slices.DeleteFunc(s.sources, stale)
	for id, inst := range s.instances {
		if !slices.ContainsFunc(inst.sources, stale) {
			continue
		}
		next := *inst
		next.sources = slices.DeleteFunc(slices.Clone(inst.sources), stale)
		s.instances[id] = &next
	}
}
