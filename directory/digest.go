package directory

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipereach/snipereach/wire"
)

// digestBuckets is the number of buckets that instances are hashed into; the digest
// has one hash for each. A watcher that connects to another replica sends 2 KB of
// hashes, and a changed instance costs the transfer of its bucket only.
const digestBuckets = 256

// digest holds for each bucket the XOR of the hashes of its instances.
type digest [digestBuckets]uint64

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % digestBuckets) }

// digest returns the digest of all instances that are not gone.
func (s *State) digest() digest {
	var d digest
	for id, i := range s.instances {
		if i.Phase != wire.Phase_PHASE_GONE {
			d[bucketOf(id)] ^= hashAnnouncement(i.Announcement)
		}
	}
	return d
}

// hashAnnouncement hashes the fields that equalForWatchers compares. It encodes them
// itself, because marshaling the message would cost more CPU time than the transfer
// that the digest saves.
func hashAnnouncement(a *wire.Announcement) uint64 {
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
		bit(a.Direct.GetColdMs() > 0),
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

// PrepareResume prepares src to resume from what is known now. It returns the digest to
// send, and keeps the announcements of each bucket until the source is synced.
func (s *State) PrepareResume(src *Source) []uint64 {
	d := s.digest()
	src.resumeBuckets = map[int][]*wire.Announcement{}
	for id, i := range s.instances {
		if i.Phase != wire.Phase_PHASE_GONE {
			src.resumeBuckets[bucketOf(id)] = append(src.resumeBuckets[bucketOf(id)], i.Announcement)
		}
	}
	return d[:]
}

// renewUnchanged adds src as a source of the instances in the buckets that it
// reported as unchanged. An instance whose lease has expired since PrepareResume is
// restored, as if the source had sent it.
func (s *State) renewUnchanged(now time.Time, src *Source, unchanged bucketSet) bool {
	changed := false
	for bucket, announcements := range src.resumeBuckets {
		if !unchanged.has(bucket) {
			continue
		}
		for _, a := range announcements {
			if old := s.instances[a.Id]; old != nil && old.Incarnation == a.Incarnation {
				changed = s.renewFromSource(now, old, a, src) || changed
			}
		}
	}
	return changed
}

// bucketSet is a bitmap of buckets.
type bucketSet []byte

func (b bucketSet) has(bucket int) bool { return bucket/8 < len(b) && b[bucket/8]&(1<<(bucket%8)) != 0 }

func (b bucketSet) add(bucket int) { b[bucket/8] |= 1 << (bucket % 8) }

// compareDigest determines the buckets that the watcher knows already. Instances that
// change afterwards are sent whatever their bucket.
func (s *State) compareDigest(v *View) {
	if v.LocalOnly || len(v.Digest) != digestBuckets {
		return
	}
	d := s.digest()
	v.unchanged, v.unchangedAt = make(bucketSet, digestBuckets/8), s.changes.version
	for bucket, hash := range d {
		if hash == v.Digest[bucket] {
			v.unchanged.add(bucket)
		}
	}
}

// isUnchanged reports whether the watcher already has the instance in this version,
// because its bucket was unchanged.
func (v *View) isUnchanged(i *Instance, version uint64) bool {
	return version <= v.unchangedAt && i.Phase != wire.Phase_PHASE_GONE && v.unchanged.has(bucketOf(i.Id))
}
