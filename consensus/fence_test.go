package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/fence"
)

// grantLease proposes a lease for a replica, as a leader does, and returns its fencing
// token: the log index of the entry, or 0 if it was not committed within the timeout.
func (s *sim) grantLease(l *simReplica, timeout time.Duration) uint64 {
	index, _, err := l.node.Propose(s.clock(l), []byte("lease of "+l.id))
	if err != nil {
		return 0
	}
	l.node.SendProposals()
	s.processReady(l)
	for end := s.now + timeout; s.now < end; {
		s.step()
		if l.up && l.applied >= index && l.node.role == Leader {
			return index
		}
	}
	return 0
}

// waitLeader steps until a replica other than except leads.
func (s *sim) waitLeader(t *testing.T, except *simReplica) *simReplica {
	t.Helper()
	for range 1000 {
		s.step()
		if l := s.leader(); l != nil && l != except {
			return l
		}
	}
	t.Fatal("no leader")
	return nil
}

// A leader is partitioned in one or both directions, and its orders arrive at an agent up
// to a minute late. Once the agent has admitted an order of the next leader, it must admit
// none of the old one, and the old leader must not obtain a new fencing token.
func TestFencingRejectsPartitionedLeader(t *testing.T) {
	for mode, name := range []string{"outbound", "inbound", "both directions"} {
		t.Run(name, func(t *testing.T) {
			s := newSim(uint64(100+mode), 3, disabledSafeguards{})
			old := s.waitLeader(t, nil)
			oldToken := s.grantLease(old, time.Second)
			assert.Assert(t, oldToken > 0)
			guard := fence.NewGuard()
			guard.Learn("group", oldToken)
			assert.Assert(t, guard.Admit("group", oldToken))
			for _, id := range s.replicaIDs {
				s.cutLinks[[2]string{old.id, id}] = mode != 1
				s.cutLinks[[2]string{id, old.id}] = mode != 0
			}
			next := s.waitLeader(t, old)
			newToken := s.grantLease(next, 5*time.Second)
			assert.Assert(t, newToken > oldToken, "%d, %d", newToken, oldToken)
			arrivals := []time.Duration{}
			oldAdmitted, laterOldToken := 0, uint64(0)
			newAdmitted := false
			for end := s.now + 10*time.Minute; s.now < end; {
				s.step()
				arrivals = append(arrivals, s.now+time.Duration(s.rnd.Int64N(int64(time.Minute))))
				if !newAdmitted && s.rnd.IntN(50) == 0 {
					newAdmitted = true
					assert.Assert(t, guard.Admit("group", newToken))
				}
				pending := arrivals[:0]
				for _, at := range arrivals {
					if at > s.now {
						pending = append(pending, at)
						continue
					}
					if guard.Admit("group", oldToken) && newAdmitted {
						oldAdmitted++
					}
				}
				arrivals = pending
				if old.node.role == Leader && s.rnd.IntN(500) == 0 {
					laterOldToken = max(laterOldToken, s.grantLease(old, 100*time.Millisecond))
				}
			}
			assert.Assert(t, newAdmitted)
			assert.Equal(t, oldAdmitted, 0)
			assert.Equal(t, laterOldToken, uint64(0))
		})
	}
}
