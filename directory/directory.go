// Package directory tracks which upstreams and entries are up, leaving or gone. This
// is soft state: it is rebuilt from announcements after a start and is never
// written to the log.
//
// State has no goroutines, clock or I/O of its own: callers pass in the time and the
// announcements. Node drives it for a daemon.
package directory

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// Settings configures a State.
type Settings struct {
	// DefaultLease is the lease of an announcement that asks for none.
	DefaultLease time.Duration
	// MaxLease is the longest lease that an announcement may ask for.
	MaxLease time.Duration
	// Tombstone is how long the incarnation of a gone instance is remembered, so that
	// a delayed message of that incarnation can't bring it back.
	Tombstone time.Duration
	// SettleTime is the longest time after a start in which instances that did not
	// announce to this process are not marked as gone; 0 disables settling.
	SettleTime time.Duration
	// SettleShare is the fraction of the previously known instances that ends
	// settling early once they are known again.
	SettleShare float64
	// SourceLease is the lease of a source: how long the instances that it reported
	// stay alive after its last update.
	SourceLease time.Duration
	// SourceLossGrace is how long a directory that follows replicas keeps the instances
	// known only from them after the leases of all sources have expired. All replicas
	// may be restarting while the upstreams are up. Control replicas don't use it.
	SourceLossGrace time.Duration
	// ProbeTimeout is the timeout of a probe. An instance that this process heard from
	// directly is probed before it is marked as gone: once, or isolatedProbes times
	// by a process whose sources have all fallen silent.
	ProbeTimeout time.Duration
}

// TombstoneTime is the default of Settings.Tombstone.
const TombstoneTime = 10 * time.Minute

// DefaultSettings returns the settings of a daemon without a [directory] section.
func DefaultSettings() Settings {
	return Settings{
		DefaultLease:    3 * time.Second,
		MaxLease:        30 * time.Second,
		Tombstone:       TombstoneTime,
		SettleTime:      10 * time.Second,
		SettleShare:     0.9,
		SourceLease:     3 * time.Second,
		SourceLossGrace: 15 * time.Second,
		ProbeTimeout:    500 * time.Millisecond,
	}
}

// Instance is one upstream or entry as this process knows it. Instances are
// immutable: a change replaces the instance with a modified copy.
type Instance struct {
	*wire.Announcement
	// Heard is when the announcement first reached a directory, by the local clock.
	Heard time.Time
	// Expires is when the lease of the announcement itself ends. The instance stays
	// alive after that while one of its sources has a valid lease.
	Expires time.Time
	// localExpires is when the lease of its announcements made directly to this
	// process ends; zero if there were none, or once Tick has expired that lease.
	localExpires time.Time
	// sources are the sources that report this incarnation as alive.
	sources []*Source
	// withdrawn reports that a source which had reported this incarnation as alive has stopped doing
	// so, and that none has reported it since.
	withdrawn bool
	// beforeExpiry is the announcement of an instance before its lease expired here;
	// otherwise nil. It is used to restore the instance if a source reports it again.
	beforeExpiry *wire.Announcement
}

// Up reports whether the instance takes new work.
func (i *Instance) Up() bool { return i.Phase == wire.Phase_PHASE_UP }

// conflictsWith reports whether an announcement names the current incarnation of a
// directly called upstream but a different address or other pools. These don't
// change while a process runs, so the announcement has another author, and
// accepting it would remove the upstream from its pools.
func (i *Instance) conflictsWith(a *wire.Announcement) bool {
	return i.Incarnation == a.Incarnation && i.Direct != nil && i.Phase != wire.Phase_PHASE_GONE && a.Phase != wire.Phase_PHASE_GONE &&
		(i.Address != a.Address || !slices.Equal(i.Pools, a.Pools))
}

// alive reports whether the lease of the announcement or that of one of the
// instance's sources is valid.
func (i *Instance) alive(now time.Time) bool {
	if !now.After(i.Expires) {
		return true
	}
	return slices.ContainsFunc(i.sources, func(s *Source) bool { return s.valid(now) })
}

// expired reports whether the instance is gone because its leases expired, rather
// than because it announced its own end.
func (i *Instance) expired() bool { return i.beforeExpiry != nil }

// State is a directory. It is not safe for concurrent use.
type State struct {
	settings  Settings
	instances map[string]*Instance
	started   time.Time
	settled   bool
	// knownBefore is the number of instances that were known before the start.
	knownBefore int
	sources     []*Source
	// hadSource reports whether there ever was a source.
	hadSource bool
	changes   changeLog
	// nextCheck is the earliest time at which a lease can end. Until then Tick skips
	// the scan of all instances, which is expensive with thousands of them.
	nextCheck time.Time
	// revisionVersion counts changes that affect the revision summaries, and summaries
	// caches those by View.LocalOnly.
	revisionVersion uint64
	summaries       map[bool]revisionSummary
	// contacts holds the leases of instances that this process heard from directly, by
	// ID. They are kept apart from the instances because they are not passed on to
	// watchers.
	contacts map[string]contact
	// probes are the instances to probe, until TakeProbes returns them.
	probes     []*Instance
	references referenceIndex
	// saved are registrations to restore if savedPeers other replicas have just started too.
	saved      []*wire.Announcement
	savedPeers int
}

// contact is the lease of one incarnation that was renewed by direct communication.
type contact struct {
	incarnation uint64
	expires     time.Time
	// firstProbe is when the first probe since the last renewal was requested, and
	// probes counts them.
	firstProbe time.Time
	probes     int
}

// New returns a directory for a process that starts at now. known is the number of
// instances that the process, or a peer, knew before; 0 if it is unknown.
func New(settings Settings, now time.Time, known int) *State {
	return &State{
		settings:    settings,
		instances:   map[string]*Instance{},
		contacts:    map[string]contact{},
		started:     now,
		settled:     settings.SettleTime == 0,
		knownBefore: known,
		changes:     newChangeLog(),
		summaries:   map[bool]revisionSummary{},
	}
}

// Announce handles an announcement that was received age ago; local reports that it
// was made directly to this process. It returns whether the instance changed, apart
// from its lease, and whether a later incarnation supersedes the sender.
func (s *State) Announce(now time.Time, a *wire.Announcement, age time.Duration, local bool) (changed, superseded bool) {
	return s.applyAnnouncement(now, a, age, local, nil)
}

func (s *State) applyAnnouncement(now time.Time, a *wire.Announcement, age time.Duration, local bool, src *Source) (changed, superseded bool) {
	old := s.instances[a.Id]
	if old != nil && old.Incarnation > a.Incarnation {
		return false, true
	}
	sameIncarnation := old != nil && old.Incarnation == a.Incarnation
	// A delayed or duplicated message must not undo a later one of the same
	// incarnation, such as bring an upstream back up that is leaving.
	if sameIncarnation && old.Seq >= a.Seq {
		return s.renewFromSource(now, old, a, src), false
	}
	if sameIncarnation && old.conflictsWith(a) {
		return false, false
	}
	heard := now.Add(-age)
	inst := &Instance{Announcement: a, Heard: heard, Expires: heard.Add(s.lease(a))}
	if local {
		inst.localExpires = inst.Expires
	}
	if sameIncarnation {
		s.carryOver(inst, old)
	}
	if src != nil && a.Phase != wire.Phase_PHASE_GONE {
		inst.addSource(src)
	}
	if old == nil || old.Revision != inst.Revision {
		s.revisionVersion++
	}
	s.instances[a.Id] = inst
	s.checkBy(s.nextDeadline(inst))
	changed = old == nil || !equalForWatchers(old.Announcement, a)
	becameLocal := old != nil && old.localExpires.IsZero() && local
	if changed || becameLocal {
		s.changes.record(a.Id)
	}
	return changed, false
}

// carryOver copies the state of old that a later announcement of the same incarnation
// doesn't replace.
func (s *State) carryOver(inst, old *Instance) {
	inst.sources = old.sources
	if inst.localExpires.IsZero() {
		inst.localExpires, inst.withdrawn = old.localExpires, old.withdrawn
	}
	if old.Expires.After(inst.Expires) {
		inst.Expires = old.Expires
	}
	// Revisions only grow within an incarnation: a lagging source must not lower the
	// known one.
	if old.Revision > inst.Revision {
		inst.Announcement = withRevision(inst.Announcement, old.Revision)
	}
}

func withRevision(a *wire.Announcement, revision uint64) *wire.Announcement {
	c := proto.Clone(a).(*wire.Announcement)
	c.Revision = revision
	return c
}

// RenewDirect renews the lease of an instance that this process heard from directly, if the
// incarnation is the known one. It doesn't restore gone instances or change phases.
//
// It keeps upstreams up that are still reachable while this process is partitioned
// from all control replicas and receives no renewals.
func (s *State) RenewDirect(now time.Time, id string, incarnation uint64) {
	old := s.instances[id]
	if old == nil || old.Incarnation != incarnation || old.Phase == wire.Phase_PHASE_GONE {
		return
	}
	s.contacts[id] = contact{incarnation: incarnation, expires: now.Add(s.lease(old.Announcement))}
}

// awaitsProbe reports whether an instance whose leases have expired stays up while it
// is probed, and requests the probes. Only instances that were heard from directly are
// probed: upstreams report seldom while their load changes little, so that the lease of
// a lost replica may expire between two reports.
func (s *State) awaitsProbe(now time.Time, inst *Instance) bool {
	c := s.contacts[inst.Id]
	if c.incarnation != inst.Incarnation {
		return false
	}
	if c.probes == 0 {
		c.firstProbe = now
	}
	maxProbes := 1
	if s.isIsolated(now) {
		maxProbes = isolatedProbes
	}
	waited := now.Sub(c.firstProbe)
	if c.probes < maxProbes && waited >= time.Duration(c.probes)*s.settings.ProbeTimeout {
		c.probes++
		s.probes = append(s.probes, inst)
	}
	s.contacts[inst.Id] = c
	return waited <= time.Duration(maxProbes)*s.settings.ProbeTimeout
}

// isolatedProbes is how many probes an isolated process sends before it marks an
// instance as gone: no other directory could restore the instance if one reply came
// late. With the default settings an instance is still gone within five seconds.
const isolatedProbes = 3

// isIsolated reports whether this directory has followed others and no source has a
// valid lease.
func (s *State) isIsolated(now time.Time) bool {
	return s.hadSource && !slices.ContainsFunc(s.sources, func(src *Source) bool { return src.valid(now) })
}

// TakeProbes returns the instances to probe and clears the list. A reply is reported
// with RenewDirect.
func (s *State) TakeProbes() []*Instance {
	probes := s.probes
	s.probes = nil
	return probes
}

// hasDirectLease reports whether the lease from direct communication is valid.
func (s *State) hasDirectLease(now time.Time, inst *Instance) bool {
	c := s.contacts[inst.Id]
	return c.incarnation == inst.Incarnation && !now.After(c.expires)
}

func (s *State) lease(a *wire.Announcement) time.Duration {
	d := time.Duration(a.LeaseMs) * time.Millisecond
	if d <= 0 {
		d = s.settings.DefaultLease
	}
	return min(d, s.settings.MaxLease)
}

// equalForWatchers compares the fields whose changes are sent to watchers. It runs for
// every renewal, so it compares field by field.
func equalForWatchers(a, b *wire.Announcement) bool {
	return a.Id == b.Id && a.Incarnation == b.Incarnation && a.Role == b.Role && a.Phase == b.Phase &&
		a.FailureDomain == b.FailureDomain && a.Address == b.Address && a.CallerAddress == b.CallerAddress &&
		slices.Equal(a.Pools, b.Pools) && a.Kind == b.Kind && a.Group == b.Group && a.Rank == b.Rank &&
		a.LeaseMs == b.LeaseMs && a.Listed == b.Listed && sameDirect(a.Direct, b.Direct) &&
		a.ClaimRegister.GetLife() == b.ClaimRegister.GetLife() && a.ClaimRegister.GetDurable() == b.ClaimRegister.GetDurable()
}

func sameDirect(a, b *wire.DirectUpstream) bool {
	return a.GetSlots() == b.GetSlots() && a.GetGroupEpoch() == b.GetGroupEpoch() &&
		a.GetGroupBroken() == b.GetGroupBroken() && a.GetGroupSize() == b.GetGroupSize() && sameColdness(a.GetColdMs(), b.GetColdMs())
}

// sameColdness reports whether a later announcement doesn't change when an upstream gets warm: what is
// left of the time before it shrinks with each announcement, which isn't sent to watchers.
func sameColdness(before, after uint32) bool { return (before > 0) == (after > 0) && after <= before }

// Settled reports whether the directory has settled, and may mark instances as gone
// that did not announce to it directly.
//
// A process that just started only knows instances that have announced to it since.
// It settles when a fraction of the previously known instances is known again or
// SettleTime has passed. Until then its followers are told that it is settling, and
// that instances missing from it may be up.
func (s *State) Settled(now time.Time) bool {
	if s.settled {
		return true
	}
	enough := s.knownBefore > 0 && float64(len(s.instances)) >= s.settings.SettleShare*float64(s.knownBefore)
	s.settled = enough || now.Sub(s.started) >= s.settings.SettleTime
	return s.settled
}

// nextDeadline returns the time at which the instance next has to be checked, if it is
// not renewed until then.
func (s *State) nextDeadline(i *Instance) time.Time {
	if i.Phase == wire.Phase_PHASE_GONE {
		return i.Heard.Add(s.settings.Tombstone)
	}
	end := i.Expires
	for _, src := range i.sources {
		if src.expires.After(end) {
			end = src.expires
		}
	}
	if c := s.contacts[i.Id]; c.incarnation == i.Incarnation && c.expires.After(end) {
		end = c.expires
	}
	if !i.localExpires.IsZero() && i.localExpires.Before(end) {
		end = i.localExpires
	}
	return end
}

// checkBy makes Tick scan the instances once t has passed.
func (s *State) checkBy(t time.Time) {
	if t.Before(s.nextCheck) {
		s.nextCheck = t
	}
}

// Tick expires leases and restores saved registrations. It returns the instances that changed.
func (s *State) Tick(now time.Time) []*Instance {
	s.removeStaleSources(now)
	restored := s.restoreSaved(now)
	settled := s.Settled(now) && !s.onlySettlingSources(now) && !s.inSourceLossGrace(now)
	if !now.After(s.nextCheck) {
		return restored
	}
	changed := append(restored, s.expireLeases(now, settled)...)
	s.nextCheck = now.Add(s.settings.MaxLease)
	for _, inst := range s.instances {
		s.checkBy(s.nextDeadline(inst))
	}
	return changed
}

func (s *State) expireLeases(now time.Time, settled bool) []*Instance {
	var changed []*Instance
	for id, inst := range s.instances {
		if inst.Phase == wire.Phase_PHASE_GONE {
			if now.Sub(inst.Heard) > s.settings.Tombstone {
				delete(s.instances, id)
				delete(s.contacts, id)
				s.changes.remove(id)
			}
			continue
		}
		if !inst.alive(now) && !s.hasDirectLease(now, inst) {
			// An instance that announced here and stopped is gone even before this
			// process has settled, and so is one that a source has withdrawn: the source
			// had heard of it since its start and no longer does. Any other one known only
			// from other directories may be up without this process having heard of it.
			if !settled && inst.localExpires.IsZero() && !inst.withdrawn {
				continue
			}
			if s.awaitsProbe(now, inst) {
				continue
			}
			gone := s.newGone(inst, now)
			s.instances[id] = gone
			s.changes.record(id)
			s.revisionVersion++
			changed = append(changed, gone)
			continue
		}
		s.expireLocal(id, inst, now)
	}
	return changed
}

// expireLocal records that an instance which is still alive has stopped announcing
// directly to this process.
func (s *State) expireLocal(id string, inst *Instance, now time.Time) {
	if inst.localExpires.IsZero() || !now.After(inst.localExpires) {
		return
	}
	next := *inst
	next.localExpires = time.Time{}
	s.instances[id] = &next
	s.changes.record(id)
	s.revisionVersion++
}

// newGone returns a copy of the instance that is gone because its leases expired.
func (s *State) newGone(inst *Instance, now time.Time) *Instance {
	a := proto.Clone(inst.Announcement).(*wire.Announcement)
	a.Phase = wire.Phase_PHASE_GONE
	return &Instance{
		Announcement: a, Heard: now, Expires: now, sources: inst.sources, beforeExpiry: inst.Announcement,
	}
}

// Get returns the instance with the ID, or nil.
func (s *State) Get(id string) *Instance { return s.instances[id] }

// Instances returns the instances of a role that are not gone, sorted by ID.
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

// Len returns the number of known instances, including gone ones.
func (s *State) Len() int { return len(s.instances) }

// All returns all instances, including gone ones, sorted by ID.
func (s *State) All() []*Instance {
	list := make([]*Instance, 0, len(s.instances))
	for _, inst := range s.instances {
		list = append(list, inst)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
	return list
}
