package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// Registrations returns the announcements of the upstreams called by HTTP that are up, to be saved.
func (s *State) Registrations() (list []*wire.Announcement) {
	for _, i := range s.instances {
		if i.Role == wire.Role_ROLE_UPSTREAM && i.Direct != nil && i.Up() {
			list = append(list, i.Announcement)
		}
	}
	return list
}

// OfferSaved provides the registrations that this process, a control replica, saved shortly before it
// started. They are used if the other replicas have just started too; peers is how many there are.
//
// It guards against the loss of all replicas at once: upstreams keep running, but register again only
// with their next heartbeats, and until then the few that have would get all requests. If any replica
// has kept running, what it knows is newer than what was saved.
func (s *State) OfferSaved(list []*wire.Announcement, peers int) {
	s.saved, s.savedPeers = list, peers
}

// restoreSaved uses the saved registrations once half of the other replicas are connected and all of
// these are settling, and drops them if one has settled. It returns the instances that are restored.
//
// A restored instance has the lease of an announcement made here now: it is gone if it doesn't register
// again by then.
func (s *State) restoreSaved(now time.Time) (restored []*Instance) {
	if s.saved == nil {
		return nil
	}
	connected, settled := s.connectedPeers(now)
	if s.settled || settled {
		s.saved = nil
		return nil
	}
	if 2*connected < s.savedPeers {
		return nil
	}
	for _, a := range s.saved {
		if s.addressTaken(a) {
			continue
		}
		if changed, _ := s.Announce(now, a, 0, true); changed {
			restored = append(restored, s.instances[a.Id])
		}
	}
	s.saved = nil
	return restored
}

// Departure is an announcement of an upstream that leaves or is gone, as it was stored Age ago.
type Departure struct {
	Announcement *wire.Announcement
	Age          time.Duration
}

// maxLeavingAge is the age from which a stored announcement of an upstream that leaves is taken for
// its end. One that goes on longer repeats it.
const maxLeavingAge = 8 * time.Second

// RestoreDepartures applies departures that were stored before the start, whatever other replicas
// know: each replica tells the others, as one of them may have an older state. What is newer, by
// incarnation and sequence, stays.
func (s *State) RestoreDepartures(now time.Time, list []Departure) {
	for _, d := range list {
		a := proto.Clone(d.Announcement).(*wire.Announcement)
		if d.Age > maxLeavingAge {
			a.Phase = wire.Phase_PHASE_GONE
		}
		s.Announce(now, a, d.Age, true)
	}
}

// connectedPeers returns the number of sources with a valid lease, and whether one of them has settled.
func (s *State) connectedPeers(now time.Time) (connected int, settled bool) {
	for _, src := range s.sources {
		if src.valid(now) {
			connected++
			settled = settled || !src.settling
		}
	}
	return connected, settled
}

// addressTaken reports whether another instance has announced itself at an announcement's address.
func (s *State) addressTaken(a *wire.Announcement) bool {
	for _, i := range s.instances {
		if i.Address == a.Address && i.Phase != wire.Phase_PHASE_GONE {
			return true
		}
	}
	return false
}
