package control

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/kernel"
)

// leaderWaitTimeout is how long a call waits while no leader is known, so that calls are not
// refused during a leader transfer.
const leaderWaitTimeout = 100 * time.Millisecond

// leaderState is the leader as last seen by the replica's loop, which owns it. changed is
// closed when a newer state replaces it.
type leaderState struct {
	leads   bool
	address string
	changed chan struct{}
}

// updateLeaderState updates the leader state and, if it has changed, wakes the calls that wait
// for a leader.
func (r *Replica) updateLeaderState() {
	leads, address := r.acceptsLeaderCalls(), r.leaderAddress()
	if leads == r.leader.leads && address == r.leader.address {
		return
	}
	st := r.node.Status()
	kernel.Info(r.log, "Leader changed.", "leads", leads, "leader", st.Leader, "term", st.Term, "role", st.Role,
		"commit", st.Commit, "last", st.Last, "confirmed_age_ms", clampedMillis(r.feed.confirmedAge(r.now())))
	close(r.leader.changed)
	r.leader = leaderState{leads: leads, address: address, changed: make(chan struct{})}
}

// acceptsLeaderCalls reports whether this replica leads and isn't transferring leadership.
func (r *Replica) acceptsLeaderCalls() bool {
	return r.node.IsLeader(r.now()) && !r.node.Transferring()
}

// leaderAddress returns the address of another replica that leads, or "".
func (r *Replica) leaderAddress() string {
	leader := r.node.Leader()
	for _, p := range r.node.Peers() {
		if p.Id == leader && p.Id != idOf(r.identity) {
			return p.Address
		}
	}
	return ""
}

// findLeader reports whether this replica leads, or else returns the leader's address. It
// waits up to leaderWaitTimeout while no leader is known, and then returns "".
func (r *Replica) findLeader(ctx context.Context) (leads bool, address string, err error) {
	limit := time.NewTimer(leaderWaitTimeout)
	defer limit.Stop()
	for {
		var changed <-chan struct{}
		err = r.runInLoop(ctx, func() {
			r.updateLeaderState()
			leads, address, changed = r.leader.leads, r.leader.address, r.leader.changed
		})
		if err != nil || leads || address != "" {
			return leads, address, err
		}
		select {
		case <-changed:
		case <-limit.C:
			return false, "", nil
		case <-ctx.Done():
			return false, "", nil
		case <-r.done:
			return false, "", ErrStopped
		}
	}
}
