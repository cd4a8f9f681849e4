package consensus

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/internal/schedule"
	"github.com/snipereach/snipereach/wire"
)

const schedules = 10_000

// runSchedule runs one seeded schedule of faults and returns the violation, or "".
func runSchedule(seed uint64, off simSwitches) (found string) {
	defer func() {
		if v, ok := recover().(violation); ok {
			found = v.text
		}
	}()
	voters := 3
	if seed%10 == 0 {
		voters = 5
	}
	s := newSim(seed, voters, off)
	s.lossy = seed%4 != 0
	rnd := rand.New(rand.NewPCG(seed, 3))
	// Some schedules hold each fault for long, others change quickly.
	every := 30 << (seed % 3)
	for i := range 300 {
		s.step()
		s.client()
		if i > 75 && i < 225 {
			s.faults(rnd, every)
		}
		if i == 225 {
			s.heal()
		}
	}
	s.settle()
	s.checkHistory()
	return ""
}

func (s *sim) faults(rnd *rand.Rand, every int) {
	r := s.replicas[s.order[rnd.IntN(len(s.order))]]
	switch rnd.IntN(every) {
	case 0:
		if r.up {
			s.note("%s crashes", r.id)
			s.crash(r)
		}
	case 1, 2:
		if !r.up && !r.lost && s.inConfig(r.id) {
			s.note("%s starts", r.id)
			s.boot(r)
		}
	case 3:
		s.isolate(r, rnd)
	case 4:
		if l := s.leader(); l != nil {
			s.isolate(l, rnd)
		}
	case 5, 6:
		s.note("links heal")
		clear(s.cut)
	case 7:
		if s.mayLose(r) {
			s.loseDisk(r)
		}
	case 8:
		if l := s.leader(); l != nil {
			s.transfer(l, rnd)
		}
	}
}

// transfer lets a leader hand over; the target may die of it, or the leader be
// cut off before it hears of the next one.
func (s *sim) transfer(l *simReplica, rnd *rand.Rand) {
	target, err := l.node.Transfer(s.clock(l))
	if err != nil {
		return
	}
	s.note("%s hands over to %s", l.id, target)
	s.drain(l)
	switch rnd.IntN(3) {
	case 0:
		if r := s.replicas[target]; r.up {
			s.note("%s crashes", target)
			s.crash(r)
		}
	case 1:
		s.isolate(l, rnd)
	}
}

// isolate cuts a replica off, one way or both.
func (s *sim) isolate(r *simReplica, rnd *rand.Rand) {
	mode := rnd.IntN(3)
	s.note("%s is cut off, mode %d", r.id, mode)
	for _, id := range s.order {
		if mode != 1 {
			s.cut[[2]string{r.id, id}] = true
		}
		if mode != 0 {
			s.cut[[2]string{id, r.id}] = true
		}
	}
}

func (s *sim) inConfig(id string) bool {
	for _, p := range s.anyConfig().Peers {
		if p.Id == id {
			return true
		}
	}
	return s.repairs[id] != ""
}

// mayLose allows one lost folder at a time, and the next as soon as the repair
// is done: no replicated log outlives the loss of a majority.
func (s *sim) mayLose(r *simReplica) bool {
	return len(s.repairs) == 0 && !r.lost && s.inConfig(r.id) && s.leader() != nil
}

func (s *sim) heal() {
	s.note("all heals")
	clear(s.cut)
	s.lossy = false
	for _, id := range s.order {
		if r := s.replicas[id]; !r.up && !r.lost && s.inConfig(id) {
			s.boot(r)
		}
	}
}

// settle: once all has healed, a leader holds every accepted write.
func (s *sim) settle() {
	for range 750 {
		s.step()
		if l := s.leader(); l != nil && len(s.repairs) == 0 && l.node.log.committed == l.node.log.lastIndex() {
			s.checkAccepted(l)
			return
		}
	}
	s.fail("no leader after all has healed")
}

func (s *sim) checkAccepted(l *simReplica) {
	for index, v := range s.accepted {
		if l.at < index {
			s.fail(lostEntry+": %s at %d, %s ends at %d", v, index, l.id, l.at)
		}
	}
}

func searchSchedules(off simSwitches) (uint64, string) {
	return schedule.Search(schedules, func(seed uint64) string { return runSchedule(seed, off) })
}

// Operators edit while links drop, delay, double and reorder messages, replicas
// crash at any point, leaders are silently cut off, folders are lost, replaced,
// and a second one is lost right after. No accepted entry may change or vanish,
// no term may have two leaders, and no read may be older than one before it.
func TestSchedulesKeepTheInvariants(t *testing.T) {
	if s := os.Getenv("SNIPEREACH_SEED"); s != "" {
		seed, err := strconv.ParseUint(s, 10, 64)
		assert.NilError(t, err)
		assert.Equal(t, runSchedule(seed, simSwitches{}), "")
		return
	}
	began := time.Now()
	seed, text := searchSchedules(simSwitches{})
	assert.Equal(t, text, "", "seed %d", seed)
	t.Logf("%d schedules in %v", schedules, time.Since(began).Round(time.Millisecond))
}

// Each safeguard is turned off in turn. The same schedules must then find a
// violation: a suite that passes without the safeguard would not guard it.
func TestSchedulesCatchAMissingSafeguard(t *testing.T) {
	for _, c := range []struct {
		name  string
		off   simSwitches
		finds []string
	}{
		{"sync before answer", simSwitches{sync: true}, []string{twoLeaders, changedEntry, lostEntry, lostAck}},
		{"lease end", simSwitches{node: safeguards{lease: true}}, []string{staleRead}},
		{"lease given up in a transfer", simSwitches{node: safeguards{transfer: true}}, []string{staleRead, staleRows}},
		{"confirmed since asked", simSwitches{node: safeguards{echo: true}}, []string{staleRows}},
		{"empty folder votes", simSwitches{newIdentity: true}, []string{twoLeaders, changedEntry, lostEntry, lostAck}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed, text := searchSchedules(c.off)
			caught := slices.ContainsFunc(c.finds, func(kind string) bool { return strings.Contains(text, kind) })
			assert.Assert(t, caught, "schedule %d found: %s", seed, text)
			t.Logf("found by schedule %d: %.120s", seed, fmt.Sprintf("%q", text))
		})
	}
}

// A host's folder is restored from a copy made earlier, while its peers go on, or
// restart with it after a power cut. The replica is told by its peers that they
// saw it hold more, and stops, instead of voting for a leader that lacks what it
// once acknowledged.
func TestOlderFolderStopsTheReplica(t *testing.T) {
	for _, all := range []bool{false, true} {
		s := newSim(5, 3, simSwitches{})
		for range 200 {
			s.step()
		}
		r := s.replicas["r1"]
		older := r.disk
		older.log = append([]*wire.LogEntry(nil), r.disk.log...)
		for range 100 {
			s.step()
			s.client()
		}
		for _, id := range s.order {
			if p := s.replicas[id]; all || p == r {
				s.crash(p)
			}
		}
		r.disk = older
		for _, id := range s.order {
			if p := s.replicas[id]; !p.up {
				s.boot(p)
			}
		}
		assert.ErrorIs(t, stopped(t, s, r), ErrRolledBack, "all restart: %v", all)
	}
}

// A folder lacks only its last record: the last edit of the day, accepted some
// time before all hosts lose power. No later record carried what the peers saw, so
// they must have kept it by themselves.
func TestFolderWithoutItsLastRecordStopsTheReplica(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3, simSwitches{})
		l := s.waitLeader(t, nil)
		for range 50 {
			s.step()
		}
		r := s.replicas[s.order[seed%3]]
		older := r.disk
		older.log = append([]*wire.LogEntry(nil), r.disk.log...)
		assert.Assert(t, s.grant(l, time.Second) > 0)
		for range 2 * DefaultConfig("").Heartbeat / (20 * time.Millisecond) {
			s.step()
		}
		for _, id := range s.order {
			s.crash(s.replicas[id])
		}
		r.disk = older
		for _, id := range s.order {
			s.boot(s.replicas[id])
		}
		assert.ErrorIs(t, stopped(t, s, r), ErrRolledBack, "seed %d", seed)
	}
}

// stopped steps until a replica stops, and returns why.
func stopped(t *testing.T, s *sim, r *simReplica) (why error) {
	t.Helper()
	defer func() {
		if v, ok := recover().(violation); ok {
			why = r.node.Err()
			assert.Assert(t, strings.Contains(v.text, lostAck), v.text)
		}
	}()
	for range 100 {
		s.step()
	}
	return nil
}

// A follower acknowledged entries that never got a majority, and a later leader
// replaced them by fewer. Both it and the leader that saw them restart. Its folder
// is not older, only shorter: it must take part again.
func TestReplacedEntriesAreNoOlderFolder(t *testing.T) {
	s := newSim(15, 5, simSwitches{})
	old := s.waitLeader(t, nil)
	for range 50 {
		s.step()
	}
	f := s.replicas[old.node.heir().Id]
	for _, a := range []string{old.id, f.id} {
		for _, b := range s.order {
			s.cut[[2]string{a, b}] = b != old.id && b != f.id
			s.cut[[2]string{b, a}] = s.cut[[2]string{a, b}]
		}
	}
	for range 8 {
		s.write(old)
		s.step()
	}
	for range 15 {
		s.step()
	}
	seen := f.node.log.lastIndex()
	s.crash(old)
	next := s.waitLeader(t, old)
	clear(s.cut)
	for f.node.Leader() != next.id || f.node.log.committed != next.node.log.committed {
		s.step()
	}
	assert.Assert(t, f.node.log.lastIndex() < seen)
	s.crash(f)
	s.boot(f)
	s.boot(old)
	for range 100 {
		s.step()
	}
	assert.Assert(t, f.node.Status().Verified)
	assert.NilError(t, f.node.Err())
}
