package control

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/admit"
	"github.com/snipereach/snipereach/claim"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// shareState is the state from which a leader divides limits between entries. The
// allocator lasts for one leadership; the next leader's waits until all grants of the
// previous one have expired.
type shareState struct {
	allocator *admit.ShareAllocator
	term      uint64
	// allocatorCount counts the allocators created by this process.
	allocatorCount int
	// appliedRing is the ring that was last passed to the allocator.
	appliedRing *wire.Ring
	// view caches the table's typed view.
	view *table.View
	// requestTimeouts is kept up to date on every replica: a new leader must know the
	// timeouts of requests that the previous one admitted.
	requestTimeouts admit.RequestTimeouts
	// appliedRevision is the table revision up to which rows have been applied.
	appliedRevision uint64
}

// syncShareAllocator creates an allocator when a leadership begins and drops it when it ends.
func (r *Replica) syncShareAllocator() {
	if !r.leadership().leading {
		r.shares.allocator = nil
		return
	}
	// Leaderships are told apart by term as well as by the sampled role, because a
	// process that stalled may have missed another leader in between. If the leader's
	// lease expires and is renewed, one term has a second allocator; the counter gives
	// it a name of its own, so that its epochs aren't taken for those of the first.
	if st := r.node.Status(); r.shares.allocator == nil || r.shares.term != st.Term {
		r.shares.allocatorCount++
		r.shares.allocator = admit.NewShareAllocator(r.clock(), fmt.Sprintf("%s@%d.%d", st.ID, st.Term, r.shares.allocatorCount))
		r.shares.term = st.Term
		r.shares.appliedRing = nil
	}
}

func (s *shareState) dump(now time.Time) []admit.SubjectState {
	if s.allocator == nil {
		return nil
	}
	return s.allocator.Dump(now)
}

// Share implements the Control service. Only a leader with a valid lease grants shares:
// two allocators at a time would each divide the whole limit.
func (s *service) Share(ctx context.Context, req *wire.ShareRequest) (*wire.ShareReply, error) {
	reply, done, err := forwardToLeader(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.ShareReply, error) {
		return c.Share(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.currentReplica()
	reply = &wire.ShareReply{}
	var grantErr error
	err = r.runInLoop(ctx, func() { grantErr = r.grantShares(req, reply) })
	if err == nil {
		err = grantErr
	}
	return reply, err
}

// grantShares fills in the reply to an entry's request; it runs in the replica's loop.
func (r *Replica) grantShares(req *wire.ShareRequest, reply *wire.ShareReply) error {
	r.syncShareAllocator()
	if !r.node.IsLeader(r.now()) || r.shares.allocator == nil {
		return merry.Prepend(ErrUnavailable, "not the leader")
	}
	v, err := r.tableView()
	if err != nil {
		return err
	}
	now := r.clock()
	r.updateRingMembership(now)
	allocator := r.shares.allocator
	report := admit.Report{Entry: req.Entry, Incarnation: req.Incarnation, Seq: req.Seq, Allocator: req.Home, Partial: req.Partial}
	if !allocator.AcceptReport(now, report) {
		return nil
	}
	reply.Home = allocator.Name(now)
	for _, d := range req.Demands {
		l := v.Limit(d.Team, d.Service)
		if l == nil {
			continue
		}
		subject := admit.SubjectOf(l, d.Team, d.Service)
		share := allocator.Grant(now, req.Entry, subject, admit.LimitOf(l), admit.Demand{
			Wanted:  admit.Amounts{Requests: d.Requests, Tokens: d.Tokens, Concurrent: float64(d.Concurrent)},
			Running: float64(d.Running), AckedEpoch: d.Ack,
		}, r.shares.requestTimeouts.Longest(now, subject))
		reply.Grants = append(reply.Grants, newShareGrant(d, share))
	}
	return nil
}

// updateRingMembership passes the entries of the ring in the log to the allocator. The
// lists are rebuilt only when the ring has changed, as every entry asks about once a second.
func (r *Replica) updateRingMembership(now time.Time) {
	ring, allocator := r.machine.ring, r.shares.allocator
	unchanged := now.Sub(r.ringTracker.changed)
	if r.shares.appliedRing == ring {
		allocator.SetUnchangedFor(unchanged)
		return
	}
	r.shares.appliedRing = ring
	allocator.SetRingMembership(admit.RingMembership{
		Members: memberIDs(ring.GetMembers()), Previous: memberIDs(ring.GetPrevious()),
		UnchangedFor: unchanged, MinChangeInterval: claim.JointPeriod(claim.DefaultRegisterSettings().MaxTTL),
	})
}

func memberIDs(members []*wire.RingMember) []string {
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.Id
	}
	return ids
}

func newShareGrant(d *wire.ShareDemand, s admit.Share) *wire.ShareGrant {
	return &wire.ShareGrant{
		Team: d.Team, Service: d.Service, Epoch: s.Epoch, RequestBurst: s.Burst,
		RequestsPerSecond: s.Requests, TokensPerSecond: s.Tokens,
		Concurrent: uint32(min(s.Concurrent, math.MaxUint32)),
		HoldMs:     uint32(s.MaxTimeout.Milliseconds()),
		AgainMs:    uint32(s.RenewAfter.Milliseconds()),
	}
}

// tableView returns the table's typed view, updated if the revision has changed.
func (r *Replica) tableView() (*table.View, error) {
	if r.shares.view == nil || r.shares.view.Revision != r.machine.table.Revision() {
		v, err := r.updatedView(r.shares.view)
		if err != nil {
			return nil, merry.Prepend(ErrUnavailable, err.Error())
		}
		r.shares.view = v
	}
	return r.shares.view, nil
}

// updatedView updates an earlier view with the rows changed since. It builds a new one if
// there is none or the table no longer keeps all those changes.
func (r *Replica) updatedView(old *table.View) (*table.View, error) {
	t := r.machine.table
	if old != nil {
		if rows, whole := t.Since(old.Revision); !whole {
			return old.WithChanges(t.Revision(), rows)
		}
	}
	return table.NewView(t.Revision(), t.Rows(""))
}

// applyRowChanges applies the service and pool rows that have changed: the timeouts of every
// version of a service in order, and the queue settings of pools. After a restart, all
// versions that the table keeps count as changed now.
func (r *Replica) applyRowChanges(now time.Time) {
	rev := r.machine.table.Revision()
	if rev == r.shares.appliedRevision {
		return
	}
	rows, whole := r.machine.table.Since(r.shares.appliedRevision)
	pools := poolSettings{}
	if old := r.pools.Load(); old != nil && !whole {
		pools = *old
	}
	for _, row := range rows {
		switch row.Kind {
		case table.KindService:
			r.recordTimeouts(now, row)
		case table.KindPool:
			pools = pools.withRow(row)
		}
	}
	r.pools.Store(&pools)
	r.shares.appliedRevision = rev
}

// recordTimeouts records the timeouts of a service's versions after appliedRevision,
// oldest first.
func (r *Replica) recordTimeouts(now time.Time, row *wire.Row) {
	versions := r.machine.table.History(row.Kind, row.Key, 0)
	for i := len(versions) - 1; i >= 0; i-- {
		if v := versions[i]; v.Revision > r.shares.appliedRevision {
			r.shares.requestTimeouts.Set(now, v.Key, serviceTimeout(v))
		}
	}
}

// serviceTimeout returns the timeout of a service row; 0 if the row was deleted.
func serviceTimeout(row *wire.Row) time.Duration {
	if row.Deleted {
		return 0
	}
	return time.Duration(intCell(row, "timeout_ms")) * time.Millisecond
}
