// Package directory holds the soft state of who is up, leaving or gone:
// upstreams and entries. It is rebuilt from announcements after a start and
// never written to the log.
//
// State is pure: time and announcements go in, changes come out. Daemons
// drive it.
package directory

import (
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
}

// DefaultSettings are those of a daemon with no [directory] section.
func DefaultSettings() Settings {
	return Settings{
		DefaultLease: 3 * time.Second,
		MaxLease:     30 * time.Second,
		Tombstone:    10 * time.Minute,
		SettleTime:   10 * time.Second,
		SettleShare:  0.9,
	}
}

// Instance is one upstream or entry as this process knows it. Instances are
// immutable: a change makes a new one.
type Instance struct {
	*wire.Announcement
	// Heard is when the announcement reached its origin, by this process's clock.
	Heard time.Time
	// Expires is when its lease ends.
	Expires time.Time
	// Local says that the instance announced to this process itself.
	Local bool
	// before is the announcement of an instance whose lease ran out here. It may
	// have been heard elsewhere all the time, behind a watch that stalled.
	before *wire.Announcement
}

// Up says whether the instance takes new work.
func (i *Instance) Up() bool { return i.Phase == wire.Phase_PHASE_UP }

// State is a directory. It is not safe for use by several goroutines.
type State struct {
	settings  Settings
	instances map[string]*Instance
	started   time.Time
	settled   bool
	// known is how many instances were known before the start.
	known int
	// direct is until when an instance counts as up for having been heard from
	// directly. It stands apart from the instances, so that it isn't passed on.
	direct map[string]contact
}

// contact is a life of an instance, and until when its lease is renewed.
type contact struct {
	incarnation uint64
	expires     time.Time
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
	}
}

// Announce takes an announcement heard age ago. It returns whether it changed
// the instance (beyond renewing its lease) and whether a later incarnation has
// superseded the sender.
func (s *State) Announce(now time.Time, a *wire.Announcement, age time.Duration, local bool) (changed, superseded bool) {
	old := s.instances[a.Id]
	if old != nil && old.Incarnation > a.Incarnation {
		return false, true
	}
	// A late or doubled message of the same life would undo a later one, for
	// example bring a leaving upstream back up; the sequence number stops it.
	if old != nil && old.Incarnation == a.Incarnation && old.Seq >= a.Seq {
		return false, false
	}
	heard := now.Add(-age)
	inst := &Instance{Announcement: a, Heard: heard, Expires: heard.Add(s.lease(a)), Local: local}
	s.instances[a.Id] = inst
	return old == nil || !sameButForLoad(old.Announcement, a), false
}

// Renew extends the lease of an unchanged instance. It returns false if the
// instance isn't known as the renewal means it.
func (s *State) Renew(now time.Time, r *wire.Renewal) bool {
	old := s.instances[r.Id]
	if old == nil || old.Incarnation != r.Incarnation || old.Seq > r.Seq {
		return false
	}
	if old.Phase == wire.Phase_PHASE_GONE {
		if old.before == nil || old.Seq == r.Seq {
			return false
		}
		old = &Instance{Announcement: old.before, Heard: old.Heard, Local: old.Local}
	}
	heard := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	if heard.Before(old.Heard) && old.Phase != wire.Phase_PHASE_GONE && s.instances[r.Id] == old {
		return true
	}
	next := *old
	next.Announcement = proto.Clone(old.Announcement).(*wire.Announcement)
	next.Seq = r.Seq
	next.Revision = r.Revision
	next.Heard = heard
	next.Expires = heard.Add(s.lease(old.Announcement))
	s.instances[r.Id] = &next
	return true
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
	s.direct[id] = contact{incarnation, now.Add(s.lease(old.Announcement))}
}

// expired says whether an instance's lease has run out, also by what was heard
// from it directly.
func (s *State) expired(now time.Time, inst *Instance) bool {
	c := s.direct[inst.Id]
	return now.After(inst.Expires) && (c.incarnation != inst.Incarnation || now.After(c.expires))
}

func (s *State) lease(a *wire.Announcement) time.Duration {
	d := time.Duration(a.LeaseMs) * time.Millisecond
	if d <= 0 {
		d = s.settings.DefaultLease
	}
	return min(d, s.settings.MaxLease)
}

func sameButForLoad(a, b *wire.Announcement) bool {
	x, y := proto.Clone(a).(*wire.Announcement), proto.Clone(b).(*wire.Announcement)
	x.Seq, y.Seq = 0, 0
	x.Load, y.Load = nil, nil
	x.Revision, y.Revision = 0, 0
	return proto.Equal(x, y)
}

// Settled says whether the directory may declare instances gone.
//
// A process that just started knows only who has announced to it so far. If it
// declared the others gone it would shrink pools that are whole; it waits until
// a share of those formerly known is back, or a set time has passed.
func (s *State) Settled(now time.Time) bool {
	if s.settled {
		return true
	}
	enough := s.known > 0 && float64(len(s.instances)) >= s.settings.SettleShare*float64(s.known)
	s.settled = enough || now.Sub(s.started) >= s.settings.SettleTime
	return s.settled
}

// Tick ends leases that have run out and returns the instances that changed.
func (s *State) Tick(now time.Time) []*Instance {
	if !s.Settled(now) {
		return nil
	}
	var changed []*Instance
	for id, inst := range s.instances {
		if inst.Phase != wire.Phase_PHASE_GONE && s.expired(now, inst) {
			gone := s.gone(inst, now)
			s.instances[id] = gone
			changed = append(changed, gone)
			continue
		}
		if inst.Phase == wire.Phase_PHASE_GONE && now.Sub(inst.Heard) > s.settings.Tombstone {
			delete(s.instances, id)
			delete(s.direct, id)
		}
	}
	return changed
}

func (s *State) gone(inst *Instance, now time.Time) *Instance {
	a := proto.Clone(inst.Announcement).(*wire.Announcement)
	a.Phase = wire.Phase_PHASE_GONE
	return &Instance{Announcement: a, Heard: now, Expires: now, Local: inst.Local, before: inst.Announcement}
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

// All returns every instance, gone ones too, sorted by ID.
func (s *State) All() []*Instance {
	list := make([]*Instance, 0, len(s.instances))
	for _, inst := range s.instances {
		list = append(list, inst)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
	return list
}
