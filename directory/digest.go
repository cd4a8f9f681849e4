package directory

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipereach/snipereach/wire"
)

// digestParts is how many parts of a directory are compared by one hash each. A
// watcher that changes its replica says what it knows in 2 KB, and one changed
// instance costs the copy of its part: 29 instances of 7,500.
const digestParts = 256

// digest is the hash of each part: the exclusive or of its instances' hashes.
type digest [digestParts]uint64

func partOf(id string) int { return int(xxhash.Sum64String(id) % digestParts) }

// digest sums up the instances that are not gone, as watchers are told of them.
func (s *State) digest() digest {
	var d digest
	for id, i := range s.instances {
		if i.Phase != wire.Phase_PHASE_GONE {
			d[partOf(id)] ^= hashOf(i.Announcement)
		}
	}
	return d
}

// hashOf is equal for announcements that are sameButForLoad, and for no others. It
// writes the fields out by itself: to encode messages would cost more processor
// time than the copy that it saves.
func hashOf(a *wire.Announcement) uint64 {
	b := make([]byte, 0, 256)
	texts := []string{a.Id, a.FailureDomain, a.Address, a.CallerAddress, a.Kind, a.Group}
	for _, t := range append(texts, a.Pools...) {
		b = binary.AppendUvarint(b, uint64(len(t)))
		b = append(b, t...)
	}
	numbers := []uint64{
		a.Incarnation, uint64(a.Role), uint64(a.Phase), uint64(a.Rank), uint64(a.LeaseMs), bit(a.Listed),
		a.ClaimRegister.GetLife(), bit(a.ClaimRegister.GetDurable()),
		uint64(a.Direct.GetSlots()), a.Direct.GetGroupEpoch(), bit(a.Direct.GetGroupBroken()), uint64(a.Direct.GetGroupSize()),
	}
	for _, n := range numbers {
		b = binary.AppendUvarint(b, n)
	}
	return xxhash.Sum64(b)
}

func bit(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// Remember prepares a new source of the whole directory: it returns the hashes of
// what is known now, and keeps what they stand for until the source is synced.
func (s *State) Remember(src *Source) []uint64 {
	d := s.digest()
	src.known = map[int][]*wire.Announcement{}
	for id, i := range s.instances {
		if i.Phase != wire.Phase_PHASE_GONE {
			src.known[partOf(id)] = append(src.known[partOf(id)], i.Announcement)
		}
	}
	return d[:]
}

// keepParts lets a source vouch for the parts that it knows alike. An instance
// whose lease ran out since they were remembered is brought back, as if the source
// had sent it.
func (s *State) keepParts(now time.Time, src *Source, kept parts) bool {
	changed := false
	for part, lives := range src.known {
		if !kept.has(part) {
			continue
		}
		for _, a := range lives {
			if old := s.instances[a.Id]; old != nil && old.Incarnation == a.Incarnation {
				changed = s.hold(now, old, a, src) || changed
			}
		}
	}
	return changed
}

// parts is a set of parts, one bit each.
type parts []byte

func (p parts) has(part int) bool { return part/8 < len(p) && p[part/8]&(1<<(part%8)) != 0 }

func (p parts) add(part int) { p[part/8] |= 1 << (part % 8) }

// compare finds the parts of which a watcher knows the same. What changes later
// is sent, whatever its part.
func (s *State) compare(v *View) {
	if v.LocalOnly || len(v.Known) != digestParts {
		return
	}
	d := s.digest()
	v.kept, v.keptAt = make(parts, digestParts/8), s.changes.version
	for part, hash := range d {
		if hash == v.Known[part] {
			v.kept.add(part)
		}
	}
}

// keeps says whether a watcher has an instance as it is here.
func (v *View) keeps(i *Instance, version uint64) bool {
	return version <= v.keptAt && i.Phase != wire.Phase_PHASE_GONE && v.kept.has(partOf(i.Id))
}
