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

// simDisk is a data folder: what was synced, and copies of it that were made at
// some time and may be restored.
type simDisk struct {
	synced []*wire.ClaimStored
	copies [][]*wire.ClaimStored
	// busy is when the last sync ends that has begun.
	busy time.Time
}

// giveDisk gives most entries a disk.
func (s *sim) giveDisk() *simDisk {
	if s.disks == nil || s.disks.IntN(4) == 0 {
		return nil
	}
	return &simDisk{}
}

// synced calls f once all that a register has written so far is on its disk;
// never, if the process ends first.
func (s *sim) synced(e *simEntry, f func()) {
	if e.disk == nil {
		f()
		return
	}
	life := e.life
	same := func() bool { return e.up && e.life == life }
	if recs := e.reg.TakeWrites(); len(recs) > 0 {
		end := s.now.Add(s.syncTime())
		if end.After(e.disk.busy) {
			e.disk.busy = end
		}
		s.after(e.disk.busy.Sub(s.now), func() {
			if same() {
				e.disk.synced = append(e.disk.synced, recs...)
			}
		})
	}
	if s.off.early || !e.disk.busy.After(s.now) {
		f()
		return
	}
	s.after(e.disk.busy.Sub(s.now), func() {
		if same() {
			f()
		}
	})
}

// syncTime is that of a disk that is slow now and then.
func (s *sim) syncTime() time.Duration {
	most := 20 * time.Millisecond
	if s.disks.IntN(4) == 0 {
		most = 500 * time.Millisecond
	}
	return time.Duration(s.disks.Int64N(int64(most)))
}

func (s *sim) copyDisks() {
	for _, e := range s.entries {
		if e.disk != nil && s.disks.IntN(3) == 0 {
			e.disk.copies = append(e.disk.copies, e.disk.synced)
		}
	}
}

func stored(recs []*wire.ClaimStored) *Stored {
	if len(recs) == 0 {
		return nil
	}
	st := &Stored{}
	for _, rec := range recs {
		st.Add(rec)
	}
	return st
}

// bootFromDisk starts a register from its folder, which may have been lost or
// replaced by an older copy. A copy is restored only where an entry that is up
// has seen more of the register, and its word arrives: no other can be recognised.
func (s *sim) bootFromDisk(e *simEntry, set RegisterSettings, process *wire.Incarnation) {
	d := e.disk
	d.busy = s.now
	var knows *simEntry
	switch s.disks.IntN(6) {
	case 0:
		if e.life == 1 {
			break
		}
		s.note("%s has lost its disk", id(e.n))
		d.synced = nil
	case 1, 2:
		if len(d.copies) == 0 {
			break
		}
		old := d.copies[s.disks.IntN(len(d.copies))]
		if knows = s.whoKnows(e, stored(old)); knows != nil {
			s.note("%s has an older copy of its disk, %s knows", id(e.n), id(knows.n))
			d.synced = old
		}
	}
	e.reg = NewDurableRegister(set, process, stored(d.synced), s.now)
	d.synced = e.reg.TakeWrites()
	if knows != nil {
		s.older(e, id(knows.n), knows.seen.Of(id(e.n)))
	}
}

// whoKnows returns an entry that has seen a register grant more than a copy of
// its folder holds.
func (s *sim) whoKnows(e *simEntry, st *Stored) *simEntry {
	if st == nil {
		return nil
	}
	for _, p := range s.entries {
		seen := p.seen.Of(id(e.n))
		life := seen.GetLife().GetNumber()
		if p != e && p.up && (life > st.head.Self.Number || life == st.head.Self.Number && seen.Sequence > st.sequence) {
			return p
		}
	}
	return nil
}

// older takes what a peer has seen.
func (s *sim) older(e *simEntry, peer string, seen *wire.ClaimSeen) bool {
	if !e.reg.TakeSeen(s.now, peer, seen, e.number) {
		return false
	}
	s.note("%s begins life %d: its disk is an older copy", id(e.n), e.reg.self.Number)
	s.synced(e, func() {})
	return true
}

func (s *sim) askSeen(e *simEntry, life uint64, peers []*wire.RingMember) {
	for _, m := range peers {
		n := number(m.Id)
		s.deliver(e.n, n, func() {
			if !s.entries[n].up {
				return
			}
			seen := s.entries[n].reg.SeenOf(id(e.n), s.entries[n].seen)
			s.deliver(n, e.n, func() {
				if e.up && e.life == life {
					s.older(e, m.Id, seen)
				}
			})
		})
	}
}

func searchDiskSchedules(off safeguards) (uint64, string) {
	return schedule.Search(schedules, func(seed uint64) string {
		return runSchedule(seed, off, rand.New(rand.NewPCG(seed, 11)))
	})
}

// The same schedules, and most entries have a disk: a crash loses what was not
// synced, a disk is lost, an older copy is restored. Restarts with the folder as
// it was forget nothing.
func TestDiskSchedulesRunEachKeyAtMostOnce(t *testing.T) {
	seed, text := searchDiskSchedules(safeguards{})
	assert.Equal(t, text, "", "seed %d", seed)
}

// With a safeguard off, the schedules with disks must find a violation.
func TestDiskSchedulesCatchAMissingSafeguard(t *testing.T) {
	for _, c := range []struct {
		name string
		off  safeguards
	}{
		{"a grant leaves only when its record is synced", safeguards{early: true}},
		{"an older copy of a folder is recognised", safeguards{rollback: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed, text := searchDiskSchedules(c.off)
			assert.Assert(t, strings.Contains(text, ranTwice) || strings.Contains(text, falseNotRun) || strings.Contains(text, twoAnswers), text)
			t.Logf("found by schedule %d: %.80s", seed, text)
		})
	}
}
