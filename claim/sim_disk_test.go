package claim

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/internal/schedule"
	"github.com/snipereach/snipereach/wire"
)

// simDisk is a data folder: its synced records, and backups that may be restored.
type simDisk struct {
	synced  []*wire.ClaimStored
	backups [][]*wire.ClaimStored
	// syncedBy is when the last sync that has started ends.
	syncedBy time.Time
}

// newDisk returns a disk for most entries, and nil for the others.
func (s *sim) newDisk() *simDisk {
	if s.disks == nil || s.disks.IntN(4) == 0 {
		return nil
	}
	return &simDisk{}
}

// afterSync calls f once all records that a register has written so far are synced. It
// doesn't if the process ends first.
func (s *sim) afterSync(e *simEntry, f func()) {
	if e.disk == nil {
		f()
		return
	}
	starts := e.starts
	sameProcess := func() bool { return e.up && e.starts == starts }
	if recs := e.reg.TakeWrites(); len(recs) > 0 {
		end := s.now.Add(s.randomSyncTime())
		if end.After(e.disk.syncedBy) {
			e.disk.syncedBy = end
		}
		s.schedule(e.disk.syncedBy.Sub(s.now), func() {
			if sameProcess() {
				e.disk.synced = append(e.disk.synced, recs...)
			}
		})
	}
	if s.disabled.syncBeforeReply || !e.disk.syncedBy.After(s.now) {
		f()
		return
	}
	s.schedule(e.disk.syncedBy.Sub(s.now), func() {
		if sameProcess() {
			f()
		}
	})
}

// randomSyncTime returns the duration of a sync, which is long at times.
func (s *sim) randomSyncTime() time.Duration {
	longest := 20 * time.Millisecond
	if s.disks.IntN(4) == 0 {
		longest = 500 * time.Millisecond
	}
	return time.Duration(s.disks.Int64N(int64(longest)))
}

func (s *sim) backUpDisks() {
	for _, e := range s.entries {
		if e.disk != nil && s.disks.IntN(3) == 0 {
			e.disk.backups = append(e.disk.backups, e.disk.synced)
		}
	}
}

func storedState(recs []*wire.ClaimStored) *StoredState {
	if len(recs) == 0 {
		return nil
	}
	st := &StoredState{}
	for _, rec := range recs {
		st.AddRecord(rec)
	}
	return st
}

// startFromDisk starts a register from its folder, which may have been lost or replaced
// by a backup. A backup is restored only if a running entry has seen a later grant of the
// register, and that entry's report arrives: other rollbacks can't be detected.
func (s *sim) startFromDisk(e *simEntry, settings RegisterSettings, process *wire.Incarnation) {
	d := e.disk
	d.syncedBy = s.now
	var witness *simEntry
	switch s.disks.IntN(6) {
	case 0:
		if e.starts == 1 {
			break
		}
		s.tracef("%s has lost its disk", entryID(e.index))
		d.synced = nil
	case 1, 2:
		if len(d.backups) == 0 {
			break
		}
		old := d.backups[s.disks.IntN(len(d.backups))]
		if witness = s.entryThatSawMore(e, storedState(old)); witness != nil {
			s.tracef("%s is restored from a backup, %s has seen later grants", entryID(e.index), entryID(witness.index))
			d.synced = old
		}
	}
	e.reg = NewDurableRegister(settings, process, storedState(d.synced), s.now)
	d.synced = e.reg.TakeWrites()
	if witness != nil {
		s.applySeen(e, entryID(witness.index), witness.seenGrants.For(entryID(e.index)))
	}
}

// entryThatSawMore returns an entry that has seen a later grant of a register than a
// backup of its folder holds, or nil.
func (s *sim) entryThatSawMore(e *simEntry, st *StoredState) *simEntry {
	if st == nil {
		return nil
	}
	for _, p := range s.entries {
		seen := p.seenGrants.For(entryID(e.index))
		seenNumber := seen.GetLife().GetNumber()
		if p != e && p.up && (seenNumber > st.head.Self.Number || seenNumber == st.head.Self.Number && seen.Sequence > st.sequence) {
			return p
		}
	}
	return nil
}

// applySeen passes a peer's report of the grants that it has seen to a register, and
// returns whether the register's disk turned out to be an older copy.
func (s *sim) applySeen(e *simEntry, peer string, seen *wire.ClaimSeen) bool {
	if !e.reg.ApplySeen(s.now, peer, seen, e.incarnation) {
		return false
	}
	s.tracef("%s starts incarnation %d: its disk is an older copy", entryID(e.index), e.reg.self.Number)
	s.afterSync(e, func() {})
	return true
}

func (s *sim) requestSeen(e *simEntry, starts uint64, peers []*wire.RingMember) {
	for _, m := range peers {
		n := entryIndex(m.Id)
		s.deliver(e.index, n, func() {
			if !s.entries[n].up {
				return
			}
			seen := s.entries[n].reg.SeenOfEntry(entryID(e.index), s.entries[n].seenGrants)
			s.deliver(n, e.index, func() {
				if e.up && e.starts == starts {
					s.applySeen(e, m.Id, seen)
				}
			})
		})
	}
}

func searchDiskSchedules(disabled disabledSafeguards) (uint64, string) {
	return schedule.Search(scheduleCount, func(seed uint64) string {
		return runSchedule(seed, disabled, rand.New(rand.NewPCG(seed, 11)))
	})
}

// The same schedules with disks for most entries: a crash loses what wasn't synced, disks
// are lost, and backups are restored. No safety rule is violated.
func TestDiskSchedulesRunEachKeyAtMostOnce(t *testing.T) {
	seed, text := searchDiskSchedules(disabledSafeguards{})
	assert.Equal(t, text, "", "seed %d", seed)
}

// The schedules with disks find a violation if a safeguard is disabled.
func TestDiskSchedulesDetectDisabledSafeguards(t *testing.T) {
	for _, c := range []struct {
		name     string
		disabled disabledSafeguards
	}{
		{"a grant leaves only when its record is synced", disabledSafeguards{syncBeforeReply: true}},
		{"an older copy of a folder is detected", disabledSafeguards{rollbackCheck: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed, text := searchDiskSchedules(c.disabled)
			assert.Assert(t, strings.Contains(text, ranTwice) || strings.Contains(text, notRunAfterRun) || strings.Contains(text, differentAnswers), text)
			t.Logf("found by schedule %d: %.80s", seed, text)
		})
	}
}
