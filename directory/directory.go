// Package directory holds the soft state of who is up, leaving or gone:
// upstreams and entries. It is rebuilt from announcements after a start and
// never written to the log.
//
// State is pure: time and announcements go in, changes come out. Daemons
// drive it.
package directory

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// Settings of a State.
type Settings struct {
	// DefaultLease stands in when an announcement asks for none.
	DefaultLease time.Duration
	// MaxLease bounds what an announcement may ask for.
	MaxLease time.Duration
	// Tombstone is how long a gone instance's incarnation is remembered, so
	// that a late message of its life can't bring it back.
	Tombstone time.Duration
	// SettleTime is the longest time after a start in which nothing is
	// declared gone; 0 turns the settling rule off.
	SettleTime time.Duration
	// SettleShare is the share of formerly known instances that ends settling
	// early once they have announced themselves.
	SettleShare float64
	// VouchLease is how long the word of a source that fell silent holds for the
	// instances that it vouched for.
	VouchLease time.Duration
	// SilentHold is how long a directory that follows one replica, and hears none
	// at all, declares nothing gone after the last one's word has ended. All
	// replicas may be starting again, while the upstreams are up.
	SilentHold time.Duration
	// AskTime is how long an instance that this process itself has heard stays up
	// when nothing speaks for it any more, while it is asked. Where this process
	// hears no other directory any more it asks cutOffAsks times.
	AskTime time.Duration
}

// DefaultSettings are those of a daemon with no [directory] section.
func DefaultSettings() Settings {
	return Settings{
		DefaultLease: 3 * time.Second,
		MaxLease:     30 * time.Second,
		Tombstone:    10 * time.Minute,
		SettleTime:   10 * time.Second,
		SettleShare:  0.9,
		VouchLease:   3 * time.Second,
		SilentHold:   15 * time.Second,
		AskTime:      500 * time.Millisecond,
	}
}

// Instance is one upstream or entry as this process knows it. Instances are
// immutable: a change makes a new one.
type Instance struct {
	*wire.Announcement
	// Heard is when the announcement reached its origin, by this process's clock.
	Heard time.Time
	// Expires is when the lease of the announcement itself ends. The instance
	// lives on while a source vouches for it.
	Expires time.Time
	// localUntil is when the lease of what it announced to this process itself
	// ends; zero if it never did.
	localUntil time.Time
	// holders are the sources that vouch for this life.
	holders []*Source
	// before is the announcement of an instance whose lease ran out here. It may
	// have been heard elsewhere all the time, behind a watch that stalled.
	before *wire.Announcement
}

// Up says whether the instance takes new work.
func (i *Instance) Up() bool { return i.Phase == wire.Phase_PHASE_UP }

// contradicts says whether an announcement names this incarnation of an upstream that is
// called directly with another address or other pools. Neither changes while it runs: the
// announcement was made by another writer, and would take the upstream from its pools.
func (i *Instance) contradicts(a *wire.Announcement) bool {
	return i.Incarnation == a.Incarnation && i.Direct != nil && i.Phase != wire.Phase_PHASE_GONE && a.Phase != wire.Phase_PHASE_GONE &&
		(i.Address != a.Address || !slices.Equal(i.Pools, a.Pools))
}

// alive says whether anything speaks for the instance now.
func (i *Instance) alive(now time.Time) bool {
	if !now.After(i.Expires) {
		return true
	}
	return slices.ContainsFunc(i.holders, func(s *Source) bool { return s.valid(now) })
}

// expired says whether the instance is gone because nothing spoke for it, and
// not by its own word.
func (i *Instance) expired() bool { return i.before != nil }

// State is a directory. It is not safe for use by several goroutines.
type State struct {
	settings  Settings
	instances map[string]*Instance
	started   time.Time
	settled   bool
	// known is how many instances were known before the start.
	known   int
	sources []*Source
	// followed says that there ever was a source.
	followed bool
	changes  changeLog
	// due is the earliest time at which a lease can end. A look at thousands of
	// instances at each tick would take more than one percent of a core.
	due time.Time
	// revisions counts changes of the entries' table revisions, and sums holds
	// their summaries for both kinds of view.
	revisions uint64
	sums      map[bool]revisionSummary
	// direct is until when an instance counts as up for having been heard from
	// directly. It stands apart from the instances, so that it isn't passed on.
	direct map[string]contact
	// asks are the instances to ask, until TakeAsks.
	asks []*Instance
}

// contact is a life of an instance, and until when its lease is renewed.
type contact struct {
	incarnation uint64
	expires     time.Time
	// asked is when it was first asked for a sign of life since, and asks how often.
	asked time.Time
	asks  int
}

// New makes a directory at a process's start. known is the number of instances
// that it, or a peer, knew before; 0 if that is not known.
func New(settings Settings, now time.Time, known int) *State {
	return &State{
		settings:  settings,
		instances: map[string]*Instance{},
		direct:    map[string]contact{},
		started:   now,
		settled:   settings.SettleTime == 0,
		known:     known,
		changes:   newChangeLog(),
		sums:      map[bool]revisionSummary{},
	}
}

// Announce takes an announcement heard age ago. It returns whether it changed
// the instance (beyond renewing its lease) and whether a later incarnation has
// superseded the sender. local says that it was made to this process itself.
func (s *State) Announce(now time.Time, a *wire.Announcement, age time.Duration, local bool) (changed, superseded bool) {
	return s.take(now, a, age, local, nil)
}

func (s *State) take(now time.Time, a *wire.Announcement, age time.Duration, local bool, src *Source) (changed, superseded bool) {
	old := s.instances[a.Id]
	if old != nil && old.Incarnation > a.Incarnation {
		return false, true
	}
	sameLife := old != nil && old.Incarnation == a.Incarnation
	// A late or doubled message of the same life would undo a later one, for
	// example bring a leaving upstream back up; the sequence number stops it.
	if sameLife && old.Seq >= a.Seq {
		return s.hold(now, old, a, src), false
	}
	if sameLife && old.contradicts(a) {
		return false, false
	}
	heard := now.Add(-age)
	inst := &Instance{Announcement: a, Heard: heard, Expires: heard.Add(s.lease(a))}
	if local {
		inst.localUntil = inst.Expires
	}
	if sameLife {
		s.keep(inst, old)
	}
	if src != nil && a.Phase != wire.Phase_PHASE_GONE {
		inst.addHolder(src)
	}
	if old == nil || old.Revision != inst.Revision {
		s.revisions++
	}
	s.instances[a.Id] = inst
	s.lookBy(s.deadline(inst))
	changed = old == nil || !sameButForLoad(old.Announcement, a)
	becameLocal := old != nil && old.localUntil.IsZero() && local
	if changed || becameLocal {
		s.changes.touch(a.Id)
	}
	return changed, false
}

// keep carries over what a later announcement of the same life doesn't replace.
func (s *State) keep(inst, old *Instance) {
	inst.holders = old.holders
	if inst.localUntil.IsZero() {
		inst.localUntil = old.localUntil
	}
	if old.Expires.After(inst.Expires) {
		inst.Expires = old.Expires
	}
	// Revisions only grow within a life; the announcement of a source that lags
	// must not lower the one that is known.
	if old.Revision > inst.Revision {
		inst.Announcement = withRevision(inst.Announcement, old.Revision)
	}
}

func withRevision(a *wire.Announcement, revision uint64) *wire.Announcement {
	c := proto.Clone(a).(*wire.Announcement)
	c.Revision = revision
	return c
}

// Heard renews the lease of an instance that was heard from directly, in the
// life that is known here. It brings nothing back and changes no phase.
//
// A process that is cut off from every control replica gets no renewals. Without
// this it would take all upstreams for gone, a lease later, and refuse requests
// that it could serve: it still talks to each of them.
func (s *State) Heard(now time.Time, id string, incarnation uint64) {
	old := s.instances[id]
	if old == nil || old.Incarnation != incarnation || old.Phase == wire.Phase_PHASE_GONE {
		return
	}
	s.direct[id] = contact{incarnation: incarnation, expires: now.Add(s.lease(old.Announcement))}
}

// mayAnswer says whether an instance for which nothing speaks any more may be up
// all the same. Upstreams report seldom while little changes, so the word of a
// lost replica may end between two reports: one that was heard before is asked,
// and taken for gone only if it doesn't answer.
func (s *State) mayAnswer(now time.Time, inst *Instance) bool {
	c := s.direct[inst.Id]
	if c.incarnation != inst.Incarnation {
		return false
	}
	if c.asks == 0 {
		c.asked = now
	}
	asks := 1
	if s.cutOff(now) {
		asks = cutOffAsks
	}
	waited := now.Sub(c.asked)
	if c.asks < asks && waited >= time.Duration(c.asks)*s.settings.AskTime {
		c.asks++
		s.asks = append(s.asks, inst)
	}
	s.direct[inst.Id] = c
	return waited <= time.Duration(asks)*s.settings.AskTime
}

// cutOffAsks is how often an instance is asked by a process that hears no other
// directory: there is nobody else to bring it back if one answer comes late. With
// the lease it still is gone within five seconds.
const cutOffAsks = 3

// cutOff says whether this directory followed others and hears none of them.
func (s *State) cutOff(now time.Time) bool {
	return s.followed && !slices.ContainsFunc(s.sources, func(src *Source) bool { return src.valid(now) })
}

// TakeAsks returns the instances to ask for a sign of life. Heard takes it.
func (s *State) TakeAsks() []*Instance {
	asks := s.asks
	s.asks = nil
	return asks
}

// inContact says whether an instance was heard from directly, lately.
func (s *State) inContact(now time.Time, inst *Instance) bool {
	c := s.direct[inst.Id]
	return c.incarnation == inst.Incarnation && !now.After(c.expires)
}

func (s *State) lease(a *wire.Announcement) time.Duration {
	d := time.Duration(a.LeaseMs) * time.Millisecond
	if d <= 0 {
		d = s.settings.DefaultLease
	}
	return min(d, s.settings.MaxLease)
}

// sameButForLoad compares what watchers are told of. It is called for every
// renewal, so it compares field by field.
func sameButForLoad(a, b *wire.Announcement) bool {
	return a.Id == b.Id && a.Incarnation == b.Incarnation && a.Role == b.Role && a.Phase == b.Phase &&
		a.FailureDomain == b.FailureDomain && a.Address == b.Address && a.CallerAddress == b.CallerAddress &&
		slices.Equal(a.Pools, b.Pools) && a.Kind == b.Kind && a.Group == b.Group && a.Rank == b.Rank &&
		a.LeaseMs == b.LeaseMs && a.Listed == b.Listed && sameDirect(a.Direct, b.Direct) &&
		a.ClaimRegister.GetLife() == b.ClaimRegister.GetLife() && a.ClaimRegister.GetDurable() == b.ClaimRegister.GetDurable()
}

func sameDirect(a, b *wire.DirectUpstream) bool {
	return a.GetSlots() == b.GetSlots() && a.GetGroupEpoch() == b.GetGroupEpoch() &&
		a.GetGroupBroken() == b.GetGroupBroken() && a.GetGroupSize() == b.GetGroupSize()
}

// Settled says whether the directory may declare instances gone.
//
// A process that just started knows only who has announced to it so far. If it
// declared the others gone it would shrink pools that are whole; it waits until
// a share of those formerly known is back, or a set time has passed. Those that
// follow it are told that what it doesn't vouch for may be up.
func (s *State) Settled(now time.Time) bool {
	if s.settled {
		return true
	}
	enough := s.known > 0 && float64(len(s.instances)) >= s.settings.SettleShare*float64(s.known)
	s.settled = enough || now.Sub(s.started) >= s.settings.SettleTime
	return s.settled
}

// deadline is when the next thing about an instance ends, if nobody speaks of it
// until then.
func (s *State) deadline(i *Instance) time.Time {
	if i.Phase == wire.Phase_PHASE_GONE {
		return i.Heard.Add(s.settings.Tombstone)
	}
	end := i.Expires
	for _, src := range i.holders {
		if src.until.After(end) {
			end = src.until
		}
	}
	if c := s.direct[i.Id]; c.incarnation == i.Incarnation && c.expires.After(end) {
		end = c.expires
	}
	if !i.localUntil.IsZero() && i.localUntil.Before(end) {
		end = i.localUntil
	}
	return end
}

// lookBy makes sure that the instances are looked at after a time.
func (s *State) lookBy(t time.Time) {
	if t.Before(s.due) {
		s.due = t
	}
}

// Tick ends leases that have run out and returns the instances that changed.
func (s *State) Tick(now time.Time) []*Instance {
	s.dropSources(now)
	settled := s.Settled(now) && !s.onlyUnsettledSources(now) && !s.holds(now)
	if !now.After(s.due) {
		return nil
	}
	changed := s.endLeases(now, settled)
	s.due = now.Add(s.settings.MaxLease)
	for _, inst := range s.instances {
		s.lookBy(s.deadline(inst))
	}
	return changed
}

func (s *State) endLeases(now time.Time, settled bool) []*Instance {
	var changed []*Instance
	for id, inst := range s.instances {
		if inst.Phase == wire.Phase_PHASE_GONE {
			if now.Sub(inst.Heard) > s.settings.Tombstone {
				delete(s.instances, id)
				delete(s.direct, id)
				s.changes.forget(id)
			}
			continue
		}
		if !inst.alive(now) && !s.inContact(now, inst) {
			// An instance that announced here and stopped has gone, also before
			// this process has settled. Of one that others spoke for, a process
			// that has not settled can't say so: it may only not hear them yet.
			if !settled && inst.localUntil.IsZero() {
				continue
			}
			if s.mayAnswer(now, inst) {
				continue
			}
			gone := s.gone(inst, now)
			s.instances[id] = gone
			s.changes.touch(id)
			s.revisions++
			changed = append(changed, gone)
			continue
		}
		s.endLocal(id, inst, now)
	}
	return changed
}

// endLocal notes that an instance which others still vouch for no longer
// announces to this process.
func (s *State) endLocal(id string, inst *Instance, now time.Time) {
	if inst.localUntil.IsZero() || !now.After(inst.localUntil) {
		return
	}
	next := *inst
	next.localUntil = time.Time{}
	s.instances[id] = &next
	s.changes.touch(id)
	s.revisions++
}

func (s *State) gone(inst *Instance, now time.Time) *Instance {
	a := proto.Clone(inst.Announcement).(*wire.Announcement)
	a.Phase = wire.Phase_PHASE_GONE
	return &Instance{
		Announcement: a, Heard: now, Expires: now, holders: inst.holders, before: inst.Announcement,
	}
}

// Get returns an instance, or nil.
func (s *State) Get(id string) *Instance { return s.instances[id] }

// Instances returns those of a role that are not gone, sorted by ID.
func (s *State) Instances(role wire.Role) []*Instance {
	var list []*Instance
	for _, inst := range s.instances {
		if inst.Role == role && inst.Phase != wire.Phase_PHASE_GONE {
			list = append(list, inst)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
	return list
}

// Len returns how many instances are known, gone ones too.
func (s *State) Len() int { return len(s.instances) }

// All returns every instance, gone ones too, sorted by ID.
func (s *State) All() []*Instance {
	list := make([]*Instance, 0, len(s.instances))
	for _, inst := range s.instances {
		list = append(list, inst)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
	return list
}
