package consensus

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// startTransfer starts a transfer on a leader with a live lease.
func (s *sim) startTransfer(t *testing.T) (old, target *simReplica) {
	t.Helper()
	old = s.waitLeader(t, nil)
	for range 20 {
		s.step()
		s.runClients()
	}
	id, err := old.node.TransferLeadership(s.clock(old))
	assert.NilError(t, err)
	return old, s.replicas[id]
}

// queuedMessages returns copies of the messages of a kind that are in transit.
func (s *sim) queuedMessages(kind wire.RaftKind) []*wire.RaftMessage {
	var list []*wire.RaftMessage
	for _, q := range s.queue {
		if q.message.Kind == kind {
			list = append(list, proto.Clone(q.message).(*wire.RaftMessage))
		}
	}
	return list
}

// A leader that transfers leadership rejects writes, and its target leads with all
// accepted entries well before an election timeout has passed.
func TestTransferCompletesBeforeElectionTimeout(t *testing.T) {
	s := newSim(7, 3, disabledSafeguards{})
	old, target := s.startTransfer(t)
	_, _, err := old.node.Propose(s.clock(old), []byte("late"))
	assert.ErrorIs(t, err, ErrTransferring)
	assert.ErrorIs(t, old.node.AddLearner(s.clock(old), &wire.Peer{Id: "r9"}), ErrTransferring)
	s.processReady(old)
	assert.Assert(t, !old.node.IsLeader(s.clock(old)), "the lease must end before the target may campaign")
	began := s.now
	next := s.waitLeader(t, old)
	assert.Equal(t, next, target)
	assert.Assert(t, s.now-began < DefaultConfig("").ElectionTimeout/4, "%v", s.now-began)
	s.checkConvergence()
}

// If the target crashes during a transfer, the leader aborts it after the election timeout
// and accepts writes again, in a new term if it had released its lease.
func TestTransferIsAbortedWhenTargetCrashes(t *testing.T) {
	for _, timeoutNowSent := range []bool{true, false} {
		s := newSim(8, 3, disabledSafeguards{})
		old := s.waitLeader(t, nil)
		target := s.replicas[old.node.transferTarget().Id]
		term := old.node.term
		if !timeoutNowSent {
			// The target lacks this entry, so it gets no TimeoutNow.
			_, _, err := old.node.Propose(s.clock(old), []byte("w"))
			assert.NilError(t, err)
		}
		s.crash(target)
		_, err := old.node.TransferLeadership(s.clock(old))
		assert.NilError(t, err)
		s.processReady(old)
		assert.Equal(t, old.node.leaseReleased, timeoutNowSent)
		for end := s.now + 2*DefaultConfig("").ElectionTimeout; s.now < end; {
			s.step()
		}
		assert.Assert(t, old.node.IsLeader(s.clock(old)))
		assert.Equal(t, old.node.term > term, timeoutNowSent, "a released lease returns only in a new term")
		assert.Assert(t, s.grantLease(old, time.Second) > 0)
	}
}

// A TimeoutNow arrives after the leader has aborted the transfer and obtained a new lease.
// The target campaigns with the transfer mark, but must not be elected within that lease.
func TestDelayedTimeoutNowDoesNotElectTarget(t *testing.T) {
	s := newSim(11, 3, disabledSafeguards{})
	old, target := s.startTransfer(t)
	s.processReady(old)
	delayed := s.queuedMessages(wire.RaftKind_RAFT_KIND_TIMEOUT_NOW)[0]
	s.queue = nil
	for _, id := range s.replicaIDs {
		s.cutLinks[[2]string{id, target.id}] = true
		s.cutLinks[[2]string{target.id, id}] = true
	}
	for !old.node.IsLeader(s.clock(old)) {
		s.step()
	}
	clear(s.cutLinks)
	target.node.Step(s.clock(target), delayed)
	s.processReady(target)
	assert.Equal(t, target.node.role, Candidate)
	for range 100 {
		s.step()
		assert.Assert(t, old.node.IsLeader(s.clock(old)))
		assert.Assert(t, target.node.role != Leader)
	}
}

// Duplicates of a transfer's TimeoutNow and vote requests that arrive two terms later must
// change no replica's term or leader.
func TestDelayedTransferMessagesAreIgnored(t *testing.T) {
	s := newSim(9, 3, disabledSafeguards{})
	old, target := s.startTransfer(t)
	s.processReady(old)
	delayed := s.queuedMessages(wire.RaftKind_RAFT_KIND_TIMEOUT_NOW)
	assert.Assert(t, len(delayed) > 0)
	for target.node.role != Leader {
		s.step()
		delayed = append(delayed, s.queuedMessages(wire.RaftKind_RAFT_KIND_VOTE)...)
		target.node.Step(s.clock(target), proto.Clone(delayed[0]).(*wire.RaftMessage))
		s.processReady(target)
		delayed = append(delayed, s.queuedMessages(wire.RaftKind_RAFT_KIND_VOTE)...)
	}
	assert.Assert(t, slices.ContainsFunc(delayed, func(m *wire.RaftMessage) bool { return m.Transfer }))
	s.waitLeader(t, old)
	_, err := target.node.TransferLeadership(s.clock(target))
	assert.NilError(t, err)
	s.processReady(target)
	last := s.waitLeader(t, target)
	for range 50 {
		s.step()
	}
	term := last.node.term
	for range 2 {
		for _, m := range delayed {
			r := s.replicas[m.To]
			r.node.Step(s.clock(r), proto.Clone(m).(*wire.RaftMessage))
			s.processReady(r)
		}
		s.step()
	}
	for _, id := range s.replicaIDs {
		assert.Equal(t, s.replicas[id].node.term, term, id)
		assert.Equal(t, s.replicas[id].node.Leader(), last.id, id)
	}
	assert.Assert(t, last.node.IsLeader(s.clock(last)))
}

// The target of a transfer is in another failure domain than the leader while a
// caught-up voter there is live, and any live voter otherwise.
func TestTransferPrefersAnotherFailureDomain(t *testing.T) {
	s := newSim(10, 5, disabledSafeguards{})
	l := s.waitLeader(t, nil)
	var inside, outside []string
	for _, p := range l.node.Peers() {
		switch {
		case p.Id == l.id:
			p.FailureDomain = "hall-a"
		case len(inside) < 2:
			p.FailureDomain = "hall-a"
			inside = append(inside, p.Id)
		default:
			p.FailureDomain = "hall-b"
			outside = append(outside, p.Id)
		}
	}
	for range 10 {
		s.step()
	}
	assert.Assert(t, slices.Contains(outside, l.node.transferTarget().Id))
	for _, id := range outside {
		s.crash(s.replicas[id])
	}
	for range 60 {
		s.step()
	}
	assert.Assert(t, slices.Contains(inside, l.node.transferTarget().Id))
	for _, id := range inside {
		s.crash(s.replicas[id])
	}
	for range 45 {
		s.step()
	}
	assert.Assert(t, l.node.transferTarget() == nil)
}
