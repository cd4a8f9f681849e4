package control

import (
	"context"

	"github.com/snipereach/snipereach/lockstep/leader"
)

// lockstepLeasePrefix is the prefix of groups in lock-step in the names of leases.
const lockstepLeasePrefix = "lockstep/"

// lockstepLog is the log of a replica as the leader of groups in lock-step uses it. It
// implements leader.ReplicatedLog.
type lockstepLog struct{ *Replica }

// State implements leader.ReplicatedLog.
func (r lockstepLog) State(ctx context.Context, groups []string) leader.LogState {
	state := leader.LogState{Tokens: map[string]uint64{}}
	_ = r.runInLoop(ctx, func() {
		state.Leads = r.failed == nil && r.acceptsLeaderCalls()
		state.Config = r.machine.routing.Current()
		for _, name := range groups {
			state.Tokens[name] = r.machine.fence.Token(lockstepLeasePrefix + name)
		}
	})
	return state
}

// AcquireLease implements leader.ReplicatedLog.
func (r lockstepLog) AcquireLease(ctx context.Context, group string) (token uint64, err error) {
	return r.acquireGroupLease(ctx, lockstepLeasePrefix+group)
}

// Done implements leader.ReplicatedLog.
func (r lockstepLog) Done() <-chan struct{} { return r.done }
