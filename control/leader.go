package control

import (
	"context"
	"time"

	"github.com/snipereach/snipereach/kernel"
)

// leaderWait is how long a call waits for a leader to be known. A transfer takes
// a few milliseconds, in which no replica could do anything else than refuse.
const leaderWait = 100 * time.Millisecond

// leaderWatch tells of changes of the leader. Its loop owns it.
type leaderWatch struct {
	leads   bool
	address string
	changed chan struct{}
}

// followLeader wakes the calls that wait for a leader.
func (r *Replica) followLeader() {
	leads, address := r.takesCalls(), r.leaderAddress()
	if leads == r.leader.leads && address == r.leader.address {
		return
	}
	st := r.node.Status()
	kernel.Info(r.log, "Leader changes.", "leads", leads, "leader", st.Leader, "term", st.Term, "role", st.Role,
		"commit", st.Commit, "last", st.Last, "confirmed_age_ms", millis(r.feed.age(r.now())))
	close(r.leader.changed)
	r.leader = leaderWatch{leads: leads, address: address, changed: make(chan struct{})}
}

// takesCalls says whether this replica leads, and isn't about to hand over.
func (r *Replica) takesCalls() bool { return r.node.IsLeader(r.now()) && !r.node.Transferring() }

func (r *Replica) leaderAddress() string {
	leader := r.node.Leader()
	for _, p := range r.node.Peers() {
		if p.Id == leader && p.Id != idOf(r.identity) {
			return p.Address
		}
	}
	return ""
}

// findLeader returns whether this replica leads, or else the leader's address. It
// waits a little for a leader that isn't known yet.
func (r *Replica) findLeader(ctx context.Context) (leads bool, address string, err error) {
	limit := time.NewTimer(leaderWait)
	defer limit.Stop()
	for {
		var changed <-chan struct{}
		err = r.do(ctx, func() {
			r.followLeader()
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
