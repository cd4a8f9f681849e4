package control

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"

	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

const (
	// minLease and maxLease bound the TTL of a group's lease.
	minLease = 500 * time.Millisecond
	maxLease = 30 * time.Second
	// confirmInterval is the longest time between two messages on a table watch. Each message
	// has the age of the replica's state.
	confirmInterval = time.Second
	forwardTimeout  = 2 * time.Second
	// forwardedKey is the metadata key of a forwarded call, which must not be forwarded again.
	forwardedKey = "forwarded"
)

// service implements the Control service, which entries, agents and operators call. Calls that
// need the leader are forwarded to it, at most once.
type service struct{ *Control }

// forwardToLeader forwards a call of the Control service to the leader if this replica isn't the
// leader. done is false if this replica is the leader and must answer itself.
func forwardToLeader[R any](ctx context.Context, s *service, call func(context.Context, wire.DRPCControlClient) (R, error)) (reply R, done bool, err error) {
	return forwardServiceToLeader(ctx, s, wire.NewDRPCControlClient, call)
}

// forwardServiceToLeader is forwardToLeader for any service; client makes the service's client.
func forwardServiceToLeader[R, C any](ctx context.Context, s *service, client func(drpc.Conn) C, call func(context.Context, C) (R, error)) (reply R, done bool, err error) {
	r := s.currentReplica()
	if r == nil {
		return reply, true, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	leads, addr, err := r.findLeader(ctx)
	if err != nil {
		return reply, true, err
	}
	if leads {
		return reply, false, nil
	}
	md, _ := drpcmetadata.Get(ctx)
	if addr == "" || md[forwardedKey] != "" {
		return reply, true, merry.Prepend(ErrUnavailable, "no leader is known")
	}
	ctx, cancel := context.WithTimeout(drpcmetadata.Add(ctx, forwardedKey, "1"), forwardTimeout)
	defer cancel()
	reply, err = call(ctx, client(s.pool.Conn(ctx, addr)))
	return reply, true, err
}

func unavailableReply(err error) *wire.EditReply {
	return &wire.EditReply{Status: wire.EditStatus_EDIT_STATUS_UNAVAILABLE, Detail: err.Error()}
}

// Edit implements the Control service. Errors are returned as EDIT_STATUS_UNAVAILABLE.
func (s *service) Edit(ctx context.Context, e *wire.TableEdit) (*wire.EditReply, error) {
	if bad := table.CheckEdit(e); bad != nil {
		return bad, nil
	}
	reply, done, err := forwardToLeader(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.EditReply, error) {
		return c.Edit(ctx, e)
	})
	if err != nil {
		return unavailableReply(err), nil
	}
	if done {
		return reply, nil
	}
	if !s.Formed(ctx) {
		return unavailableReply(merry.Prepend(ErrUnavailable, "the cluster is being formed")), nil
	}
	e.AtMs = s.currentReplica().clock().UnixMilli()
	v, err := s.currentReplica().propose(ctx, &wire.Command{Command: &wire.Command_Edit{Edit: e}})
	if err != nil {
		return unavailableReply(err), nil
	}
	return v.(*wire.EditReply), nil
}

// Read implements the Control service. A linearizable read is answered by the leader.
func (s *service) Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadReply, error) {
	if req.Linearizable {
		reply, done, err := forwardToLeader(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.ReadReply, error) {
			return c.Read(ctx, req)
		})
		if done || err != nil {
			return reply, err
		}
		if err := s.currentReplica().barrier(ctx); err != nil {
			return nil, err
		}
	}
	r := s.currentReplica()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	reply := &wire.ReadReply{Cluster: s.currentIdentity().Cluster}
	err := r.runInLoop(ctx, func() {
		reply.Revision = r.machine.table.Revision()
		if req.Key == "" {
			reply.Rows = r.machine.table.Rows(req.Kind)
		} else if row := r.machine.table.Get(req.Kind, req.Key); row != nil {
			reply.Rows = []*wire.Row{row}
		}
	})
	return reply, err
}

// History implements the Control service.
func (s *service) History(ctx context.Context, req *wire.HistoryRequest) (*wire.HistoryReply, error) {
	r := s.currentReplica()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	reply := &wire.HistoryReply{}
	err := r.runInLoop(ctx, func() { reply.Rows = r.machine.table.History(req.Kind, req.Key, req.AtRevision) })
	return reply, err
}

// WatchTable implements the Control service.
func (s *service) WatchTable(req *wire.TableWatchRequest, stream wire.DRPCControl_WatchTableStream) error {
	r := s.currentReplica()
	if r == nil {
		return merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	changed, cancel := r.watchers.Subscribe()
	defer cancel()
	tick := time.NewTicker(confirmInterval)
	defer tick.Stop()
	from := req.FromRevision
	ringSent, suspicionVersion := uint64(0), uint64(0)
	for {
		u, err := s.tableUpdate(stream.Context(), r, from)
		if err != nil {
			return err
		}
		if u.Ring.GetEpoch() == ringSent && ringSent > 0 {
			// The members were sent before on this stream; with thousands of them, each
			// message would be large.
			u.Ring = &wire.Ring{Epoch: ringSent}
		}
		ringSent = u.Ring.GetEpoch()
		changes := s.suspicions.changesSince(suspicionVersion)
		u.Suspicions, suspicionVersion = changes.Suspicions, changes.Version
		if err := stream.Send(u); err != nil {
			return err
		}
		from = u.Revision
		select {
		case <-stream.Context().Done():
			return nil
		case <-r.done:
			return ErrStopped
		case <-changed:
		case <-tick.C:
		}
	}
}

// tableUpdate returns the changes after revision from, or the whole table if those changes are
// no longer known.
func (s *service) tableUpdate(ctx context.Context, r *Replica, from uint64) (*wire.TableUpdate, error) {
	// The age must be read before the rows, as in confirmedRoutingVersion.
	age := clampedMillis(r.feed.confirmedAge(r.now()))
	st := r.feed.state.Load()
	u := &wire.TableUpdate{
		Cluster: s.currentIdentity().Cluster, Revision: st.revision, Ring: st.ring,
		RingAgeMs:      clampedMillis(s.currentReplica().clock().Sub(st.ringAt)),
		ConfirmedAgeMs: age,
	}
	if rows, ok := st.since(from); ok {
		u.Rows = rows
		return u, nil
	}
	err := r.runInLoop(ctx, func() {
		u.Revision = r.machine.table.Revision()
		u.Rows, u.Snapshot = r.machine.table.Since(from)
	})
	return u, err
}

// clampedMillis returns d in milliseconds, limited to the range of a message field. Without the
// limit, the age of a replica that is partitioned for weeks would wrap around, and watchers
// would consider it current.
func clampedMillis(d time.Duration) uint32 { return uint32(min(max(0, d.Milliseconds()), 1<<31)) }

// Acquire implements the Control service.
func (s *service) Acquire(ctx context.Context, req *wire.LeaseRequest) (*wire.LeaseReply, error) {
	reply, done, err := forwardToLeader(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.LeaseReply, error) {
		return c.Acquire(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	return s.currentReplica().acquireLease(ctx, req)
}

// acquireLease grants, renews or releases a group's lease. The TTL is clamped to the range from
// minLease to maxLease. It returns ErrUnavailable if this replica doesn't lead.
func (r *Replica) acquireLease(ctx context.Context, req *wire.LeaseRequest) (*wire.LeaseReply, error) {
	ttl := min(max(time.Duration(req.TtlMs)*time.Millisecond, minLease), maxLease)
	if err := r.barrier(ctx); err != nil {
		return nil, err
	}
	reply := &wire.LeaseReply{TtlMs: uint32(ttl.Milliseconds())}
	var replaces uint64
	answered := false
	err := r.runInLoop(ctx, func() { replaces, answered = r.renewLease(req, ttl, reply) })
	if err != nil || answered {
		return reply, err
	}
	v, err := r.propose(ctx, &wire.Command{Command: &wire.Command_Lease{
		Lease: &wire.LeaseGrant{Group: req.Group, Holder: req.Holder, Replaces: replaces},
	}})
	if err != nil {
		return nil, err
	}
	l := v.(*wire.Lease)
	reply.Holder, reply.Token = l.Holder, l.Token
	reply.Granted = l.Holder == req.Holder
	err = r.runInLoop(ctx, func() { r.leadership().renew(req.Group, r.clock(), ttl) })
	return reply, err
}

// renewLease answers a request that needs no log entry: a renewal or release by the holder of
// a lease, or a request while another holder's lease is live. It then sets reply and returns
// answered. replaces is the token of the last lease, which a new one replaces.
func (r *Replica) renewLease(req *wire.LeaseRequest, ttl time.Duration, reply *wire.LeaseReply) (replaces uint64, answered bool) {
	l := r.machine.fence.Get(req.Group)
	reply.Holder, reply.Token = l.Holder, l.Token
	now := r.clock()
	expired := l.Token == 0 || r.leadership().expired(req.Group, now)
	switch {
	case l.Holder != req.Holder:
		return l.Token, !expired
	case req.Release:
		r.leadership().renew(req.Group, now, 0)
		return l.Token, true
	case expired:
		// An expired lease is granted again with a new token, because another requester may
		// have been told meanwhile that the lease is free.
		return l.Token, false
	}
	r.leadership().renew(req.Group, now, ttl)
	reply.Granted = true
	return l.Token, true
}

// Token implements the Control service.
func (s *service) Token(ctx context.Context, req *wire.TokenRequest) (*wire.TokenReply, error) {
	reply, done, err := forwardToLeader(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.TokenReply, error) {
		return c.Token(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.currentReplica()
	if err := r.barrier(ctx); err != nil {
		return nil, err
	}
	reply = &wire.TokenReply{}
	err = r.runInLoop(ctx, func() { reply.Token = r.machine.fence.Token(req.Group) })
	return reply, err
}

// Members implements the Control service.
func (s *service) Members(ctx context.Context, req *wire.MembersRequest) (*wire.MembersReply, error) {
	reply, done, err := forwardToLeader(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.MembersReply, error) {
		return c.Members(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.currentReplica()
	reply = &wire.MembersReply{}
	err = r.runInLoop(ctx, func() { r.handleMembers(req, reply) })
	return reply, err
}
