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

// Bounds of leases and watches.
const (
	minLease = 500 * time.Millisecond
	maxLease = 30 * time.Second
	// confirmInterval is how often a watcher is told that its rows are current.
	confirmInterval = time.Second
	forwardTimeout  = 2 * time.Second
	forwardedKey    = "forwarded"
)

// service answers entries, agents and operators. What only a leader may answer,
// another replica passes on to it once.
type service struct{ *Control }

// passOn calls the leader if this replica isn't it. done is true when the reply
// or the error is final.
func passOn[R any](ctx context.Context, s *service, call func(context.Context, wire.DRPCControlClient) (R, error)) (reply R, done bool, err error) {
	return passOnBy(ctx, s, wire.NewDRPCControlClient, call)
}

// passOnBy is passOn for any of the leader's services.
func passOnBy[R, C any](ctx context.Context, s *service, client func(drpc.Conn) C, call func(context.Context, C) (R, error)) (reply R, done bool, err error) {
	r := s.current()
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

func unavailable(err error) *wire.EditReply {
	return &wire.EditReply{Status: wire.EditStatus_EDIT_STATUS_UNAVAILABLE, Detail: err.Error()}
}

// Edit implements the Control service.
func (s *service) Edit(ctx context.Context, e *wire.TableEdit) (*wire.EditReply, error) {
	if bad := table.Check(e); bad != nil {
		return bad, nil
	}
	reply, done, err := passOn(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.EditReply, error) {
		return c.Edit(ctx, e)
	})
	if err != nil {
		return unavailable(err), nil
	}
	if done {
		return reply, nil
	}
	if !s.Formed(ctx) {
		return unavailable(merry.Prepend(ErrUnavailable, "the cluster is being formed")), nil
	}
	e.AtMs = s.current().clock().UnixMilli()
	v, err := s.current().propose(ctx, &wire.Command{Command: &wire.Command_Edit{Edit: e}})
	if err != nil {
		return unavailable(err), nil
	}
	return v.(*wire.EditReply), nil
}

// Read implements the Control service.
func (s *service) Read(ctx context.Context, req *wire.ReadRequest) (*wire.ReadReply, error) {
	if req.Linearizable {
		reply, done, err := passOn(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.ReadReply, error) {
			return c.Read(ctx, req)
		})
		if done || err != nil {
			return reply, err
		}
		if err := s.current().barrier(ctx); err != nil {
			return nil, err
		}
	}
	r := s.current()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	reply := &wire.ReadReply{Cluster: s.currentIdentity().Cluster}
	err := r.do(ctx, func() {
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
	r := s.current()
	if r == nil {
		return nil, merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	reply := &wire.HistoryReply{}
	err := r.do(ctx, func() { reply.Rows = r.machine.table.History(req.Kind, req.Key, req.AtRevision) })
	return reply, err
}

// WatchTable implements the Control service.
func (s *service) WatchTable(req *wire.TableWatchRequest, stream wire.DRPCControl_WatchTableStream) error {
	r := s.current()
	if r == nil {
		return merry.Prepend(ErrUnavailable, "replica belongs to no cluster yet")
	}
	changed, cancel := r.watchers.Subscribe()
	defer cancel()
	tick := time.NewTicker(confirmInterval)
	defer tick.Stop()
	from := req.FromRevision
	ringSent, suspected := uint64(0), uint64(0)
	for {
		u, err := s.update(stream.Context(), r, from)
		if err != nil {
			return err
		}
		if u.Ring.GetEpoch() == ringSent && ringSent > 0 {
			// The members went before on this stream; with thousands of them each
			// confirmation would be tens of kilobytes.
			u.Ring = &wire.Ring{Epoch: ringSent}
		}
		ringSent = u.Ring.GetEpoch()
		told := s.suspicions.since(suspected)
		u.Suspicions, suspected = told.Suspicions, told.Version
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

// update is what a watcher that holds a revision lacks.
func (s *service) update(ctx context.Context, r *Replica, from uint64) (*wire.TableUpdate, error) {
	st := r.feed.state.Load()
	u := &wire.TableUpdate{
		Cluster: s.currentIdentity().Cluster, Revision: st.revision, Ring: st.ring,
		RingAgeMs:      millis(s.current().clock().Sub(st.ringAt)),
		ConfirmedAgeMs: millis(r.feed.age(r.now())),
	}
	if rows, ok := st.since(from); ok {
		u.Rows = rows
		return u, nil
	}
	err := r.do(ctx, func() {
		u.Revision = r.machine.table.Revision()
		u.Rows, u.Snapshot = r.machine.table.Since(from)
	})
	return u, err
}

// millis is d in the messages' unit, within what the field holds. Cut off at its
// width instead, the age of a replica that is alone for seven weeks would begin
// again at zero, and its followers would take it for current.
func millis(d time.Duration) uint32 { return uint32(min(max(0, d.Milliseconds()), 1<<31)) }

// Acquire implements the Control service.
func (s *service) Acquire(ctx context.Context, req *wire.LeaseRequest) (*wire.LeaseReply, error) {
	reply, done, err := passOn(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.LeaseReply, error) {
		return c.Acquire(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	return s.current().acquire(ctx, req)
}

// acquire grants, renews or releases a group's lease on the leader.
func (r *Replica) acquire(ctx context.Context, req *wire.LeaseRequest) (*wire.LeaseReply, error) {
	ttl := min(max(time.Duration(req.TtlMs)*time.Millisecond, minLease), maxLease)
	if err := r.barrier(ctx); err != nil {
		return nil, err
	}
	reply := &wire.LeaseReply{TtlMs: uint32(ttl.Milliseconds())}
	var replaces uint64
	settled := false
	err := r.do(ctx, func() { replaces, settled = r.renew(req, ttl, reply) })
	if err != nil || settled {
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
	err = r.do(ctx, func() { r.leads.renew(req.Group, r.clock(), ttl) })
	return reply, err
}

// renew answers without the log where it can: a lease that its holder keeps, or
// that another one holds.
func (r *Replica) renew(req *wire.LeaseRequest, ttl time.Duration, reply *wire.LeaseReply) (replaces uint64, settled bool) {
	l := r.machine.fence.Get(req.Group)
	reply.Holder, reply.Token = l.Holder, l.Token
	now := r.clock()
	over := l.Token == 0 || r.leads.over(req.Group, now)
	switch {
	case l.Holder != req.Holder:
		return l.Token, !over
	case req.Release:
		r.leads.renew(req.Group, now, 0)
		return l.Token, true
	case over:
		// A lease that ran out is granted anew, with a new token: another
		// holder may have been told meanwhile that it is free.
		return l.Token, false
	}
	r.leads.renew(req.Group, now, ttl)
	reply.Granted = true
	return l.Token, true
}

// Token implements the Control service.
func (s *service) Token(ctx context.Context, req *wire.TokenRequest) (*wire.TokenReply, error) {
	reply, done, err := passOn(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.TokenReply, error) {
		return c.Token(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.current()
	if err := r.barrier(ctx); err != nil {
		return nil, err
	}
	reply = &wire.TokenReply{}
	err = r.do(ctx, func() { reply.Token = r.machine.fence.Token(req.Group) })
	return reply, err
}

// Members implements the Control service.
func (s *service) Members(ctx context.Context, req *wire.MembersRequest) (*wire.MembersReply, error) {
	reply, done, err := passOn(ctx, s, func(ctx context.Context, c wire.DRPCControlClient) (*wire.MembersReply, error) {
		return c.Members(ctx, req)
	})
	if done || err != nil {
		return reply, err
	}
	r := s.current()
	reply = &wire.MembersReply{}
	err = r.do(ctx, func() { r.members(req, reply) })
	return reply, err
}
