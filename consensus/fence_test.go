package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/fence"
)

// grant puts a lease for a replica on the log, as a leader does, and returns its
// fencing token: the log index of the grant, or 0 if it was not committed in time.
func (s *sim) grant(l *simReplica, patience time.Duration) uint64 {
	index, _, err := l.node.Propose(s.clock(l), []byte("lease of "+l.id))
	if err != nil {
		return 0
	}
	l.node.Flush()
	s.drain(l)
	for end := s.now + patience; s.now < end; {
		s.step()
		if l.up && l.at >= index && l.node.role == Leader {
			return index
		}
	}
	return 0
}

// waitLeader steps until a replica other than one leads.
func (s *sim) waitLeader(t *testing.T, not *simReplica) *simReplica {
	t.Helper()
	for range 1000 {
		s.step()
		if l := s.leader(); l != nil && l != not {
			return l
		}
	}
	t.Fatal("no leader")
	return nil
}

// A leader falls behind a silent partition, one way or both, for ten minutes. It
// goes on giving orders under its lease, and they reach the agent up to a minute
// late. Another leader is elected and gives its first order. From then on no
// order of the old one passes the agent's guard, and it gets no new token.
func TestCutOffLeadersOrdersEndWithTheNewOnesFirst(t *testing.T) {
	for mode, name := range []string{"nothing leaves it", "nothing reaches it", "both"} {
		t.Run(name, func(t *testing.T) {
			s := newSim(uint64(100+mode), 3, simSwitches{})
			old := s.waitLeader(t, nil)
			oldToken := s.grant(old, time.Second)
			assert.Assert(t, oldToken > 0)
			guard := fence.NewGuard()
			guard.Learn("group", oldToken)
			assert.Assert(t, guard.Admit("group", oldToken))
			for _, id := range s.order {
				s.cut[[2]string{old.id, id}] = mode != 1
				s.cut[[2]string{id, old.id}] = mode != 0
			}
			next := s.waitLeader(t, old)
			newToken := s.grant(next, 5*time.Second)
			assert.Assert(t, newToken > oldToken, "%d, %d", newToken, oldToken)
			late := []time.Duration{}
			passed, gotToken := 0, uint64(0)
			first := false
			for end := s.now + 10*time.Minute; s.now < end; {
				s.step()
				late = append(late, s.now+time.Duration(s.rnd.Int64N(int64(time.Minute))))
				if !first && s.rnd.IntN(50) == 0 {
					first = true
					assert.Assert(t, guard.Admit("group", newToken))
				}
				kept := late[:0]
				for _, at := range late {
					if at > s.now {
						kept = append(kept, at)
						continue
					}
					if guard.Admit("group", oldToken) && first {
						passed++
					}
				}
				late = kept
				if old.node.role == Leader && s.rnd.IntN(500) == 0 {
					gotToken = max(gotToken, s.grant(old, 100*time.Millisecond))
				}
			}
			assert.Assert(t, first)
			assert.Equal(t, passed, 0)
			assert.Equal(t, gotToken, uint64(0))
		})
	}
}
