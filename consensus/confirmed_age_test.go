package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// A partitioned follower receives a heartbeat that was sent before the partition. It
// must not count its state as current as of the arrival.
func TestDelayedHeartbeatDoesNotRenewConfirmedAge(t *testing.T) {
	s := newSim(12, 3, disabledSafeguards{})
	l := s.waitLeader(t, nil)
	for range 50 {
		s.step()
	}
	f := s.replicas[l.node.transferTarget().Id]
	assert.Assert(t, f.node.ConfirmedAge(s.clock(f)) < 3*DefaultConfig("").Heartbeat)
	var delayed *wire.RaftMessage
	for delayed == nil {
		s.step()
		for _, m := range s.queuedMessages(wire.RaftKind_RAFT_KIND_APPEND) {
			if m.To == f.id {
				delayed = m
			}
		}
	}
	for _, id := range s.replicaIDs {
		s.cutLinks[[2]string{id, f.id}] = true
		s.cutLinks[[2]string{f.id, id}] = true
	}
	const delay = 5 * time.Second
	for end := s.now + delay; s.now < end; {
		s.step()
	}
	f.node.Step(s.clock(f), delayed)
	s.processReady(f)
	assert.Assert(t, f.node.ConfirmedAge(s.clock(f)) >= delay)
}

// A leader transfers leadership and is partitioned with one follower from the other
// three replicas, which elect the target. The two in the minority exchange appends, but
// must not count their state as current.
func TestMinorityDoesNotRenewConfirmedAge(t *testing.T) {
	s := newSim(13, 5, disabledSafeguards{})
	l, target := s.startTransfer(t)
	s.processReady(l)
	f := s.replicas[s.replicaIDs[0]]
	for i := 1; f == l || f == target; i++ {
		f = s.replicas[s.replicaIDs[i]]
	}
	for _, a := range []string{l.id, f.id} {
		for _, b := range s.replicaIDs {
			if b != l.id && b != f.id {
				s.cutLinks[[2]string{a, b}] = true
				s.cutLinks[[2]string{b, a}] = true
			}
		}
	}
	cutAt := s.now
	assert.Assert(t, s.grantLease(s.waitLeader(t, l), time.Second) > 0)
	for range 100 {
		s.step()
		for _, r := range []*simReplica{l, f} {
			age := time.Duration(float64(r.node.ConfirmedAge(s.clock(r))) / r.clockRate)
			assert.Assert(t, age >= s.now-cutAt-DefaultConfig("").Heartbeat, "%s: %v", r.id, age)
		}
	}
}

// A restarted replica that no leader can confirm must not report the age of its process
// as the age of its state.
func TestRestartedReplicaIsUnconfirmed(t *testing.T) {
	s := newSim(14, 3, disabledSafeguards{})
	l := s.waitLeader(t, nil)
	r := s.replicas[l.node.transferTarget().Id]
	s.crash(r)
	s.start(r)
	for _, id := range s.replicaIDs {
		s.cutLinks[[2]string{r.id, id}] = true
	}
	for range 20 {
		s.step()
	}
	assert.Assert(t, r.node.ConfirmedAge(s.clock(r)) > time.Hour)
}
