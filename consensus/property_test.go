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

const scheduleCount = 10_000

// runSchedule runs one seeded fault schedule and returns the violation, or "".
func runSchedule(seed uint64, disabled disabledSafeguards) (failure string) {
	defer func() {
		if v, ok := recover().(violation); ok {
			failure = v.text
		}
	}()
	voters := 3
	if seed%10 == 0 {
		voters = 5
	}
	s := newSim(seed, voters, disabled)
	s.lossy = seed%4 != 0
	rnd := rand.New(rand.NewPCG(seed, 3))
	// The schedules differ in how often faults change.
	faultInterval := 30 << (seed % 3)
	for i := range 300 {
		s.step()
		s.runClients()
		if i > 75 && i < 225 {
			s.injectFault(rnd, faultInterval)
		}
		if i == 225 {
			s.endFaults()
		}
	}
	s.checkConvergence()
	s.checkHistory()
	return ""
}

func (s *sim) injectFault(rnd *rand.Rand, faultInterval int) {
	r := s.replicas[s.replicaIDs[rnd.IntN(len(s.replicaIDs))]]
	switch rnd.IntN(faultInterval) {
	case 0:
		if r.up {
			s.tracef("%s crashes", r.id)
			s.crash(r)
		}
	case 1, 2:
		if !r.up && !r.diskLost && s.inConfig(r.id) {
			s.tracef("%s starts", r.id)
			s.start(r)
		}
	case 3:
		s.isolate(r, rnd)
	case 4:
		if l := s.leader(); l != nil {
			s.isolate(l, rnd)
		}
	case 5, 6:
		s.tracef("links heal")
		clear(s.cutLinks)
	case 7:
		if s.mayLoseDisk(r) {
			s.loseDisk(r)
		}
	case 8:
		if l := s.leader(); l != nil {
			s.injectTransfer(l, rnd)
		}
	}
}

// injectTransfer starts a leadership transfer, after which the target may crash or the
// old leader be partitioned.
func (s *sim) injectTransfer(l *simReplica, rnd *rand.Rand) {
	target, err := l.node.TransferLeadership(s.clock(l))
	if err != nil {
		return
	}
	s.tracef("%s transfers leadership to %s", l.id, target)
	s.processReady(l)
	switch rnd.IntN(3) {
	case 0:
		if r := s.replicas[target]; r.up {
			s.tracef("%s crashes", target)
			s.crash(r)
		}
	case 1:
		s.isolate(l, rnd)
	}
}

// isolate partitions a replica in one or both directions.
func (s *sim) isolate(r *simReplica, rnd *rand.Rand) {
	mode := rnd.IntN(3)
	s.tracef("%s is partitioned, mode %d", r.id, mode)
	for _, id := range s.replicaIDs {
		if mode != 1 {
			s.cutLinks[[2]string{r.id, id}] = true
		}
		if mode != 0 {
			s.cutLinks[[2]string{id, r.id}] = true
		}
	}
}

func (s *sim) inConfig(id string) bool {
	for _, p := range s.lastKnownConfig().Peers {
		if p.Id == id {
			return true
		}
	}
	return s.replacements[id] != ""
}

// mayLoseDisk allows one lost disk at a time, until its replica is replaced: no
// replicated log survives the loss of a majority.
func (s *sim) mayLoseDisk(r *simReplica) bool {
	return len(s.replacements) == 0 && !r.diskLost && s.inConfig(r.id) && s.leader() != nil
}

func (s *sim) endFaults() {
	s.tracef("faults end")
	clear(s.cutLinks)
	s.lossy = false
	for _, id := range s.replicaIDs {
		if r := s.replicas[id]; !r.up && !r.diskLost && s.inConfig(id) {
			s.start(r)
		}
	}
}

// checkConvergence fails unless, after the faults, a leader holds every accepted write
// and all lost replicas are replaced within 750 steps.
func (s *sim) checkConvergence() {
	for range 750 {
		s.step()
		if l := s.leader(); l != nil && len(s.replacements) == 0 && l.node.log.committed == l.node.log.lastIndex() {
			s.checkAcceptedWrites(l)
			return
		}
	}
	s.failf("replicas did not converge after the faults ended")
}

func (s *sim) checkAcceptedWrites(l *simReplica) {
	for index, v := range s.accepted {
		if l.applied < index {
			s.failf(lostEntry+": %s at %d, %s ends at %d", v, index, l.id, l.applied)
		}
	}
}

func searchSchedules(disabled disabledSafeguards) (uint64, string) {
	return schedule.Search(scheduleCount, func(seed uint64) string { return runSchedule(seed, disabled) })
}

// Clients read and write while links drop, delay, duplicate and reorder messages,
// replicas crash, leaders are partitioned or transfer leadership, and disks are lost and
// replaced. No accepted entry may change or get lost, no term may have two leaders, and
// reads must be linearizable.
func TestFaultSchedulesPreserveInvariants(t *testing.T) {
	if s := os.Getenv("SNIPEREACH_SEED"); s != "" {
		seed, err := strconv.ParseUint(s, 10, 64)
		assert.NilError(t, err)
		assert.Equal(t, runSchedule(seed, disabledSafeguards{}), "")
		return
	}
	began := time.Now()
	seed, text := searchSchedules(disabledSafeguards{})
	assert.Equal(t, text, "", "seed %d", seed)
	t.Logf("%d schedules in %v", scheduleCount, time.Since(began).Round(time.Millisecond))
}

// With any one safeguard disabled, the same schedules must find a violation; otherwise
// they would not test that safeguard.
func TestFaultSchedulesDetectDisabledSafeguards(t *testing.T) {
	for _, c := range []struct {
		name  string
		off   disabledSafeguards
		finds []string
	}{
		{"sync before send", disabledSafeguards{syncBeforeSend: true}, []string{twoLeaders, changedEntry, lostEntry, lostAck}},
		{"lease check", disabledSafeguards{node: safeguards{leaseCheck: true}}, []string{staleRead}},
		{"lease release in a transfer", disabledSafeguards{node: safeguards{leaseRelease: true}}, []string{staleRead, staleState}},
		{"echoed times", disabledSafeguards{node: safeguards{echoedTimes: true}}, []string{staleState}},
		{"new identity after disk loss", disabledSafeguards{newIdentityAfterLoss: true}, []string{twoLeaders, changedEntry, lostEntry, lostAck}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seed, text := searchSchedules(c.off)
			caught := slices.ContainsFunc(c.finds, func(kind string) bool { return strings.Contains(text, kind) })
			assert.Assert(t, caught, "schedule %d found: %s", seed, text)
			t.Logf("found by schedule %d: %.120s", seed, fmt.Sprintf("%q", text))
		})
	}
}

// A replica whose folder is restored from an older copy must stop instead of voting for a
// leader that lacks entries it once acknowledged, whether its peers keep running or
// restart with it.
func TestRestoredOldFolderStopsReplica(t *testing.T) {
	for _, restartAll := range []bool{false, true} {
		s := newSim(5, 3, disabledSafeguards{})
		for range 200 {
			s.step()
		}
		r := s.replicas["r1"]
		oldDisk := r.disk
		oldDisk.log = append([]*wire.LogEntry(nil), r.disk.log...)
		for range 100 {
			s.step()
			s.runClients()
		}
		for _, id := range s.replicaIDs {
			if p := s.replicas[id]; restartAll || p == r {
				s.crash(p)
			}
		}
		r.disk = oldDisk
		for _, id := range s.replicaIDs {
			if p := s.replicas[id]; !p.up {
				s.start(p)
			}
		}
		assert.ErrorIs(t, runUntilStopped(t, s, r), ErrRolledBack, "all replicas restart: %v", restartAll)
	}
}

// All replicas crash, and one folder lacks only its last record. Its peers must have made
// the position of that record durable without any later entry.
func TestFolderMissingLastRecordStopsReplica(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3, disabledSafeguards{})
		l := s.waitLeader(t, nil)
		for range 50 {
			s.step()
		}
		r := s.replicas[s.replicaIDs[seed%3]]
		oldDisk := r.disk
		oldDisk.log = append([]*wire.LogEntry(nil), r.disk.log...)
		assert.Assert(t, s.grantLease(l, time.Second) > 0)
		for range 2 * DefaultConfig("").Heartbeat / (20 * time.Millisecond) {
			s.step()
		}
		for _, id := range s.replicaIDs {
			s.crash(s.replicas[id])
		}
		r.disk = oldDisk
		for _, id := range s.replicaIDs {
			s.start(s.replicas[id])
		}
		assert.ErrorIs(t, runUntilStopped(t, s, r), ErrRolledBack, "seed %d", seed)
	}
}

// runUntilStopped steps until a replica stops, and returns its error, or nil if it is
// still running after 100 steps.
func runUntilStopped(t *testing.T, s *sim, r *simReplica) (err error) {
	t.Helper()
	defer func() {
		if v, ok := recover().(violation); ok {
			err = r.node.Err()
			assert.Assert(t, strings.Contains(v.text, lostAck), v.text)
		}
	}()
	for range 100 {
		s.step()
	}
	return nil
}

// A later leader replaced a follower's uncommitted entries with fewer ones. When the
// follower and the leader that observed the replaced entries restart, the shorter log
// must not be mistaken for an older copy.
func TestReplicaWithTruncatedEntriesRejoins(t *testing.T) {
	s := newSim(15, 5, disabledSafeguards{})
	old := s.waitLeader(t, nil)
	for range 50 {
		s.step()
	}
	f := s.replicas[old.node.transferTarget().Id]
	for _, a := range []string{old.id, f.id} {
		for _, b := range s.replicaIDs {
			s.cutLinks[[2]string{a, b}] = b != old.id && b != f.id
			s.cutLinks[[2]string{b, a}] = s.cutLinks[[2]string{a, b}]
		}
	}
	for range 8 {
		s.proposeWrite(old)
		s.step()
	}
	for range 15 {
		s.step()
	}
	ackedIndex := f.node.log.lastIndex()
	s.crash(old)
	next := s.waitLeader(t, old)
	clear(s.cutLinks)
	for f.node.Leader() != next.id || f.node.log.committed != next.node.log.committed {
		s.step()
	}
	assert.Assert(t, f.node.log.lastIndex() < ackedIndex)
	s.crash(f)
	s.start(f)
	s.start(old)
	for range 100 {
		s.step()
	}
	assert.Assert(t, f.node.Status().Verified)
	assert.NilError(t, f.node.Err())
}
