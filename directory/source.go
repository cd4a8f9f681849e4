package directory

import (
	"slices"
	"time"

	"github.com/snipereach/snipereach/wire"
)

// Source is one watch of another directory. What it sends is held on its word:
// with each update it vouches for all instances that it has sent and has not
// withdrawn, so that unchanged instances cost no bytes of their own. A watch
// that is opened again is a new Source; the word of the old one runs out.
type Source struct {
	// until is when its word ends, unless it speaks again.
	until time.Time
	// settling says that it can't yet declare anything gone itself.
	settling bool
	// Whole says that it sends the whole directory, not only what announces to it.
	Whole bool
	// Replaces is the watch that this one takes over from. Once this one is
	// synced, the earlier one's word ends: what it vouched for may have gone in
	// between.
	Replaces *Source
	// known is what was known before its first update, by parts, until it is synced.
	known map[int][]*wire.Announcement
	// dropped says that its instances are no longer held on its word.
	dropped bool
}

func (src *Source) valid(now time.Time) bool { return !now.After(src.until) }

// Apply takes an update of a source; a new Source begins with the first one. It
// returns whether an instance changed.
//
// A source that was silent for so long that it was dropped is not taken up
// again: it would vouch for instances that are no longer held on its word.
func (s *State) Apply(now time.Time, src *Source, u *wire.DirectoryUpdate) bool {
	if src.dropped {
		return false
	}
	if !slices.Contains(s.sources, src) {
		s.sources = append(s.sources, src)
		s.followed = true
	}
	changed := s.keepParts(now, src, u.Kept)
	for _, e := range u.Entries {
		c, _ := s.take(now, e.Announcement, time.Duration(e.AgeMs)*time.Millisecond, false, src)
		changed = changed || c
	}
	for _, w := range u.Withdrawn {
		s.withdraw(src, w)
	}
	changed = s.vouch(now, src, u.Settling) || changed
	s.raiseRevisions(src, u)
	if u.Synced {
		src.known = nil
	}
	if u.Synced && !u.Settling && src.Replaces != nil {
		src.Replaces.until = time.Time{}
		s.due = time.Time{}
		src.Replaces = nil
	}
	return changed
}

// hold notes that a source vouches for a life that is already known. It returns
// whether that brought the instance back.
func (s *State) hold(now time.Time, old *Instance, a *wire.Announcement, src *Source) bool {
	if src == nil || a.Phase == wire.Phase_PHASE_GONE {
		return false
	}
	if old.Phase == wire.Phase_PHASE_GONE && !old.expired() {
		return false
	}
	next := *old
	next.addHolder(src)
	if next.expired() {
		s.revive(&next, now)
	}
	s.instances[old.Id] = &next
	return old.expired()
}

// revive brings back an instance whose lease had run out here.
func (s *State) revive(inst *Instance, now time.Time) {
	inst.Announcement, inst.before = inst.before, nil
	inst.Heard = now
	s.lookBy(s.deadline(inst))
	s.changes.touch(inst.Id)
	s.revisions++
}

// addHolder makes a new list: instances share lists with their earlier versions.
func (i *Instance) addHolder(src *Source) {
	if slices.Contains(i.holders, src) {
		return
	}
	i.holders = append(slices.Clone(i.holders), src)
}

func (s *State) withdraw(src *Source, w *wire.Withdrawal) {
	old := s.instances[w.Id]
	// A withdrawal of an earlier life says nothing about the one that is known.
	if old == nil || old.Incarnation != w.Incarnation || !slices.Contains(old.holders, src) {
		return
	}
	next := *old
	next.holders = slices.DeleteFunc(slices.Clone(old.holders), func(h *Source) bool { return h == src })
	s.instances[w.Id] = &next
	s.lookBy(s.deadline(&next))
}

// vouch extends a source's word. After a silence that was longer than its word
// held, the instances that were declared gone meanwhile are brought back: the
// watch had stalled, not they.
func (s *State) vouch(now time.Time, src *Source, settling bool) bool {
	silent := !src.until.IsZero() && !src.valid(now)
	src.until = now.Add(s.settings.VouchLease)
	src.settling = settling
	if !silent {
		return false
	}
	changed := false
	for id, inst := range s.instances {
		if !inst.expired() || !slices.Contains(inst.holders, src) {
			continue
		}
		next := *inst
		s.revive(&next, now)
		s.instances[id] = &next
		changed = true
	}
	return changed
}

// onlyUnsettledSources says whether all that this directory knows from others
// comes from replicas that have just started. What they don't vouch for may be
// up: it only has not announced to them yet.
func (s *State) onlyUnsettledSources(now time.Time) bool {
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

// holds says whether all replicas have fallen silent, lately. A control replica
// does not hold: it would vouch to others for what nobody hears.
func (s *State) holds(now time.Time) bool {
	var last time.Time
	for _, src := range s.sources {
		if !src.Whole {
			return false
		}
		if src.until.After(last) {
			last = src.until
		}
	}
	return now.After(last) && now.Sub(last) <= s.settings.SilentHold
}

// sourceMemory is how long after its word ended a source is remembered.
const sourceMemory = time.Minute

// dropSources forgets sources that ended long ago.
func (s *State) dropSources(now time.Time) {
	old := func(src *Source) bool { return now.Sub(src.until) > sourceMemory }
	if !slices.ContainsFunc(s.sources, old) {
		return
	}
	for _, src := range s.sources {
		src.dropped = old(src)
	}
	s.sources = slices.DeleteFunc(s.sources, old)
	for id, inst := range s.instances {
		if !slices.ContainsFunc(inst.holders, old) {
			continue
		}
		next := *inst
		next.holders = slices.DeleteFunc(slices.Clone(inst.holders), old)
		s.instances[id] = &next
	}
}
